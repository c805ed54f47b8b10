"""A machine that reaches no server serves by an older configuration again."""

import http.client
import multiprocessing
import os
import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib-3'))
import cut_proxy
import standins

ZONES = ('zone-a', 'zone-b')
INSTANCES = 24
CUTS = 6
CUT_CHANGES = 4
CHANGES = CUTS * CUT_CHANGES
FIND_OUT_S = 2.4
CHANGE_INTERVAL_S = 2.11
SWITCH_S = 1.2
MENDED_S = 3.5
ROLLBACK_SLACK_S = 0.25
CUT = 5
CLIENTS = 5
BUSY_PAUSE_S = 0.01
PAUSE_S = 0.3
BUSY_BEFORE_S = 0.2
BUSY_AFTER_S = 0.8
MIN_SENT = 4_000


def build_configuration(version):
    """Return version 10 + N, which moves route N from ``old`` to ``new``."""
    return standins.build_configuration(
        10 + version,
        [
            (f'r{number}', 'new' if number <= version else 'old', 'safe')
            for number in range(1, CHANGES + 1)
        ],
        ['old', 'new'],
        {'first': ['key-a']},
    )


class Clients:
    """Clients of some machines, in a process of their own.

    :param machines: name and port of each machine.
    """

    def __init__(self, record, machines):
        self._record = record
        self._machines = machines
        self._sent = {}
        self._route = 1
        self._is_over = threading.Event()
        self._is_active = threading.Event()
        self._is_busy = threading.Event()
        context = multiprocessing.get_context('fork')
        self._commands, commands = context.Pipe()
        context.Process(target=self._run, args=(commands,)).start()
        commands.close()

    def set_active(self, is_active):
        self._commands.send(('active', is_active))

    def set_busy(self, is_busy):
        self._commands.send(('busy', is_busy))

    def set_route(self, number):
        self._commands.send(('route', number))

    def finish(self):
        """Return the time, route and machine of each request."""
        self._commands.send(('over', True))
        return self._commands.recv()

    def _run(self, commands):
        """Follow the commands until the test's process ends."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, signal.SIG_DFL)
        self._commands.close()
        threads = [
            threading.Thread(
                target=self._send, args=(name, port, f'c{n}'), daemon=True
            )
            for name, port in self._machines
            for n in range(CLIENTS)
        ]
        for thread in threads:
            thread.start()
        flags = {
            'active': self._is_active,
            'busy': self._is_busy,
            'over': self._is_over,
        }
        try:
            while not self._is_over.is_set():
                name, value = commands.recv()
                if name == 'route':
                    self._route = value
                elif value:
                    flags[name].set()
                else:
                    flags[name].clear()
            for thread in threads:
                thread.join()
            commands.send(self._sent)
        except (EOFError, OSError):
            pass
        os._exit(0)

    def _send(self, machine, port, name):
        count = 0
        connection = http.client.HTTPConnection('127.0.0.1', port, timeout=5)
        while not self._is_over.is_set():
            if not self._is_active.wait(0.1):
                connection.close()
                continue
            count += 1
            number = self._route
            attempt = f'{machine}.{name}.{count}'
            self._sent[attempt] = (time.monotonic(), number, machine)
            try:
                connection.request(
                    'GET',
                    f'/r{number}/{attempt}',
                    headers={
                        'Host': standins.HOST,
                        'Attempt-Id': attempt,
                        'Deadline-Ms': '2000',
                        'Authorization': 'Bearer key-a',
                    },
                )
                answer = connection.getresponse()
                status, body = answer.status, answer.read()
            except (OSError, http.client.HTTPException) as error:
                status, body = 0, repr(error).encode()
                connection.close()
            self._record.add(
                f'client: {attempt} on r{number} to {machine} is'
                f' answered {status} {body[:40]!r}'
            )
            if self._is_busy.is_set():
                time.sleep(BUSY_PAUSE_S)
            else:
                self._is_busy.wait(PAUSE_S)


def run(record, folder, instances, has_trouble):
    ports = standins.find_free_ports(4 * INSTANCES)
    # Five of the twelve machines of a zone; the first one gets no clients.
    cut_numbers = list(range(INSTANCES - 1, INSTANCES - 1 - 2 * CUT, -2))
    clients = Clients(
        record,
        [
            (f'edge-{ZONES[n % len(ZONES)]}-{n}', ports[4 * n])
            for n in cut_numbers[1:]
        ],
    )
    store = standins.Store(record)
    servers, proxies = [], []
    for service in ('old', 'new'):
        for number in range(3):
            server = standins.Server(f'i-{service}-{number}', service, record)
            proxy = cut_proxy.CutProxy(server.endpoint)
            server.endpoint = proxy.endpoint
            server.register(store, ZONES[number % len(ZONES)])
            servers.append(server)
            proxies.append(proxy)
    store.put('op/config', build_configuration(0))
    seeds = [f'127.0.0.1:{ports[4 * n + 2]}' for n in range(3)]
    for number in range(INSTANCES):
        instances.append(
            standins.Instance(
                number,
                ZONES[number % len(ZONES)],
                ports[4 * number : 4 * number + 4],
                seeds,
                store.endpoint,
                folder,
                record,
            )
        )
    for instance in instances:
        instance.start()
        time.sleep(0.13)
    if not all(instance.wait_ready(30) for instance in instances):
        return 2
    time.sleep(6.0)
    machines = [instances[number] for number in cut_numbers]
    names = ', '.join(machine.name for machine in machines)

    def set_cut(is_cut):
        if not has_trouble:
            return
        pids = [machine.process.pid for machine in machines]
        for proxy in proxies:
            proxy.cut(pids if is_cut else ())
        end = 'cut off from all servers' if is_cut else 'mended'
        record.add(f'{names}: are {end}')

    count = 0
    version = 0
    for _ in range(CUTS):
        set_cut(True)
        # One machine finds out, and lets the others check their links.
        end_s = time.monotonic() + FIND_OUT_S
        while time.monotonic() < end_s:
            count += 1
            standins.send(
                machines[0].callers,
                f'/r{version + 1}/first.{count}',
                {
                    'Host': standins.HOST,
                    'Attempt-Id': f'first.{count}',
                    'Deadline-Ms': '2000',
                    'Authorization': 'Bearer key-a',
                },
            )
            time.sleep(0.05)
        clients.set_active(True)
        time.sleep(0.6 - BUSY_BEFORE_S)
        for _ in range(CUT_CHANGES):
            clients.set_busy(True)
            time.sleep(BUSY_BEFORE_S)
            version += 1
            store.put('op/config', build_configuration(version))
            record.add(f'store: acknowledges the move of r{version} to new')
            time.sleep(BUSY_AFTER_S)
            clients.set_busy(False)
            time.sleep(SWITCH_S - BUSY_AFTER_S)
            clients.set_route(min(version + 1, CHANGES))
            time.sleep(CHANGE_INTERVAL_S - BUSY_BEFORE_S - SWITCH_S)
        clients.set_active(False)
        set_cut(False)
        time.sleep(MENDED_S)
    sent = clients.finish()
    runs = sorted(
        (at_s, server.service, attempt)
        for server in servers
        for at_s, attempt, *_ in server.runs
        if attempt in sent
    )
    record.add(f'{len(sent)} requests were sent, {len(runs)} ran')
    if len(runs) < len(sent) / 2:
        record.add('too few requests were served')
        return 2
    first_s = {}
    for at_s, service, attempt in runs:
        if service == 'new':
            _, number, machine = sent[attempt]
            first_s.setdefault((machine, number), at_s)
    broken = []
    for at_s, service, attempt in runs:
        sent_s, number, machine = sent[attempt]
        seen_s = first_s.get((machine, number))
        if service == 'new' or seen_s is None:
            continue
        late_s = sent_s - seen_s
        if late_s > ROLLBACK_SLACK_S:
            broken.append(attempt)
            record.add(
                f'{attempt} on r{number} was sent to {machine} {late_s:.3f} s'
                ' after a server had seen the effect of the move on a request'
                ' of that machine, and ran at old'
            )
    record.add(f'{len(broken)} requests were handled by an older version')
    if not broken and len(sent) < MIN_SENT:
        record.add('too few requests were sent to judge the rule')
        return 2
    return 1 if broken else 0


standins.main(run)
