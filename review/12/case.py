"""Streams go on at another version than that of a server that has crashed.

With BACK=0 the server that crashes doesn't start again.
"""

import os
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib-3'))
import standins
import streams

ZONES = ('zone-a', 'zone-b', 'zone-c')
OLD_SERVERS = 6
SESSIONS = 32
BEGUN_AT_ONCE = 16
EVENT_S = 0.2
TURN_TOKENS = 10
KILL_S = 1.1
DOWN_S = 1.0
CRASH_S = 2.0
LAPSE_S = 3.3
TAKE_UP_S = 2.3
MOST_MIXED = 2


def run(record, folder, instances, has_trouble):
    store = standins.Store(record)
    old = [
        streams.StreamServer(f'i-one-{n}', 'v1', record, EVENT_S, slots=4)
        for n in range(OLD_SERVERS)
    ]
    configuration = standins.build_configuration(
        5, [('stream', 'model', 'streaming')], ['model'], {'first': ['key-a']}
    )
    configuration['routes'][0] |= {
        'resumable': True,
        'sticky': True,
        'gap-target-ms': 400,
        'timeout-ms': 8000,
    }
    configuration['services'][0]['engine'] = {'kv-capacity': 444000}
    store.put('op/config', configuration)
    for number, server in enumerate(old):
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
    received = {}

    def choose(number):
        return instances[number % len(instances)]

    def begin_session(number):
        """The first request of a session, at a server of v1."""
        attempt = f'turn-1-{number}'
        status, events = streams.read_stream(
            choose(number).callers, attempt, f'bb{number:04x}', {}
        )
        record.add(f'client: {attempt} is answered {status}, {len(events)} events')

    def go_on(number):
        """The next request of a session, which is taken up if it breaks off."""
        session = f'bb{number:04x}'
        tokens = (
            streams.PROMPT_TOKENS
            + streams.EVENTS * streams.TOKENS_PER_EVENT
            + TURN_TOKENS
        )
        prompt = {'Prefix-Hash': f'aa01:100,{session}:{tokens}'}
        first = attempt = f'turn-2-{number}'
        status, events = streams.read_stream(
            choose(number).callers, attempt, session, prompt
        )
        record.add(
            f'client: {attempt} at {choose(number).name} is answered {status},'
            f' events {events[:1]} to {events[-1:]}'
        )
        received[number] = events
        if not events or len(events) >= streams.EVENTS:
            return
        time.sleep(max(0.0, kill_s[0] + TAKE_UP_S - time.monotonic()))
        attempt = f'{first}-again'
        instance = choose(number + 1)
        status, more = streams.read_stream(
            instance.callers,
            attempt,
            session,
            prompt | {'Resumes': first, 'Last-Event-Id': str(events[-1][0])},
        )
        record.add(
            f'client: {attempt} takes {first} up at {instance.name}, is'
            f' answered {status}, events {more[:1]} to {more[-1:]}'
        )
        received[number] = events + more

    def run_all(act, numbers):
        clients = [
            threading.Thread(target=act, args=(number,), daemon=True)
            for number in numbers
        ]
        for client in clients:
            client.start()
            time.sleep(0.004)
        return clients

    for start in range(0, SESSIONS, BEGUN_AT_ONCE):
        numbers = range(start, start + BEGUN_AT_ONCE)
        for client in run_all(begin_session, numbers):
            client.join(15)
    # A release begins: the first server of v2 starts.
    new = streams.StreamServer('i-two-0', 'v2', record, EVENT_S, slots=8)
    new.register(store, ZONES[0])
    time.sleep(1.0)
    kill_s = [time.monotonic() + KILL_S]
    clients = run_all(go_on, range(SESSIONS))
    time.sleep(max(0.0, kill_s[0] - time.monotonic()))
    if has_trouble:
        kill_s[0] = time.monotonic()
        record.add(f'{new.name}: crashes')
        new.exit()
        for instance in instances:
            instance.kill()
            record.add(f'{instance.name}: killed')
        time.sleep(max(0.0, kill_s[0] + DOWN_S - time.monotonic()))
        for instance in instances:
            instance.start()
        time.sleep(max(0.0, kill_s[0] + CRASH_S - time.monotonic()))
        if os.environ.get('BACK', '1') != '0':
            back = streams.StreamServer(
                'i-two-1',
                'v2',
                record,
                EVENT_S,
                slots=8,
                port=int(new.endpoint.rpartition(':')[2]),
            )
            back.register(store, ZONES[0])
            record.add(f'{back.name}: starts at the address of {new.name}')
        time.sleep(max(0.0, kill_s[0] + LAPSE_S - time.monotonic()))
        store.delete(f'servers/{new.name}')
        record.add(f'store: the entry of {new.name} is removed')
    for client in clients:
        client.join(20)
    mixed = [
        number
        for number, events in received.items()
        if len({version for _, version in events}) > 1
    ]
    for number in mixed:
        record.add(f'stream {number} is mixed: {received[number]}')
    whole = sum(len(events) == streams.EVENTS for events in received.values())
    record.add(f'{SESSIONS} streams, {whole} whole, {len(mixed)} mixed')
    return 1 if len(mixed) > MOST_MIXED else 0


standins.main(run)
