"""Sends published items to the peers that have requested them."""

from collections.abc import Callable

import gevent.event

from lagoonbend_entry._internal.coordination import facts_exchange
from lagoonbend_entry._internal.coordination import messages
from lagoonbend_entry._internal.coordination.items_channel import ItemsChannel
from lagoonbend_entry._internal.utils.guarded_loop import run_guarded

MAX_SEND_MS = 500
"""Time for a peer to read an answer before the next peer gets one."""


class ItemsSender:
    """Answers one peer at a time.

    Answers to many peers at once would share the link of the instance, and
    each of them would hold up what else is sent to its peer. A peer that
    requests again before its turn gets one answer.

    :param exchange: writes the answers.
    :param find_channel: returns the channel to a connected peer.
    """

    def __init__(
        self,
        exchange: facts_exchange.FactsExchange,
        find_channel: Callable[[str], ItemsChannel | None],
    ) -> None:
        self._exchange = exchange
        self._find_channel = find_channel
        self._requests: dict[str, messages.ItemsWanted] = {}
        self._has_requests = gevent.event.Event()

    def start(self) -> None:
        """Start to send answers."""
        gevent.spawn(run_guarded, 'items sender', self._send_next)

    def add(self, peer: str, wanted: messages.ItemsWanted) -> None:
        """Answer a request in its turn."""
        self._requests[peer] = wanted
        self._has_requests.set()

    @property
    def has_requests(self) -> bool:
        """True while a peer waits for its answer."""
        return bool(self._requests)

    def send_first(self) -> ItemsChannel | None:
        """Send the first answer; return its channel if it is connected."""
        peer = next(iter(self._requests))
        wanted = self._requests.pop(peer)
        channel = self._find_channel(peer)
        if channel is not None:
            channel.send(
                self._exchange.build_answer(wanted, peer, channel.queued_bytes)
            )
        return channel

    def _send_next(self) -> None:
        self._has_requests.wait()
        if not self._requests:
            self._has_requests.clear()
            return
        channel = self.send_first()
        if channel is not None:
            channel.wait_until_sent(MAX_SEND_MS)
