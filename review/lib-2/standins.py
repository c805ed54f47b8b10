"""Stand-ins and helpers of the cases' scripts; standard library only.

The store, the servers and the clients follow PROTOCOL.md. Everything listens
on loopback addresses, in the process of the script. The project's own program
runs as separate processes, with the command and the template of settings of
the deploy file.
"""

import base64
import http.client
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'calls.example'
KEY = 'key-of-the-first-tenant'
ZONES = ('zone-a', 'zone-b')
BORN_MS = 1_700_000_000_000


def now_s():
    return time.monotonic()


class Record:
    """What was sent, answered and run, in record.txt of the case's folder."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._lock = threading.Lock()
        self._start_s = now_s()

    def write(self, text):
        with self._lock:
            if not self._file.closed:
                self._file.write(f'{now_s() - self._start_s:9.3f} s  {text}\n')
                self._file.flush()

    def end(self, text):
        """Write the result, which is the last line."""
        self.write(text)
        with self._lock:
            self._file.close()


class Request:
    """A request as read from a connection."""

    def __init__(self, method, path, headers, body):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body

    def get(self, name, default=''):
        return self.headers.get(name, default)


def read_request(file):
    """Return the next request of a connection; None at its end."""
    line = file.readline(65_537)
    if not line.endswith(b'\r\n'):
        return None
    method, path, _ = line.decode('latin-1').split(' ', 2)
    headers = {}
    while True:
        line = file.readline(65_537)
        if not line.endswith(b'\n'):
            return None
        text = line.decode('latin-1').rstrip('\r\n')
        if not text:
            break
        name, _, value = text.partition(':')
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get('content-length', '0'))
    body = file.read(size) if size else b''
    if len(body) < size:
        return None
    return Request(method, path, headers, body)


class Listener:
    """Accepts connections and serves each in a thread."""

    def __init__(self, port=0):
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(('127.0.0.1', port))
        self._socket.listen(512)
        self.port = self._socket.getsockname()[1]
        self.endpoint = f'127.0.0.1:{self.port}'
        self._connections = set()
        self._lock = threading.Lock()
        self.is_open = True
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while self.is_open:
            try:
                sock, _ = self._socket.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._connections.add(sock)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock):
        try:
            with sock.makefile('rb') as file:
                while (request := read_request(file)) is not None:
                    if not self.handle(request, sock):
                        break
        except (OSError, ValueError):
            pass
        finally:
            with self._lock:
                self._connections.discard(sock)
            sock.close()

    def handle(self, request, sock):
        raise NotImplementedError

    def stop(self):
        self.is_open = False
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._socket.close()
        with self._lock:
            for sock in list(self._connections):
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


class Store(Listener):
    """The platform's store: lists, and watches that wait for changes."""

    def __init__(self):
        self._items = {}
        self._changes = []
        self.revision = 1
        self._changed = threading.Condition()
        super().__init__()

    def put(self, key, value):
        with self._changed:
            self.revision += 1
            item = {
                'key': key,
                'value': base64.b64encode(json.dumps(value).encode()).decode(),
                'revision': self.revision,
                'created': self.revision,
                'lease': 0,
            }
            self._items[key] = item
            self._changes.append(item)
            self._changed.notify_all()

    def delete(self, key):
        with self._changed:
            if self._items.pop(key, None) is None:
                return
            self.revision += 1
            self._changes.append(
                {'key': key, 'revision': self.revision, 'tombstone': True}
            )
            self._changed.notify_all()

    def handle(self, request, sock):
        url = urllib.parse.urlsplit(request.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        prefix = query.get('prefix', '')
        status, body = 404, {}
        if url.path == '/lagoonbend/kv-range':
            with self._changed:
                items = [
                    item
                    for key, item in sorted(self._items.items())
                    if key.startswith(prefix) and key > query.get('after', '')
                ]
                status, body = 200, {
                    'entries': items[:500],
                    'has-more': len(items) > 500,
                    'as-of': self.revision,
                }
        elif url.path == '/lagoonbend/kv-watch':
            after = int(query['after'])
            end_s = now_s() + int(query.get('wait-ms', '0')) / 1000
            with self._changed:
                while True:
                    events = [
                        item
                        for item in self._changes
                        if item['revision'] > after
                        and item['key'].startswith(prefix)
                    ]
                    left_s = end_s - now_s()
                    if events or left_s <= 0:
                        break
                    self._changed.wait(left_s)
                status, body = 200, {
                    'events': events, 'as-of': self.revision
                }
        elif url.path == '/lagoonbend/kv-key':
            with self._changed:
                item = self._items.get(query.get('key', ''))
                if item is not None:
                    status, body = 200, {**item, 'as-of': self.revision}
        content = json.dumps(body).encode()
        sock.sendall(
            f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
            f'Content-Length: {len(content)}\r\n\r\n'.encode() + content
        )
        return True


class Server(Listener):
    """A server of a service; ``behave`` may replace its sound answer."""

    def __init__(self, name, service, record, slots=8, zone=ZONES[0], port=0):
        self.name = name
        self.service = service
        self.record = record
        self.slots = slots
        self.zone = zone
        self.behave = None
        self.work_s = 0.02
        self.event_count = 4
        self.event_gap_s = 0.01
        self.runs = []
        super().__init__(port)

    def entry(self, state='ready', version='1', born_ms=BORN_MS):
        return {
            'service': self.service,
            'address': self.endpoint,
            'zone': self.zone,
            'version': version,
            'slots': self.slots,
            'state': state,
            'cold-remaining-ms': 0,
            'sequence': 1,
            'born': born_ms,
        }

    def handle(self, request, sock):
        if request.path == '/healthz':
            sock.sendall(
                f'HTTP/1.1 200 OK\r\nInstance-Id: {self.name}\r\n'
                'Content-Length: 0\r\n\r\n'.encode()
            )
            return True
        attempt = request.get('attempt-id')
        if request.get('expect-instance', self.name) != self.name:
            sock.sendall(
                f'HTTP/1.1 421 X\r\nAttempt-Id: {attempt}\r\n'
                'Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            return True
        self.runs.append((now_s(), attempt, request))
        self.record.write(
            f'server {self.name} runs {attempt} {request.method} '
            f'{request.path}, {len(request.body)} bytes of body'
        )
        if self.behave is not None:
            result = self.behave(self, request, sock)
            if result is not None:
                return result
        return self.answer_soundly(request, sock)

    def head(self, request, status=200, more=()):
        lines = [
            f'HTTP/1.1 {status} X',
            f'Attempt-Id: {request.get("attempt-id")}',
            f'Server-Stamp: stamp-of-{self.name}',
            *more,
        ]
        return ('\r\n'.join(lines) + '\r\n\r\n').encode()

    def answer_soundly(self, request, sock):
        time.sleep(self.work_s)
        if '/stream/' in request.path:
            first = int(request.get('last-event-id') or 0) + 1
            sock.sendall(
                self.head(
                    request,
                    more=(
                        'Content-Type: text/event-stream',
                        'Transfer-Encoding: chunked',
                    ),
                )
            )
            for number in range(first, self.event_count + 1):
                event = f'id: {number}\ndata: piece {number}\n\n'.encode()
                sock.sendall(b'%x\r\n%b\r\n' % (len(event), event))
                time.sleep(self.event_gap_s)
            sock.sendall(b'0\r\n\r\n')
            return True
        body = b'done'
        sock.sendall(
            self.head(request, more=(f'Content-Length: {len(body)}',)) + body
        )
        return True


def make_route(name, service, kind='safe', **fields):
    """Return a route as the operator writes it."""
    return {
        'name': name,
        'hostname': HOST,
        'prefix': f'/{name}/',
        'service': service,
        'route-kind': kind,
        'timeout-ms': 4_000,
        'target-latency-ms': 500,
        'max-attempts': 2,
        'priority': 0,
        **fields,
    }


def make_config(version, routes, services, **fields):
    """Return a configuration; ``services`` has further fields by name."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'health-path': '/healthz',
                'max-connections': 600,
                **more,
            }
            for name, more in services.items()
        ],
        'tenants': [
            {
                'name': 'first-tenant',
                'api-keys': [KEY],
                'rate-per-s': 0,
                'burst': 0,
                'unit': 'token_count',
                'uncached-tokens': 200,
            }
        ],
        'limits': {
            'max-header-bytes': 16_384,
            'max-body-bytes': 4_194_304,
            'header-timeout-ms': 3_000,
            'idle-timeout-ms': 15_000,
        },
        **fields,
    }


BOUNDS = {
    'stable-window-ms': 3000, 'ack-ms': 4000, 'drain-ms': 2000, 'grace-s': 8,
    'loss-slack-ms': 200, 'config-apply-ms': 2000, 'rollback-slack-ms': 250,
    'outer-ms': 5000, 'fail-closed': True, 'revoke-ms': 5000,
    'retry-budget-ratio': 0.2, 'retry-window-s': 10, 'retry-slack': 54,
    'quota-window-s': 8, 'quota-overshoot': 0.25, 'quota-slack': 110000,
    'recover-s': 12, 'pass-ms': 120, 'reuse-window-s': 7.9,
}


def render(template, fields):
    """Fill a template as DEPLOY.md tells it: sections and placeholders."""

    def look(name, scopes):
        if name == '.':
            return scopes[0]
        for scope in scopes:
            value = scope
            for part in name.split('.'):
                if isinstance(value, list) and part.isdigit():
                    value = value[int(part)] if int(part) < len(value) else None
                elif isinstance(value, dict):
                    value = value.get(part)
                else:
                    value = None
                if value is None:
                    break
            if value is not None:
                return value
        return None

    def fill(text, scopes):
        pattern = re.compile(r'\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}', re.S)

        def section(match):
            mark, name, inner = match.groups()
            value = look(name, scopes)
            if mark == '^':
                return '' if value else fill(inner, scopes)
            if value is None or value is False:
                return ''
            entries = value if isinstance(value, list) else [value]
            return ''.join(fill(inner, [entry, *scopes]) for entry in entries)

        def place(match):
            value = look(match[1], scopes)
            if value is None:
                return ''
            return str(value) if not isinstance(value, bool) else (
                'true' if value else 'false'
            )

        text = pattern.sub(section, text)
        return re.sub(r'\{\{([^}#^/]+)\}\}', place, text)

    return fill(template, [fields])


def find_free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(('127.0.0.1', 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Fleet:
    """Processes of the project, before a store and servers."""

    def __init__(self, count, store, record, bounds=None, zones=ZONES):
        self.store = store
        self.record = record
        self.directory = tempfile.TemporaryDirectory()
        self._ports = [find_free_ports(4) for _ in range(count)]
        self._bounds = {**BOUNDS, **(bounds or {})}
        self._zones = zones
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._role = deploy['roles']['entry']
        self.processes = [None] * count
        for number in range(count):
            self.start(number)

    def callers_port(self, number):
        return self._ports[number][0]

    def start(self, number):
        """Start a process, for the first time or again."""
        callers, readiness, control, metrics = self._ports[number]
        fields = {
            'node-name': f'edge-{number}',
            'ip': '127.0.0.1',
            'zone': self._zones[number % len(self._zones)],
            'listen': {
                'frontend': f'127.0.0.1:{callers}',
                'readiness': f'127.0.0.1:{readiness}',
                'control': f'127.0.0.1:{control}',
            },
            'internal-port-range': [metrics, metrics],
            'seeds': [f'127.0.0.1:{ports[2]}' for ports in self._ports[:3]],
            'bounds': self._bounds,
            'platform': {'address': self.store.endpoint},
        }
        template = (ROOT / self._role['template']).read_text()
        path = pathlib.Path(self.directory.name) / f'edge-{number}.ini'
        path.write_text(render(template, fields))
        words = self._role['run'].split()
        if words[0] == 'python3':
            words[0] = os.environ.get('PYTHON', 'python3')
        log = open(pathlib.Path(self.directory.name) / f'{number}.log', 'ab')
        self.processes[number] = subprocess.Popen(
            words,
            cwd=ROOT,
            env={
                'PATH': os.environ.get('PATH', ''),
                'HOME': os.environ.get('HOME', self.directory.name),
                'LANG': 'C.UTF-8',
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'LAGOONBEND_SETTINGS': str(path),
            },
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.write(f'machine {number} starts')

    def log_text(self, number):
        path = pathlib.Path(self.directory.name) / f'{number}.log'
        return path.read_text(errors='replace')

    def is_ready(self, number):
        try:
            status, _, _ = call(
                self._ports[number][1], 'GET', '/lagoonbend/readyz', {}, 1.0
            )
        except OSError:
            return False
        return status == 200

    def wait_ready(self, timeout_s=20.0):
        end_s = now_s() + timeout_s
        while not all(self.is_ready(n) for n in range(len(self.processes))):
            if now_s() > end_s:
                return False
            time.sleep(0.1)
        return True

    def memory_mb(self, number):
        """Return the memory that a process has in use now."""
        pid = self.processes[number].pid
        try:
            text = pathlib.Path(f'/proc/{pid}/status').read_text()
        except OSError:
            return 0.0
        match = re.search(r'VmRSS:\s+(\d+) kB', text)
        return int(match[1]) / 1024 if match else 0.0

    def signal(self, number, what):
        self.record.write(f'machine {number} gets {what.name}')
        self.processes[number].send_signal(what)

    def stop(self):
        for process in self.processes:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            if process is not None:
                process.wait()
        self.directory.cleanup()


def call(port, method, path, headers, timeout_s, body=None):
    """Send one request on a new connection; return status, headers, body."""
    connection = http.client.HTTPConnection(
        '127.0.0.1', port, timeout=timeout_s
    )
    try:
        connection.request(method, path, body=body, headers=headers)
        answer = connection.getresponse()
        return answer.status, answer.headers, answer.read()
    except http.client.HTTPException as error:
        raise ConnectionError(f'{type(error).__name__}: {error}') from error
    finally:
        connection.close()


def client_headers(attempt, deadline_ms=4_000, **more):
    return {
        'Host': HOST,
        'Attempt-Id': attempt,
        'Authorization': f'Bearer {KEY}',
        'Deadline-Ms': str(deadline_ms),
        **more,
    }


def is_disrupted():
    return os.environ.get('TROUBLE', '1') != '0'

