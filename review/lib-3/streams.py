"""Model servers that write streams, and clients that read them."""

import json
import re
import select
import socket
import time

import standins

EVENTS = 10
TOKENS_PER_EVENT = 4
PROMPT_TOKENS = 400
LOST = (0, 3, 6)
LOST_OF = 10
EVENT = re.compile(rb'id: (\d+)\ndata: piece \d+ of (v\d)\n\n')


class StreamServer(standins.Server):
    """A model server: writes streams, keeps prompts and what it has written.

    While ``loses`` is True, it runs three of ten requests to their end and
    none of their answers arrives.
    """

    def __init__(
        self, name, version, record, event_s=0.09, slots=40, port=0
    ):
        self.version = version
        self.slots = slots
        self.event_s = event_s
        self.kept = {}
        self.loses = False
        self.is_gone = False
        self.silent_until_s = 0.0
        self.count = 0
        super().__init__(name, 'model', record, port=port)

    def register(self, store, zone, state='ready'):
        return store.put(
            f'servers/{self.name}',
            {
                'service': self.service,
                'address': self.endpoint,
                'zone': zone,
                'version': self.version,
                'born': self.born_ms,
                'slots': self.slots,
                'state': state,
                'cold-remaining-ms': 0,
                'sequence': 1,
            },
        )

    def exit(self):
        """Exit, as a server that has left does."""
        self.is_gone = True
        self._server.shutdown()
        self._server.server_close()
        self._record.add(f'{self.name}: exits')

    def handle(self, request, body):
        if request.path == '/lagoonbend/kv-list':
            held = [['', *item, 'm'] for item in self.kept.items()]
            content = json.dumps(
                {
                    'epoch': self.born_ms,
                    'next': 1,
                    'held': held,
                    'born': self.born_ms,
                }
            )
            return request.reply(200, content.encode())
        if not request.path.startswith('/stream/'):
            return super().handle(request, body)
        headers = request.headers
        attempt = headers.get('Attempt-Id', '')
        if headers.get('Expect-Instance', self.name) != self.name:
            return request.reply(421, Attempt_Id=attempt)
        block, _, tokens = headers['Prefix-Hash'].split(',')[-1].partition(':')
        first = int(headers.get('Last-Event-Id') or 0) + 1
        number = self.count
        self.count += 1
        is_lost = self.loses and number % LOST_OF in LOST
        self.kept[block] = int(tokens)
        self._record.add(
            f'{self.name} ({self.version}): runs {attempt} from event {first}'
            f'{", its answer is lost" * is_lost}'
        )
        time.sleep(0.03)
        silent_s = self.silent_until_s - time.monotonic()
        if silent_s > 0:
            self._record.add(f'{self.name}: has read {attempt}, and is silent')
            time.sleep(silent_s)
            if is_closed(request.connection):
                self._record.add(f'{self.name}: drops {attempt}')
                request.close_connection = True
                return None
        if not is_lost:
            request.wfile.write(
                b'HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\n'
                b'Transfer-Encoding: chunked\r\n'
                + f'Attempt-Id: {attempt}\r\n'.encode()
                + f'Server-Stamp: {self.name}.{attempt}\r\n\r\n'.encode()
            )
        for event in range(first, EVENTS + 1):
            if self.is_gone:
                request.close_connection = True
                return None
            data = f'id: {event}\ndata: piece {event} of {self.version}\n\n'
            if not is_lost:
                request.wfile.write(
                    b'%x\r\n%b\r\n' % (len(data), data.encode())
                )
                request.wfile.flush()
            time.sleep(self.event_s)
        # The last part of the prompt grows by what has been written.
        self.kept[block] = int(tokens) + TOKENS_PER_EVENT * EVENTS
        if is_lost:
            # The connection stays silent until the caller closes it.
            request.connection.settimeout(20)
            request.close_connection = True
            try:
                request.connection.recv(1)
            except OSError:
                pass
            return None
        request.wfile.write(b'0\r\n\r\n')
        request.wfile.flush()
        return None


def is_closed(sock):
    """Return True if the caller has closed the connection."""
    if not select.select([sock], [], [], 0)[0]:
        return False
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except OSError:
        return True


def read_stream(port, attempt, session, headers):
    """Send a request of a stream; return status and events received."""
    lines = {
        'Host': standins.HOST,
        'Attempt-Id': attempt,
        'Model': 'm',
        'Token-Usage': f'{PROMPT_TOKENS + 100},{EVENTS * TOKENS_PER_EVENT}',
        'Prefix-Hash': f'aa01:100,{session}:{PROMPT_TOKENS}',
        'Deadline-Ms': '8000',
        'Authorization': 'Bearer key-a',
        'Content-Length': '0',
        **headers,
    }
    data = b''
    try:
        with socket.create_connection(('127.0.0.1', port), 5) as sock:
            head = [f'POST /stream/{session} HTTP/1.1']
            head += [f'{name}: {value}' for name, value in lines.items()]
            sock.sendall(('\r\n'.join(head) + '\r\n\r\n').encode())
            sock.settimeout(8)
            while b'\r\n0\r\n\r\n' not in data:
                chunk = sock.recv(65536)
                if not chunk:
                    break
                data += chunk
                if b'Content-Length: ' in data and b'\r\n\r\n' in data:
                    break
    except OSError:
        pass
    status = int(data.split(b' ')[1]) if data else 0
    return status, [(int(n), v.decode()) for n, v in EVENT.findall(data)]
