"""Streams that peers run for a cut instance, when the peers are killed."""

import asyncio
import os
import pathlib
import signal
import sys
import time
import traceback

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

import platform_standins as standins  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
TIMEOUT_MS = 15_000
EARLY_STREAMS = 12
EARLY_INTERVAL_S = 0.25
STREAMS = 16
CUT_S = 3.5
SHORT_STREAMS = 100
SHORT_INTERVAL_S = 0.03
MAX_MIXED = 2


async def read_stream(name, instance, record, tokens=280):
    """Return the events of one answer, and how it ended."""
    events = []
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', instance.ports[0]
    )
    try:
        headers = {
            'Attempt-Id': name,
            'Authorization': f'Bearer {standins.KEY}',
            'Model': 'm',
            'Token-Usage': f'600,{tokens}',
            'Prefix-Hash': f'aa:60,{name.encode().hex()}:540',
            'Deadline-Ms': str(TIMEOUT_MS),
        }
        record.write(f'{name} sent to {instance.name}')
        writer.write(
            standins.encode_request('POST', '/stream/x', headers, b'text')
        )
        head = await standins.read_head(reader)
        if head is None or ' 200 ' not in head[0]:
            return events, f'answered {head[0] if head else "nothing"}'
        async for chunk in standins.read_chunks(reader):
            number, data = chunk.decode().strip().split('\n')
            version = data.split()[1]
            if events and events[-1][1] != version:
                record.write(f'{name} {number} is the first of {version}')
            events.append((int(number.removeprefix('id: ')), version))
        return events, 'complete'
    except (OSError, EOFError) as error:
        return events, f'broken: {error!r}'
    finally:
        writer.close()


async def warm_up(instance, record):
    """Send short streams to an instance."""
    tasks = []
    for number in range(SHORT_STREAMS):
        name = f'{instance.name}t{number:03d}'
        tasks.append(
            asyncio.create_task(read_stream(name, instance, record, 8))
        )
        await asyncio.sleep(SHORT_INTERVAL_S)
    await asyncio.gather(*tasks)


def choose_follower(instances):
    """Return an instance that grants no slots, as the first one's log says."""
    deciders = instances[0].find_deciders()
    if not deciders:
        raise RuntimeError('no decider in the log')
    return next(i for i in instances if i.address not in deciders)


async def play(world):
    """Return the number of answers with events of two versions."""
    store, record = world.store, world.record
    tenant = {'name': 'first', 'api-keys': [standins.KEY], 'priority': 0}
    route = standins.build_route(
        'stream',
        'chat',
        'streaming',
        TIMEOUT_MS,
        resumable=True,
        sticky=True,
        **{'gap-target-ms': 400},
    )
    store.put('op/config', standins.build_configuration(1, [route], [tenant]))
    for version in ('v1', 'v2'):
        for number in (1, 2):
            name = f'i-{version}-{number}'
            await world.add_server(
                standins.Server(name, 'chat', record, version)
            )
    await world.start_instances()
    record.write('ready; both versions serve side by side')
    await asyncio.sleep(4)
    await warm_up(world.instances[0], record)
    cut = choose_follower(world.instances)
    peers = [instance for instance in world.instances if instance != cut]
    tasks = []

    def begin():
        name = f's{len(tasks):03d}'
        tasks.append(asyncio.create_task(read_stream(name, cut, record)))

    await warm_up(cut, record)
    begin()
    await asyncio.sleep(0.5)
    if TROUBLE:
        record.write(f'{cut.name} is cut off from all servers')
        for server in world.servers.values():
            server.cut_off(cut)
    started_s = time.monotonic()
    for _ in range(EARLY_STREAMS):
        begin()
        await asyncio.sleep(EARLY_INTERVAL_S)
    for _ in range(STREAMS):
        begin()
    await asyncio.sleep(CUT_S - time.monotonic() + started_s)
    if TROUBLE:
        record.write('the cut ends')
        for server in world.servers.values():
            server.cut_off(None)
    await asyncio.sleep(1)
    if TROUBLE:
        record.write('the other instances are killed')
        for instance in peers:
            instance.send_signal(signal.SIGKILL)
        for instance in peers:
            instance.kill()
        await asyncio.sleep(0.5)
        for instance in peers:
            instance.start()
    results = await asyncio.gather(*tasks)
    mixed = 0
    for number, (events, end) in enumerate(results):
        versions = sorted({version for _, version in events})
        mixed += len(versions) > 1
        record.write(
            f's{number:03d}: {end}, {len(events)} events of {versions}'
        )
    record.write(f'{mixed} answers hold events of both versions')
    if not any(events for events, _ in results):
        raise RuntimeError('no stream began')
    return mixed


async def main():
    """Return the exit code."""
    record = standins.Record(HERE / 'record.txt')
    async with standins.World(record) as world:
        mixed = await play(world)
        if os.environ.get('KEEP_LOGS'):
            for instance in world.instances:
                text = instance._log_path.read_text()
                pathlib.Path(os.environ['KEEP_LOGS'], instance.name).write_text(text)
    is_broken = mixed > MAX_MIXED
    record.write('rule broken' if is_broken else 'rule held')
    print(f'ORDER: {mixed} answers of two versions; {MAX_MIXED} are allowed')
    return int(is_broken)


if __name__ == '__main__':
    try:
        CODE = asyncio.run(main())
    except Exception:
        traceback.print_exc()
        CODE = 2
    raise SystemExit(CODE)
