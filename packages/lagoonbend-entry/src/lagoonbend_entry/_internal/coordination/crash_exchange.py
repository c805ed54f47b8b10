"""Shares the evidence against calls under which targets end.

Each instance meets a call for itself, but the targets are those of all, so
all have to stop within seconds. Evidence goes over all links at once and, in
a fleet that is no full mesh, on from there to those who have not sent it
meanwhile. A peer that knows better answers the sender alone. An instance that
starts asks for what is known.
"""

from collections.abc import Callable
from collections.abc import Iterable

import gevent
import gevent.event

from lagoonbend.clock import Clock
from lagoonbend.crashes import CrashEvidence
from lagoonbend.crashes import CrashSuspects
from lagoonbend.crashes import describe_carrier
from lagoonbend.crashes import SoundCarrier
from lagoonbend_entry._internal.coordination import messages
from lagoonbend_entry._internal.coordination.held_reports import HeldReports
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event
from lagoonbend_entry._internal.utils.guarded_loop import run_guarded

BATCH_INTERVAL_S = 0.05
"""Minimum time between two batches; the first item after a pause is sent at
once."""
FORWARD_DELAY_S = 0.03
"""Time before evidence of a peer is passed on. A decider of a large fleet has
links to all instances, which get the evidence from it before they would pass
it on; what a peer has sent by then isn't sent back to it."""
MAX_BATCH = 256
"""Items of a kind in one batch. The rest of a larger number is dropped: when
so many targets end at once, the calls are not the cause."""

Send = Callable[[str, messages.Message], bool]


