"""Simulated fleet that passes published items on over narrow links."""

import functools
import heapq
import itertools
import random
from typing import Any

import msgspec

from lagoonbend.clock import PausedClock
from lagoonbend.facts import CallerBounds
from lagoonbend.facts import PublishedItem
from lagoonbend.facts import RuleSet
from lagoonbend_entry._internal.coordination import facts_exchange
from lagoonbend_entry._internal.coordination import messages
from lagoonbend_entry._internal.coordination.fleet import Fleet
from lagoonbend_entry._internal.coordination.items_sender import ItemsSender
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache

RULES_KEY = 'rules'
DOMAINS = 4
PING_INTERVAL_MS = 1_000
DELAY_MS = 1.4
BITS_PER_BYTE = 8
CHECK_MS = 250
UPTIME_MS = 60_000
BOUNDS = CallerBounds(16_384, 1_048_576, 3_000, 15_000)


class _Document(msgspec.Struct):
    version: int


def encode_document(version: int, routes: int, changed: int = 0) -> bytes:
    """Return a configuration with a number of routes.

    :param changed: number of the route whose timeout is that of no other.
    """
    source = random.Random(5)
    entries = [
        {
            'name': f'{source.getrandbits(48):x}',
            'hostname': f'{source.getrandbits(16):x}.example',
            'prefix': f'/{source.getrandbits(48):x}/',
            'service': f'{source.getrandbits(4):x}-service',
            'route-kind': 'safe',
            'max-attempts': 2,
            'timeout-ms': 7_000 if number == changed else 4_000,
            'target-latency-ms': 500,
            'priority': 1,
        }
        for number in range(1, routes + 1)
    ]
    return msgspec.json.encode({'version': version, 'routes': entries})


def decode_document(content: bytes) -> RuleSet:
    """Return a configuration that has nothing but its version."""
    document = msgspec.json.decode(content, type=_Document)
    return RuleSet(document.version, {}, {}, {}, {}, False, BOUNDS)


class _Channel:
    """Sends the messages of an instance to a peer."""

    queued_bytes = 0

    def __init__(self, world: 'LinkWorld', sender: str, peer: str) -> None:
        self._world = world
        self._sender = sender
        self._peer = peer

    def send(self, message: messages.Message) -> None:
        """Send a message."""
        self._world.send(self._sender, self._peer, message)

    def wait_until_sent(self, timeout_ms: int) -> None:
        """Do nothing: the world sends the next message in time."""


class LinkedInstance:
    """An instance with its facts and its link.

    ``sent_bytes`` counts what went through the link; the link is in use
    until ``up_free_ms`` in one direction and ``down_free_ms`` in the other.
    """

    def __init__(self, address: str, domain: str, clock: PausedClock) -> None:
        self.address = address
        self.fleet = Fleet(address, domain, [], clock)
        self.sender: ItemsSender
        self.facts = FactsCache(
            clock, decode_document, lambda item: None, RULES_KEY
        )
        self.exchange = facts_exchange.FactsExchange(self.facts, clock)
        self.is_sending = False
        self.is_running = True
        self.up_free_ms = 0.0
        self.down_free_ms = 0.0
        self.sent_bytes = 0
        self.versions_ms: dict[int, int] = {}


