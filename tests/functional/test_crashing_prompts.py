"""Prompts with a block that ends each engine which begins an answer to it.

Guards against engines that end one after the other, because requests with
the block go on to the next one, and against sound requests that are refused
since they have the customer or other blocks in common with those.
"""

import random
import time
import unittest

import gevent

from lagoonbend_devkit._internal.gateway import gateway_fleet
from lagoonbend_devkit._internal.gateway import standin_target
from tests.functional.test_gateway_answers import call

INSTANCE_COUNT = 3
ENGINE_COUNT = 6
BLOCK = 'bad0'
STABLE_WINDOW_S = 3.0
"""Bound ``stable-window-ms`` of the users."""
CRASH_COUNT = 5
MAX_LATE_REQUESTS = 3
"""Requests that may arrive at engines later than the window after the fifth
one has ended."""
CRASHING_INTERVAL_S = 0.25
SOUND_INTERVAL_S = 0.1
CALM_S = 4.0
TROUBLE_S = 24.0
"""Sound requests are judged after the first trial, 10 s after the last end,
and two windows."""
REQUESTS_AT_A_TIME = 6
WAVE_COUNT = 4
WAVE_INTERVAL_S = 5.0
"""Longer than the window and the time after which an engine is back."""
MIN_SOUND_SHARE = 0.5
"""Sound requests begin at least half as often as before the trouble."""
MIN_SOUND_REQUESTS = 20
ROUTES = ('stream', 'once-stream')
PROMPT_BLOCKED = b'{"reason":"prompt_blocked"}'


class CrashingPromptsTest(unittest.TestCase):
    """Three instances and six engines, under sound and crashing requests."""

    def setUp(self) -> None:
        """Start a fleet."""
        self.fleet = gateway_fleet.GatewayFleet(
            INSTANCE_COUNT, engine_count=ENGINE_COUNT
        )
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__, None, None, None)
        self.rng = random.Random(22)
        self.sound_answers: list[tuple[float, int]] = []
        self.callers: list[gevent.Greenlet] = []
        self.addCleanup(lambda: gevent.killall(self.callers))

    def send(self, *blocks: str) -> None:
        """Send one request whose prompt has these blocks and its own."""
        sent_s = time.monotonic()
        prompt = [*blocks, f'{self.rng.getrandbits(64):x}']
        _, answer = call(
            self.fleet,
            self.rng.choice(ROUTES),
            instance=self.rng.randrange(INSTANCE_COUNT),
            Prefix_Hash=','.join(f'{block}:50' for block in prompt),
        )
        if BLOCK not in blocks:
            self.sound_answers.append((sent_s, answer.status))

    def send_regularly(
        self, interval_s: float, end_s: float, *blocks: str
    ) -> None:
        """Send such requests until an end; none waits for an answer."""
        while time.monotonic() < end_s:
            self.callers.append(gevent.spawn(self.send, *blocks))
            gevent.sleep(interval_s)

    def measure_sound_share(self, start_s: float, end_s: float) -> float:
        """Return the share of the sound requests of a period that began."""
        statuses = [
            status
            for sent_s, status in self.sound_answers
            if start_s <= sent_s < end_s
        ]
        self.assertGreaterEqual(len(statuses), MIN_SOUND_REQUESTS)
        return statuses.count(200) / len(statuses)

    def list_late_arrivals(self) -> list[float]:
        """Return when requests with the block arrived after the window."""
        self.assertGreaterEqual(len(self.fleet.crashes), 1)
        if len(self.fleet.crashes) < CRASH_COUNT:
            return []
        end_s = self.fleet.crashes[CRASH_COUNT - 1].at_s + STABLE_WINDOW_S
        return [
            run.started_s
            for run in self.fleet.runs
            if run.started_s > end_s
            and BLOCK in standin_target.list_shared_blocks(run.request)
        ]

    # Guards against the fault of incident inc1: engines that end one after
    # the other, for as long as requests with the block come.
    def test_requests_with_the_block_stop_and_sound_ones_go_on(self) -> None:
        """They have the customer and all other blocks in common."""
        start_s = time.monotonic()
        end_s = start_s + CALM_S + TROUBLE_S
        sound = gevent.spawn(
            self.send_regularly, SOUND_INTERVAL_S, end_s, 'system', 'team'
        )
        gevent.sleep(CALM_S)
        self.fleet.set_crashing_block(BLOCK)
        self.send_regularly(
            CRASHING_INTERVAL_S, end_s, 'system', 'team', BLOCK
        )
        sound.join()
        gevent.joinall(self.callers)
        late = self.list_late_arrivals()
        self.assertLessEqual(len(late), MAX_LATE_REQUESTS)
        last_crash = self.fleet.crashes[:CRASH_COUNT][-1]
        settled_s = last_crash.at_s + 2 * STABLE_WINDOW_S
        before = self.measure_sound_share(start_s, start_s + CALM_S)
        after = self.measure_sound_share(settled_s, end_s)
        self.assertGreaterEqual(after, MIN_SOUND_SHARE * before)

    # Guards against engines that end under requests which come several at a
    # time, since ends at one moment don't count each.
    def test_requests_at_a_time_stop(self) -> None:
        """They come at all instances, whenever the engines are back."""
        self.fleet.set_crashing_block(BLOCK)
        end_s = time.monotonic() + WAVE_COUNT * WAVE_INTERVAL_S
        sound = gevent.spawn(
            self.send_regularly, SOUND_INTERVAL_S, end_s, 'system', 'team'
        )
        for _ in range(WAVE_COUNT):
            gevent.sleep(WAVE_INTERVAL_S)
            self.callers += [
                gevent.spawn(self.send, 'system', 'team', BLOCK)
                for _ in range(REQUESTS_AT_A_TIME)
            ]
        sound.join()
        gevent.joinall(self.callers)
        self.assertGreaterEqual(len(self.fleet.crashes), CRASH_COUNT)
        self.assertLessEqual(len(self.list_late_arrivals()), MAX_LATE_REQUESTS)

    def block_prompts(self) -> None:
        """Let targets end until the block is known at each instance."""
        self.fleet.set_crashing_block(BLOCK)
        with gevent.Timeout(TROUBLE_S):
            while any(
                self.call_with_block(instance) != PROMPT_BLOCKED
                for instance in range(INSTANCE_COUNT)
            ):
                gevent.sleep(CRASHING_INTERVAL_S)

    def call_with_block(self, instance: int) -> bytes:
        """Send a request with the block; return the body of the answer."""
        own_block = f'{self.rng.getrandbits(64):x}'
        _, answer = call(
            self.fleet,
            'once-stream',
            instance=instance,
            Prefix_Hash=f'system:50,{BLOCK}:50,{own_block}:50',
        )
        return answer.body

    # Guards against an instance that has started since, and sends the
    # requests on because it has seen no engine end.
    def test_instance_that_starts_afresh_knows_the_block(self) -> None:
        """It asks the others once it reaches them."""
        self.block_prompts()
        crash_count = len(self.fleet.crashes)
        self.fleet.processes[0].kill()
        self.fleet.start_instance(0)
        self.fleet.wait_ready(0)
        gevent.sleep(STABLE_WINDOW_S)
        self.assertEqual(PROMPT_BLOCKED, self.call_with_block(0))
        self.assertEqual(crash_count, len(self.fleet.crashes))
