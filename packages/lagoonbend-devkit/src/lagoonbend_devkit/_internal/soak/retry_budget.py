"""The part of the fleet's retry budget that an instance has used."""

from collections import Counter
from collections.abc import Iterator

from lagoonbend_devkit._internal.soak.instance_event import InstanceEventKind
from lagoonbend_devkit._internal.soak.soak_history import SoakHistory
from lagoonbend_devkit._internal.soak.soak_record import SoakCall

RETRY_RATIO = 0.2
RETRY_SLACK = 50.0
RETRY_WINDOW_S = 10.0
"""Bounds ``retry-budget-ratio``, ``retry-slack`` and ``retry-window-s`` of the
settings of the fleet: the users' rule BUDGET."""
INSTANCE_COUNT = 4
USED_SHARE = 0.8
"""Part of the bounds that an instance may use. The users' window and its own
don't begin at the same time."""


def is_budget_used(call: SoakCall, history: SoakHistory, service: str) -> bool:
    """Return whether its instance could not repeat a call within the budget.

    What was sent towards targets counts, whether it arrived or not. A request
    that was sent to none counts for each service.
    """
    # A process doesn't know what was sent before its start.
    starts_s = history.list_times_s(call.instance, InstanceEventKind.LISTENING)
    start_s = max(
        call.end_s - RETRY_WINDOW_S,
        *(at_s for at_s in starts_s if at_s <= call.end_s),
        0.0,
    )
    attempts = {
        item.attempt: item
        for item in history.calls
        if item.instance == call.instance
    }
    sent: dict[str, Counter[str]] = {}
    for attempt, target in list_sent(history, start_s, call.end_s):
        if attempt in attempts:
            counts = sent.setdefault(attempt, Counter())
            counts[target.partition('-')[0]] += 1
    repeat_count = sum(max(0, counts[service] - 1) for counts in sent.values())
    request_count = sum(
        start_s <= item.sent_s <= call.end_s
        and (attempt not in sent or service in sent[attempt])
        for attempt, item in attempts.items()
    )
    allowed = RETRY_RATIO * request_count + RETRY_SLACK / INSTANCE_COUNT
    return repeat_count + 1 > USED_SHARE * allowed


def list_sent(
    history: SoakHistory, start_s: float, end_s: float
) -> Iterator[tuple[str, str]]:
    """Yield the attempt and the target of each request in a period."""
    for target, requests in history.sent.items():
        for item in requests:
            if start_s <= item.at_s <= end_s:
                yield item.attempt, target
