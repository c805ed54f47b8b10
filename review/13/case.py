"""A key that was revoked serves again: a drill, and a fleet that restarts."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib-3'))
import standins

REVOKE_S = 5.0
COPY_AGE_S = 7.0
AWAY_S = 0.5
REWRITE_S = 2.0
DOWN_S = 0.5
ROUTES = [('look-up', 'desk', 'safe')]
ZONES = ('zone-a', 'zone-b', 'zone-c')


def run(record, folder, instances, has_trouble):
    store = standins.Store(record)
    servers = [
        standins.Server(f'i-desk-{n}', 'desk', record) for n in range(2)
    ]
    store.put(
        'op/config',
        standins.build_configuration(
            5, ROUTES, ['desk'], {'first': ['key-a', 'key-b']}
        ),
    )
    for number, server in enumerate(servers):
        server.register(store, ZONES[number])
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
    time.sleep(1.0)
    count = [0]

    def call(instance, key):
        count[0] += 1
        attempt = f'{key}.{count[0]}'
        sent_s = time.monotonic()
        status, headers, body = standins.send(
            instance.callers,
            f'/look-up/{count[0]}',
            {
                'Host': standins.HOST,
                'Attempt-Id': attempt,
                'Deadline-Ms': '1500',
                'Authorization': f'Bearer {key}',
            },
        )
        record.add(
            f'client: {attempt} to {instance.name} is answered {status}'
            f' {body[:60]!r}'
        )
        return sent_s, attempt, status

    before = [
        call(instance, key)[2]
        for instance in instances
        for key in ('key-a', 'key-b')
    ]
    if before != [200] * len(before):
        record.add(f'not all served before: {before}')
        return 2
    time.sleep(2.0)
    revoked_s = store.put(
        'op/config',
        standins.build_configuration(
            6, ROUTES, ['desk'], {'first': ['key-b']}
        ),
    )
    record.add('store: acknowledges version 6, without key-a')
    time.sleep(1.0)
    refused = [call(instance, 'key-a')[2] for instance in instances]
    if refused != [401] * len(refused):
        record.add(f'key-a is not refused after version 6: {refused}')
        return 2
    time.sleep(max(0.0, revoked_s + REVOKE_S - time.monotonic()))
    drill = None
    if has_trouble:
        # All processes are killed at one moment, in the drill of the store.
        for instance in instances:
            instance.kill()
            record.add(f'{instance.name}: killed')
        drill = threading.Thread(
            target=store.drill, args=(COPY_AGE_S, AWAY_S, REWRITE_S)
        )
        drill.start()
        time.sleep(DOWN_S)
        for instance in instances:
            instance.start()
    sent = []
    end_s = time.monotonic() + 8.0
    while time.monotonic() < end_s:
        for instance in instances:
            if instance.is_ready():
                sent.append(call(instance, 'key-a'))
                call(instance, 'key-b')
        time.sleep(0.1)
    if drill is not None:
        drill.join()
    after = [call(instance, 'key-b')[2] for instance in instances]
    if after != [200] * len(after):
        record.add(f'not all served at the end: {after}')
    ran = {attempt for server in servers for _, attempt, *_ in server.runs}
    late = [
        attempt
        for sent_s, attempt, _ in sent
        if sent_s > revoked_s + REVOKE_S and attempt in ran
    ]
    record.add(
        f'{len(sent)} requests with key-a were sent more than {REVOKE_S} s'
        f' after the acknowledgement; {len(late)} of them ran: {late[:10]}'
    )
    return 1 if late else 0


standins.main(run)
