"""The links from this instance to its peers."""

from collections.abc import Callable
from collections.abc import Iterable

import gevent

from lagoonbend.clock import Clock
from lagoonbend_entry._internal.coordination import messages
from lagoonbend_entry._internal.coordination.fleet import Fleet
from lagoonbend_entry._internal.coordination.peer_link import PeerLink
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event

PING_INTERVAL_MS = 250
"""Time between two pings to a peer in a full mesh."""
SPARSE_PING_INTERVAL_MS = 500
"""The same in a larger fleet, for deciders."""
GOSSIP_PING_INTERVAL_MS = 1_000
"""The same in a larger fleet, for peers that are pinged for gossip."""
TIMER_SLACK_MS = 10
"""Time by which a ping may be sent early, as timers are not exact: otherwise
it would wait for the next check."""


class PeerLinks:
    """Opens and closes links, and sends pings over them.

    :param fleet: membership.
    :param clock: clock of the instance.
    :param on_message: called with the link and each message.
    :param on_open: called with the link once it is open.
    :param on_lost: called with the address of a link that was lost.
    """

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        *,
        on_message: Callable[[PeerLink, messages.AnyMessage], None],
        on_open: Callable[[PeerLink], None],
        on_lost: Callable[[str], None],
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._on_message = on_message
        self._on_open = on_open
        self._on_lost = on_lost
        self._links: dict[str, PeerLink] = {}
        self._gossip_peers: set[str] = set()

    def find(self, address: str) -> PeerLink | None:
        """Return the link to an instance, if there is one."""
        return self._links.get(address)

    def send(self, address: str, message: messages.Message) -> bool:
        """Queue a message to be sent; return False if the link is down."""
        link = self._links.get(address)
        return link is not None and link.send(message)

    def send_when_open(
        self, address: str, message: messages.Message, timeout_ms: int
    ) -> bool:
        """Queue a message; wait for a link that is being opened first.

        :param timeout_ms: longest time to wait.
        :returns: False if the link is down.
        """
        link = self._links.get(address)
        if link is None:
            return False
        if not link.is_open:
            link.wait_for_first_attempt(timeout_ms)
        return link.send(message)

    def update_links(
        self,
        deciders: Iterable[str],
        own_pools: Iterable[str],
        *,
        shares_origins: bool = False,
    ) -> None:
        """Open the links that are wanted and close the others.

        :param deciders: deciders of the pools in use here.
        :param own_pools: pools that this instance decides for.
        :param shares_origins: True while origins of streams are shared.
        """
        wanted = self._fleet.select_peers(
            deciders, own_pools, shares_origins=shares_origins
        )
        self._gossip_peers = self._fleet.select_gossip_peers()
        for address in wanted - set(self._links):
            self._open_link(address)
        for address in set(self._links) - wanted:
            link = self._links.pop(address)
            link.is_wanted = False
            link.close()

    def send_due_pings(
        self, deciders: set[str], *, wants_gossip: bool
    ) -> None:
        """Send a ping over each link where one is due.

        :param deciders: instances that are pinged more often.
        :param wants_gossip: True if gossip is wanted from those too.
        """
        for link in list(self._links.values()):
            self._ping_if_due(link, link.address in deciders, wants_gossip)

    def _ping_if_due(
        self, link: PeerLink, is_decider: bool, wants_gossip: bool
    ) -> None:
        now_ms = self._clock.now_ms()
        is_full_mesh = self._fleet.is_full_mesh
        interval_ms = PING_INTERVAL_MS
        if not is_full_mesh:
            interval_ms = (
                SPARSE_PING_INTERVAL_MS
                if is_decider
                else GOSSIP_PING_INTERVAL_MS
            )
        is_due = now_ms - link.last_ping_ms >= interval_ms - TIMER_SLACK_MS
        if not link.is_open or not is_due:
            return
        link.close_if_silent(interval_ms)
        link.last_ping_ms = now_ms
        link.send(
            self._make_ping(
                link.address, is_full_mesh or not is_decider or wants_gossip
            )
        )

    def _open_link(self, address: str) -> None:
        link = PeerLink(
            address,
            messages.Greeting(
                messages.PROTOCOL_VERSION,
                self._fleet.address,
                self._fleet.failure_domain,
            ),
            self._clock,
            on_message=self._on_message,
            on_open=self._on_link_open,
            on_lost=self._on_link_lost,
            on_refused=self._fleet.record_refused,
            on_unreachable=self._fleet.record_unreachable,
        )
        self._links[address] = link
        gevent.spawn(link.run)

    def _on_link_open(self, link: PeerLink) -> None:
        link.send(self._make_ping(link.address, True))
        self._on_open(link)

    def _on_link_lost(self, link: PeerLink) -> None:
        if not link.is_wanted:
            return
        log_event(Event.PEER_LOST, peer=link.address)
        self._fleet.record_unreachable(link.address)
        self._on_lost(link.address)

    def _make_ping(self, address: str, wants_gossip: bool) -> messages.Ping:
        return messages.Ping(
            self._clock.now_ms(),
            self._fleet.uptime_ms,
            wants_gossip,
            reads_reports=address in self._gossip_peers,
        )
