"""Bookings that peers run for a cut instance, at servers that are slow."""

import asyncio
import os
import pathlib
import sys
import time
import traceback

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

import platform_standins as standins  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
TIMEOUT_MS = 800
DEADLINE_MS = 1_500
WORK_S = 0.12
SLOW_FACTOR = 8
CUT_S = 8.0
SLOW_FROM_S = 1.5
SLOW_S = 6.0
INTERVAL_S = 0.25
PROMISES = (408, 421, 429, 503)


class Client:
    """Books once, and once more if an answer promises that nothing ran."""

    def __init__(self, number, instance, world):
        self.name = f'b{number:03d}'
        self.instance = instance
        self.world = world
        self.statuses = {}

    async def run(self):
        """Send the booking; repeat it once after a promise."""
        end_s = time.monotonic() + DEADLINE_MS / 1000
        for number in (0, 1):
            attempt = f'{self.name}a{number}'
            left_s = end_s - time.monotonic()
            if left_s < 0.05:
                return
            try:
                status, fields = await asyncio.wait_for(
                    self._try(attempt, left_s), left_s
                )
            except (OSError, EOFError, asyncio.TimeoutError) as error:
                self.world.record.write(f'{attempt} broken: {error!r}')
                return
            self.statuses[attempt] = status
            if status not in PROMISES:
                return
            left_s = end_s - time.monotonic()
            pause_s = float(fields.get('retry-after', 0))
            await asyncio.sleep(max(0, min(pause_s, left_s / 3)))

    async def _try(self, attempt, left_s):
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.instance.ports[0]
        )
        try:
            headers = {
                'Attempt-Id': attempt,
                'Authorization': f'Bearer {standins.KEY}',
                'Deadline-Ms': str(int(1000 * left_s)),
            }
            self.world.record.write(f'{attempt} sent to {self.instance.name}')
            writer.write(
                standins.encode_request('POST', '/booking/x', headers, b'van')
            )
            head = await standins.read_head(reader)
            if head is None:
                raise ConnectionError('closed without an answer')
            line, fields = head
            await standins.read_body(reader, fields)
            self.world.record.write(
                f'{attempt} answered {line}, Retry-After'
                f' {fields.get("retry-after", "none")}'
            )
            return int(line.split(' ')[1]), fields
        finally:
            writer.close()


async def play(world):
    """Return the attempts that got a promise and ran."""
    store, record = world.store, world.record
    tenant = {'name': 'first', 'api-keys': [standins.KEY], 'priority': 0}
    route = standins.build_route(
        'booking', 'desk', 'unsafe', TIMEOUT_MS, attempts=1
    )
    store.put('op/config', standins.build_configuration(1, [route], [tenant]))
    factor = 1
    for number in range(3):
        await world.add_server(
            standins.Server(
                f'i-{number}', 'desk', record, work_s=lambda: WORK_S * factor
            )
        )
    await world.start_instances()
    await asyncio.sleep(4)
    cut = world.instances[0]
    started_s = time.monotonic()
    clients, tasks = [], []
    if TROUBLE:
        record.write(f'{cut.name} is cut off from all servers')
        for server in world.servers.values():
            server.cut_off(cut)
    while (now_s := time.monotonic() - started_s) < CUT_S:
        is_slow = SLOW_FROM_S <= now_s < SLOW_FROM_S + SLOW_S
        factor = SLOW_FACTOR if TROUBLE and is_slow else 1
        client = Client(len(clients), cut, world)
        clients.append(client)
        tasks.append(asyncio.create_task(client.run()))
        await asyncio.sleep(INTERVAL_S)
    for server in world.servers.values():
        server.cut_off(None)
    await asyncio.gather(*tasks)
    await asyncio.sleep(2)
    runs = {run for server in world.servers.values() for run in server.runs}
    broken = [
        attempt
        for client in clients
        for attempt, status in client.statuses.items()
        if status in PROMISES and attempt in runs
    ]
    record.write(f'answered with a promise, and run: {broken}')
    if not runs:
        raise RuntimeError('no request ran')
    return broken


async def main():
    """Return the exit code."""
    record = standins.Record(HERE / 'record.txt')
    async with standins.World(record) as world:
        broken = await play(world)
    record.write('rule broken' if broken else 'rule held')
    print(f'REFUSED: {len(broken)} attempts got a promise and ran')
    return int(bool(broken))


if __name__ == '__main__':
    try:
        CODE = asyncio.run(main())
    except Exception:
        traceback.print_exc()
        CODE = 2
    raise SystemExit(CODE)
