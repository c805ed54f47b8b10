"""Evidence of peers that is about to be passed on."""

from collections.abc import Iterable
from collections.abc import Mapping

from lagoonbend.crashes import CrashEvidence
from lagoonbend.crashes import SoundCarrier

ENOUGH_SENDERS = 3
"""Peers from which a report has come when it isn't passed on any more: they,
and others, have sent it to their peers as well."""
LifeKey = tuple[str, str]
"""Service, and name of a target with its start."""


class HeldReports:
    """Reports by what they are about, and the peers that have sent each.

    ``crashes`` holds ends of targets by service, carrier and life, ``sound``
    carriers that are no cause by service and carrier, and ``answered`` the
    times of requests that targets have answered, by service and life.
    """

    def __init__(self) -> None:
        self.crashes: dict[tuple[str, str, str], CrashEvidence] = {}
        self.sound: dict[tuple[str, str], SoundCarrier] = {}
        self.answered: dict[LifeKey, int] = {}
        self._senders: dict[tuple[str, ...], set[str]] = {}

    def add(
        self,
        peer: str,
        crashes: Iterable[CrashEvidence],
        sound: Iterable[SoundCarrier],
        answered: Mapping[LifeKey, int],
    ) -> bool:
        """Add reports of a peer; return True if they are the first ones."""
        was_empty = not self._senders
        for item in crashes:
            crash_key = _key_crash(item)
            self.crashes[crash_key] = item
            self._senders.setdefault(('crash', *crash_key), set()).add(peer)
        for carrier in sound:
            sound_key = (carrier.service, carrier.carrier)
            self.sound[sound_key] = carrier
            self._senders.setdefault(('sound', *sound_key), set()).add(peer)
        for life, sent_ms in answered.items():
            self.answered[life] = sent_ms
            self._senders.setdefault(('answered', *life), set()).add(peer)
        return was_empty and bool(self._senders)

    def record_sender(
        self,
        peer: str,
        crashes: Iterable[CrashEvidence],
        sound: Iterable[SoundCarrier],
        answered: Iterable[LifeKey],
    ) -> None:
        """Record that a peer has sent reports, of which some may be held."""
        keys: list[tuple[str, ...]] = [
            ('crash', *_key_crash(item)) for item in crashes
        ]
        keys += [('sound', item.service, item.carrier) for item in sound]
        keys += [('answered', *life) for life in answered]
        for key in keys:
            senders = self._senders.get(key)
            if senders is not None:
                senders.add(peer)

    def drop_spread(self) -> None:
        """Drop the ends of targets that enough peers have sent.

        What speaks against an end is passed on in any case.
        """
        for crash_key in list(self.crashes):
            if len(self._senders['crash', *crash_key]) >= ENOUGH_SENDERS:
                del self.crashes[crash_key]
                del self._senders['crash', *crash_key]

    def was_all_sent_by(self, peer: str) -> bool:
        """Return True if a peer has itself sent all that is held."""
        return all(peer in senders for senders in self._senders.values())


def _key_crash(item: CrashEvidence) -> tuple[str, str, str]:
    return item.service, item.carrier, item.life
