"""Checks of the streams that callers take up at other instances."""

from collections.abc import Iterator

from lagoonbend_devkit._internal.soak.soak_checks import register_check
from lagoonbend_devkit._internal.soak.soak_checks import STREAM_ROUTES
from lagoonbend_devkit._internal.soak.soak_history import SoakHistory
from lagoonbend_devkit._internal.soak.soak_record import SoakCall
from lagoonbend_devkit._internal.soak.stream_event import parse_events
from lagoonbend_devkit._internal.soak.stream_shares import StreamShares

UNDISTURBED_S = 3.0
"""Time before a call in which no fault may touch what serves it, for the call
to count in the users' rule LOST."""
MIN_TARGET_COUNT = 2
"""Number of targets of a version that must serve in the users' rule LOST."""
STREAM_SERVICE = 'chat'


def group_tries(calls: list[SoakCall]) -> list[list[SoakCall]]:
    """Return the tries of each stream, in the order of their sending."""
    streams: dict[str, list[SoakCall]] = {}
    for call in sorted(calls, key=lambda call: call.sent_s):
        if call.route in STREAM_ROUTES:
            streams.setdefault(call.resumes or call.attempt, []).append(call)
    return list(streams.values())


@register_check('stream_has_one_version')
def check_versions(
    calls: list[SoakCall], history: SoakHistory
) -> Iterator[tuple[SoakCall, str]]:
    """The events of a stream have one version, no gap and no repeat."""
    for tries in group_tries(calls):
        events = [e for call in tries for e in parse_events(call.answer)]
        numbers = [event.number for event in events]
        versions = {event.version for event in events}
        if len(versions) > 1 or numbers != list(range(1, len(events) + 1)):
            received = [
                f'{call.attempt} at instance {call.instance}:'
                f' {[tuple(e) for e in parse_events(call.answer)]}'
                for call in tries
            ]
            yield tries[-1], ', '.join(received)


@register_check('taken_up_stream_goes_on')
def check_taken_up(
    calls: list[SoakCall], history: SoakHistory
) -> Iterator[tuple[SoakCall, str]]:
    """Taken-up streams go on about as often as new ones begin."""
    shares = compute_shares(calls, history)
    if shares.is_large and not shares.are_kept:
        for call in list_taken_up(calls, history):
            if not has_gone_on(call):
                yield call, f'status {call.status}; {shares.describe()}'


def compute_shares(
    calls: list[SoakCall], history: SoakHistory
) -> StreamShares:
    """Return the numbers to which the users' rule LOST applies.

    New streams whose target injects a fault don't count.
    """
    new_calls = [
        tries[0]
        for tries in group_tries(calls)
        if not tries[0].resumes
        and not tries[0].fault
        and has_sound_version(tries[0], history)
    ]
    taken_up_calls = list_taken_up(calls, history)
    return StreamShares(
        len(new_calls),
        sum(map(has_gone_on, new_calls)),
        len(taken_up_calls),
        sum(map(has_gone_on, taken_up_calls)),
    )


def list_taken_up(
    calls: list[SoakCall], history: SoakHistory
) -> list[SoakCall]:
    """Return the first try of each stream that nothing keeps from going on."""
    taken_up_calls = []
    for first_call, *later_calls in group_tries(calls):
        events = parse_events(first_call.answer)
        for call in later_calls:
            if events and has_sound_version(call, history, events[0].version):
                taken_up_calls.append(call)
                break
    return taken_up_calls


def has_gone_on(call: SoakCall) -> bool:
    """Return whether a try brought an event or the end of its stream."""
    return call.status == 200 or bool(parse_events(call.answer))


def has_sound_version(
    call: SoakCall, history: SoakHistory, version: str = ''
) -> bool:
    """Return whether its instance and two targets of a version were sound.

    :param version: version of the targets; empty for any.
    """
    start_s = call.sent_s - UNDISTURBED_S
    if history.is_disturbed(call.instance, start_s, call.end_s):
        return False
    versions = [
        history.target_periods[target].version
        for target in history.list_sound_targets(
            STREAM_SERVICE, start_s, call.end_s
        )
    ]
    return any(
        versions.count(item) >= MIN_TARGET_COUNT
        for item in ([version] if version else versions)
    )