class CrashExchange:
    """Keeps the evidence of this instance equal to that of its peers.

    The callbacks in ``on_blocked`` are called with a service and a carrier
    that has just been blocked.

    :param clock: clock of the instance.
    :param list_receivers: returns the peers to which evidence is sent.
    :param forwards: returns True if what a peer has sent must be passed on.
    :param send: sends a message to a peer; returns False if it can't.
    """

    def __init__(
        self,
        clock: Clock,
        list_receivers: Callable[[], Iterable[str]],
        forwards: Callable[[], bool],
        send: Send,
    ) -> None:
        self.suspects = CrashSuspects(clock)
        self.on_blocked: list[Callable[[str, str], None]] = []
        self._clock = clock
        self._list_receivers = list_receivers
        self._forwards = forwards
        self._send = send
        self._crashes: dict[CrashEvidence, None] = {}
        self._sound: dict[tuple[str, str], SoundCarrier] = {}
        self._answered: dict[tuple[str, str], int] = {}
        self._has_outgoing = gevent.event.Event()
        self._held = HeldReports()

    def start(self) -> gevent.Greenlet:
        """Start to send evidence in batches; return the greenlet of that."""
        return gevent.spawn(run_guarded, 'crash evidence', self._send_batch)

    def record_crashes(self, evidence: Iterable[CrashEvidence]) -> None:
        """Record that a target ended under calls."""
        self._queue_crashes(self._add(evidence)[0])

    def record_begun(self, service: str, carriers: Iterable[str]) -> None:
        """Record that a target has begun an answer to a call."""
        now_ms = self._clock.now_ms()
        sound = [
            SoundCarrier(service, carrier, now_ms) for carrier in carriers
        ]
        self._queue_sound(self._clear(sound))

    def record_answered(self, service: str, life: str, sent_ms: int) -> None:
        """Record that a target has answered a request.

        :param life: the target and its start.
        :param sent_ms: when the request was sent.
        """
        if self.suspects.record_answered(service, life, sent_ms):
            log_event(
                Event.TARGET_NOT_ENDED,
                service=service,
                life=life,
                sent_ago_ms=self._clock.now_ms() - sent_ms,
            )
            self._answered[service, life] = sent_ms
            self._has_outgoing.set()

    def request_all(self, peer: str) -> None:
        """Ask a peer that has been reached for all of its evidence."""
        self._send(peer, messages.CrashReports([], [], wants_all=True))

    def handle_reports(
        self, message: messages.CrashReports, peer: str = ''
    ) -> messages.Message | None:
        """Use the evidence of a peer; return the answer to it, if any.

        :param peer: the sender.
        """
        now_ms = self._clock.now_ms()
        reported_sound = [
            SoundCarrier(item.service, item.carrier, now_ms - item.age_ms)
            for item in message.sound
        ]
        reported_crashes = [
            CrashEvidence(
                item.service,
                item.carrier,
                item.life,
                now_ms - item.age_ms,
                item.run_ms,
            )
            for item in message.crashes
        ]
        cleared = self._clear(reported_sound)
        added, sound = self._add(reported_crashes)
        answered = {
            (item.service, item.life): now_ms - item.age_ms
            for item in message.answered
        }
        not_ended = {
            life: sent_ms
            for life, sent_ms in answered.items()
            if self.suspects.record_answered(*life, sent_ms)
        }
        self._held.record_sender(
            peer, reported_crashes, reported_sound, answered
        )
        if self._forwards() and self._held.add(
            peer, added, cleared, not_ended
        ):
            gevent.spawn_later(FORWARD_DELAY_S, self._send_held)
        # The sender doesn't know that answers have begun to calls with these
        # carriers, or that these targets have not ended.
        refuted = {
            (item.service, item.life): sent_ms
            for item in reported_crashes
            if (sent_ms := self.suspects.find_answer_ms(item)) is not None
        }
        evidence = self.suspects.list_evidence() if message.wants_all else ()
        if not (message.wants_all or sound or refuted):
            return None
        return self._encode(evidence, sound, refuted.items())

    def _add(
        self, evidence: Iterable[CrashEvidence]
    ) -> tuple[list[CrashEvidence], list[SoundCarrier]]:
        """Add evidence, and report what it blocks."""
        items = list(evidence)
        keys = {(item.service, item.carrier) for item in items}
        were_blocked = {key for key in keys if self.suspects.is_blocked(*key)}
        added, sound = self.suspects.record_crashes(items)
        for service, carrier in sorted(keys - were_blocked):
            if self.suspects.is_blocked(service, carrier):
                log_event(
                    Event.CALL_BLOCKED,
                    service=service,
                    **describe_carrier(carrier),
                    ended=self.suspects.list_lives(service, carrier),
                )
                for notify in self.on_blocked:
                    notify(service, carrier)
        return added, sound

    def _clear(self, sound: Iterable[SoundCarrier]) -> list[SoundCarrier]:
        """Clear carriers, and report those that were blocked."""
        items = list(sound)
        blocked = {
            item
            for item in items
            if self.suspects.is_blocked(item.service, item.carrier)
        }
        cleared = self.suspects.record_sound(items)
        for item in blocked.intersection(cleared):
            log_event(
                Event.CALL_CLEARED,
                service=item.service,
                **describe_carrier(item.carrier),
                age_ms=self._clock.now_ms() - item.begun_ms,
            )
        return cleared

    def _queue_crashes(self, evidence: Iterable[CrashEvidence]) -> None:
        self._crashes.update(dict.fromkeys(evidence))
        if self._crashes:
            self._has_outgoing.set()

    def _queue_sound(self, sound: Iterable[SoundCarrier]) -> None:
        self._sound.update(
            {(item.service, item.carrier): item for item in sound}
        )
        if self._sound:
            self._has_outgoing.set()

    def _send_batch(self) -> None:
        self._has_outgoing.wait()
        self._has_outgoing.clear()
        crashes = list(self._crashes)[:MAX_BATCH]
        sound = list(self._sound.values())[:MAX_BATCH]
        answered = list(self._answered.items())[:MAX_BATCH]
        self._crashes.clear()
        self._sound.clear()
        self._answered.clear()
        message = self._encode(crashes, sound, answered)
        for peer in self._list_receivers():
            self._send(peer, message)
        gevent.sleep(BATCH_INTERVAL_S)

    def _send_held(self) -> None:
        """Pass on what peers have sent, to those who don't have all of it."""
        held = self._held
        self._held = HeldReports()
        held.drop_spread()
        # Targets may have answered meanwhile.
        crashes = [
            item
            for item in held.crashes.values()
            if item.life
            in self.suspects.list_lives(item.service, item.carrier)
        ]
        message = self._encode(
            crashes[:MAX_BATCH],
            list(held.sound.values())[:MAX_BATCH],
            list(held.answered.items())[:MAX_BATCH],
        )
        for peer in self._list_receivers():
            if not held.was_all_sent_by(peer):
                self._send(peer, message)

    def _encode(
        self,
        crashes: Iterable[CrashEvidence],
        sound: Iterable[SoundCarrier],
        answered: Iterable[tuple[tuple[str, str], int]] = (),
    ) -> messages.CrashReports:
        now_ms = self._clock.now_ms()
        return messages.CrashReports(
            [
                messages.WireCrash(
                    item.service,
                    item.carrier,
                    item.life,
                    now_ms - item.ended_ms,
                    item.run_ms,
                )
                for item in crashes
            ],
            [
                messages.WireSound(
                    item.service, item.carrier, now_ms - item.begun_ms
                )
                for item in sound
            ],
            answered=[
                messages.WireAnswered(service, life, now_ms - sent_ms)
                for (service, life), sent_ms in answered
            ],
        )
