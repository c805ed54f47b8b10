"""Catalogue of log events."""

import enum


class Event(enum.Enum):
    """A log event: number, severity and meaning.

    ``docs/EVENTS.md`` lists the same events.
    """

    STARTED = ('LB0001', 'info', 'The instance listens.')
    DRAIN_BEGUN = ('LB0002', 'info', 'Readiness is off; requests finish.')
    DRAIN_ENDED = ('LB0003', 'info', 'The instance exits.')
    PAUSE_NOTICED = ('LB0004', 'warning', 'The process was paused.')
    LISTENER_FAILED = ('LB0005', 'error', 'A listener could not be opened.')
    HANDLER_FAILED = (
        'LB0006',
        'error',
        'An unexpected error ended a request or a step of a loop.',
    )
    INVARIANT_BROKEN = (
        'LB0100',
        'error',
        'A property that must always hold was found broken.',
    )
    RELOADED = ('LB0007', 'info', 'The settings were read again.')
    RELOAD_FAILED = (
        'LB0008',
        'error',
        'Changed settings could not be read; the previous ones stay in force.',
    )
    READY_CHANGED = (
        'LB0009',
        'info',
        'The readiness reported to the balancer changed.',
    )
    LOG_LINES_DROPPED = (
        'LB0010',
        'warning',
        'Log lines were dropped because standard output was not read in time.',
    )
    LOOP_HELD = (
        'LB0011',
        'warning',
        'The event loop let other work wait.',
    )
    REQUEST_REFUSED = ('LB0200', 'info', 'A request got a refusal.')
    REQUEST_ANSWERED = ('LB0201', 'info', 'A request got its answer.')
    REQUEST_LEFT = (
        'LB0202',
        'info',
        'A caller closed its connection before its answer.',
    )
    CALL_ENDED = ('LB0203', 'info', 'A call got its final answer.')
    CALL_NOT_ADMITTED = (
        'LB0204',
        'info',
        'The rules in force do not admit a request.',
    )
    ATTEMPT_FAILED = (
        'LB0205',
        'info',
        'An attempt at a target gave no complete answer.',
    )
    TARGET_LEAVING = (
        'LB0208',
        'info',
        'A target says in its answers that it leaves.',
    )
    TARGET_PAUSED = (
        'LB0209',
        'info',
        'A target asks for a pause in its answers.',
    )
    PAUSE_NOT_USED = (
        'LB0210',
        'warning',
        "A target's Retry-After is ignored or capped.",
    )
    TARGET_ENDED = (
        'LB0211',
        'warning',
        'A target has ended while calls waited for their answers there.',
    )
    CALL_BLOCKED = (
        'LB0212',
        'warning',
        'Targets keep ending under calls with a carrier; it is not sent.',
    )
    CALL_CLEARED = (
        'LB0213',
        'info',
        'A target has begun an answer to a call with a limited carrier.',
    )
    TARGET_LIMITED = (
        'LB0214',
        'info',
        'A target names, changes or ends a limit on its requests.',
    )
    LIMIT_NOT_USED = (
        'LB0215',
        'warning',
        "A target's Server-Limit can't be read and is ignored.",
    )
    SERVICE_UNREACHED = (
        'LB0216',
        'warning',
        'This instance reaches no target of a service.',
    )
    SERVICE_REACHED = (
        'LB0217',
        'info',
        'This instance reaches a target of a service again.',
    )
    CALL_HANDED_OVER = (
        'LB0218',
        'info',
        'A peer has been asked to run a call.',
    )
    TARGET_NOT_ENDED = (
        'LB0219',
        'info',
        'A target that was taken for ended has answered a later request.',
    )
    PROMPT_SEARCHED = (
        'LB0220',
        'info',
        'Targets were asked who has read a prompt, for the version of a '
        'stream.',
    )
    STREAM_BOUND = (
        'LB0221',
        'info',
        'The version of a stream that goes on here was looked for.',
    )
    CALL_LIMITED = (
        'LB0222',
        'warning',
        'Many targets have ended at one moment under calls with a carrier; it '
        'is sent one call at a time.',
    )
    STREAM_UNBOUND = (
        'LB0223',
        'warning',
        'The version of a stream is not known any more: its target had '
        'started again before it was listed as that.',
    )
    CALL_UNANSWERED = (
        'LB0206',
        'warning',
        'A call that was read ended without a complete answer.',
    )
    REQUESTS_DROPPED = (
        'LB0207',
        'warning',
        'A connection ended with requests that were read and not served.',
    )
    DISPATCH_FAILED = ('LB0300', 'warning', 'A dispatch failed.')
    ANSWER_INCOMPLETE = (
        'LB0301',
        'warning',
        'A target ended an answer before its end marker.',
    )
    CLAIM_UNREACHABLE = (
        'LB0400',
        'warning',
        'The holder of a key could not be asked.',
    )
    HOLDER_NOT_TOLD = (
        'LB0401',
        'warning',
        'The holder of a key could not be told the outcome of an attempt.',
    )
    PLATFORM_LOST = ('LB0500', 'warning', 'The platform does not answer.')
    PLATFORM_BACK = ('LB0501', 'info', 'The platform answers again.')
    FLEET_APPLIED = ('LB0502', 'info', 'A new list is in force.')
    FLEET_REJECTED = ('LB0506', 'error', 'A list could not be read.')
    FACTS_CHANGED = (
        'LB0507',
        'info',
        'Published items changed the facts that the instance uses.',
    )
    RULES_APPLIED = ('LB0508', 'info', 'A new configuration is in force.')
    RULES_REJECTED = (
        'LB0509',
        'error',
        'A published configuration could not be used.',
    )
    STORE_ERA_CHANGED = (
        'LB0510',
        'warning',
        'The store has come back from an older copy.',
    )
    ENTRY_REJECTED = (
        'LB0511',
        'error',
        "A published entry can't be read and is left out.",
    )
    HISTORY_READ = (
        'LB0513',
        'info',
        'The store has told which targets ended before the instance started.',
    )
    HISTORY_NOT_READ = (
        'LB0514',
        'info',
        'The store does not tell which targets have ended.',
    )
    EVACUATIONS_CHANGED = (
        'LB0515',
        'info',
        'The targets of a failure domain get no calls, or get calls again.',
    )
    FACTS_NOT_CONFIRMED = (
        'LB0512',
        'info',
        'The store does not confirm that the facts are current.',
    )
    ITEMS_SENT = ('LB0516', 'info', 'Published items were sent to a peer.')
    ITEMS_RECEIVED = (
        'LB0517',
        'info',
        'Published items have arrived from a peer.',
    )
    PEER_REACHED = ('LB0600', 'info', 'A peer answers.')
    PEER_LOST = ('LB0601', 'warning', 'The link to a peer is lost.')
    PEER_REJECTED = (
        'LB0602',
        'error',
        'A peer sent bytes that are not a valid message.',
    )
    DECIDER_CHANGED = (
        'LB0603',
        'info',
        'Another instance grants the slots of a pool.',
    )
    DECIDER_SILENT = (
        'LB0604',
        'warning',
        'The instance that grants slots did not answer in time.',
    )
    SERVICE_LOAD = (
        'LB0605',
        'info',
        'State of a pool whose slots this instance grants.',
    )
    DECIDER_BEHIND = (
        'LB0606',
        'info',
        'The instance that grants slots has no target for a call; one is '
        'known here.',
    )
    DECIDER_NOT_LINKED = (
        'LB0607',
        'info',
        'The instance that grants slots is out of reach; a call is scheduled '
        'here.',
    )
    PART_APPLIED = ('LB0503', 'info', 'A new configuration is in force.')
    PART_REJECTED = ('LB0504', 'error', 'A document failed validation.')
    PART_CONFLICT = (
        'LB0505',
        'error',
        'Two documents carry the same revision.',
    )

    def __init__(self, number: str, severity: str, meaning: str) -> None:
        self.number = number
        self.severity = severity
        self.meaning = meaning
