"""A pause that a server asks for is forgotten when its entry is written."""

import os
import pathlib
import sys
import threading
import time
import traceback

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / 'lib-2'))
import standins  # noqa: E402

MACHINES = 2
CLIENTS = 3
DOWN_S = 0.3
HEARTBEAT_S = 1.0
"""Time from the start of the server until it writes its entry; the pages say
that a server writes approximately every 1,200 ms."""
WARMING_S = 1.0
"""Time after its start in which the server turns requests away."""
PAUSE_S = 6
CALM_S = 3.0
PLAY_S = 12.0
MAX_REACHING = 2


class Starting:
    """Turns requests away for the first second, then serves them."""

    def __init__(self, record):
        self.record = record
        self.started_s = time.monotonic()
        self.arrivals = []
        self.asked_s = {}

    def __call__(self, server, request, sock):
        now_s = time.monotonic()
        machine = request.get('x-machine')
        attempt = request.get('attempt-id')
        self.arrivals.append((now_s, machine, attempt))
        if now_s - self.started_s > WARMING_S:
            return None
        sock.sendall(
            f'HTTP/1.1 503 X\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n'
            f'Retry-After: {PAUSE_S}\r\nContent-Length: 0\r\n\r\n'.encode()
        )
        self.asked_s.setdefault(machine, []).append(time.monotonic())
        self.record.write(
            f'server {server.name} turns {attempt} of machine {machine} away: '
            f'nothing more for {PAUSE_S} s'
        )
        return True


def work(fleet, machine, name, end_s, outcomes, record):
    count = 0
    while time.monotonic() < end_s:
        count += 1
        attempt = f'{name}-{count}'
        try:
            status, _, _ = standins.call(
                fleet.callers_port(machine),
                'GET',
                '/desk/1',
                # The machine that a client asks, for the server's record.
                standins.client_headers(attempt, **{'X-Machine': str(machine)}),
                4.0,
            )
            text = str(status)
        except OSError as error:
            text = type(error).__name__
        outcomes.append(text)
        record.write(f'client has {text} to {attempt}')
        time.sleep(0.05)


def main():
    record = standins.Record(CASE / 'record.txt')
    store = standins.Store()
    servers = [
        standins.Server(f'desk-{n}', 'desk', record, slots=6) for n in range(2)
    ]
    for server in servers:
        store.put(f'servers/{server.name}', server.entry())
    store.put(
        'op/config',
        standins.make_config(
            1, [standins.make_route('desk', 'desk')], {'desk': {}}
        ),
    )
    fleet = standins.Fleet(MACHINES, store, record)
    try:
        if not fleet.wait_ready():
            record.write('the machines are not ready')
            return 2
        time.sleep(4.0)
        outcomes = []
        end_s = time.monotonic() + PLAY_S
        threads = [
            threading.Thread(
                target=work,
                args=(
                    fleet, machine, f'm{machine}-c{number}', end_s, outcomes,
                    record,
                ),
            )
            for machine in range(MACHINES)
            for number in range(CLIENTS)
        ]
        for thread in threads:
            thread.start()
        time.sleep(CALM_S)
        starting = None
        if standins.is_disrupted():
            first = servers[0]
            first.stop()
            record.write(f'server {first.name} ends')
            time.sleep(DOWN_S)
            again = standins.Server(
                first.name, 'desk', record, slots=6, port=first.port
            )
            record.write(f'server {again.name} has started again')
        else:
            # The same server turns requests away, without a restart.
            again = servers[0]
        starting = Starting(record)
        again.behave = starting
        time.sleep(HEARTBEAT_S)
        born_ms = standins.BORN_MS
        if standins.is_disrupted():
            born_ms += 3_600_000
        store.put(f'servers/{again.name}', again.entry(born_ms=born_ms))
        record.write(f'server {again.name} has written its entry')
        for thread in threads:
            thread.join()
        worst = 0
        for machine, asked_s in starting.asked_s.items():
            ends = [
                (asked + 0.5, asked + PAUSE_S) for asked in asked_s
            ]
            reaching = [
                attempt
                for at_s, sender, attempt in starting.arrivals
                if sender == machine
                and any(begin < at_s < end for begin, end in ends)
            ]
            worst = max(worst, len(reaching))
            record.write(
                f'machine {machine} was asked for a pause {len(asked_s)} '
                f'times; {len(reaching)} requests from it reached the server '
                f'in the pause'
            )
        if not starting.asked_s:
            record.write('no request was turned away')
            return 2
        return 1 if worst > MAX_REACHING else 0
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
