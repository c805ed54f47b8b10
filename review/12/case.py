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
SILENT_SERVERS = 4
SILENT_S = 1.5
STREAMS = 40
EVENT_S = 0.2
KILL_S = 2.1
DOWN_S = 0.5
CRASH_S = 2.0
LAPSE_S = 3.5
TAKE_UP_S = 2.3
READY_S = 3.2
MOST_MIXED = 2


def run(record, folder, instances, has_trouble):
    store = standins.Store(record)
    old = [
        streams.StreamServer(f'i-one-{n}', 'v1', record, EVENT_S, slots=8)
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

    def act_as_client(number):
        session = f'bb{number:04x}'
        first = f'first-{number}'
        status, events = streams.read_stream(
            choose(number).callers, first, session, {}
        )
        record.add(
            f'client: {first} at {choose(number).name} is answered {status},'
            f' events {events[:1]} to {events[-1:]}'
        )
        received[number] = events
        if not events or len(events) >= streams.EVENTS:
            return
        time.sleep(max(0.0, kill_s[0] + TAKE_UP_S - time.monotonic()))
        attempt = f'{first}-again'
        instance = choose(number + 1)
        # The platform sends clients to machines that are ready.
        while (
            not instance.is_ready()
            and time.monotonic() < kill_s[0] + READY_S
        ):
            time.sleep(0.1)
        status, more = streams.read_stream(
            instance.callers,
            attempt,
            session,
            {'Resumes': first, 'Last-Event-Id': str(events[-1][0])},
        )
        record.add(
            f'client: {attempt} takes {first} up at {instance.name}, is'
            f' answered {status}, events {more[:1]} to {more[-1:]}'
        )
        received[number] = events + more

    # A release has begun: the first server of v2 has started.
    new = streams.StreamServer('i-two-0', 'v2', record, EVENT_S, slots=16)
    new.register(store, ZONES[0])
    time.sleep(1.0)
    kill_s = [time.monotonic() + KILL_S]
    # Sound servers that are silent for a moment.
    for server in old[:SILENT_SERVERS]:
        server.silent_until_s = time.monotonic() + SILENT_S
    clients = [
        threading.Thread(target=act_as_client, args=(number,), daemon=True)
        for number in range(STREAMS)
    ]
    for client in clients:
        client.start()
        time.sleep(0.004)
    time.sleep(max(0.0, kill_s[0] - time.monotonic()))
    if has_trouble:
        kill_s[0] = time.monotonic()
        for instance in instances:
            instance.kill()
            record.add(f'{instance.name}: killed')
        record.add(f'{new.name}: crashes')
        new.exit()
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
                slots=16,
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
    record.add(f'{STREAMS} streams, {whole} whole, {len(mixed)} mixed')
    return 1 if len(mixed) > MOST_MIXED else 0


standins.main(run)
