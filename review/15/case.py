"""Settings change while machines start: SIGHUP ends each new process."""

import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib-3'))
import standins

ZONES = ('zone-a', 'zone-a', 'zone-b', 'zone-b')
RESTARTED = (0, 2)
ROLL_GAP_S = 1.3
RESTART_DELAY_S = 0.5
HUP_AFTER_START_S = 0.08
CHANGES = 7
STABLE_S = 1.0
MOST_ENDS = 2


def run(record, folder, instances, has_trouble):
    store = standins.Store(record)
    server = standins.Server('i-desk-1', 'desk', record)
    store.put(
        'op/config',
        standins.build_configuration(
            5, [('look-up', 'desk', 'safe')], ['desk'], {'first': ['key-a']}
        ),
    )
    server.register(store, ZONES[0])
    ports = standins.find_free_ports(4 * len(ZONES))
    seeds = [f'127.0.0.1:{ports[4 * n + 2]}' for n in range(3)]
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

    # A rolling restart, as an operator does it: SIGTERM, and a new start.
    restarted = [instances[number] for number in RESTARTED]
    for number, instance in enumerate(restarted):
        time.sleep(ROLL_GAP_S * bool(number))
        instance.send_signal(signal.SIGTERM)
    for instance in restarted:
        instance.process.wait()
        record.add(f'{instance.name}: ended by SIGTERM')
    last_start_s = time.monotonic()
    for instance in restarted:
        instance.start()
    ends = {instance.name: 0 for instance in instances}
    for _ in range(CHANGES):
        time.sleep(HUP_AFTER_START_S)
        if has_trouble:
            # The settings of half of the machines change.
            for instance in restarted:
                if instance.process.poll() is None:
                    instance.send_signal(signal.SIGHUP)
        time.sleep(RESTART_DELAY_S)
        for instance in instances:
            code = instance.process.poll()
            if code is None:
                continue
            is_excused = time.monotonic() - last_start_s < STABLE_S
            record.add(
                f'{instance.name}: ended by itself, code {code}'
                f'{", within a second of its planned start" * is_excused}'
            )
            ends[instance.name] += not is_excused
            # The platform restarts a process that ends, after a short delay.
            instance.start()
    is_back = all(instance.wait_ready(10) for instance in instances)
    record.add(f'ends by themselves: {ends}; all ready at the end: {is_back}')
    worst = [name for name, count in ends.items() if count > MOST_ENDS]
    return 1 if len(worst) >= 2 else 0


standins.main(run)
