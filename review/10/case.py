"""A part of prompts that crashes servers, in several requests at a time."""

import os
import pathlib
import sys
import threading
import time
import traceback

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / 'lib-2'))
import standins  # noqa: E402

MACHINES = 3
SERVERS = 8
WAVE = int(os.environ.get('WAVE', '4'))
"""Requests with the part that come at about the same time."""
WAVES = 6
WAVE_GAP_S = 5.0
PREFILL_S = 0.1
BACK_S = 3.0
LAPSE_S = 3.6
"""Three intervals of the servers' heartbeats of 1.2 s."""
STABLE_S = standins.BOUNDS['stable-window-ms'] / 1000
MAX_REACHING = 3
FIRST_PART = 'aa01:60'
BAD_PART = 'bad0'
SOUND_GAP_S = 0.15


class Engines:
    """Model servers, which come back some seconds after a crash."""

    def __init__(self, store, record):
        self.store = store
        self.record = record
        self.crashes_s = []
        self.reached = []
        self._lock = threading.Lock()
        self.servers = []
        for number in range(SERVERS):
            self._start(number, 1)

    def _start(self, number, life):
        server = standins.Server(
            f'chat-{number}-{life}', 'chat', self.record, slots=4,
            zone=standins.ZONES[number % 2],
        )
        server.number, server.life = number, life
        server.behave = self.run
        self.servers.append(server)
        self.store.put(
            f'servers/{server.name}',
            server.entry(born_ms=int(time.time() * 1000)),
        )

    def run(self, server, request, sock):
        """Crash at the begin of an answer on the bad part."""
        parts = [
            part.partition(':')[0]
            for part in request.get('prefix-hash').split(',')
        ]
        if BAD_PART not in parts[:-1]:
            return None
        with self._lock:
            self.reached.append((time.monotonic(), request.get('attempt-id')))
        if not standins.is_disrupted():
            return None
        time.sleep(PREFILL_S)
        with self._lock:
            if not server.is_open:
                return False
            self.crashes_s.append(time.monotonic())
            self.record.write(
                f'server {server.name} crashes under '
                f'{request.get("attempt-id")}, crash {len(self.crashes_s)}'
            )
            server.stop()
        threading.Timer(
            LAPSE_S, self.store.delete, (f'servers/{server.name}',)
        ).start()
        threading.Timer(
            BACK_S, self._start, (server.number, server.life + 1)
        ).start()
        return False


def send(port, attempt, prompt, outcomes, record):
    headers = standins.client_headers(
        attempt,
        6_000,
        **{
            'Model': 'm',
            'Token-Usage': '460,80',
            'Prefix-Hash': prompt,
        },
    )
    try:
        status, _, body = standins.call(
            port, 'POST', '/chat/stream/1', headers, 6.0, body=b'a prompt'
        )
        text = str(status)
    except OSError as error:
        text = type(error).__name__
    outcomes.append(text)
    record.write(f'client has {text} to {attempt} with {prompt}')


def main():
    record = standins.Record(CASE / 'record.txt')
    store = standins.Store()
    engines = Engines(store, record)
    routes = [
        standins.make_route(
            'chat',
            'chat',
            'streaming',
            **{
                'timeout-ms': 6_000,
                'target-latency-ms': 600,
                'gap-target-ms': 400,
                'resumable': True,
                'sticky': True,
            },
        )
    ]
    store.put(
        'op/config',
        standins.make_config(
            1, routes, {'chat': {'engine': {'kv-capacity': 400_000}}}
        ),
    )
    fleet = standins.Fleet(MACHINES, store, record)
    try:
        if not fleet.wait_ready():
            record.write('the machines are not ready')
            return 2
        time.sleep(4.0)
        ports = [fleet.callers_port(n) for n in range(MACHINES)]
        sound, bad, threads = [], [], []

        def spawn(*arguments):
            thread = threading.Thread(target=send, args=arguments)
            thread.start()
            threads.append(thread)

        begin_s = time.monotonic()
        next_wave_s = begin_s + 3.0
        wave = count = 0
        while time.monotonic() < begin_s + 3.0 + WAVES * WAVE_GAP_S:
            count += 1
            spawn(
                ports[count % MACHINES], f'sound-{count}',
                f'{FIRST_PART},cc{count:04x}:400', sound, record,
            )
            if time.monotonic() >= next_wave_s:
                wave += 1
                next_wave_s += WAVE_GAP_S
                for number in range(WAVE):
                    spawn(
                        ports[number % MACHINES],
                        f'bad-{wave}-{number}',
                        f'{FIRST_PART},{BAD_PART}:160,dd{wave}{number}:240',
                        bad,
                        record,
                    )
            time.sleep(SOUND_GAP_S)
        for thread in threads:
            thread.join()
        crashes_s = sorted(engines.crashes_s)
        late = []
        if len(crashes_s) >= 5:
            late = [
                attempt
                for at_s, attempt in engines.reached
                if at_s > crashes_s[4] + STABLE_S
            ]
        record.end(
            f'{WAVE} requests with the part at a time: {len(crashes_s)} '
            f'crashes; {len(late)} requests with it reached servers later '
            f'than {STABLE_S:.0f} s after the fifth: {late}; sound requests: '
            f'{len(sound)}, {sum(text == "200" for text in sound)} served'
        )
        return 1 if len(late) > MAX_REACHING else 0
    finally:
        fleet.stop()


if __name__ == '__main__':
    try:
        CODE = main()
    except Exception:
        traceback.print_exc()
        CODE = 2
    sys.stdout.flush()
    os._exit(CODE)
