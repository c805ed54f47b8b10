"""Stand-ins of the platform's store, of servers and of clients.

They use the standard library only, listen on loopback addresses and run in
threads of the test's process. Instances run as processes of their own, with
the command of deploy/system.toml.
"""

import base64
import http.client
import http.server
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'calls.example'
MAX_RUN_S = 114


def find_free_ports(count):
    """Return distinct free ports of the loopback address.

    They are below the ports that the system gives to outgoing connections, so
    that none is taken before an instance listens on it, or while it is down.
    """
    ports = []
    socks = []
    numbers = random.SystemRandom().sample(range(10_000, 32_000), 2_000)
    for number in numbers:
        sock = socket.socket()
        try:
            sock.bind(('127.0.0.1', number))
        except OSError:
            sock.close()
            continue
        socks.append(sock)
        ports.append(number)
        if len(ports) == count:
            break
    for sock in socks:
        sock.close()
    return ports


class Record:
    """Writes record.txt: what was sent, answered and run, with times."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._lock = threading.Lock()
        self.started_s = time.monotonic()

    def add(self, text):
        with self._lock:
            at_s = time.monotonic() - self.started_s
            self._file.write(f'{at_s:8.3f} {text}\n')
            self._file.flush()


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True

    def log_message(self, *unused):
        pass

    def _serve(self):
        length = int(self.headers.get('Content-Length') or 0)
        body = self.rfile.read(length)
        self.server.owner.handle(self, body)

    do_GET = do_POST = do_DELETE = _serve

    def reply(self, status, body=b'', **headers):
        self.send_response_only(status, 'X')
        for name, value in headers.items():
            self.send_header(name.replace('_', '-'), str(value))
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, *unused):
        pass


class Listener:
    """An HTTP server whose requests ``handle`` answers."""

    def __init__(self, port=0):
        self._server = _Server(('127.0.0.1', port), _Handler)
        self._server.owner = self
        self.endpoint = f'127.0.0.1:{self._server.server_address[1]}'
        threading.Thread(target=self._server.serve_forever, daemon=True).start()


class Store(Listener):
    """The platform's store, as PROTOCOL and the news pages describe it."""

    def __init__(self, record, history_s=20.0):
        self._history_s = history_s
        self._dropped_revision = 0
        self._changed = threading.Condition()
        self._record = record
        self.revision = 10
        self.era = 1
        self.is_away = False
        self._items = {}
        self._changes = []
        self._copies = []
        self._written = {}
        super().__init__()

    def put(self, key, value):
        """Write an item; return the time of the acknowledgement."""
        with self._changed:
            self._written[key] = value
            if self.is_away:
                return None
            self._put(key, value)
            return time.monotonic()

    def _put(self, key, value):
        self.revision += 1
        created = self._items.get(key, {}).get('created', self.revision)
        item = {
            'key': key,
            'value': base64.b64encode(json.dumps(value).encode()).decode(),
            'revision': self.revision,
            'created': created,
            'lease': 0,
        }
        self._items[key] = item
        self._changes.append(item)
        self._copies.append(
            (time.monotonic(), self.revision, dict(self._items))
        )
        self._changed.notify_all()

    def delete(self, key):
        """Remove an item."""
        with self._changed:
            self._written.pop(key, None)
            if self._items.pop(key, None) is None:
                return
            self.revision += 1
            self._changes.append(
                {'key': key, 'revision': self.revision, 'tombstone': True}
            )
            self._copies.append(
                (time.monotonic(), self.revision, dict(self._items))
            )
            self._changed.notify_all()

    def drill(self, copy_age_s, away_s, rewrite_s):
        """Go away, come back from a copy, and get the writes again.

        :param copy_age_s: age of the copy at the return.
        :param away_s: time for which the store answers 503.
        :param rewrite_s: time after the return at which the operator and the
            servers have written again what they wrote.
        """
        with self._changed:
            self.is_away = True
            self._changed.notify_all()
        self._record.add('store: away')
        time.sleep(away_s)
        with self._changed:
            until_s = time.monotonic() - copy_age_s
            copies = [copy for copy in self._copies if copy[0] <= until_s]
            _, self.revision, items = copies[-1]
            self._items = dict(items)
            self._changes = [
                c for c in self._changes if c['revision'] <= self.revision
            ]
            self._copies = copies
            self.era += 1
            self.is_away = False
            self._changed.notify_all()
        self._record.add(
            f'store: back from a copy {copy_age_s:.1f} s old, era {self.era}'
        )
        time.sleep(rewrite_s)
        with self._changed:
            for key, value in self._written.items():
                text = base64.b64encode(json.dumps(value).encode()).decode()
                if self._items.get(key, {}).get('value') != text:
                    self._put(key, value)
                    self._record.add(f'store: {key} is written again')

    def handle(self, request, body):
        path, _, query = request.path.partition('?')
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        with self._changed:
            if self.is_away:
                return self._answer(request, 503, {})
            if path == '/lagoonbend/kv-range':
                after = fields.get('after', '')
                entries = [
                    item
                    for key, item in sorted(self._items.items())
                    if key.startswith(fields.get('prefix', '')) and key > after
                ]
                return self._answer(
                    request,
                    200,
                    {
                        'entries': entries,
                        'has-more': False,
                        'as-of': self.revision,
                    },
                )
            if path != '/lagoonbend/kv-watch':
                return self._answer(request, 404, {})
            return self._watch(request, fields)

    def _watch(self, request, fields):
        after = int(fields['after'])
        prefix = fields.get('prefix', '')
        end_s = time.monotonic() + int(fields.get('wait-ms', 0)) / 1000
        era = self.era
        self._drop_history()
        if after > self.revision or after < self._dropped_revision:
            return self._answer(request, 410, {})
        while True:
            if self.is_away or self.era != era:
                # A watch that is waiting may be cut.
                request.close_connection = True
                return request.connection.shutdown(socket.SHUT_RDWR)
            events = [
                c
                for c in self._changes
                if c['revision'] > after and c['key'].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return self._answer(
                    request, 200, {'events': events, 'as-of': self.revision}
                )
            self._changed.wait(left_s)

    def _drop_history(self):
        """Drop the changes that are older than the history kept."""
        oldest_s = time.monotonic() - self._history_s
        dropped = [copy[1] for copy in self._copies if copy[0] < oldest_s]
        if dropped:
            self._dropped_revision = max(dropped)
            self._changes = [
                c
                for c in self._changes
                if c['revision'] > self._dropped_revision
            ]

    def _answer(self, request, status, body):
        request.reply(
            status,
            json.dumps(body).encode(),
            Content_Type='application/json',
            Store_Era=self.era,
        )


class Server(Listener):
    """A sound server that runs each request that is meant for it."""

    def __init__(self, name, service, record, work_s=0.02, port=0):
        self.name = name
        self.service = service
        self.work_s = work_s
        self.born_ms = int(time.time() * 1000)
        self.runs = []
        self._record = record
        super().__init__(port)

    def register(self, store, zone, state='ready'):
        """Write the server's entry to the store."""
        return store.put(
            f'servers/{self.name}',
            {
                'service': self.service,
                'address': self.endpoint,
                'zone': zone,
                'version': 'v1',
                'born': self.born_ms,
                'slots': 8,
                'state': state,
                'cold-remaining-ms': 0,
                'sequence': 1,
            },
        )

    def handle(self, request, body):
        headers = request.headers
        if request.path == '/healthz':
            return request.reply(200, Instance_Id=self.name)
        attempt = headers.get('Attempt-Id', '')
        expected = headers.get('Expect-Instance', self.name)
        if expected != self.name:
            return request.reply(421, Attempt_Id=attempt)
        if not attempt:
            return request.reply(400, Not_Executed=1)
        self.runs.append(
            (time.monotonic(), attempt, request.path, headers.get('Tenant'))
        )
        self._record.add(
            f'{self.name}: runs {attempt} {request.path}'
            f' for {headers.get("Tenant")}'
        )
        time.sleep(self.work_s)
        return request.reply(
            200,
            b'ran ' + self.service.encode(),
            Attempt_Id=attempt,
            Server_Stamp=f'{self.name}.{attempt}',
        )


def build_configuration(version, routes, services, tenants):
    """Return a configuration; routes are (name, service, kind)."""
    return {
        'version': version,
        'routes': [
            {
                'name': name,
                'hostname': HOST,
                'prefix': f'/{name}/',
                'route-kind': kind,
                'service': service,
                'timeout-ms': 3000,
                'target-latency-ms': 400,
                'max-attempts': 2,
                'priority': 0,
                'public': False,
                'sticky': False,
                'resumable': False,
            }
            for name, service, kind in routes
        ],
        'services': [
            {
                'name': name,
                'max-connections': 100,
                'health-path': '/healthz',
            }
            for name in services
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 1048576,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 10000,
        },
        'tenants': [
            {'name': name, 'api-keys': keys, 'rate-per-s': 0, 'burst': 0}
            for name, keys in tenants.items()
        ],
    }


SETTINGS = """\
[instance]
name = {name}
failure_domain = {zone}

[listen]
callers_endpoint = 127.0.0.1:{callers}
readiness_endpoint = 127.0.0.1:{readiness}
peers_endpoint = 127.0.0.1:{peers}
metrics_endpoint = 127.0.0.1:{metrics}

[peers]
seed_endpoints = {seeds}

[platform]
endpoint = {store}

[bounds]
revoke_ms = 5000
config_apply_ms = 2000
drain_ms = 2000
retry_ratio = 0.2
retry_slack = 54
retry_window_s = 10
limit_overshoot_ratio = 0.25
limit_slack = 110000
limit_window_s = 8
grace_s = 8

[scheduling]
call_age = first_send
customer_order = fair_share
"""


class Instance:
    """A process of the system, run as deploy/system.toml says."""

    def __init__(self, number, zone, ports, seeds, store, folder, record):
        self.name = f'edge-{zone}-{number}'
        self.callers, self.readiness, self.peers, self.metrics = ports
        self._record = record
        self._folder = pathlib.Path(folder)
        self._settings = self._folder / f'{self.name}.ini'
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                zone=zone,
                callers=self.callers,
                readiness=self.readiness,
                peers=self.peers,
                metrics=self.metrics,
                seeds=' '.join(seeds),
                store=store,
            ),
            encoding='utf-8',
        )
        self.process = None

    def start(self):
        """Start the process."""
        environment = {
            name: value
            for name, value in os.environ.items()
            if name in ('PATH', 'HOME', 'LANG')
        }
        environment['LAGOONBEND_SETTINGS'] = str(self._settings)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with open(self._folder / f'{self.name}.log', 'ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'lagoonbend_entry.gateway'],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record.add(f'{self.name}: started')

    def send_signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)
        self._record.add(f'{self.name}: gets {signal.Signals(number).name}')

    def kill(self):
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def is_ready(self):
        """Return True if the instance says that it is ready."""
        status = send(self.readiness, '/lagoonbend/readyz', timeout_s=1)[0]
        return status == 200

    def wait_ready(self, timeout_s=15):
        """Wait until the instance is ready; return False if it isn't."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if self.is_ready():
                return True
            time.sleep(0.05)
        return False


def send(port, path, headers=None, method='GET', body=None, timeout_s=5):
    """Send a request on a new connection; return status, headers and body.

    The status is 0 if the connection is refused or ends without an answer.
    """
    connection = http.client.HTTPConnection(
        '127.0.0.1', port, timeout=timeout_s
    )
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, {}, repr(error).encode()
    finally:
        connection.close()


def _stop(number, frame):
    """End the case, with all processes that it has started."""
    raise RuntimeError(f'ended by {signal.Signals(number).name}')


def main(run):
    """Run a case; exit with 1 if the rule was broken, 2 if it couldn't run."""
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder / 'record.txt')
    record.add(f'TROUBLE={int(has_trouble)}')
    instances = []
    code = 2
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, _stop)
    signal.alarm(MAX_RUN_S)
    with tempfile.TemporaryDirectory(dir=os.environ.get("LOGS_IN")) as temporary:
        try:
            code = run(record, temporary, instances, has_trouble)
        except Exception as error:
            record.add(f'the case could not run: {error!r}')
        finally:
            for instance in instances:
                instance.kill()
    record.add(f'exit code {code}')
    print(f'exit code {code}', flush=True)
    os._exit(code)
