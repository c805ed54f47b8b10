"""Streams that all machines forgot are refused, since an old server has left."""

import json
import os
import pathlib
import re
import sys
import threading
import time
import traceback
import urllib.parse

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / 'lib-2'))
import standins  # noqa: E402

MACHINES = 3
NEW_SERVERS = 3
STREAMS = 24
EVENTS = 60
EVENT_GAP_S = 0.2
FIRST_EVENT_S = 0.05
TOKENS_PER_EVENT = 4
BLOCK = 16
HISTORY_S = 20.0
"""``history-s`` of the store."""
RELEASE_S = 22.0
LEAVES_S = 2.0
BEGIN_S = 1.0
KILL_S = 2.0
DOWN_S = 0.5
STABLE_S = standins.BOUNDS['stable-window-ms'] / 1000
TAKE_UP_S = 4.5
"""From the kill to the second try of a client; the machines have been in touch
again by then."""
DEADLINE_MS = 15_000
OLD, NEW = '1', '2'


class HistoryStore(standins.Store):
    """A store that drops its changes after a time."""

    def __init__(self):
        self.times = {}
        super().__init__()

    def put(self, key, value):
        super().put(key, value)
        self.times[self.revision] = time.monotonic()

    def delete(self, key):
        super().delete(key)
        self.times[self.revision] = time.monotonic()

    def handle(self, request, sock):
        url = urllib.parse.urlsplit(request.path)
        if url.path.endswith('/kv-watch'):
            after = int(dict(urllib.parse.parse_qsl(url.query))['after'])
            end_s = time.monotonic() - HISTORY_S
            dropped = [r for r, at_s in self.times.items() if at_s < end_s]
            if after < max(dropped, default=1):
                sock.sendall(b'HTTP/1.1 410 Gone\r\nContent-Length: 2\r\n\r\n{}')
                return True
        return super().handle(request, sock)


class Engine(standins.Server):
    """A model server, which lists the parts of prompts that it keeps."""

    def __init__(self, name, version, record):
        self.version = version
        self.kept = {}
        super().__init__(name, 'chat', record, slots=30)

    def handle(self, request, sock):
        if request.path.startswith('/lagoonbend/kv-list'):
            held = [['', part, size, 'm'] for part, size in self.kept.items()]
            body = json.dumps({'epoch': 1, 'next': 1, 'held': held}).encode()
            sock.sendall(
                f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
                .encode() + body
            )
            return True
        return super().handle(request, sock)

    def answer_soundly(self, request, sock):
        parts = [
            part.split(':') for part in request.get('prefix-hash').split(',')
        ]
        for part, size in parts:
            self.kept[part] = max(
                self.kept.get(part, 0), int(size) - int(size) % BLOCK
            )
        first = int(request.get('last-event-id') or 0) + 1
        time.sleep(FIRST_EVENT_S)
        sock.sendall(
            self.head(
                request,
                more=(
                    'Content-Type: text/event-stream',
                    'Transfer-Encoding: chunked',
                ),
            )
        )
        for number in range(first, EVENTS + 1):
            event = f'id: {number}\ndata: version {self.version}\n\n'.encode()
            sock.sendall(b'%x\r\n%b\r\n' % (len(event), event))
            time.sleep(EVENT_GAP_S)
        last, size = parts[-1]
        size = int(size) + TOKENS_PER_EVENT * EVENTS
        self.kept[last] = size - size % BLOCK
        sock.sendall(b'0\r\n\r\n')
        return True


def send(port, attempt, prompt, deadline_ms, more=None):
    """Return status and pieces; a stream that breaks keeps its pieces."""
    sock = None
    data = b''
    try:
        import socket

        sock = socket.create_connection(('127.0.0.1', port), timeout=1.0)
        headers = standins.client_headers(
            attempt,
            deadline_ms,
            **{'Model': 'm', 'Token-Usage': '460,240', 'Prefix-Hash': prompt},
            **(more or {}),
        )
        head = 'POST /chat/stream/1 HTTP/1.1\r\n' + ''.join(
            f'{name}: {value}\r\n' for name, value in headers.items()
        )
        sock.sendall(f'{head}Content-Length: 1\r\n\r\nx'.encode())
        sock.settimeout(deadline_ms / 1000)
        while True:
            part = sock.recv(65_536)
            if not part:
                break
            data += part
            is_error = not data.startswith(b'HTTP/1.1 200')
            if data.endswith(b'0\r\n\r\n') or (is_error and b'}' in data):
                break
            if more and b'id: ' in data:
                # It goes on; the rest is of no interest here.
                break
    except OSError:
        pass
    finally:
        if sock is not None:
            sock.close()
    status = data[9:12].decode() if data.startswith(b'HTTP/1.1 ') else 'none'
    return status, [int(n) for n in re.findall(rb'id: (\d+)\n', data)], data


