"""The connection from this instance to a peer."""

from collections.abc import Callable
import errno

import gevent
import gevent.event

from lagoonbend.clock import Clock
from lagoonbend.exceptions import PeerError
from lagoonbend_entry._internal.coordination import message_channel
from lagoonbend_entry._internal.coordination import messages
from lagoonbend_entry._internal.gateway.tcp_socket import open_tcp_socket
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event
from lagoonbend_entry._internal.utils.guarded_loop import log_failure

CONNECT_TIMEOUT_MS = 400
"""Timeout of one attempt to connect to a peer."""
RECONNECT_DELAY_MS = 300
"""Delay between attempts to connect to a peer."""
MAX_SILENT_PINGS = 4
"""Pings without any message in return after which the connection is opened
anew: an open connection may stay silent for good while new ones work."""
MILLISECONDS_PER_SECOND = 1000


class PeerLink:
    """Connects to a peer, reads its messages, and reconnects when it is lost.

    :param address: address of the peer.
    :param greeting: first message.
    :param clock: clock of the instance.
    :param on_message: called with the link and each message.
    :param on_open: called with the link once it is open.
    :param on_lost: called with the link when it is lost.
    :param on_refused: called with the address if a connection is refused.
    :param on_unreachable: called with the address if connecting fails for
        another reason.
    """

    def __init__(
        self,
        address: str,
        greeting: messages.Greeting,
        clock: Clock,
        *,
        on_message: Callable[['PeerLink', messages.AnyMessage], None],
        on_open: Callable[['PeerLink'], None],
        on_lost: Callable[['PeerLink'], None],
        on_refused: Callable[[str], None],
        on_unreachable: Callable[[str], None],
    ) -> None:
        self.address = address
        self.last_received_ms = 0
        self.last_ping_ms = 0
        self.is_wanted = True
        self._greeting = greeting
        self._clock = clock
        self._on_message = on_message
        self._on_open = on_open
        self._on_lost = on_lost
        self._on_refused = on_refused
        self._on_unreachable = on_unreachable
        self._channel: message_channel.MessageChannel | None = None
        self._has_tried_once = gevent.event.Event()

    @property
    def is_open(self) -> bool:
        """True while messages can be sent."""
        return self._channel is not None and not self._channel.is_closed

    def send(self, message: messages.Message) -> bool:
        """Queue a message to be sent; return False if the link is down."""
        if self._channel is None or self._channel.is_closed:
            return False
        self._channel.send(message)
        return True

    def wait_for_first_attempt(self, timeout_ms: int) -> None:
        """Wait until the first attempt to connect has succeeded or failed."""
        self._has_tried_once.wait(timeout_ms / MILLISECONDS_PER_SECOND)

    def close_if_silent(self, interval_ms: int) -> None:
        """Close the link if the peer has sent nothing for several pings.

        :param interval_ms: time between two pings.
        """
        silent_ms = self._clock.now_ms() - self.last_received_ms
        if silent_ms >= MAX_SILENT_PINGS * interval_ms:
            self.close()

    def close(self) -> None:
        """Close the connection; it is reopened while the link is wanted."""
        if self._channel is not None:
            self._channel.close()

    def run(self) -> None:
        """Keep the link up while it is wanted."""
        while self.is_wanted:
            try:
                self._connect_and_read()
            except PeerError as error:
                log_event(
                    Event.PEER_REJECTED, peer=self.address, reason=str(error)
                )
            except Exception as error:
                log_failure('peer link', error)
            self._has_tried_once.set()
            gevent.sleep(RECONNECT_DELAY_MS / MILLISECONDS_PER_SECOND)

    def _connect_and_read(self) -> None:
        ip, _, port = self.address.rpartition(':')
        try:
            sock = open_tcp_socket((ip, int(port)), CONNECT_TIMEOUT_MS)
        except OSError as error:
            if error.errno == errno.ECONNREFUSED:
                self._on_refused(self.address)
            else:
                self._on_unreachable(self.address)
            return
        sock.settimeout(None)
        self._channel = message_channel.MessageChannel(sock)
        self.last_received_ms = self._clock.now_ms()
        self._channel.send(self._greeting)
        self._on_open(self)
        self._has_tried_once.set()
        try:
            for message in self._channel.receive():
                self.last_received_ms = self._clock.now_ms()
                self._on_message(self, message)
        finally:
            self._channel.close()
            self._channel = None
            self._on_lost(self)
