"""A stream of one version goes on at another that lost its whole answer."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib-3'))
import standins
import streams

ZONES = ('zone-a', 'zone-b', 'zone-c')
STREAMS = 72
KILL_S = 1.9
DOWN_S = 0.5
LEAVE_S = 2.2
EXIT_AFTER_S = 2.3
TAKE_UP_S = 5.2
MOST_MIXED = 2


def run(record, folder, instances, has_trouble):
    store = standins.Store(record)
    old = [streams.StreamServer(f'i-one-{n}', 'v1', record) for n in range(2)]
    new = [streams.StreamServer(f'i-two-{n}', 'v2', record) for n in range(2)]
    back = [streams.StreamServer(f'i-one-{n}', 'v1', record) for n in (2, 3)]
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
        status, events = streams.read_stream(instance.callers, first, session, {})
        record.add(
            f'client: {first} at {instance.name} is answered {status},'
            f' events {events[:1]} to {events[-1:]}'
        )
        received[number] = events
        if not events or events[-1][0] >= streams.EVENTS:
            return
        time.sleep(max(0.0, start_s + TAKE_UP_S - time.monotonic()))
        second = f'second-{number}'
        instance = instances[(number + 1) % len(instances)]
        status, more = streams.read_stream(
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
    whole = sum(len(events) == streams.EVENTS for events in received.values())
    record.add(f'{STREAMS} streams, {whole} whole, {len(mixed)} mixed')
    return 1 if len(mixed) > MOST_MIXED else 0


standins.main(run)
