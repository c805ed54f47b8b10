"""Checks of the soak that apply to evacuated domains and cold targets.

Guards against a check that can't fail: each is given requests that violate it.
"""

import unittest

from lagoonbend_devkit.soak import ColdPeriod
from lagoonbend_devkit.soak import CutPeriod
from lagoonbend_devkit.soak import EvacuatedPeriod
from lagoonbend_devkit.soak import find_violations
from lagoonbend_devkit.soak import InstanceEvent
from lagoonbend_devkit.soak import InstanceEventKind
from lagoonbend_devkit.soak import LinkFault
from lagoonbend_devkit.soak import PausedPeriod
from lagoonbend_devkit.soak import SoakCall
from lagoonbend_devkit.soak import SoakHistory
from lagoonbend_devkit.soak import TargetArrival

CALL = SoakCall('', 0, 'booking', b'', '', 200, b'', True, 0.0, 0.1)
EVACUATED = SoakHistory(
    evacuated_periods=[
        EvacuatedPeriod('domain-a', frozenset({'desk-0'}), 10.0, 30.0)
    ]
)
COLD = SoakHistory(cold_periods=[ColdPeriod('desk-0', 2.0, 10.0, 30.0)])


def is_kept(
    history: SoakHistory, at_s: float, count: int = 1, target: str = 'desk-0'
) -> bool:
    """Return whether requests at a time, from instance 0, are allowed."""
    names = [f'b{number}' for number in range(count)]
    arrivals = [
        TargetArrival(name, at_s + number / 100)
        for number, name in enumerate(names)
    ]
    found = find_violations(
        [],
        history._replace(
            calls=[CALL._replace(attempt=name) for name in names],
            arrivals={target: arrivals},
        ),
    )
    checked = {'evacuated_domain_gets_nothing', 'cold_rate_is_kept'}
    return not checked & {item.guarantee for item in found}


class TargetStatesTest(unittest.TestCase):
    """A target is evacuated, or cold with 2 requests a second, from 10 s."""

    def test_request_to_an_evacuated_domain_is_seen(self) -> None:
        """One later than 5 s after the write and before the removal."""
        self.assertFalse(is_kept(EVACUATED, 15.1))
        self.assertFalse(is_kept(EVACUATED, 29.9))
        self.assertTrue(is_kept(EVACUATED, 14.9))
        self.assertTrue(is_kept(EVACUATED, 30.1))
        self.assertTrue(is_kept(EVACUATED, 15.1, target='desk-1'))

    def test_requests_beyond_the_rate_of_a_cold_target_are_seen(self) -> None:
        """In a second, 1.5 x 2 + 5 are allowed, from 13 s on."""
        self.assertTrue(is_kept(COLD, 14.0, 8))
        self.assertFalse(is_kept(COLD, 14.0, 9))
        self.assertTrue(is_kept(COLD, 12.0, 9))
        self.assertTrue(is_kept(COLD, 30.1, 9))

    def test_instance_out_of_touch_is_excused_until_it_is_in_touch(
        self,
    ) -> None:
        """It has not seen a sound store for 3 s since the write or its start.

        Guards against excuses that hide a late instance, and against faults
        of other instances or before the write that excuse it.
        """
        killed = InstanceEvent(0, InstanceEventKind.KILLED, 18.0)
        listening = InstanceEvent(0, InstanceEventKind.LISTENING, 18.5)
        fault = LinkFault(9.0, 18.0)
        for history in (
            SoakHistory(events=[killed, listening]),
            SoakHistory(paused_periods=[PausedPeriod(0, 9.0, 18.0)]),
            SoakHistory(store_faults=[fault]),
            SoakHistory(restorations=[LinkFault(17.0, 18.0)]),
            SoakHistory(cut_periods=[CutPeriod(0, 9.0, 20.0)]),
        ):
            late = history._replace(
                evacuated_periods=EVACUATED.evacuated_periods
            )
            cold = history._replace(cold_periods=COLD.cold_periods)
            with self.subTest(history):
                self.assertTrue(is_kept(late, 19.0))
                self.assertTrue(is_kept(cold, 19.0, 9))
                self.assertFalse(is_kept(late, 22.0))
                self.assertFalse(is_kept(cold, 22.0, 9))
        for history in (
            SoakHistory(paused_periods=[PausedPeriod(1, 9.0, 18.0)]),
            SoakHistory(store_faults=[LinkFault(14.0, 18.0)]),
            SoakHistory(cut_periods=[CutPeriod(1, 9.0, 20.0)]),
        ):
            late = history._replace(
                evacuated_periods=EVACUATED.evacuated_periods
            )
            with self.subTest(history):
                self.assertFalse(is_kept(late, 19.0))


if __name__ == '__main__':
    unittest.main()
