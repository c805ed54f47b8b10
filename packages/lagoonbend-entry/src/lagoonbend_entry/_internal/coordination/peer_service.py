"""Answers the peers that have connected to this instance."""

import gevent.socket

from lagoonbend.clock import Clock
from lagoonbend.exceptions import PeerError
from lagoonbend.facts import CustomerRule
from lagoonbend.facts import NamedLimits
from lagoonbend_entry._internal.coordination import crash_exchange
from lagoonbend_entry._internal.coordination import facts_exchange
from lagoonbend_entry._internal.coordination import limit_reports
from lagoonbend_entry._internal.coordination import message_channel
from lagoonbend_entry._internal.coordination import messages
from lagoonbend_entry._internal.coordination import origin_exchange
from lagoonbend_entry._internal.coordination import wire_codec
from lagoonbend_entry._internal.coordination.deciders import Deciders
from lagoonbend_entry._internal.coordination.fleet import Fleet
from lagoonbend_entry._internal.coordination.items_sender import ItemsSender
from lagoonbend_entry._internal.coordination.schedulers import PoolSchedulers
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.gateway.tcp_socket import set_tcp_options
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event
from lagoonbend_entry._internal.utils.guarded_loop import log_failure


class PeerService:
    """Sends heartbeats, published items and decisions to connected peers.

    :param fleet: membership.
    :param facts: rules and targets.
    :param clock: clock of the instance.
    :param deciders: decider of each pool.
    :param all_schedulers: schedulers of the pools that this instance decides
        for, and those that it uses while no decider answers.
    :param incarnation: identity of this start of the process.
    :param origins: origins of streams.
    :param exchange: published items for peers.
    :param crashes: evidence against prompts under which targets end.
    :param named_limits: limits that targets have named.
    """

    def __init__(
        self,
        fleet: Fleet,
        facts: FactsCache,
        clock: Clock,
        deciders: Deciders,
        all_schedulers: tuple[PoolSchedulers, PoolSchedulers],
        incarnation: str,
        origins: origin_exchange.OriginExchange,
        exchange: facts_exchange.FactsExchange,
        crashes: crash_exchange.CrashExchange,
        named_limits: NamedLimits,
    ) -> None:
        self._fleet = fleet
        self._facts = facts
        self._clock = clock
        self._deciders = deciders
        self._pool_schedulers = all_schedulers[0]
        self._all_schedulers = all_schedulers
        self._incarnation = incarnation
        self._channels: dict[str, message_channel.MessageChannel] = {}
        self._origins = origins
        self._items_sender = ItemsSender(exchange, self._channels.get)
        self._crashes = crashes
        self._named_limits = named_limits
        self._crash_receivers: set[str] = set()

    def start(self) -> None:
        """Start to answer requests for published items."""
        self._items_sender.start()

    def send(self, address: str, message: messages.Message) -> bool:
        """Queue a message to a peer; return False if it isn't connected."""
        channel = self._channels.get(address)
        if channel is None:
            return False
        channel.send(message)
        return True

    def list_crash_receivers(self) -> set[str]:
        """Return the peers connected here that get crash evidence."""
        return self._crash_receivers & set(self._channels)

    def serve(
        self, sock: gevent.socket.socket, address: tuple[str, int]
    ) -> None:
        """Serve a connection of a peer until it ends."""
        try:
            set_tcp_options(sock)
        except OSError:
            sock.close()
            return
        channel = message_channel.MessageChannel(sock)
        peer = ''
        failure_domain = ''
        try:
            for message in channel.receive():
                if isinstance(message, messages.Greeting):
                    if message.protocol != messages.PROTOCOL_VERSION:
                        break
                    peer = message.address
                    failure_domain = message.failure_domain
                    self._channels[peer] = channel
                    self._fleet.add_peers([peer])
                elif peer:
                    if isinstance(message, messages.Ping):
                        if message.reads_reports:
                            self._crash_receivers.add(peer)
                        else:
                            self._crash_receivers.discard(peer)
                        self._fleet.record_ping(
                            peer, failure_domain, message.uptime_ms
                        )
                    self._handle_message(peer, channel, message)
        except PeerError as error:
            log_event(Event.PEER_REJECTED, peer=peer, reason=str(error))
        except Exception as error:
            log_failure('peer service', error)
        finally:
            channel.close()
            if peer and self._channels.get(peer) is channel:
                del self._channels[peer]
                self._crash_receivers.discard(peer)
                for scheduler in list(self._pool_schedulers.schedulers):
                    self._pool_schedulers.deliver(
                        scheduler.drop_instance(peer)
                    )

    def _handle_message(
        self,
        peer: str,
        channel: message_channel.MessageChannel,
        message: messages.AnyMessage,
    ) -> None:
        """Handle a message of a peer that has connected here."""
        match message:
            case messages.Ping():
                channel.send(self._make_pong(message))
            case messages.ItemsWanted():
                self._items_sender.add(peer, message)
            case messages.Ask():
                self._handle_ask(peer, channel, message)
            case messages.Withdraw():
                self._handle_withdraw(peer, message)
            case messages.Done():
                scheduler = self._pool_schedulers.find(message.pool)
                if scheduler is not None:
                    self._pool_schedulers.deliver(
                        scheduler.release(
                            peer,
                            message.call,
                            message.target,
                            wire_codec.decode_outcome(message.end),
                            message.first_ms,
                            message.failure_domain,
                            wire_codec.decode_stated_load(message),
                        )
                    )
            case messages.Holding():
                self._handle_holding(peer, message)
            case messages.Origins():
                self._origins.handle_origins(message)
            case messages.OriginWanted():
                self._origins.answer(message, channel.send)
            case messages.LimitReport():
                limit_reports.record_report(
                    self._named_limits, message, self._clock.now_ms()
                )
            case messages.CrashReports():
                answer = self._crashes.handle_reports(message)
                if answer is not None:
                    channel.send(answer)

    def _handle_ask(
        self,
        peer: str,
        channel: message_channel.MessageChannel,
        message: messages.Ask,
    ) -> None:
        decider = self._deciders.find_without_hint(message.pool)
        if decider != self._fleet.address:
            channel.send(messages.Moved(message.call, message.pool, decider))
            return
        request = wire_codec.decode_request(peer, message)
        rule = self._find_rule(message.customer)
        self._pool_schedulers.submit(request, rule)
        scheduler = self._pool_schedulers.find(message.pool)
        if scheduler is not None and scheduler.is_waiting(peer, message.call):
            channel.send(messages.Queued(message.call))

    def _handle_withdraw(self, peer: str, message: messages.Withdraw) -> None:
        scheduler = self._pool_schedulers.find(message.pool)
        if scheduler is not None:
            self._pool_schedulers.deliver(
                scheduler.withdraw(peer, message.call)
            )

    def _handle_holding(self, peer: str, message: messages.Holding) -> None:
        decider = self._deciders.find_without_hint(message.pool)
        if decider != self._fleet.address:
            return
        scheduler = self._pool_schedulers.get_or_create(message.pool)
        now_ms = self._clock.now_ms()
        for slot in wire_codec.decode_held_slots(peer, message, now_ms):
            scheduler.register(slot)

    def _find_rule(self, customer: str) -> CustomerRule | None:
        rules = self._facts.rules
        if rules is None or not customer:
            return None
        return rules.customers_by_name.get(customer)

    def _make_pong(self, ping: messages.Ping) -> messages.Pong:
        return messages.Pong(
            ping.sent_ms,
            self._fleet.address,
            self._fleet.failure_domain,
            self._incarnation,
            self._fleet.uptime_ms,
            self._deciders.is_leaving,
            self._pool_schedulers.pools,
            self._fleet.list_relayed_members() if ping.wants_news else [],
            self._facts.item_cache.complete_revision,
            self._facts.age_ms(),
            self._sum_used_units() if ping.wants_news else {},
            keeps_origins=True,
            era=self._facts.item_cache.era,
            rules_version=self._facts.version,
            reads_reports=True,
            callers_endpoint=self._fleet.callers_endpoint,
            unreached=self._fleet.list_unreached(),
            weighs_prompts=True,
            binds_streams=True,
        )

    def _sum_used_units(self) -> dict[str, float]:
        used: dict[str, float] = {}
        for schedulers in self._all_schedulers:
            for customer, units in schedulers.limits.get_used_units().items():
                used[customer] = used.get(customer, 0.0) + units
        return used
