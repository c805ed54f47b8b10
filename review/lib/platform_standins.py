"""Stand-ins of the platform for the review's scripts, on loopback only.

They use nothing but Python's standard library. ``Store`` publishes items,
``Server`` runs requests, ``Instance`` is a process of this project, started as
the deploy file says, and ``Balancer`` chooses the instance of a connection.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'calls.example'
KEY = 'k-first'
TOKENS_PER_EVENT = 4
SETTINGS = """\
[instance]
name = {name}
failure_domain = {domain}

[listen]
callers_endpoint = 127.0.0.1:{ports[0]}
readiness_endpoint = 127.0.0.1:{ports[1]}
peers_endpoint = 127.0.0.1:{ports[2]}
metrics_endpoint = 127.0.0.1:{ports[3]}

[peers]
seed_endpoints = {seeds}

[platform]
endpoint = {store}

[bounds]
revoke_ms = 5000
retry_ratio = 0.2
retry_slack = 54
retry_window_s = 10
limit_overshoot_ratio = 0.25
limit_slack = 110000
limit_window_s = 8
grace_s = 8
"""


def find_free_ports(count):
    """Return free ports below those that the system gives to clients."""
    ports = []
    for port in random.sample(range(20_000, 32_000), 12_000):
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(('127.0.0.1', port))
            ports.append(port)
        if len(ports) == count:
            break
    return ports


def owns_port(pid, port):
    """Return whether a process has a connection from a loopback port."""
    inodes = set()
    for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].rpartition(':')[2], 16) == port:
            inodes.add(f'socket:[{fields[9]}]')
    try:
        descriptors = list(pathlib.Path(f'/proc/{pid}/fd').iterdir())
    except OSError:
        return False
    for descriptor in descriptors:
        with contextlib.suppress(OSError):
            if os.readlink(descriptor) in inodes:
                return True
    return False


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._started_s = time.monotonic()

    def write(self, text):
        """Write one line."""
        self._file.write(f'{time.monotonic() - self._started_s:9.3f} {text}\n')
        self._file.flush()


async def read_head(reader):
    """Return the first line and the headers of a message; None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError('connection closed in a head') from error
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return the body of a message that has a length or chunks."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        async for chunk in read_chunks(reader):
            body += chunk
        return body
    return await reader.readexactly(int(headers.get('content-length', 0)))


