"""Simulated engine or plain service."""

from collections.abc import Callable
import json
import struct
import time
from typing import NamedTuple

import gevent
import gevent.event
import gevent.socket

from lagoonbend_devkit._internal.gateway import loopback_server
from lagoonbend_entry.testing import IncomingRequest

SERVER_STAMP = 'stamp'
"""Value of the header ``Server-Stamp``, by which an answer is recognized as
written by a target itself. An answer without it is called unsigned."""
MODEL_VERSION = '1'
FIRST_VERSION = 'v1'
"""Version of the software of a target, unless another one is given."""
KEPT_BLOCKS_PATH = '/lagoonbend/kv-list'
HEALTH_PATH = '/healthz'
TOKENS_PER_BLOCK = 16
"""Blocks of prompts are kept in whole multiples of this length."""
TOKENS_PER_EVENT = 4
FAULT_HEADER = 'x-fault'
EVENT_INTERVAL_S = 0.005
SLOW_EVENT_INTERVAL_S = 0.3
PREFILL_S = 0.1
"""Time from a request to the end of the target that it crashes."""
PAUSE_S = 1.2
"""Silence of fault ``pause``: a sound target may be silent for a second or so
in the users' rules."""
DRIP_INTERVAL_S = 0.2
"""Time between two bytes of fault ``drip-stream``."""
MAX_DRIPS = 100
PAUSE_EVENT_NUMBER = 2
"""Event of a stream after which fault ``pause-stream`` is silent."""
UNFRAMED_STREAM_EVENTS = {
    'unframed-cut': 2,
    'unframed-reset': 2,
    'unframed-empty': 0,
}
"""Number of events before the end of streams that are broken off."""
REJECTION_HEADERS = {
    'turned-away': '',
    'leaving-turned-away': 'Server-Leaving: 1\r\n',
}
"""Faults that reject a request, with their further headers."""
ZERO_LINGER = struct.pack('ii', 1, 0)
"""Option SO_LINGER with which ``close`` resets the connection."""


class TargetRun(NamedTuple):
    """An executed request.

    :param target: name of the target.
    :param attempt: identifier of the caller's attempt.
    :param request: request as the target received it.
    :param started_s: start, on the monotonic clock.
    :param version: version of the target's software.
    """

    target: str
    attempt: str
    request: IncomingRequest
    started_s: float = 0.0
    version: str = FIRST_VERSION


class TargetArrival(NamedTuple):
    """A request that reached a target.

    :param attempt: identifier of the caller's attempt.
    :param at_s: time on the monotonic clock.
    :param pause_s: pause that the target wants by its answer; 0 for none.
    :param answered_s: time of that answer, from which the pause counts.
    """

    attempt: str
    at_s: float
    pause_s: float = 0.0
    answered_s: float = 0.0

    @property
    def pause_end_s(self) -> float:
        """End of the pause that the target wants."""
        return self.answered_s + self.pause_s


