"""Membership: the instances that are known, and those that are alive."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import math
import random

from lagoonbend.clock import Clock
from lagoonbend.rendezvous import choose_by_rendezvous
from lagoonbend.rendezvous import score_candidate
from lagoonbend.scheduling import Pool
from lagoonbend_entry._internal.coordination import handover_candidates
from lagoonbend_entry._internal.coordination import messages
from lagoonbend_entry._internal.coordination.heartbeat import Heartbeat
from lagoonbend_entry._internal.coordination.membership import MembershipView

FULL_MESH_SIZE = 16
"""Number of instances up to which each one pings all others. In a larger fleet
an instance pings a few and learns of the rest from their answers."""
HEARTBEAT_TIMEOUT_MS = 900
"""Time since the last heartbeat after which a peer in a full mesh counts as
out of reach: three pings, sent every 250 ms, without an answer."""
SPARSE_HEARTBEAT_TIMEOUT_MS = 1_800
"""The same for peers that are pinged in a larger fleet, every 500 or 1,000
ms."""
RELAYED_HEARTBEAT_TIMEOUT_MS = 12_000
"""The same for instances that are known by relayed heartbeats only."""
UNREACHABLE_DOMAIN_MS = 2_500
"""Age of the newest heartbeat of any instance of a failure domain from which
the domain counts as unreachable in a larger fleet. With 20 instances in a
domain, the newest relayed heartbeat is rarely older than a second."""
MIN_RELAYED_MEMBERS = 20
"""Minimum number of members that a pong relays, if as many are alive."""
INSTANCES_PER_RELAYED_MEMBER = 12
"""Known instances per relayed member, where that gives more members than the
minimum. At 420 instances a pong has about 1.3 KB, and about eight arrive
each second."""
MEMBER_EXPIRY_MS = 60_000
"""Time after which an instance out of reach no longer counts in the shares of
customers' limits. After a network partition of a minute or more, the limits
have refilled."""
UNREACHABLE_MS = 5_000
"""Time for which an instance that could not be reached is not chosen as a
decider, whatever other instances report of it."""
MIN_DECIDER_UPTIME_MS = 3_000
"""Uptime from which an instance may be chosen as a decider, so that a process
that keeps failing does not collect calls."""
GOSSIP_PEERS = 6
"""Instances that each instance of a larger fleet pings for gossip."""
HANDOVER_LINKS = 8
"""Instances of other failure domains that an instance of a larger fleet pings
while it reaches no target of a service."""
STORE_READERS_PER_DOMAIN = 2
"""Instances of a failure domain that read the platform's store all the time;
the others learn of changes from them."""
VIEW_LIFETIME_MS = 100
"""Time for which a computed view of the membership is reused, unless a
heartbeat changes it; a ninth of the shortest heartbeat timeout."""
INSTANCES_PER_KEEPER = 16
"""Instances of a failure domain for which one of them keeps the origins of
streams. At 420 instances in six domains, 24 links lead to keepers."""
CANDIDATES_PER_POOL = 3
"""Candidates for the decider of a pool that its decider pings as well, so that
two deciders of one pool find each other after a network partition."""


class Fleet:
    """Tracks the instances by their heartbeats, both direct and relayed.

    An instance is alive, or within reach, while its last heartbeat is recent.
    A direct heartbeat is a pong to this instance; a relayed one is passed on
    in the pong of another instance. ``list_unreached`` returns the services
    of which this instance reaches no target; ``on_unreached`` is called with a
    service of which another one has just reported that.

    :param address: own address for peers.
    :param failure_domain: own domain.
    :param seeds: addresses from the settings.
    :param clock: clock of the instance.
    :param callers_endpoint: where this instance serves callers, and calls
        that peers hand over; empty if it accepts none.
    """

    def __init__(
        self,
        address: str,
        failure_domain: str,
        seeds: Iterable[str],
        clock: Clock,
        callers_endpoint: str = '',
    ) -> None:
        self.address = address
        self.callers_endpoint = callers_endpoint
        self.list_unreached: Callable[[], list[str]] = list
        self.on_unreached: Callable[[str], None] = _ignore_service
        self.failure_domain = failure_domain
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._last_known_ms: dict[str, int] = {}
        self._heartbeats: dict[str, Heartbeat] = {}
        self._unreachable_until_ms: dict[str, int] = {}
        self._leaving: set[str] = set()
        self._domains: dict[str, str] = {}
        self._view: MembershipView | None = None
        self.add_peers(seeds)

    @property
    def uptime_ms(self) -> int:
        """Time since the start of this instance."""
        return self._clock.now_ms() - self._started_ms

    @property
    def is_full_mesh(self) -> bool:
        """True while each instance pings all others."""
        return len(self._last_known_ms) < FULL_MESH_SIZE

    def add_peers(self, addresses: Iterable[str]) -> list[str]:
        """Add addresses of instances; return those that were unknown."""
        now_ms = self._clock.now_ms()
        added = []
        for address in addresses:
            if address != self.address and address not in self._last_known_ms:
                self._last_known_ms[address] = now_ms
                added.append(address)
        if added:
            self._view = None
        return added

    def record_pong(self, pong: messages.Pong) -> None:
        """Record a direct heartbeat and those that it relays."""
        now_ms = self._clock.now_ms()
        self._last_known_ms[pong.address] = now_ms
        self._unreachable_until_ms.pop(pong.address, None)
        self._domains[pong.address] = pong.failure_domain
        previous = self._heartbeats.get(pong.address)
        known_unreached = previous.unreached if previous else frozenset()
        self._record_heartbeat(Heartbeat.from_pong(pong, now_ms))
        self._record_relayed(pong.rumours)
        for service in set(pong.unreached) - known_unreached:
            self.on_unreached(service)

    def record_ping(
        self, address: str, failure_domain: str, uptime_ms: int
    ) -> None:
        """Record that a peer has sent a ping to this instance."""
        now_ms = self._clock.now_ms()
        self._record_relayed(
            [messages.WireMember(address, failure_domain, 0, uptime_ms, False)]
        )
        self._last_known_ms[address] = now_ms

    def record_refused(self, address: str) -> None:
        """Record that a connection to an instance was refused.

        One that has said that it leaves has ended, and uses no share of a
        limit. Any other may be sound behind a cut that resets connections,
        and counts as out of reach.
        """
        self.record_unreachable(address)
        if address not in self._leaving:
            return
        self._domains.pop(address, None)
        self._last_known_ms[address] = self._clock.now_ms() - MEMBER_EXPIRY_MS
        self._view = None

    def record_unreachable(self, address: str) -> None:
        """Record that a peer is out of reach until its next heartbeat."""
        self._heartbeats.pop(address, None)
        self._unreachable_until_ms[address] = (
            self._clock.now_ms() + UNREACHABLE_MS
        )
        self._view = None

    def select_peers(
        self,
        deciders: Iterable[str],
        own_pools: Iterable[str],
        *,
        shares_origins: bool = False,
    ) -> set[str]:
        """Return the addresses of the instances to keep links to.

        :param deciders: deciders of the pools in use here.
        :param own_pools: pools that this instance decides for.
        :param shares_origins: True while a service has several software
            versions, so that the origins of its streams are shared.
        """
        if self.is_full_mesh:
            return set(self._last_known_ms)
        selected = self.select_gossip_peers().union(deciders)
        for pool in own_pools:
            selected.update(self._sort_candidates(pool)[:CANDIDATES_PER_POOL])
        if shares_origins:
            for group in self._list_keeper_groups():
                selected.update(group)
        if self.list_unreached():
            selected.update(self._list_handover_links())
        selected.discard(self.address)
        return selected

    def select_gossip_peers(self) -> set[str]:
        """Return the addresses to keep links to whatever pools are in use."""
        if self.is_full_mesh:
            return set(self._last_known_ms)
        domain_members = self._list_domain_members()
        selected = set(domain_members[:STORE_READERS_PER_DOMAIN])
        selected.update(self._sort_by_score(self.address)[:GOSSIP_PEERS])
        selected.discard(self.address)
        return selected

    def _list_handover_links(self) -> list[str]:
        """Return peers of other domains that may run calls for this one.

        All peers of the own domain may be cut off from the targets as well.
        """
        others = [
            address
            for address in self._sort_by_score(self.address)
            if self._domains.get(address, self.failure_domain)
            != self.failure_domain
        ]
        return others[:HANDOVER_LINKS]

    def list_alive(self) -> tuple[Heartbeat, ...]:
        """Return the last heartbeats of all peers within reach."""
        return self._get_view().alive

    def is_alive(self, address: str) -> bool:
        """Return True if a peer has answered this instance lately."""
        heartbeat = self._heartbeats.get(address)
        return (
            heartbeat is not None
            and heartbeat.is_direct
            and self._is_fresh(heartbeat, self._clock.now_ms())
        )

    def list_relayed_members(self) -> list[messages.WireMember]:
        """Return some of the members within reach, to be relayed in a pong."""
        now_ms = self._clock.now_ms()
        alive: Sequence[Heartbeat] = self.list_alive()
        count = max(
            MIN_RELAYED_MEMBERS,
            len(self._last_known_ms) // INSTANCES_PER_RELAYED_MEMBER,
        )
        if len(alive) > count:
            alive = random.sample(alive, count)
        return [
            messages.WireMember(
                heartbeat.address,
                heartbeat.failure_domain,
                now_ms - heartbeat.last_seen_ms,
                heartbeat.uptime_ms,
                heartbeat.is_leaving,
            )
            for heartbeat in alive
        ]

    def list_unreachable_domains(self) -> frozenset[str]:
        """Return the domains of which no known instance is within reach."""
        return self._get_view().unreachable_domains

    def count_alive(self) -> int:
        """Return the number of instances within reach, including this one."""
        return 1 + len(self.list_alive())

    def count_known(self) -> int:
        """Return how many instances may be using their shares of limits."""
        return self._get_view().known_count

    def is_store_reader(self) -> bool:
        """Return True if this instance always reads the platform's store."""
        return (
            self.address
            in self._list_domain_members()[:STORE_READERS_PER_DOMAIN]
        )

    def list_origin_keepers(self, key: int) -> list[str]:
        """Return the peers that keep the origin of a stream.

        Those are all peers of a small fleet. In a larger one they are one
        instance of each failure domain, which depends on the key and, of its
        domain, on nothing but the instances that are alive.
        """
        keepers: set[str] | None = None
        if not self.is_full_mesh:
            keepers = {
                group[key % len(group)] for group in self._list_keeper_groups()
            }
        return [
            heartbeat.address
            for heartbeat in self.list_alive()
            if heartbeat.is_direct
            and heartbeat.keeps_origins
            and (keepers is None or heartbeat.address in keepers)
        ]

    def find_searcher(self, service: str) -> str:
        """Return the peer that asks targets who has read a prompt.

        In a large fleet, one instance of each failure domain asks the targets
        of a service, so that they get few questions.

        :returns: '' if this instance is to ask them itself.
        """
        if self.is_full_mesh:
            return ''
        own_domain = next(iter(self._list_keeper_groups()))
        searcher = choose_by_rendezvous(own_domain, service) or ''
        if searcher == self.address or not self.is_alive(searcher):
            return ''
        return searcher if self._heartbeats[searcher].binds_streams else ''

    def list_crash_receivers(self) -> set[str]:
        """Return the pinged peers to which evidence against prompts is sent.

        In a large fleet they are those for gossip. All instances have links
        to the deciders, which would get and send each report over all those.
        """
        selected = self.select_gossip_peers()
        return {
            heartbeat.address
            for heartbeat in self.list_alive()
            if heartbeat.is_direct
            and heartbeat.reads_reports
            and heartbeat.address in selected
        }

    def find_handover_candidates(
        self, service: str
    ) -> handover_candidates.HandoverCandidates:
        """Return the peers that may run calls of a service for this one."""
        accepting = [
            heartbeat
            for heartbeat in self.list_alive()
            if heartbeat.callers_endpoint and not heartbeat.is_leaving
        ]
        reaching = [
            peer for peer in accepting if service not in peer.unreached
        ]
        own_links = self._list_own_links()
        return handover_candidates.HandoverCandidates(
            [peer for peer in reaching if peer.address in own_links],
            [peer for peer in reaching if peer.address not in own_links],
            sum(
                service in peer.unreached
                and peer.failure_domain == self.failure_domain
                for peer in accepting
            ),
        )

    def _list_own_links(self) -> set[str]:
        """Return the peers to which other instances have few links.

        In a large fleet, each instance chooses these for itself. To store
        readers, deciders and keepers of origins, all of a domain or of the
        fleet have links.
        """
        if self.is_full_mesh:
            return set(self._last_known_ms)
        chosen = self._sort_by_score(self.address)[:GOSSIP_PEERS]
        shared = {
            heartbeat.address
            for heartbeat in self.list_alive()
            if heartbeat.decides
        }
        shared.update(self._list_domain_members()[:STORE_READERS_PER_DOMAIN])
        return {*chosen, *self._list_handover_links()} - shared

    def reads_reports(self, address: str) -> bool:
        """Return True if a peer understands reports."""
        heartbeat = self._heartbeats.get(address)
        return heartbeat is not None and heartbeat.reads_reports

    def grants_trials(self, carrier: str) -> bool:
        """Return True if this instance grants the trials of a carrier."""
        alive = [heartbeat.address for heartbeat in self.list_alive()]
        return (
            choose_by_rendezvous([self.address, *alive], carrier)
            == self.address
        )

    def _list_keeper_groups(self) -> Iterator[list[str]]:
        """Yield the keepers of each failure domain, by share of the keys."""
        members: dict[str, list[str]] = {self.failure_domain: [self.address]}
        for heartbeat in self.list_alive():
            members.setdefault(heartbeat.failure_domain, []).append(
                heartbeat.address
            )
        for addresses in members.values():
            # A power of two, so that it stays when a few instances are lost.
            count = 2 ** round(
                math.log2(max(1, len(addresses) / INSTANCES_PER_KEEPER))
            )
            yield [
                self._choose_keeper(addresses, share) for share in range(count)
            ]

    @staticmethod
    def _choose_keeper(addresses: list[str], share: int) -> str:
        """Return the instance that keeps a share of the origins."""
        key = f'origins/{share}'
        return max(
            addresses, key=lambda address: score_candidate(address, key)
        )

    def find_decider(
        self, pool: str, *, decides: bool, is_leaving: bool, hint: str = ''
    ) -> str:
        """Return the address of the decider of a pool.

        A decider stays in charge while it is alive. Of several, as after a
        network partition, the first in the order of preference stays. If there
        is none, the first of the instances with enough uptime is chosen. The
        order is by rendezvous score, with the instances in the failure domain
        of the pool's targets before all others.

        :param decides: True if this instance is a decider of the pool now.
        :param is_leaving: True if this instance is about to stop.
        :param hint: instance that a peer named as the decider.
        """
        now_ms = self._clock.now_ms()
        alive = [
            heartbeat
            for heartbeat in self.list_alive()
            if not heartbeat.is_leaving
            and self._unreachable_until_ms.get(heartbeat.address, 0) <= now_ms
        ]
        candidates = [
            heartbeat.address
            for heartbeat in alive
            if pool in heartbeat.decides or heartbeat.address == hint
        ]
        if decides and not is_leaving:
            candidates.append(self.address)
        if not candidates:
            candidates = [
                heartbeat.address
                for heartbeat in alive
                if heartbeat.uptime_ms >= MIN_DECIDER_UPTIME_MS
            ]
            if self.uptime_ms >= MIN_DECIDER_UPTIME_MS and not is_leaving:
                candidates.append(self.address)
        if not candidates:
            candidates = [heartbeat.address for heartbeat in alive]
            if not is_leaving or not candidates:
                candidates.append(self.address)
        return max(candidates, key=self._make_sort_key(pool))

    def _get_view(self) -> MembershipView:
        """Return the view of the membership; recompute it if it is old."""
        now_ms = self._clock.now_ms()
        view = self._view
        if (
            view is None
            or not 0 <= now_ms - view.computed_ms < VIEW_LIFETIME_MS
        ):
            view = self._compute_view(now_ms)
            self._view = view
        return view

    def _compute_view(self, now_ms: int) -> MembershipView:
        alive = tuple(
            heartbeat
            for heartbeat in self._heartbeats.values()
            if self._is_fresh(heartbeat, now_ms)
        )
        addresses = {heartbeat.address for heartbeat in alive}
        unexpired = {
            address
            for address, last_known_ms in self._last_known_ms.items()
            if now_ms - last_known_ms < MEMBER_EXPIRY_MS
        }
        domains = {
            domain
            for address, domain in self._domains.items()
            if address in unexpired
        }
        max_age_ms = (
            HEARTBEAT_TIMEOUT_MS
            if self.is_full_mesh
            else UNREACHABLE_DOMAIN_MS
        )
        reachable_domains = {
            heartbeat.failure_domain
            for heartbeat in alive
            if now_ms - heartbeat.last_seen_ms < max_age_ms
        }
        return MembershipView(
            now_ms,
            alive,
            1 + len(addresses | unexpired),
            frozenset(domains - reachable_domains - {self.failure_domain}),
        )

    def _is_fresh(self, heartbeat: Heartbeat, now_ms: int) -> bool:
        timeout_ms = RELAYED_HEARTBEAT_TIMEOUT_MS
        if heartbeat.is_direct:
            timeout_ms = (
                HEARTBEAT_TIMEOUT_MS
                if self.is_full_mesh
                else SPARSE_HEARTBEAT_TIMEOUT_MS
            )
        return now_ms - heartbeat.last_seen_ms < timeout_ms

    def _record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Store a heartbeat; drop the view if more than times changed."""
        previous = self._heartbeats.get(heartbeat.address)
        self._heartbeats[heartbeat.address] = heartbeat
        if heartbeat.is_leaving:
            self._leaving.add(heartbeat.address)
        else:
            self._leaving.discard(heartbeat.address)
        is_unchanged = (
            previous is not None
            and self._is_fresh(previous, self._clock.now_ms())
            and previous._replace(
                last_seen_ms=heartbeat.last_seen_ms,
                uptime_ms=heartbeat.uptime_ms,
            )
            == heartbeat
        )
        if not is_unchanged:
            self._view = None

    def _record_relayed(self, members: Iterable[messages.WireMember]) -> None:
        now_ms = self._clock.now_ms()
        for member in members:
            if member.address == self.address:
                continue
            self._last_known_ms.setdefault(member.address, now_ms)
            self._domains[member.address] = member.failure_domain
            if self.is_full_mesh:
                continue
            last_seen_ms = now_ms - max(0, member.age_ms)
            stored = self._heartbeats.get(member.address)
            if stored is not None and stored.last_seen_ms >= last_seen_ms:
                continue
            has_fresh_pong = (
                stored is not None
                and stored.is_direct
                and now_ms - stored.last_seen_ms < SPARSE_HEARTBEAT_TIMEOUT_MS
            )
            if has_fresh_pong:
                continue
            self._last_known_ms[member.address] = max(
                self._last_known_ms[member.address], last_seen_ms
            )
            self._record_heartbeat(
                Heartbeat(
                    member.address,
                    member.failure_domain,
                    last_seen_ms,
                    member.uptime_ms,
                    member.is_leaving,
                    frozenset(),
                    False,
                )
            )

    def _list_domain_members(self) -> list[str]:
        """Return the own domain's instances, in an order that all share."""
        domain_members = [
            heartbeat.address
            for heartbeat in self.list_alive()
            if heartbeat.failure_domain == self.failure_domain
            and not heartbeat.is_leaving
        ]
        return sorted([self.address, *domain_members])

    def _sort_by_score(self, key: str) -> list[str]:
        """Return the known instances by descending score for a key."""
        return sorted(
            self._list_known(),
            key=lambda address: score_candidate(address, key),
            reverse=True,
        )

    def _sort_candidates(self, pool: str) -> list[str]:
        """Return the known instances in order of preference as decider."""
        sort_key = self._make_sort_key(pool)
        return sorted(self._list_known(), key=sort_key, reverse=True)

    def _make_sort_key(self, pool: str) -> Callable[[str], tuple[bool, int]]:
        domain = Pool.parse(pool).domain

        def sort_key(address: str) -> tuple[bool, int]:
            domain_of_member = self._domains.get(address, '')
            if address == self.address:
                domain_of_member = self.failure_domain
            return domain_of_member == domain, score_candidate(address, pool)

        return sort_key

    def _list_known(self) -> list[str]:
        now_ms = self._clock.now_ms()
        return [
            address
            for address, last_known_ms in self._last_known_ms.items()
            if now_ms - last_known_ms < MEMBER_EXPIRY_MS
            and self._unreachable_until_ms.get(address, 0) <= now_ms
        ]


def _ignore_service(service: str) -> None:
    """Do nothing while nobody checks links."""
