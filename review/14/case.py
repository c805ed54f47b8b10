"""A stream of one version goes on at another that lost its whole answer."""

import json
import pathlib
import re
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib-3'))
import standins

ZONES = ('zone-a', 'zone-b', 'zone-c')
STREAMS = 72
EVENTS = 10
EVENT_S = 0.09
TOKENS_PER_EVENT = 4
PROMPT_TOKENS = 400
LOST = (0, 1)
LOST_OF = 5
KILL_S = 1.9
DOWN_S = 0.5
LEAVE_S = 2.2
EXIT_AFTER_S = 2.3
TAKE_UP_S = 5.2
MOST_MIXED = 2
EVENT = re.compile(rb'id: (\d+)\ndata: piece \d+ of (v\d)\n\n')


class StreamServer(standins.Server):
    """A model server: writes streams, keeps prompts and what it has written.

    While ``loses`` is True, it runs two of five requests to their end and
    none of their answers arrives.
    """

    def __init__(self, name, version, record):
        self.version = version
        self.kept = {}
        self.loses = False
        self.is_gone = False
        self.count = 0
        super().__init__(name, 'model', record)

    def register(self, store, zone):
        return store.put(
            f'servers/{self.name}',
            {
                'service': self.service,
                'address': self.endpoint,
                'zone': zone,
                'version': self.version,
                'born': self.born_ms,
                'slots': 40,
                'state': 'ready',
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
            content = json.dumps({'epoch': 1, 'next': 1, 'held': held})
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
            time.sleep(EVENT_S)
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


def run(record, folder, instances, has_trouble):
    store = standins.Store(record)
    old = [StreamServer(f'i-one-{n}', 'v1', record) for n in range(2)]
    new = [StreamServer(f'i-two-{n}', 'v2', record) for n in range(2)]
    back = [StreamServer(f'i-one-{n}', 'v1', record) for n in (2, 3)]
    configuration = standins.build_configuration(
        5, [('stream', 'model', 'streaming')], ['model'], {'first': ['key-a']}
    )
    configuration['routes'][0] |= {
        'resumable': True,
        'sticky': True,
        'gap-target-ms': 400,
        'timeout-ms': 15000,
    }
    configuration['services'][0]['engine'] = {'kv-capacity': 444000}
    store.put('op/config', configuration)
    for number, server in enumerate(old + new):
        server.register(store, ZONES[number % len(ZONES)])
    ports = standins.find_free_ports(4 * len(ZONES))
    seeds = [f'127.0.0.1:{ports[4 * n + 2]}' for n in range(len(ZONES))]
    for number, zone in enumerate(ZONES):
        instances.append(
            standins.Instance(
                number,
                zone,
                ports[4 * number : 4 * number + 4],
                seeds,
                store.endpoint,
                folder,
                record,
            )
        )
    for instance in instances:
        instance.start()
    if not all(instance.wait_ready() for instance in instances):
        return 2
    time.sleep(4.0)
    for server in old:
        server.loses = has_trouble
    record.add('the servers of v1 lose answers' if has_trouble else 'calm')
    received = {}

    def act_as_client(number):
        session = f'bb{number:04x}'
        first = f'first-{number}'
        instance = instances[number % len(instances)]
        status, events = read_stream(instance.callers, first, session, {})
        record.add(
            f'client: {first} at {instance.name} is answered {status},'
            f' events {events[:1]} to {events[-1:]}'
        )
        received[number] = events
        if not events or events[-1][0] >= EVENTS:
            return
        time.sleep(max(0.0, start_s + TAKE_UP_S - time.monotonic()))
        second = f'second-{number}'
        instance = instances[(number + 1) % len(instances)]
        status, more = read_stream(
            instance.callers,
            second,
            session,
            {'Resumes': first, 'Last-Event-Id': str(events[-1][0])},
        )
        record.add(
            f'client: {second} takes {first} up at {instance.name},'
            f' is answered {status}, events {more[:1]} to {more[-1:]}'
        )
        received[number] = events + more

    start_s = time.monotonic()
    clients = [
        threading.Thread(target=act_as_client, args=(number,), daemon=True)
        for number in range(STREAMS)
    ]
    for client in clients:
        client.start()
        time.sleep(0.005)
    if has_trouble:
        time.sleep(max(0.0, start_s + KILL_S - time.monotonic()))
        for instance in instances:
            instance.kill()
            record.add(f'{instance.name}: killed')
        for server in old:
            server.loses = False
    # A release to v1: two servers of it start, and those of v2 leave.
    for number, server in enumerate(back):
        server.register(store, ZONES[number])
    time.sleep(max(0.0, start_s + LEAVE_S - time.monotonic()))
    for server in new:
        store.delete(f'servers/{server.name}')
        record.add(f'store: the entry of {server.name} is removed')
    if has_trouble:
        time.sleep(max(0.0, start_s + KILL_S + DOWN_S - time.monotonic()))
        for instance in instances:
            instance.start()
    time.sleep(max(0.0, start_s + LEAVE_S + EXIT_AFTER_S - time.monotonic()))
    for server in new:
        server.exit()
    for client in clients:
        client.join(15)
    mixed = [
        number
        for number, events in received.items()
        if len({version for _, version in events}) > 1
    ]
    for number in mixed:
        record.add(f'stream {number} is mixed: {received[number]}')
    whole = sum(len(events) == EVENTS for events in received.values())
    record.add(f'{STREAMS} streams, {whole} whole, {len(mixed)} mixed')
    return 1 if len(mixed) > MOST_MIXED else 0


standins.main(run)