async def read_chunks(reader):
    """Yield the chunks of a body; raise if it ends too soon."""
    while True:
        line = await reader.readline()
        if not line.endswith(b'\r\n'):
            raise ConnectionError('connection closed in a body')
        size = int(line, 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


def encode_answer(status, headers, body=b''):
    """Return a complete answer with a Content-Length."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


class HttpServer:
    """Accepts connections and answers their requests one by one."""

    def __init__(self):
        self.endpoint = ''
        self._server = None
        self.writers = set()

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.endpoint = f'127.0.0.1:{port}'

    async def _serve(self, reader, writer):
        if not self.accepts(writer):
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while (message := await read_head(reader)) is not None:
                line, headers = message
                method, target, _ = line.split(' ')
                body = await read_body(reader, headers)
                if not await self.answer(
                    method, target, headers, body, reader, writer
                ):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    def accepts(self, writer):
        """Return whether a new connection is served, and not reset."""
        return True

    async def answer(self, method, target, headers, body, reader, writer):
        """Answer a request; return False to close the connection."""
        raise NotImplementedError

    def stop(self):
        """Stop listening, and close all connections."""
        self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(HttpServer):
    """The platform's store: items with revisions, listed and watched."""

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.era = 1
        self.items = {}
        self.changes = []
        self._changed = asyncio.Event()

    def put(self, key, value):
        """Write an item as the operator or a server does."""
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        item = {
            'key': key,
            'value': text,
            'revision': self.revision,
            'created': self.revision,
            'lease': 0,
        }
        self.items[key] = item
        self._record(item)

    def delete(self, key):
        """Remove an item."""
        self.revision += 1
        self.items.pop(key, None)
        self._record(
            {'key': key, 'revision': self.revision, 'tombstone': True}
        )

    def _record(self, change):
        self.changes.append(change)
        self.wake()

    def wake(self):
        """Let waiting watches look for changes."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, method, target, headers, body, reader, writer):
        path, _, query_text = target.partition('?')
        query = dict(urllib.parse.parse_qsl(query_text))
        prefix = query.get('prefix', '')
        if path == '/lagoonbend/kv-range':
            entries = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(prefix) and key > query.get('after', '')
            ]
            content = {
                'entries': entries[:500],
                'has-more': len(entries) > 500,
                'as-of': self.revision,
            }
            return await self._send(writer, 200, content)
        if path != '/lagoonbend/kv-watch':
            return await self._send(writer, 404, {})
        after = int(query['after'])
        if after > self.revision:
            return await self._send(writer, 410, {})
        end_s = time.monotonic() + int(query['wait-ms']) / 1000
        era = self.era
        while True:
            events = [
                change
                for change in self.changes
                if change['revision'] > after
                and change['key'].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                break
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
            if self.era != era:
                return await self._send(writer, 410, {})
        content = {'events': events, 'as-of': self.revision}
        return await self._send(writer, 200, content)

    async def _send(self, writer, status, content):
        headers = {
            'Content-Type': 'application/json',
            'Store-Era': str(self.era),
        }
        data = json.dumps(content).encode()
        writer.write(encode_answer(status, headers, data))
        await writer.drain()
        return True


class Server(HttpServer):
    """A sound server: an engine that streams events, or a plain service.

    :param work_s: function that returns the time that a plain request takes.
    """

    def __init__(
        self,
        name,
        service,
        record,
        version='v1',
        interval_s=0.1,
        work_s=lambda: 0.06,
    ):
        super().__init__()
        self.name = name
        self.service = service
        self.version = version
        self.born_ms = time.time_ns() // 1_000_000
        self.runs = []
        self.bodies = {}
        self.kept = {}
        self.active = 0
        self.slots = 11
        self._record = record
        self._interval_s = interval_s
        self._work_s = work_s
        self.cut = None
        self.extra_fields = {}

    def cut_off(self, instance):
        """Reset all connections of an instance; None ends the cut."""
        self.cut = instance
        for writer in list(self.writers):
            if not self.accepts(writer):
                writer.transport.abort()

    def accepts(self, writer):
        if self.cut is None:
            return True
        port = writer.get_extra_info('peername')[1]
        return not owns_port(self.cut.process.pid, port)

    def describe(self, state='ready'):
        """Return the entry that the server writes to the store."""
        return {
            'service': self.service,
            'address': self.endpoint,
            'zone': 'north',
            'version': self.version,
            'slots': self.slots,
            'state': state,
            'cold-remaining-ms': 0,
            'sequence': 1,
            'born': self.born_ms,
        }

    async def answer(self, method, target, headers, body, reader, writer):
        if target == '/healthz':
            fields = {'Instance-Id': self.name}
            writer.write(encode_answer(200, fields))
            return True
        if target.startswith('/lagoonbend/kv-list'):
            held = [['', part, tokens, 'm'] for part, tokens in self.kept.items()]
            content = {'epoch': self.born_ms, 'next': 1, 'held': held}
            writer.write(encode_answer(200, {}, json.dumps(content).encode()))
            return True
        attempt = headers.get('attempt-id', '')
        if headers.get('expect-instance', self.name) != self.name:
            fields = {'Attempt-Id': attempt, 'Not-Executed': '1'}
            writer.write(encode_answer(421, fields))
            return True
        if not attempt:
            writer.write(encode_answer(400, {'Not-Executed': '1'}))
            return True
        if self.active >= self.slots:
            fields = {'Attempt-Id': attempt, 'Not-Executed': '1'}
            writer.write(encode_answer(503, fields))
            return True
        self.runs.append(attempt)
        self.bodies[attempt] = body
        last = int(headers.get('last-event-id', 0))
        self._record.write(
            f'{self.name} ({self.version}) runs {attempt} from event {last + 1}'
        )
        for part in headers.get('prefix-hash', '').split(','):
            part_id, _, tokens = part.partition(':')
            if tokens:
                self.kept[part_id] = int(tokens)
        self.active += 1
        try:
            if '/stream/' in target:
                output = int(headers['token-usage'].partition(',')[2])
                count = output // TOKENS_PER_EVENT
                await self._stream(attempt, last, count, writer)
            else:
                await self._work(attempt, reader, writer)
        finally:
            self.active -= 1
        return True

    def _fields(self, attempt):
        return {
            'Attempt-Id': attempt,
            'Server-Stamp': f'{self.name}.{attempt}',
            'Server-Load': f'{self.active},0,{self.slots}',
            **self.extra_fields,
        }

    async def _work(self, attempt, reader, writer):
        work = asyncio.create_task(asyncio.sleep(self._work_s()))
        gone = asyncio.create_task(reader.read(1))
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            self._record.write(f'{self.name} stops {attempt}: caller has gone')
            raise ConnectionError('caller has gone')
        gone.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await gone
        body = f'done by {self.name}'.encode()
        writer.write(encode_answer(200, self._fields(attempt), body))
        await writer.drain()

    async def _stream(self, attempt, last, count, writer):
        fields = self._fields(attempt) | {
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        lines = ['HTTP/1.1 200 X']
        lines += [f'{name}: {value}' for name, value in fields.items()]
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
        for number in range(last + 1, count + 1):
            await asyncio.sleep(self._interval_s)
            event = f'id: {number}\ndata: {self.version} {self.name}\n\n'
            writer.write(b'%x\r\n%b\r\n' % (len(event), event.encode()))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()


class Instance:
    """A process of this project."""

    def __init__(self, name, domain, ports, seeds, store, folder):
        self.name = name
        self.ports = ports
        self._settings = pathlib.Path(folder) / f'{name}.ini'
        self._log_path = pathlib.Path(folder) / f'{name}.log'
        self._settings.write_text(
            SETTINGS.format(
                name=name, domain=domain, ports=ports, seeds=seeds, store=store
            )
        )
        self.process = None
        self.in_rotation = False
        self.misses = 0

    def start(self):
        """Start the process with the command of the deploy file."""
        kept = ('PATH', 'HOME', 'LANG')
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env |= {
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'LAGOONBEND_SETTINGS': str(self._settings),
        }
        with open(self._log_path, 'ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'lagoonbend_entry.gateway'],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def read_log(self):
        """Return the events that the process has logged."""
        events = []
        for line in self._log_path.read_text(errors='replace').splitlines():
            with contextlib.suppress(ValueError):
                events.append(json.loads(line))
        return events

    def find_deciders(self):
        """Return the addresses that the process takes for deciders."""
        deciders = {}
        for event in self.read_log():
            if 'decider' in event and 'before' in event:
                deciders[event['service']] = event['decider']
        return set(deciders.values())

    @property
    def address(self):
        """The address for peers."""
        return f'127.0.0.1:{self.ports[2]}'

    def send_signal(self, number):
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        """End the process at once."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def is_ready(self):
        """Return whether the process reports itself as ready."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection('127.0.0.1', self.ports[1]), 1
            )
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(
                b'GET /lagoonbend/readyz HTTP/1.1\r\nHost: x\r\n\r\n'
            )
            head = await asyncio.wait_for(read_head(reader), 1)
            return head is not None and ' 200 ' in head[0]
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()


class Balancer:
    """Asks the instances once a second whether they are ready."""

    def __init__(self, instances):
        self.instances = instances
        self._turn = 0

    async def run(self):
        """Check the instances until the task is cancelled."""
        while True:
            for instance in self.instances:
                if await instance.is_ready():
                    instance.misses = 0
                    instance.in_rotation = True
                else:
                    instance.misses += 1
                    if instance.misses >= 2:
                        instance.in_rotation = False
            await asyncio.sleep(1)

    def choose(self):
        """Return the instance for a new connection."""
        ready = [i for i in self.instances if i.in_rotation] or self.instances
        self._turn += 1
        return ready[self._turn % len(ready)]


class World:
    """The store, servers and instances of one script; ends them all."""

    def __init__(self, record, instance_count=3, domains=('north', 'south')):
        self.record = record
        self.store = Store()
        self.servers = {}
        self.folder = tempfile.TemporaryDirectory()
        self.instances = []
        self.balancer = Balancer(self.instances)
        self._instance_count = instance_count
        self._domains = domains
        self._tasks = []

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *unused):
        for task in self._tasks:
            task.cancel()
        for instance in self.instances:
            instance.kill()
        for server in self.servers.values():
            server.stop()
        self.store.stop()
        self.folder.cleanup()

    async def add_server(self, server):
        """Start a server, and let it register."""
        await server.start()
        self.servers[server.name] = server
        self.store.put(f'servers/{server.name}', server.describe())

    async def start_instances(self):
        """Start all instances, and wait until they are ready."""
        count = self._instance_count
        ports = find_free_ports(4 * count)
        groups = [ports[4 * n : 4 * n + 4] for n in range(count)]
        seeds = ' '.join(f'127.0.0.1:{group[2]}' for group in groups[:3])
        for number, group in enumerate(groups):
            instance = Instance(
                f'edge-{number + 1}',
                self._domains[number % len(self._domains)],
                group,
                seeds,
                self.store.endpoint,
                self.folder.name,
            )
            instance.start()
            self.instances.append(instance)
        self._tasks.append(asyncio.create_task(self.balancer.run()))
        end_s = time.monotonic() + 20
        while not all(i.in_rotation for i in self.instances):
            if time.monotonic() > end_s:
                raise RuntimeError('instances are not ready')
            await asyncio.sleep(0.1)


def build_route(name, service, kind, timeout_ms, attempts=2, **more):
    """Return a route of the configuration."""
    return {
        'name': name,
        'hostname': HOST,
        'prefix': f'/{name}/',
        'route-kind': kind,
        'timeout-ms': timeout_ms,
        'target-latency-ms': 300,
        'priority': 0,
        'max-attempts': attempts,
        'service': service,
        'public': False,
        'sticky': False,
        'resumable': False,
        **more,
    }


def build_configuration(version, routes, tenants):
    """Return a configuration of the operator."""
    engines = {'chat': {'kv-capacity': 444_000}}
    names = sorted({route['service'] for route in routes})
    services = []
    for name in names:
        service = {
            'name': name,
            'max-connections': 620,
            'health-path': '/healthz',
        }
        if name in engines:
            service['engine'] = engines[name]
        services.append(service)
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'max-header-bytes': 16_384,
            'max-body-bytes': 4_194_304,
            'header-timeout-ms': 3_000,
            'idle-timeout-ms': 15_000,
        },
        'tenants': tenants,
    }


def encode_request(method, path, headers, body=b''):
    """Return a client's request."""
    lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body
