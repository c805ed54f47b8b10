"""The instances that an instance knows, and those that it reaches."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import random

from lagoonbend.clock import Clock
from lagoonbend.rendezvous import score_candidate
from lagoonbend.scheduling import Pool
from lagoonbend_entry._internal.coordination import messages
from lagoonbend_entry._internal.coordination.reach import Reach
from lagoonbend_entry._internal.coordination.sighting import Sighting

MESH_SIZE = 16
"""Instances up to which each asks each other; in a larger fleet an instance
asks a few and hears of the rest."""
ALIVE_MS = 900
"""Time since the last sign of life after which a peer counts as out of reach
in a mesh: three questions without an answer."""
SPARSE_ALIVE_MS = 1_800
"""The same for peers that are asked in a larger fleet."""
RUMOUR_ALIVE_MS = 12_000
"""The same for instances that are only heard of."""
SILENT_DOMAIN_MS = 2_500
"""Age of the newest sign of life of any instance of a domain from which the
domain counts as cut off in a larger fleet; with 20 instances in a domain the
newest rumour is rarely older than a second."""
RUMOURS_AN_ANSWER = 20
"""Least number of instances that an answer tells of."""
INSTANCES_A_RUMOUR = 12
"""Instances for each of which an answer tells of one more; at 420 instances
an answer has about 1.3 KB, and some eight come in a second."""
FORGET_MS = 60_000
"""Time after which an instance out of reach no longer counts in the parts
of limits; a cut of a minute or more is refilled by then."""
UNREACHED_MS = 5_000
"""Time for which an instance that could not be reached is not asked to
decide, whatever others say of it."""
SETTLED_MS = 3_000
"""Uptime from which an instance may become the one that decides, so that a
process that keeps failing does not collect calls."""
NEIGHBOURS = 6
"""Instances of a larger fleet that each asks for news."""
READERS_A_DOMAIN = 2
"""Instances of a domain that read the platform's service all the time; the
others hear of changes from them."""
REACH_MS = 100
"""Time for which it is not worked out anew who is within reach, unless a
sign of life changes it; a ninth of the shortest time to be given up."""
CANDIDATES = 3
"""Next in line for a pool, which the one that decides asks as well, so that
two that decide find each other after a cut."""


class Fleet:
    """Membership by signs of life, first hand and heard of.

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
        self._sightings: dict[str, Sighting] = {}
        self._unreached: dict[str, int] = {}
        self._domains: dict[str, str] = {}
        self._reach: Reach | None = None
        self.add_peers(seeds)

    @property
    def uptime_ms(self) -> int:
        """Time since the start of this instance."""
        return self._clock.now_ms() - self._started_ms

    @property
    def is_full_mesh(self) -> bool:
        """True while each instance asks each other."""
        return len(self._known) < MESH_SIZE

    def add_peers(self, addresses: Iterable[str]) -> list[str]:
        """Take in addresses of instances; return those that were news."""
        now_ms = self._clock.now_ms()
        news = []
        for address in addresses:
            if address != self.address and address not in self._known:
                self._known[address] = now_ms
                news.append(address)
        if news:
            self._reach = None
        return news

    def record_pong(self, pong: messages.Pong) -> None:
        """Take in a sign of life."""
        self._known[pong.address] = self._clock.now_ms()
        self._unreached.pop(pong.address, None)
        self._domains[pong.address] = pong.failure_domain
        self._note_sighting(
            Sighting(
                pong.address,
                pong.failure_domain,
                pong.sent_ms,
                pong.uptime_ms,
                pong.is_leaving,
                frozenset(pong.decides),
                True,
            )
        )
        self._note_rumours(pong.rumours)

    def record_ping(
        self, address: str, failure_domain: str, uptime_ms: int
    ) -> None:
        """Take in that a peer has asked this instance for a sign of life."""
        now_ms = self._clock.now_ms()
        self._note_rumours(
            [messages.WireMember(address, failure_domain, 0, uptime_ms, False)]
        )
        self._known[address] = now_ms

    def record_stopped(self, address: str) -> None:
        """Note that no process listens at an address any more.

        It may use no part of a limit, unlike one that is out of reach.
        """
        self.record_unreachable(address)
        self._domains.pop(address, None)
        self._known[address] = self._clock.now_ms() - FORGET_MS
        self._reach = None

    def record_unreachable(self, address: str) -> None:
        """Note that a peer is out of reach until it is heard again."""
        self._sightings.pop(address, None)
        self._unreached[address] = self._clock.now_ms() + UNREACHED_MS
        self._reach = None

    def select_peers(
        self, deciders: Iterable[str], own: Iterable[str]
    ) -> set[str]:
        """Return the addresses of the instances to ask.

        :param deciders: instances that decide for pools in use here.
        :param own: pools that this instance decides for.
        """
        if self.is_full_mesh:
            return set(self._known)
        names = set(deciders)
        near = self._list_domain()
        names.update(near[:READERS_A_DOMAIN])
        names.update(self._rank(self.address)[:NEIGHBOURS])
        for pool in own:
            names.update(self._rank_for(pool)[:CANDIDATES])
        names.discard(self.address)
        return names

    def list_alive(self) -> tuple[Sighting, ...]:
        """Return the last sign of life of all peers within reach."""
        return self._find_reach().alive

    def is_alive(self, address: str) -> bool:
        """Return True if a peer has answered lately."""
        sighting = self._sightings.get(address)
        return (
            sighting is not None
            and sighting.is_direct
            and self._is_fresh(sighting, self._clock.now_ms())
        )

    def list_relayed_members(self) -> list[messages.WireMember]:
        """Return some instances that live, for an answer."""
        now_ms = self._clock.now_ms()
        alive: Sequence[Sighting] = self.list_alive()
        count = max(RUMOURS_AN_ANSWER, len(self._known) // INSTANCES_A_RUMOUR)
        if len(alive) > count:
            alive = random.sample(alive, count)
        return [
            messages.WireMember(
                sighting.address,
                sighting.failure_domain,
                now_ms - sighting.heard_ms,
                sighting.uptime_ms,
                sighting.is_leaving,
            )
            for sighting in alive
        ]

    def list_unreachable_domains(self) -> frozenset[str]:
        """Return the domains of which no known instance is within reach."""
        return self._find_reach().unreachable_domains

    def count_alive(self) -> int:
        """Return the number of instances within reach, with this one."""
        return 1 + len(self.list_alive())

    def count_known(self) -> int:
        """Return the number of instances that may be using their parts."""
        return self._find_reach().known_count

    def is_store_reader(self) -> bool:
        """Return True for the instances that always read the platform."""
        return self.address in self._list_domain()[:READERS_A_DOMAIN]

    def find_decider(
        self, pool: str, *, decides: bool, is_leaving: bool, hint: str = ''
    ) -> str:
        """Return the address of the instance that decides for a pool.

        One that decides keeps on while it lives. Of several, as after a
        cut, the first in the order stays. Without any, the first of the
        settled instances is chosen. The order is by score, instances of
        the domain of the pool's targets before all others.

        :param decides: True if this instance decides for it now.
        :param is_leaving: True if this instance is to stop.
        :param hint: instance that a peer named.
        """
        now_ms = self._clock.now_ms()
        alive = [
            sighting
            for sighting in self.list_alive()
            if not sighting.is_leaving
            and self._unreached.get(sighting.address, 0) <= now_ms
        ]
        names = [
            sighting.address
            for sighting in alive
            if pool in sighting.decides or sighting.address == hint
        ]
        if decides and not is_leaving:
            names.append(self.address)
        if not names:
            names = [
                sighting.address
                for sighting in alive
                if sighting.uptime_ms >= SETTLED_MS
            ]
            if self.uptime_ms >= SETTLED_MS and not is_leaving:
                names.append(self.address)
        if not names:
            names = [sighting.address for sighting in alive]
            if not is_leaving or not names:
                names.append(self.address)
        return max(names, key=self._make_order(pool))

    def _find_reach(self) -> Reach:
        """Return who is within reach, worked out lately."""
        now_ms = self._clock.now_ms()
        reach = self._reach
        if reach is None or not 0 <= now_ms - reach.at_ms < REACH_MS:
            reach = self._work_out_reach(now_ms)
            self._reach = reach
        return reach

    def _work_out_reach(self, now_ms: int) -> Reach:
        alive = tuple(
            sighting
            for sighting in self._sightings.values()
            if self._is_fresh(sighting, now_ms)
        )
        addresses = {sighting.address for sighting in alive}
        remembered = {
            address
            for address, heard_ms in self._known.items()
            if now_ms - heard_ms < FORGET_MS
        }
        domains = {
            domain
            for address, domain in self._domains.items()
            if address in remembered
        }
        newest_ms = ALIVE_MS if self.is_full_mesh else SILENT_DOMAIN_MS
        heard = {
            sighting.failure_domain
            for sighting in alive
            if now_ms - sighting.heard_ms < newest_ms
        }
        return Reach(
            now_ms,
            alive,
            1 + len(addresses | remembered),
            frozenset(domains - heard - {self.failure_domain}),
        )

    def _is_fresh(self, sighting: Sighting, now_ms: int) -> bool:
        limit_ms = RUMOUR_ALIVE_MS
        if sighting.is_direct:
            limit_ms = ALIVE_MS if self.is_full_mesh else SPARSE_ALIVE_MS
        return now_ms - sighting.heard_ms < limit_ms

    def _note_sighting(self, sighting: Sighting) -> None:
        """Keep a sign of life; look anew if it tells more than the time."""
        before = self._sightings.get(sighting.address)
        self._sightings[sighting.address] = sighting
        is_same = (
            before is not None
            and self._is_fresh(before, self._clock.now_ms())
            and before._replace(
                heard_ms=sighting.heard_ms, uptime_ms=sighting.uptime_ms
            )
            == sighting
        )
        if not is_same:
            self._reach = None

    def _note_rumours(self, rumours: Iterable[messages.WireMember]) -> None:
        now_ms = self._clock.now_ms()
        for rumour in rumours:
            if rumour.address == self.address:
                continue
            self._known.setdefault(rumour.address, now_ms)
            self._domains[rumour.address] = rumour.failure_domain
            if self.is_full_mesh:
                continue
            heard_ms = now_ms - rumour.age_ms
            known = self._sightings.get(rumour.address)
            if known is not None and known.heard_ms >= heard_ms:
                continue
            is_fresh = (
                known is not None
                and known.is_direct
                and now_ms - known.heard_ms < SPARSE_ALIVE_MS
            )
            if is_fresh:
                continue
            self._known[rumour.address] = max(
                self._known[rumour.address], heard_ms
            )
            self._note_sighting(
                Sighting(
                    rumour.address,
                    rumour.failure_domain,
                    heard_ms,
                    rumour.uptime_ms,
                    rumour.is_leaving,
                    frozenset(),
                    False,
                )
            )

    def _list_domain(self) -> list[str]:
        """Return the instances of the own domain, in an order all share."""
        near = [
            sighting.address
            for sighting in self.list_alive()
            if sighting.failure_domain == self.failure_domain
            and not sighting.is_leaving
        ]
        return sorted([self.address, *near])

    def _rank(self, key: str) -> list[str]:
        """Return the known instances by their score for a key."""
        return sorted(
            self._list_known(),
            key=lambda name: score_candidate(name, key),
            reverse=True,
        )

    def _rank_for(self, pool: str) -> list[str]:
        """Return the known instances in the order to decide for a pool."""
        order = self._make_order(pool)
        return sorted(self._list_known(), key=order, reverse=True)

    def _make_order(self, pool: str) -> Callable[[str], tuple[bool, int]]:
        domain = Pool.parse(pool).domain

        def order(name: str) -> tuple[bool, int]:
            stands_in = self._domains.get(name, '')
            if name == self.address:
                stands_in = self.failure_domain
            return stands_in == domain, score_candidate(name, pool)

        return order

    def _list_known(self) -> list[str]:
        now_ms = self._clock.now_ms()
        return [
            address
            for address, heard_ms in self._known.items()
            if now_ms - heard_ms < FORGET_MS
            and self._unreached.get(address, 0) <= now_ms
        ]
