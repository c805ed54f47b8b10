"""Streams are refused since a server of another service has left."""

import os
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib-3'))
import standins
import streams

ZONES = ('zone-a', 'zone-b', 'zone-c')
STREAMS = 30
EVENT_S = 0.4
HISTORY_S = 20.0
BEFORE_S = 24.0
BURST_AFTER_S = 2.0
KILL_S = 1.5
DOWN_S = 0.5
TAKE_UP_S = 6.5
MIN_TAKEN_UP = 12
# LEAVES=0: a control, in which no server leaves before the kill.
LEAVES = os.environ.get('LEAVES', '1') != '0'


def run(record, folder, instances, has_trouble):
    store = standins.Store(record, HISTORY_S)
    servers = [
        streams.StreamServer(f'i-v{v}-{n}', f'v{v}', record, EVENT_S)
        for v in (1, 2)
        for n in range(2)
    ]
    desks = [standins.Server(f'i-desk-{n}', 'desk', record) for n in range(8)]
    configuration = standins.build_configuration(
        5,
        [('stream', 'model', 'streaming'), ('look-up', 'desk', 'safe')],
        ['model', 'desk'],
        {'first': ['key-a']},
    )
    configuration['routes'][0] |= {
        'resumable': True,
        'sticky': True,
        'gap-target-ms': 400,
        'timeout-ms': 15000,
    }
    configuration['services'][0]['engine'] = {'kv-capacity': 444000}
    store.put('op/config', configuration)
    for number, server in enumerate(servers + desks):
        server.register(store, ZONES[number % len(ZONES)])
    registered_s = time.monotonic()
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
    time.sleep(max(0.0, registered_s + BEFORE_S - time.monotonic()))
    if LEAVES:
        store.delete(f'servers/{desks[2].name}')
        record.add(f'store: the entry of {desks[2].name} is removed')
    time.sleep(BURST_AFTER_S)
    taken_up = []
    begun = []

    def act_as_client(number):
        session = f'bb{number:04x}'
        first = f'first-{number}'
        instance = instances[number % len(instances)]
        status, events = streams.read_stream(
            instance.callers, first, session, {}
        )
        record.add(
            f'client: {first} at {instance.name} is answered {status},'
            f' events {events[:1]} to {events[-1:]}'
        )
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
        taken_up.append(bool(more))

    def begin_new(number):
        time.sleep(max(0.0, start_s + TAKE_UP_S - time.monotonic()))
        attempt = f'new-{number}'
        instance = instances[number % len(instances)]
        status, events = streams.read_stream(
            instance.callers, attempt, f'cc{number:04x}', {}
        )
        record.add(
            f'client: {attempt} at {instance.name} is answered {status},'
            f' events {events[:1]} to {events[-1:]}'
        )
        begun.append(bool(events))

    start_s = time.monotonic()
    clients = [
        threading.Thread(target=act_as_client, args=(number,), daemon=True)
        for number in range(STREAMS)
    ] + [
        threading.Thread(target=begin_new, args=(number,), daemon=True)
        for number in range(STREAMS)
    ]
    for client in clients:
        client.start()
    if has_trouble:
        time.sleep(max(0.0, start_s + KILL_S - time.monotonic()))
        for instance in instances:
            instance.kill()
            record.add(f'{instance.name}: killed')
        time.sleep(DOWN_S)
        for instance in instances:
            instance.start()
    for client in clients:
        client.join(20)
    record.add(
        f'{sum(taken_up)} of {len(taken_up)} streams that were taken up went'
        f' on, {sum(begun)} of {len(begun)} new ones began'
    )
    if not begun:
        return 2
    share = sum(begun) / len(begun)
    is_broken = (
        len(taken_up) >= MIN_TAKEN_UP
        and sum(taken_up) / len(taken_up) < share / 2
    )
    return 1 if is_broken else 0


standins.main(run)
