"""Targets that end at one moment under several requests with a part.

Guards against requests that come together and end many targets before enough
separate moments count against what they have in common, and against sound
requests that are refused since many targets have ended together.
"""

import unittest

from lagoonbend.clock import PausedClock
from lagoonbend.crashes import CrashEvidence
from lagoonbend.crashes import CrashSuspects
from lagoonbend.crashes import name_request
from lagoonbend.crashes import SoundCarrier

SERVICE = 'chat'
STABLE_WINDOW_MS = 3_000
MAX_LATE_REQUESTS = 3
WAVE_SIZES = (1, 2, 3, 4, 5, 6, 8, 12)
WAVE_GAPS_MS = (1_000, 5_000, 12_000)
RUN_MS = 100
DAY_MS = 110_000
"""Longest day of the users' bench."""
ALLOWED_CRASHES = {'bad': 5, name_request('bad'): 3}
"""Ended targets after which the users' rules count, by carrier."""
TARGET_COUNT = 30


class CrashesAtOneMomentTest(unittest.TestCase):
    """Each test has the evidence of one instance, on a paused clock."""

    def setUp(self) -> None:
        """Create suspects without evidence."""
        self.reset()

    def reset(self) -> None:
        """Forget all evidence."""
        self.clock = PausedClock(1_000_000)
        self.suspects = CrashSuspects(self.clock)
        self.life_count = 0

    def end_target(self, *carriers: str) -> None:
        """Let a target end under calls with these carriers."""
        self.life_count += 1
        self.suspects.record_crashes(
            CrashEvidence(
                SERVICE,
                carrier,
                f't{self.life_count}',
                self.clock.now_ms(),
                RUN_MS,
            )
            for carrier in carriers
        )

    def end_rack(self, *carriers: str, carrier_count: int) -> None:
        """Let targets end together.

        :param carrier_count: targets with calls that have the carriers.
        """
        for number in range(TARGET_COUNT):
            is_with_carriers = number < carrier_count
            self.end_target(
                name_request(f'own{self.life_count}'),
                *(carriers if is_with_carriers else ()),
            )
            self.clock.advance(8)

    def begin_answer(self, *carriers: str) -> None:
        """Let a target begin an answer to a call with these carriers."""
        now_ms = self.clock.now_ms()
        self.suspects.record_sound(
            SoundCarrier(SERVICE, carrier, now_ms) for carrier in carriers
        )

    def is_sent(self, carrier: str, attempt: str) -> bool:
        """Return whether a call with a carrier may be sent."""
        return (
            self.suspects.check_carriers(
                SERVICE, [carrier], attempt, may_try=True
            )
            is None
        )

    def send_waves(self, carrier: str, size: int, gap_ms: int) -> int:
        """Send requests that end their targets; return the late ones.

        :param size: requests at a time.
        :param gap_ms: time between one wave and the next.
        """
        crashes_ms: list[int] = []
        sent_ms: list[int] = []
        for wave in range(DAY_MS // gap_ms):
            attempts = [f'{wave}/{number}' for number in range(size)]
            sent = [item for item in attempts if self.is_sent(carrier, item)]
            sent_ms += [self.clock.now_ms()] * len(sent)
            self.clock.advance(RUN_MS)
            for attempt in sent:
                self.end_target(carrier)
                crashes_ms.append(self.clock.now_ms())
                self.suspects.end_trials(attempt)
            self.clock.advance(gap_ms - RUN_MS)
        allowed_count = ALLOWED_CRASHES[carrier]
        if len(crashes_ms) < allowed_count:
            return 0
        end_ms = crashes_ms[allowed_count - 1] + STABLE_WINDOW_MS
        return sum(at_ms > end_ms for at_ms in sent_ms)

    # Guards against targets that end under a part since requests with it come
    # several at a time, so that their ends count as one moment.
    def test_requests_at_a_time_are_stopped(self) -> None:
        """As many reach targets late as if they came one by one."""
        for carrier in ALLOWED_CRASHES:
            for size in WAVE_SIZES:
                for gap_ms in WAVE_GAPS_MS:
                    with self.subTest(carrier, size=size, gap_ms=gap_ms):
                        self.reset()
                        late_count = self.send_waves(carrier, size, gap_ms)
                        self.assertLessEqual(late_count, MAX_LATE_REQUESTS)

    # Guards against a rare prompt that is blocked since it was at some of the
    # targets that lost power, and at one that flaps.
    def test_part_at_few_of_the_ended_targets_is_sent(self) -> None:
        """A rack that loses power counts once."""
        self.end_rack('rare', carrier_count=TARGET_COUNT // 3)
        self.clock.advance(1_000)
        self.end_target('rare')
        self.clock.advance(1_000)
        for attempt in ('a', 'b'):
            self.assertTrue(self.is_sent('rare', attempt))

    # Guards against a prompt that stays limited although it is sound.
    def test_part_at_all_ended_targets_is_cleared_by_an_answer(self) -> None:
        """One call is sent at once, and its answer clears the others."""
        self.end_rack('new', carrier_count=TARGET_COUNT)
        self.assertTrue(self.is_sent('new', 'a'))
        self.assertFalse(self.is_sent('new', 'b'))
        self.begin_answer('new')
        self.assertTrue(self.is_sent('new', 'b'))

    # Guards against a limited prompt that no call may try, since the one that
    # did found no target.
    def test_trial_that_ends_no_target_is_followed_at_once(self) -> None:
        """There is no interval before a second moment."""
        self.end_rack('new', carrier_count=TARGET_COUNT)
        self.assertTrue(self.is_sent('new', 'a'))
        self.suspects.end_trials('a')
        self.assertTrue(self.is_sent('new', 'b'))

    # Guards against instances that decide differently after the same reports.
    def test_order_of_reports_changes_nothing(self) -> None:
        """Ends under other calls may be heard of later."""
        bad = [
            CrashEvidence(SERVICE, 'bad', f't{number}', 1_000_000, RUN_MS)
            for number in range(4)
        ]
        others = [
            CrashEvidence(SERVICE, 'own', f'u{number}', 1_000_000, RUN_MS)
            for number in range(4)
        ]
        for reports in ([*bad, *others], [*others, *bad]):
            suspects = CrashSuspects(self.clock)
            for report in reports:
                suspects.record_crashes([report])
            self.assertFalse(suspects.is_limited(SERVICE, 'bad'))
