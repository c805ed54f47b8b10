"""State of a call that is being served."""

from lagoonbend.facts import ListedTarget
from lagoonbend.facts import VersionBinding
from lagoonbend.outcomes import SendRecord
from lagoonbend.scheduling import SlotRequest
from lagoonbend_entry._internal.gateway.admitted_call import AdmittedCall
from lagoonbend_entry._internal.gateway.attempt import Attempt
from lagoonbend_entry._internal.gateway.attempt_report import AttemptReport
from lagoonbend_entry._internal.gateway.open_attempt import OpenAttempt
from lagoonbend_entry._internal.gateway.stream_position import StreamPosition
from lagoonbend_entry._internal.utils.interrupt import Interrupt


class CallProgress:
    """State of a call across its attempts.

    ``attempt_history`` has an entry ``target:outcome`` for each attempt that
    was sent, and ``versions`` the software version of that target.
    ``peers`` has an entry ``address:end`` for each peer that was asked.
    ``sends`` has all attempts, those at peers included.
    ``attempt_count`` is the number of slots that were asked for.
    ``excluded`` lists the targets not to be tried again. ``target`` and
    ``version`` are those of the current attempt; ``binding`` is the version
    to which a stream is bound that has begun, or that targets may have read;
    ``readers`` has those that may have read it without an answer.
    ``successor`` is an attempt that was opened while the target was silent,
    ``attempt`` the one that runs. ``is_charged`` is set once a slot has been
    granted, which takes the call's units from its customer's limit.
    ``has_paid_retry`` is True while a retry has been taken from the budget and
    not been sent.
    ``status`` is that of a whole answer that was relayed; None if there is
    none.
    ``failure`` says why the call has no answer yet. ``interrupt`` raises an
    error in the greenlet that serves the call, ``slot_wait`` only while it
    waits for a slot, with ``slot_request``.

    :param call: admitted call.
    :param sends: record of the call's attempts, which its answer must fit.
    """

    def __init__(self, call: AdmittedCall, sends: SendRecord) -> None:
        self.call = call
        self.interrupt = Interrupt()
        self.slot_wait: Interrupt | None = None
        self.slot_request: SlotRequest | None = None
        self.position = StreamPosition()
        self.sends = sends
        self.attempt_history: list[str] = []
        self.versions: list[str] = []
        self.peers: list[str] = []
        self.excluded: list[str] = []
        self.readers: list[ListedTarget] = []
        self._closed_once: set[str] = set()
        self.pool = ''
        self.target = ''
        self.version: str | None = None
        self.life: ListedTarget | None = None
        self.binding: VersionBinding | None = None
        self.successor: OpenAttempt | None = None
        self.attempt: Attempt | None = None
        self.is_charged = False
        self.has_paid_retry = False
        self.attempt_count = 0
        self.send_count = 0
        self.run_count = 0
        self.waited_ms = 0
        self.first_byte_ms = 0
        self.status: int | None = None
        self.failure = ''

    @property
    def may_have_run(self) -> bool:
        """True unless it is certain that the call has not run."""
        return self.sends.may_have_run

    def rule_out_reader(self, target: ListedTarget) -> None:
        """Record that a target hasn't read the call, and never will."""
        if target in self.readers:
            self.readers.remove(target)

    def exclude(self, report: AttemptReport) -> None:
        """Exclude the target of an attempt from further ones.

        A closed target is excluded while it is closed; for good the second
        time, so that short pauses don't lead to a retry each.
        """
        is_closed = report.asks_for_pause or report.is_target_closed
        if is_closed and report.target not in self._closed_once:
            self._closed_once.add(report.target)
        else:
            self.excluded.append(report.target)
