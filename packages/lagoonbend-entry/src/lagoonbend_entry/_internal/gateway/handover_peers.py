"""Chooses the peers that are asked to run calls for this instance."""

from collections.abc import Callable
import random

from lagoonbend.clock import Clock
from lagoonbend_entry._internal.coordination import handover_candidates
from lagoonbend_entry._internal.coordination.heartbeat import Heartbeat

MAX_PEERS = 4
"""Peers that are asked for one call."""
HANDED_BACK_MS = 2_000
"""Time for which a peer that has handed back a call of a service gets no other
one. Its pongs, at most a second apart, tell of its state later on."""
SETTLE_MS = 1_500
"""Time after which a peer whose links are cut has learned of it, by a pong of
another instance and a check of its own."""


class HandoverPeers:
    """Chooses peers, and remembers those that have handed a call back.

    Peers of the own failure domain come first, as bytes between domains are
    dear, but only as far as each of them gets no more calls of cut instances
    than it has itself. Right after a cut they come last, since a cut often
    concerns a domain. Peers to which many instances have links come after all
    others: they would get the calls of the whole fleet, in the links over
    which they also grant slots or pass on changes.

    :param find_candidates: returns the peers that may run calls of a service.
    :param find_unreached_since_ms: returns since when no target of a service
        is reached; None if that isn't known yet.
    :param failure_domain: failure domain of this instance.
    :param clock: clock of the instance.
    :param random_source: spreads the calls over the peers.
    """

    def __init__(
        self,
        find_candidates: Callable[
            [str], handover_candidates.HandoverCandidates
        ],
        find_unreached_since_ms: Callable[[str], int | None],
        failure_domain: str,
        clock: Clock,
        random_source: random.Random,
    ) -> None:
        self._find_candidates = find_candidates
        self._find_unreached_since_ms = find_unreached_since_ms
        self._failure_domain = failure_domain
        self._clock = clock
        self._random_source = random_source
        self._avoided_until_ms: dict[tuple[str, str], int] = {}

    def record_handed_back(self, address: str, service: str) -> None:
        """Record that a peer can't run a call of a service."""
        now_ms = self._clock.now_ms()
        self._avoided_until_ms = {
            key: until_ms
            for key, until_ms in self._avoided_until_ms.items()
            if until_ms > now_ms
        }
        self._avoided_until_ms[address, service] = now_ms + HANDED_BACK_MS

    def choose(self, service: str) -> list[Heartbeat]:
        """Return the peers to ask for a call, in order."""
        now_ms = self._clock.now_ms()
        candidates = self._find_candidates(service)
        own: list[Heartbeat] = []
        others: list[Heartbeat] = []
        shared: list[Heartbeat] = []
        avoided: list[Heartbeat] = []
        unreached_count = 1 + candidates.unreached_count
        for peer in candidates.reaching + candidates.shared:
            is_own = peer.failure_domain == self._failure_domain
            key = peer.address, service
            if self._avoided_until_ms.get(key, 0) > now_ms:
                unreached_count += is_own
                avoided.append(peer)
            elif peer in candidates.shared:
                shared.append(peer)
            else:
                (own if is_own else others).append(peer)
        self._random_source.shuffle(own)
        self._random_source.shuffle(others)
        self._random_source.shuffle(shared)
        since_ms = self._find_unreached_since_ms(service)
        is_settled = since_ms is not None and now_ms - since_ms >= SETTLE_MS
        own_share = len(own) / unreached_count if is_settled else 0.0
        if candidates.shared and own:
            # Of a large fleet, few peers are known, and few that are cut.
            own_share = min(own_share, len(own) / (len(own) + len(others)))
        if self._random_source.random() < own_share:
            # One that hands the call back leaves doubts about its domain.
            peers = [*own[:1], *others, *own[1:]]
        else:
            peers = [*others, *own]
        return [*peers, *shared, *avoided][:MAX_PEERS]