class LinkWorld:
    """Instances that exchange heartbeats and items, message by message.

    All messages of an instance share its link, first come, first served.
    ``slowest_ms`` is the longest time from a ping to its pong.

    :param count: number of instances.
    :param link_mbps: bandwidth of each link, in each direction.
    """

    def __init__(self, count: int, link_mbps: float) -> None:
        self.clock = PausedClock(1_000_000)
        self.slowest_ms = 0
        self._bytes_per_ms = link_mbps * 1_000 / BITS_PER_BYTE
        self._random_source = random.Random(7)
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Any]] = []
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(messages.AnyMessage)
        self.instances = {
            address: LinkedInstance(address, f'd{n % DOMAINS}', self.clock)
            for n, address in enumerate(
                f'10.{n % DOMAINS}.{n // 250}.{n % 250}:80'
                for n in range(count)
            )
        }
        for instance in self.instances.values():
            instance.sender = ItemsSender(
                instance.exchange,
                functools.partial(_Channel, self, instance.address),
            )
            for peer in self.instances.values():
                instance.fleet.record_ping(
                    peer.address, peer.fleet.failure_domain, UPTIME_MS
                )
        self._peers = {
            address: instance.fleet.select_gossip_peers()
            for address, instance in self.instances.items()
        }
        self.readers = [
            instance
            for instance in self.instances.values()
            if instance.fleet.is_store_reader()
        ]
        for address in self.instances:
            for receiver in self._peers[address]:
                delay_ms = self._random_source.random() * PING_INTERVAL_MS
                self._add(delay_ms, (self._ping, address, receiver))

    def publish(
        self, revision: int, value: bytes, key: str = RULES_KEY
    ) -> None:
        """Let the store readers read a change."""
        for reader in self.readers:
            if reader.is_running:
                self._read(
                    reader, revision, PublishedItem(key, revision, value)
                )

    def publish_to_all(self, revision: int, value: bytes) -> None:
        """Let all instances start with a configuration."""
        for instance in self.instances.values():
            self._read(
                instance, revision, PublishedItem(RULES_KEY, revision, value)
            )

    def run(self, span_ms: int) -> None:
        """Advance the clock, event by event."""
        end_ms = self.clock.now_ms() + span_ms
        while self._events and self._events[0][0] <= end_ms:
            at_ms, _, (handle, *arguments) = heapq.heappop(self._events)
            self.clock.advance(max(0, int(at_ms) - self.clock.now_ms()))
            handle(*arguments)
        self.clock.advance(end_ms - self.clock.now_ms())

    def list_delays_ms(self, version: int, since_ms: int) -> list[int]:
        """Return when the running instances had a version, in order.

        :raises AssertionError: if one has no such version yet.
        """
        running = [i for i in self.instances.values() if i.is_running]
        missing = [i.address for i in running if version not in i.versions_ms]
        assert not missing, f'{len(missing)} lack version {version}'
        return sorted(i.versions_ms[version] - since_ms for i in running)

    def count_sent_bytes(self) -> list[int]:
        """Return the bytes that each instance has sent."""
        return [i.sent_bytes for i in self.instances.values()]

    def _read(
        self, instance: LinkedInstance, revision: int, item: PublishedItem
    ) -> None:
        facts = instance.facts
        facts.apply_changes([item], revision, self.clock.now_ms())
        self._note_version(instance)

    def _note_version(self, instance: LinkedInstance) -> None:
        instance.versions_ms.setdefault(
            instance.facts.version, self.clock.now_ms()
        )

    def _add(self, delay_ms: float, event: tuple[Any, ...]) -> None:
        at_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._events, (at_ms, next(self._numbers), event))

    def _ping(self, address: str, peer: str) -> None:
        self._add(PING_INTERVAL_MS, (self._ping, address, peer))
        if self.instances[address].is_running:
            ping = messages.Ping(self.clock.now_ms(), UPTIME_MS, True)
            self.send(address, peer, ping)

    def send(self, sender: str, receiver: str, message: Any) -> None:
        """Send a message through both links, behind what they carry."""
        content = self._encoder.encode(message)
        now_ms = self.clock.now_ms()
        time_ms = len(content) / self._bytes_per_ms
        source = self.instances[sender]
        target = self.instances[receiver]
        source.sent_bytes += len(content)
        source.up_free_ms = max(source.up_free_ms, now_ms) + time_ms
        # The last byte can't arrive before it was sent, nor before all that
        # the link of the receiver has to carry.
        target.down_free_ms = max(
            source.up_free_ms, target.down_free_ms + time_ms
        )
        self._add(
            target.down_free_ms + DELAY_MS - now_ms,
            (self._receive, sender, receiver, content),
        )

    def _receive(self, sender: str, receiver: str, content: bytes) -> None:
        instance = self.instances[receiver]
        if not instance.is_running:
            return
        match self._decoder.decode(content):
            case messages.Ping() as ping:
                self.send(receiver, sender, self._make_pong(instance, ping))
            case messages.Pong() as pong:
                self.slowest_ms = max(
                    self.slowest_ms, self.clock.now_ms() - pong.sent_ms
                )
                request = instance.exchange.handle_pong(pong, sender)
                if request is not None:
                    self.send(receiver, sender, request)
            case messages.ItemsWanted() as wanted:
                instance.sender.add(sender, wanted)
                if not instance.is_sending:
                    self._send_items(instance)
            case messages.Items() as items:
                followup = instance.exchange.handle_items(items, sender)
                self._note_version(instance)
                if followup is not None:
                    self.send(receiver, *followup)

    def _send_items(self, instance: LinkedInstance) -> None:
        """Send the next items once the link has carried the last ones."""
        instance.is_sending = instance.sender.has_requests
        if instance.is_sending:
            instance.sender.send_first()
            delay_ms = instance.up_free_ms - self.clock.now_ms()
            self._add(max(0.0, delay_ms), (self._send_items, instance))

    def _make_pong(
        self, instance: LinkedInstance, ping: messages.Ping
    ) -> messages.Pong:
        facts = instance.facts
        return messages.Pong(
            ping.sent_ms,
            instance.address,
            instance.fleet.failure_domain,
            'x',
            UPTIME_MS,
            False,
            [],
            instance.fleet.list_relayed_members(),
            facts.item_cache.complete_revision,
            facts.age_ms(),
            {},
            era=facts.item_cache.era,
            rules_version=facts.version,
        )
