"""Streams are refused since lists of prompts don't pass a link in time."""

import multiprocessing
import os
import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib-3'))
import link_proxy
import standins
import streams

ZONES = ('zone-a', 'zone-b', 'zone-c')
STREAMS = 30
EVENT_S = 0.4
SERVERS = 45
PROCESSES = 9
SLOTS = 6
KV_CAPACITY = 444_000
KEPT_PROMPT_TOKENS = 1_900
BEFORE_S = 4.0
KILL_S = 1.5
DOWN_S = 0.5
TAKE_UP_S = 6.5
MIN_TAKEN_UP = 12
MAX_LISTS_S = 0.8
# LINK_MBIT_S=100: a control, at machines with the widest links of the site.
LINK_MBIT_S = float(os.environ.get('LINK_MBIT_S', '5'))


def run_servers(record, numbers, links, pipe, inherited):
    """Run some servers in a process of their own, until the test ends."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.SIG_DFL)
    for other in inherited:
        other.close()
    endpoints = {}
    for number in numbers:
        server = streams.StreamServer(
            f'i-{number:02}', get_version(number), record, EVENT_S, SLOTS
        )
        # The prompts of earlier requests.
        for item in range(KV_CAPACITY // KEPT_PROMPT_TOKENS - SLOTS):
            server.kept[f'{number:04x}{item:08x}'] = KEPT_PROMPT_TOKENS
        proxy = link_proxy.LinkProxy(server.endpoint, links)
        endpoints[number] = proxy.endpoint
    pipe.send(endpoints)
    try:
        pipe.recv()
    except (EOFError, OSError):
        pass
    os._exit(0)


def start_servers(record, links):
    """Start the processes of the servers.

    :returns: addresses by number, and the pipes whose end ends the processes.
    """
    context = multiprocessing.get_context('fork')
    endpoints, pipes = {}, []
    for first in range(PROCESSES):
        numbers = range(first, SERVERS, PROCESSES)
        pipe, other = context.Pipe()
        pipes.append(pipe)
        context.Process(
            target=run_servers,
            args=(record, numbers, links, other, list(pipes)),
        ).start()
        other.close()
        endpoints |= pipe.recv()
    return endpoints, pipes


def time_lists(endpoints):
    """Return the time in which the servers tell their prompts, one by one.

    Nothing is held up, as the test's process has no link.
    """
    started_s = time.monotonic()
    for endpoint in endpoints:
        port = int(endpoint.rpartition(':')[2])
        if standins.send(port, '/lagoonbend/kv-list')[0] != 200:
            return float('inf')
    return time.monotonic() - started_s


def get_version(number):
    """Return the software version of a server."""
    return f'v{1 + number % 2}'


def run(record, folder, instances, has_trouble):
    links = link_proxy.Links(LINK_MBIT_S, len(ZONES))
    endpoints, pipes = start_servers(record, links)
    store = standins.Store(record)
    configuration = standins.build_configuration(
        5,
        [('stream', 'model', 'streaming')],
        ['model'],
        {'first': ['key-a']},
    )
    configuration['routes'][0] |= {
        'resumable': True,
        'sticky': True,
        'gap-target-ms': 400,
        'timeout-ms': 15000,
    }
    configuration['services'][0]['engine'] = {'kv-capacity': KV_CAPACITY}
    store.put('op/config', configuration)
    born_ms = int(time.time() * 1000)
    for number, endpoint in sorted(endpoints.items()):
        store.put(
            f'servers/i-{number:02}',
            {
                'service': 'model',
                'address': endpoint,
                'zone': ZONES[number % len(ZONES)],
                'version': get_version(number),
                'born': born_ms,
                'slots': SLOTS,
                'state': 'ready',
                'cold-remaining-ms': 0,
                'sequence': 1,
            },
        )
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
    links.set_pids([item.process.pid for item in instances])
    time.sleep(BEFORE_S)
    lists_s = min(time_lists(endpoints.values()) for _ in range(3))
    record.add(f'the lists of all servers take {lists_s:.3f} s without links')
    if lists_s > MAX_LISTS_S:
        record.add('the machine is too slow for the stand-ins')
        return 2
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
        links.set_pids([item.process.pid for item in instances])
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
