"""The instances that an instance knows, and those that it reaches."""

from collections.abc import Iterable
from collections.abc import Iterator

from lagoonbend.clock import Clock
from lagoonbend.rendezvous import score_candidate
from lagoonbend_entry._internal.coordination.messages import Pong
from lagoonbend_entry._internal.coordination.peer_state import PeerState

ALIVE_MS = 900
"""Time since the last sign of life after which a peer counts as out of
reach: three questions without an answer."""
FORGET_MS = 60_000
"""Time after which an instance out of reach no longer counts in the parts
of limits; a cut of a minute or more is refilled by then."""
SETTLED_MS = 3_000
"""Uptime from which an instance may become the one that decides, so that a
process that keeps failing does not collect calls."""


class Fleet:
    """Membership by signs of life.

    :param address: own address for peers.
    :param failure_domain: own domain.
    :param seeds: addresses from the settings.
    :param clock: clock of the instance.
    """

    def __init__(
        self,
        address: str,
        failure_domain: str,
        seeds: Iterable[str],
        clock: Clock,
    ) -> None:
        self.address = address
        self.failure_domain = failure_domain
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._known: dict[str, int] = {}
        self._peers: dict[str, PeerState] = {}
        self.learn(seeds)

    @property
    def uptime_ms(self) -> int:
        """Time since the start of this instance."""
        return self._clock.now_ms() - self._started_ms

    def learn(self, addresses: Iterable[str]) -> list[str]:
        """Take in addresses of instances; return those that were news."""
        now_ms = self._clock.now_ms()
        news = []
        for address in addresses:
            if address != self.address and address not in self._known:
                self._known[address] = now_ms
                news.append(address)
        return news

    def note_pong(self, pong: Pong) -> None:
        """Take in a sign of life."""
        self._known[pong.address] = self._clock.now_ms()
        self._peers[pong.address] = PeerState(pong, pong.sent_ms)

    def note_stopped(self, address: str) -> None:
        """Note that no process listens at an address any more.

        It may use no part of a limit, unlike one that is out of reach.
        """
        self._peers.pop(address, None)
        self._known[address] = self._clock.now_ms() - FORGET_MS

    def drop(self, address: str) -> None:
        """Note that a peer is out of reach until it is heard again."""
        self._peers.pop(address, None)

    def list_known(self) -> list[str]:
        """Return the addresses of all instances worth calling."""
        return list(self._known)

    def list_members(self) -> list[str]:
        """Return the addresses of those that live, this one included."""
        return [self.address, *(pong.address for pong in self.list_alive())]

    def list_alive(self) -> Iterator[Pong]:
        """Yield the last words of all peers within reach."""
        now_ms = self._clock.now_ms()
        for state in self._peers.values():
            if now_ms - state.heard_ms < ALIVE_MS:
                yield state.pong

    def find_alive(self, address: str) -> Pong | None:
        """Return the last words of a peer, if it is within reach."""
        state = self._peers.get(address)
        if state is None or self._clock.now_ms() - state.heard_ms >= ALIVE_MS:
            return None
        return state.pong

    def count_alive(self) -> int:
        """Return the number of instances within reach, with this one."""
        return 1 + sum(1 for _ in self.list_alive())

    def count_known(self) -> int:
        """Return the number of instances that may be using their parts."""
        now_ms = self._clock.now_ms()
        alive = {pong.address for pong in self.list_alive()}
        silent = sum(
            1
            for address, heard_ms in self._known.items()
            if address not in alive and now_ms - heard_ms < FORGET_MS
        )
        return 1 + len(alive) + silent

    def is_among_first(self, count: int) -> bool:
        """Return True for the first ``count`` of the own domain."""
        names = sorted(
            [
                self.address,
                *(
                    pong.address
                    for pong in self.list_alive()
                    if pong.failure_domain == self.failure_domain
                    and not pong.is_leaving
                ),
            ]
        )
        return self.address in names[:count]

    def find_decider(
        self, service: str, *, decides: bool, is_leaving: bool
    ) -> str:
        """Return the address of the instance that decides for a service.

        One that decides keeps on while it lives. Of several, as after a
        cut, the one with the greatest score stays. Without any, the
        greatest score among the settled instances is chosen.

        :param decides: True if this instance decides for it now.
        :param is_leaving: True if this instance is to stop.
        """
        alive = [pong for pong in self.list_alive() if not pong.is_leaving]
        names = [pong.address for pong in alive if service in pong.decides]
        if decides and not is_leaving:
            names.append(self.address)
        if not names:
            names = [
                pong.address for pong in alive if pong.uptime_ms >= SETTLED_MS
            ]
            if self.uptime_ms >= SETTLED_MS and not is_leaving:
                names.append(self.address)
        if not names:
            names = [pong.address for pong in alive]
            if not is_leaving or not names:
                names.append(self.address)
        return max(names, key=lambda name: score_candidate(name, service))
