"""Check that callers of instances without links to targets are served."""

from collections.abc import Iterator

from lagoonbend_devkit._internal.soak.soak_checks import register_check
from lagoonbend_devkit._internal.soak.soak_history import SoakHistory
from lagoonbend_devkit._internal.soak.soak_record import SoakCall

STABLE_WINDOW_S = 3.0
MIN_SHARE = 2 / 3
FAILED_COUNT = 10
FAILED_SHARE = 1 / 50
"""The users' rule RECOVER: time from the begin of the cut, share of the calls
that are served of the share at the others, and failures that are allowed, as
a number and as a share of all calls."""
MIN_CALLS = 20


@register_check('cut_instances_serve')
def check_cut_instances(
    calls: list[SoakCall], history: SoakHistory
) -> Iterator[tuple[SoakCall, str]]:
    """Calls at them are served nearly as often as at the others."""
    if not history.cut_periods:
        return
    cut_instances = {period.instance for period in history.cut_periods}
    start_s = min(p.start_s for p in history.cut_periods) + STABLE_WINDOW_S
    end_s = min(period.end_s for period in history.cut_periods)
    judged = [
        call
        for call in calls
        if start_s <= call.sent_s <= end_s
        and not call.fault
        and not call.resumes
        and not history.is_interrupted(
            call.instance, call.sent_s - STABLE_WINDOW_S, call.end_s
        )
    ]
    at_cut = [call for call in judged if call.instance in cut_instances]
    at_others = [call for call in judged if call.instance not in cut_instances]
    if min(len(at_cut), len(at_others)) < MIN_CALLS:
        return
    failed = [call for call in at_cut if call.status != 200]
    share = 1 - len(failed) / len(at_cut)
    others_share = sum(call.status == 200 for call in at_others) / len(
        at_others
    )
    allowed_count = FAILED_COUNT + FAILED_SHARE * len(judged)
    if share < MIN_SHARE * others_share and len(failed) > allowed_count:
        yield (
            failed[-1],
            f'{share:.2f} of {len(at_cut)} calls served at instances without'
            f' links to targets, {others_share:.2f} at the others',
        )