class StandinTarget:
    """Executes each request, or injects the fault that ``X-Fault`` names.

    A fault that ends with ``@NAME`` applies only to the target of that name.
    ``abandoned_attempts`` lists the attempts whose connection was closed by
    the instance before the answer was complete; ``received_attempts`` lists
    all that reached the target, rejected ones included, and ``arrivals`` when
    they did. While ``retry_after_values`` has any, each request is turned away
    with the next of them, and the last one is kept. Fault ``turned-away``
    rejects the request as full. Fault ``leaving`` answers whole and says that
    the target leaves. Faults ``ran-408``, ``ran-429`` and ``ran-503`` run the
    request and answer with that status. ``leaving-turned-away`` says it in a
    rejection and ``leaving-foreign`` in an answer to another attempt. Faults
    ``pause`` and ``pause-stream`` are silent for a while before the head or
    inside a stream, and then complete the answer. ``drip-stream`` writes two
    events and then single bytes of a comment that doesn't end. ``unframed``
    and the faults whose names begin so answer with neither a length nor
    chunks.

    Each event of a stream names the version of the target that wrote it.

    While ``crashing_block`` names a block, the target ends when it begins an
    answer to a prompt with that block, its last one excepted; ``on_crash`` is
    called with the target and the cause.

    ``kept_blocks`` holds the blocks of the prompts that it has read, with the
    tokens that it keeps of each. The last block grows once an answer is
    complete. It lists them on request, unless
    ``lists_blocks`` is False; such a request is then not answered. ``born_ms``
    is the start of its life that it states there, if ``states_born`` is True.

    ``named_limit`` is the value of ``Server-Limit`` in its answers; empty for
    none.

    A function that handles a request returns False to close the connection.

    :param name: name under which the target is registered in the store.
    :param runs: record of executions, shared by all targets of a fleet.
    :param event_count: number of events of a stream.
    :param version: version of its software.
    """

    def __init__(
        self,
        name: str,
        runs: list[TargetRun],
        event_count: int = 5,
        version: str = FIRST_VERSION,
    ) -> None:
        self.name = name
        self.version = version
        self.is_open = True
        self.abandoned_attempts: list[str] = []
        self.received_attempts: list[str] = []
        self.arrivals: list[TargetArrival] = []
        self.retry_after_values: list[str] = []
        self.named_limit = ''
        self.kept_blocks: dict[str, int] = {}
        self.lists_blocks = True
        self.born_ms = 0
        self.states_born = True
        self.crashing_block = ''
        self.crashing_path = ''
        self.on_crash: Callable[[StandinTarget, str], None] = _ignore_crash
        self._runs = runs
        self._event_count = event_count
        self._may_write = gevent.event.Event()
        self._may_write.set()
        self._resumed_sockets: set[gevent.socket.socket] = set()
        self._server = loopback_server.LoopbackServer(self._handle_request)
        self.endpoint = self._server.endpoint

    def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()

    def silence(self, duration_s: float) -> None:
        """Write nothing to any connection for a while, then go on."""
        self._may_write.clear()
        gevent.sleep(duration_s)
        self._may_write.set()

    def _write(self, sock: gevent.socket.socket, data: bytes) -> None:
        # A second silence right after a pause would last longer than a sound
        # target is silent.
        if sock not in self._resumed_sockets:
            self._may_write.wait()
        self._resumed_sockets.discard(sock)
        sock.sendall(data)

    def _pause(self, sock: gevent.socket.socket) -> None:
        gevent.sleep(PAUSE_S)
        self._resumed_sockets.add(sock)

    def _handle_request(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        if request.path == KEPT_BLOCKS_PATH:
            return self._list_kept_blocks(request, sock)
        if request.path == HEALTH_PATH:
            self._send_answer(request, sock, 200, b'', stamp='')
            return True
        attempt = request.header_map.get('attempt-id', '')
        self.received_attempts.append(attempt)
        expected = request.header_map.get('expect-instance', self.name)
        version = request.header_map.get('expect-version', MODEL_VERSION)
        if expected != self.name or version != MODEL_VERSION:
            self._send_answer(request, sock, 421, b'', stamp='')
            return True
        if self.retry_after_values:
            self._ask_for_pause(attempt, sock)
            return True
        self.arrivals.append(TargetArrival(attempt, time.monotonic()))
        fault = self._find_fault(request)
        if fault in REJECTION_HEADERS:
            self._reject(sock, REJECTION_HEADERS[fault])
            return True
        self._runs.append(
            TargetRun(
                self.name, attempt, request, time.monotonic(), self.version
            )
        )
        if self.crashing_block in list_shared_blocks(request):
            return self._crash(request, sock, with_head=True)
        self._keep_blocks(request)
        if request.path == self.crashing_path:
            return self._crash(request, sock, with_head=False)
        if fault in FAULT_HANDLERS:
            return FAULT_HANDLERS[fault](self, request, sock)
        return self._send_whole_answer(request, sock)

    def _keep_blocks(self, request: IncomingRequest) -> None:
        for block, tokens in list_blocks(request):
            self.kept_blocks[block] = tokens - tokens % TOKENS_PER_BLOCK

    def _keep_written(
        self, request: IncomingRequest, event_count: int
    ) -> None:
        """Keep what has been written, with the last block of the prompt."""
        for block, tokens in list_blocks(request)[-1:]:
            tokens += event_count * TOKENS_PER_EVENT
            self.kept_blocks[block] = tokens - tokens % TOKENS_PER_BLOCK

    def _list_kept_blocks(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        if not self.lists_blocks:
            return self._never_answer(request, sock)
        held = [['', *block, 'm'] for block in self.kept_blocks.items()]
        answer = {'epoch': 1, 'next': 1, 'held': held}
        if self.states_born:
            answer['born'] = self.born_ms
        body = json.dumps(answer)
        self._send_answer(request, sock, 200, body.encode())
        return True

    def _crash(
        self,
        request: IncomingRequest,
        sock: gevent.socket.socket,
        *,
        with_head: bool,
    ) -> bool:
        """End with all connections.

        :param with_head: True to write the head of a stream before.
        """
        gevent.sleep(PREFILL_S)
        if self.is_open:
            if with_head:
                head = self._build_head(request, 200, SERVER_STAMP)
                head += b'Content-Type: text/event-stream\r\n'
                head += b'Transfer-Encoding: chunked\r\n\r\n'
                self._write(sock, head)
            self.is_open = False
            self.stop()
            self.on_crash(
                self, self.crashing_block if with_head else request.path
            )
        return False

    def _reject(self, sock: gevent.socket.socket, headers: str) -> None:
        head = 'HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0'
        self._write(sock, f'{head}\r\n{headers}\r\n'.encode())

    def _ask_for_pause(self, attempt: str, sock: gevent.socket.socket) -> None:
        at_s = time.monotonic()
        value = self.retry_after_values[0]
        if len(self.retry_after_values) > 1:
            del self.retry_after_values[0]
        self._reject(sock, f'Retry-After: {value}\r\n')
        self.arrivals.append(
            TargetArrival(attempt, at_s, float(value), time.monotonic())
        )

    def _find_fault(self, request: IncomingRequest) -> str:
        """Return the fault that a request names for this target."""
        fault, _, faulty_target = request.header_map.get(
            FAULT_HEADER, ''
        ).partition('@')
        return fault if faulty_target in ('', self.name) else ''

    def _send_whole_answer(
        self,
        request: IncomingRequest,
        sock: gevent.socket.socket,
        pause_after: int = 0,
    ) -> bool:
        if 'stream/' in request.path:
            return self._send_stream(
                request, sock, self._event_count, pause_after=pause_after
            )
        self._send_answer(request, sock, 200, b'ran ' + request.body)
        return True

    def _send_stream(
        self,
        request: IncomingRequest,
        sock: gevent.socket.socket,
        last_number: int,
        *,
        is_cut: bool = False,
        pause_after: int = 0,
    ) -> bool:
        first_number = int(request.header_map.get('last-event-id', '0')) + 1
        self._write(
            sock,
            self._build_head(request, 200, SERVER_STAMP)
            + b'Content-Type: text/event-stream\r\n'
            + b'Transfer-Encoding: chunked\r\n\r\n',
        )
        interval_s = EVENT_INTERVAL_S
        if request.header_map.get(FAULT_HEADER) == 'slow':
            interval_s = SLOW_EVENT_INTERVAL_S
        for number in range(first_number, last_number + 1):
            event = encode_event(number, self.version)
            try:
                self._write(sock, b'%x\r\n%b\r\n' % (len(event), event))
            except OSError:
                self.abandoned_attempts.append(
                    request.header_map['attempt-id']
                )
                raise
            if number == pause_after:
                self._pause(sock)
            gevent.sleep(interval_s)
        if is_cut:
            # A chunk that ends in the middle of an event.
            self._write(sock, b'9\r\nid: 99\nda\r\n')
            return False
        self._keep_written(request, last_number - first_number + 1)
        self._write(sock, b'0\r\n\r\n')
        return True

    def _send_answer(
        self,
        request: IncomingRequest,
        sock: gevent.socket.socket,
        status: int,
        body: bytes,
        stamp: str = SERVER_STAMP,
    ) -> None:
        length = f'Content-Length: {len(body)}\r\n\r\n'.encode()
        self._write(
            sock, self._build_head(request, status, stamp) + length + body
        )

    def _build_head(
        self, request: IncomingRequest, status: int, stamp: str
    ) -> bytes:
        lines = [f'HTTP/1.1 {status} X']
        attempt = request.header_map.get('attempt-id')
        if attempt:
            lines.append(f'Attempt-Id: {attempt}')
        if stamp:
            lines.append(f'Server-Stamp: {stamp}')
        if self._find_fault(request) == 'leaving':
            lines.append('Server-Leaving: 1')
        if self.named_limit:
            lines.append(f'Server-Limit: {self.named_limit}')
        return ('\r\n'.join(lines) + '\r\n').encode()

    def _reset_connection(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        sock.setsockopt(
            gevent.socket.SOL_SOCKET, gevent.socket.SO_LINGER, ZERO_LINGER
        )
        return False

    def _never_answer(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        # An empty read means that the instance closed the connection.
        if not sock.recv(1):
            self.abandoned_attempts.append(
                request.header_map.get('attempt-id', '')
            )
        return False

    def _send_error(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        self._send_answer(request, sock, 500, b'failed')
        return True

    def _send_failure(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        status = int(self._find_fault(request).removeprefix('ran-'))
        self._send_answer(request, sock, status, b'failed')
        return True

    def _send_unsigned(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        self._send_answer(request, sock, 200, b'unsigned', stamp='')
        return True

    def _send_invalid_bytes(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        self._write(sock, b'\x00\x01 no answer at all\r\n\r\n')
        return False

    def _send_truncated_answer(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        head = self._build_head(request, 200, SERVER_STAMP)
        self._write(sock, head + b'Content-Length: 100\r\n\r\nhalf')
        return False

    def _send_answer_twice(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        self._send_answer(request, sock, 200, b'mine')
        self._send_answer(request, sock, 200, b'again')
        return True

    def _send_other_answer_first(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        head = b'HTTP/1.1 200 X\r\nAttempt-Id: another\r\nServer-Stamp: x\r\n'
        if self._find_fault(request) == 'leaving-foreign':
            head += b'Server-Leaving: 1\r\n'
        self._write(sock, head + b'Content-Length: 7\r\n\r\nforeign')
        self._send_answer(request, sock, 200, b'mine')
        return True

    def _send_unframed_answer(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        head = self._build_head(request, 200, SERVER_STAMP)
        self._write(sock, head + b'\r\nunframed')
        return False

    def _send_unframed_stream(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        """Write a stream that ends with its connection, in several ways."""
        fault = self._find_fault(request)
        last_number = UNFRAMED_STREAM_EVENTS.get(fault, self._event_count)
        first_number = int(request.header_map.get('last-event-id', '0')) + 1
        head = self._build_head(request, 200, SERVER_STAMP)
        self._write(sock, head + b'Content-Type: text/event-stream\r\n\r\n')
        for number in range(first_number, last_number + 1):
            self._write(sock, encode_event(number, self.version))
            gevent.sleep(EVENT_INTERVAL_S)
        if fault == 'unframed-cut':
            self._write(sock, b'id: 99\nda')
        if fault == 'unframed-reset':
            return self._reset_connection(request, sock)
        return False

    def _send_cut_stream(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        return self._send_stream(request, sock, 2, is_cut=True)

    def _drip_inside_stream(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        head = self._build_head(request, 200, SERVER_STAMP)
        self._write(sock, head + b'Content-Type: text/event-stream\r\n\r\n')
        for number in (1, 2):
            self._write(sock, encode_event(number, self.version))
        try:
            for _ in range(MAX_DRIPS):
                self._write(sock, b':')
                gevent.sleep(DRIP_INTERVAL_S)
        except OSError:
            self.abandoned_attempts.append(
                request.header_map.get('attempt-id', '')
            )
        return False

    def _pause_before_head(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        self._pause(sock)
        return self._send_whole_answer(request, sock)

    def _pause_inside_stream(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        return self._send_whole_answer(request, sock, PAUSE_EVENT_NUMBER)


def _ignore_crash(target: StandinTarget, cause: str) -> None:
    """Let a target that has ended stay away."""


def list_blocks(request: IncomingRequest) -> list[tuple[str, int]]:
    """Return the blocks of a prompt with their lengths in tokens."""
    prompt = request.header_map.get('prefix-hash', '')
    entries = [entry.partition(':') for entry in prompt.split(',') if entry]
    return [(block, int(tokens or 0)) for block, _, tokens in entries]


def list_shared_blocks(request: IncomingRequest) -> list[str]:
    """Return the blocks of a prompt, without the last, its own one."""
    return [block for block, _ in list_blocks(request)[:-1]]


def encode_event(number: int, version: str) -> bytes:
    """Return an event of a stream, as a target of a version writes it."""
    return f'id: {number}\ndata: piece {number} of {version}\n\n'.encode()


FaultHandler = Callable[
    [StandinTarget, IncomingRequest, gevent.socket.socket], bool
]
FAULT_HANDLERS: dict[str, FaultHandler] = {
    'reset': StandinTarget._reset_connection,
    'silent': StandinTarget._never_answer,
    'error': StandinTarget._send_error,
    'ran-408': StandinTarget._send_failure,
    'ran-429': StandinTarget._send_failure,
    'ran-503': StandinTarget._send_failure,
    'unsigned': StandinTarget._send_unsigned,
    'noise': StandinTarget._send_invalid_bytes,
    'truncated': StandinTarget._send_truncated_answer,
    'twice': StandinTarget._send_answer_twice,
    'foreign': StandinTarget._send_other_answer_first,
    'leaving-foreign': StandinTarget._send_other_answer_first,
    'unframed': StandinTarget._send_unframed_answer,
    'unframed-stream': StandinTarget._send_unframed_stream,
    'unframed-cut': StandinTarget._send_unframed_stream,
    'unframed-reset': StandinTarget._send_unframed_stream,
    'unframed-empty': StandinTarget._send_unframed_stream,
    'cut-stream': StandinTarget._send_cut_stream,
    'drip-stream': StandinTarget._drip_inside_stream,
    'pause': StandinTarget._pause_before_head,
    'pause-stream': StandinTarget._pause_inside_stream,
}
