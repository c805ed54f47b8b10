"""Shares the evidence against calls under which targets end.

Each instance meets a call for itself, but the targets are those of all, so
all have to stop within seconds. Evidence goes over all links at once and, in
a fleet that is no full mesh, on from there. An instance that starts asks for
what is known.
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
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event
from lagoonbend_entry._internal.utils.guarded_loop import run_guarded

BATCH_INTERVAL_S = 0.05
"""Minimum time between two batches; the first item after a pause is sent at
once."""
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
        self, message: messages.CrashReports
    ) -> messages.Message | None:
        """Use the evidence of a peer; return the answer that it wants."""
        now_ms = self._clock.now_ms()
        cleared = self._clear(
            SoundCarrier(item.service, item.carrier, now_ms - item.age_ms)
            for item in message.sound
        )
        added, sound = self._add(
            CrashEvidence(
                item.service,
                item.carrier,
                item.life,
                now_ms - item.age_ms,
                item.run_ms,
            )
            for item in message.crashes
        )
        for item in message.answered:
            sent_ms = now_ms - item.age_ms
            if (
                self.suspects.record_answered(item.service, item.life, sent_ms)
                and self._forwards()
            ):
                self._answered[item.service, item.life] = sent_ms
                self._has_outgoing.set()
        # The sender doesn't know that an answer has begun.
        self._queue_sound(sound)
        if self._forwards():
            self._queue_crashes(added)
            self._queue_sound(cleared)
        if not message.wants_all:
            return None
        return self._encode(self.suspects.list_evidence(), [])

    def _add(
        self, evidence: Iterable[CrashEvidence]
    ) -> tuple[list[CrashEvidence], list[SoundCarrier]]:
        """Add evidence, and report what it limits or blocks."""
        items = list(evidence)
        keys = {(item.service, item.carrier) for item in items}
        were_limited = {key for key in keys if self.suspects.is_limited(*key)}
        were_blocked = {key for key in keys if self.suspects.is_blocked(*key)}
        added, sound = self.suspects.record_crashes(items)
        for key in sorted(keys - were_blocked):
            if self.suspects.is_blocked(*key):
                self._log_suspect(Event.CALL_BLOCKED, *key)
                for notify in self.on_blocked:
                    notify(*key)
            elif key not in were_limited and self.suspects.is_limited(*key):
                self._log_suspect(Event.CALL_LIMITED, *key)
        return added, sound

    def _log_suspect(self, event: Event, service: str, carrier: str) -> None:
        log_event(
            event,
            service=service,
            **describe_carrier(carrier),
            ended=self.suspects.list_lives(service, carrier),
            moments=self.suspects.list_moment_weights(service, carrier),
        )

    def _clear(self, sound: Iterable[SoundCarrier]) -> list[SoundCarrier]:
        """Clear carriers, and report those that were limited."""
        items = list(sound)
        limited = {
            item
            for item in items
            if self.suspects.is_limited(item.service, item.carrier)
        }
        cleared = self.suspects.record_sound(items)
        for item in limited.intersection(cleared):
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
        message = self._encode(crashes, sound)
        now_ms = self._clock.now_ms()
        message.answered = [
            messages.WireAnswered(service, life, now_ms - sent_ms)
            for (service, life), sent_ms in answered
        ]
        for peer in self._list_receivers():
            self._send(peer, message)
        gevent.sleep(BATCH_INTERVAL_S)

    def _encode(
        self, crashes: Iterable[CrashEvidence], sound: Iterable[SoundCarrier]
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
        )