class Client(threading.Thread):
    """Reads a stream, and takes it up once more if it breaks."""

    def __init__(self, number, ports, kill_s, record, outcomes):
        super().__init__()
        self.number = number
        self.ports = ports
        self.kill_s = kill_s
        self.record = record
        self.outcomes = outcomes

    def run(self):
        name = f'stream-{self.number}'
        prompt = f'aa01:64,cc{self.number:04x}:400'
        began_s = time.monotonic()
        port = self.ports[self.number % MACHINES]
        status, ids, _ = send(port, name, prompt, DEADLINE_MS)
        self.record.write(f'client has {status}, {len(ids)} events of {name}')
        if not ids or ids[-1] == EVENTS:
            return
        kill_s = self.kill_s[0]
        time.sleep(max(0.0, kill_s + TAKE_UP_S - time.monotonic()))
        left_ms = DEADLINE_MS - int((time.monotonic() - began_s) * 1000)
        status, more_ids, data = send(
            self.ports[(self.number + 1) % MACHINES],
            f'{name}-again',
            prompt,
            left_ms,
            {'Last-Event-Id': str(ids[-1]), 'Resumes': name},
        )
        goes_on = status == '200' and more_ids[:1] == [ids[-1] + 1]
        self.outcomes.append(goes_on)
        reason = data.rpartition(b'\r\n')[2][:60].decode('latin-1')
        self.record.write(
            f'{name} is taken up after event {ids[-1]}, {left_ms} ms left: '
            f'{status} {"goes on" if goes_on else reason}'
        )


def main():
    record = standins.Record(CASE / 'record.txt')
    store = HistoryStore()
    old = Engine('chat-old', OLD, record)
    store.put(
        f'servers/{old.name}',
        old.entry(version=OLD, born_ms=int(time.time() * 1000)),
    )
    route = standins.make_route(
        'chat',
        'chat',
        'streaming',
        **{
            'timeout-ms': DEADLINE_MS,
            'target-latency-ms': 1_500,
            'gap-target-ms': 400,
            'resumable': True,
            'sticky': True,
        },
    )
    store.put(
        'op/config',
        standins.make_config(
            1, [route], {'chat': {'engine': {'kv-capacity': 444_000}}}
        ),
    )
    fleet = standins.Fleet(MACHINES, store, record)
    try:
        if not fleet.wait_ready():
            record.write('the machines are not ready')
            return 2
        ports = [fleet.callers_port(n) for n in range(MACHINES)]
        time.sleep(RELEASE_S)
        record.write(f'servers of version {NEW} start')
        engines = [Engine(f'chat-{n}', NEW, record) for n in range(NEW_SERVERS)]
        for engine in engines:
            store.put(
                f'servers/{engine.name}',
                engine.entry(version=NEW, born_ms=int(time.time() * 1000)),
            )
        time.sleep(LEAVES_S)
        record.write(f'{old.name} leaves: its entry is removed')
        store.delete(f'servers/{old.name}')
        time.sleep(BEGIN_S)
        kill_s, outcomes, fresh = [0.0], [], []
        clients = [
            Client(n, ports, kill_s, record, outcomes) for n in range(STREAMS)
        ]
        for client in clients:
            client.start()
            time.sleep(0.02)
        time.sleep(KILL_S)
        kill_s[0] = time.monotonic()
        if standins.is_disrupted():
            for process in fleet.processes:
                process.kill()
            record.write('all processes are killed')
            for process in fleet.processes:
                process.wait()
            time.sleep(DOWN_S)
            for number in range(MACHINES):
                fleet.start(number)
        time.sleep(max(0.0, kill_s[0] + TAKE_UP_S - time.monotonic()))
        for number in range(20):
            name = f'new-{number}'
            status, ids, _ = send(
                ports[number % MACHINES], name, f'aa01:64,dd{number:04x}:400',
                DEADLINE_MS, {'X-New': '1'},
            )
            fresh.append(bool(ids) and ids[0] == 1)
            record.write(f'client has {status} to {name}, a new stream')
        for client in clients:
            client.join()
        share_on = sum(outcomes) / max(1, len(outcomes))
        share_new = sum(fresh) / len(fresh)
        record.end(
            f'{len(outcomes)} streams taken up later than {STABLE_S:.0f} s '
            f'after the start of the machines, {sum(outcomes)} went on; '
            f'{sum(fresh)} of {len(fresh)} new streams began'
        )
        return 1 if len(outcomes) >= 12 and share_on < share_new / 2 else 0
    finally:
        fleet.stop()


if __name__ == '__main__':
    try:
        CODE = main()
    except Exception:
        traceback.print_exc()
        CODE = 2
    sys.stdout.flush()
    os._exit(CODE)
