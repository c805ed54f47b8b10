"""Streams of servers that leave, taken up after all instances were killed."""

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
SIDE_BY_SIDE_S = 24.0
STREAMS = 24
MAX_TRIES = 5
MAX_MIXED = 2


class Client:
    """Reads one stream, and takes it up again after a broken connection."""

    def __init__(self, number, world):
        self.name = f'c{number:03d}'
        self.world = world
        self.events = []
        self.origin = ''
        self.end = 'deadline'

    async def run(self):
        """Try until the stream is complete or the time is up."""
        end_s = time.monotonic() + TIMEOUT_MS / 1000
        for number in range(MAX_TRIES):
            left_s = end_s - time.monotonic()
            if left_s < 0.5:
                return
            attempt = f'{self.name}a{number}'
            try:
                pause_s = await asyncio.wait_for(
                    self._try(attempt, left_s), left_s
                )
            except (OSError, EOFError, asyncio.TimeoutError) as error:
                self.world.record.write(f'{attempt} broken: {error!r}')
                pause_s = 0.5
            if pause_s is None:
                self.end = 'complete'
                return
            await asyncio.sleep(min(pause_s, (end_s - time.monotonic()) / 3))

    async def _try(self, attempt, left_s):
        """Return None for a complete stream, or the pause before the next."""
        instance = self.world.balancer.choose()
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection('127.0.0.1', instance.ports[0]), 1
        )
        try:
            headers = {
                'Attempt-Id': attempt,
                'Authorization': f'Bearer {standins.KEY}',
                'Model': 'm',
                'Token-Usage': '600,280',
                'Prefix-Hash': f'aa:60,{self.name.encode().hex()}:540',
                'Deadline-Ms': str(int(1000 * left_s)),
            }
            if self.events:
                headers['Last-Event-Id'] = str(self.events[-1][0])
                headers['Resumes'] = self.origin
            self.world.record.write(
                f'{attempt} sent to {instance.name}'
                f' after event {self.events[-1][0] if self.events else 0}'
            )
            writer.write(
                standins.encode_request('POST', '/stream/x', headers, b'text')
            )
            head = await standins.read_head(reader)
            if head is None:
                raise ConnectionError('closed without an answer')
            line, fields = head
            if ' 200 ' not in line:
                await standins.read_body(reader, fields)
                self.world.record.write(f'{attempt} answered {line}')
                return float(fields.get('retry-after', 0.5))
            async for chunk in standins.read_chunks(reader):
                self._read_event(chunk.decode(), attempt)
            self.world.record.write(f'{attempt} complete')
            return None
        finally:
            writer.close()

    def _read_event(self, text, attempt):
        number, data = text.strip().split('\n')
        event = (int(number.removeprefix('id: ')), data.split()[1])
        if not self.events:
            self.origin = attempt
        elif event[1] != self.events[-1][1]:
            self.world.record.write(
                f'{attempt} event {event[0]} is of {event[1]}, those before'
                f' are of {self.events[-1][1]}'
            )
        self.events.append(event)


async def play(world):
    """Return the number of streams with events of two versions."""
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
    await asyncio.sleep(SIDE_BY_SIDE_S)
    clients = [Client(number, world) for number in range(STREAMS)]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(1.5)
    record.write('the servers of v1 leave: their entries are removed')
    for name in ('i-v1-1', 'i-v1-2'):
        store.delete(f'servers/{name}')
    await asyncio.sleep(1.5)
    if TROUBLE:
        record.write('all instances are killed')
        for instance in world.instances:
            instance.send_signal(signal.SIGKILL)
        for instance in world.instances:
            instance.kill()
        await asyncio.sleep(0.5)
        for instance in world.instances:
            instance.start()
    await asyncio.gather(*tasks)
    mixed = 0
    for client in clients:
        versions = {version for _, version in client.events}
        mixed += len(versions) > 1
        record.write(
            f'{client.name}: {client.end}, {len(client.events)} events of'
            f' {sorted(versions)}'
        )
    old = sum(client.events[:1] and client.events[0][1] == 'v1' for client in clients)
    record.write(f'{old} streams began at v1; {mixed} hold both versions')
    if not old:
        raise RuntimeError('no stream began at v1')
    return mixed


async def main():
    """Return the exit code."""
    record = standins.Record(HERE / 'record.txt')
    async with standins.World(record) as world:
        mixed = await play(world)
    is_broken = mixed > MAX_MIXED
    record.write('rule broken' if is_broken else 'rule held')
    print(f'ORDER: {mixed} streams of two versions; {MAX_MIXED} are allowed')
    return int(is_broken)


if __name__ == '__main__':
    try:
        CODE = asyncio.run(main())
    except Exception:
        traceback.print_exc()
        CODE = 2
    raise SystemExit(CODE)
