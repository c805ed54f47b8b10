"""Targets that lapse, and that an older copy of the store brings back.

Guards against a live target that is dropped or left unused.
"""

import unittest

from lagoonbend.facts import ListedTarget
from lagoonbend.facts import PublishedItem
from lagoonbend.facts import TargetDirectory


def read_target(item: PublishedItem) -> ListedTarget:
    """Decode a state and a start, which is 1 if it isn't given."""
    state, _, start = (item.value or b'').decode().partition(' ')
    is_leaving = state == 'leaving'
    born_ms = int(start or 1)
    return ListedTarget(
        item.key, 'desk', '10.0.0.1', 80, 'd', 4, is_leaving, None, born_ms
    )


class TargetsOverErasTest(unittest.TestCase):
    """Changes at given times, in milliseconds."""

    def setUp(self) -> None:
        """Begin without targets."""
        self.directory = TargetDirectory(read_target)

    def apply(
        self,
        era: int,
        revision: int,
        value: bytes | None,
        now_ms: int,
        name: str = 'x',
    ) -> None:
        """Apply the state of a target."""
        item = PublishedItem(name, revision, value, era)
        self.directory.apply([item], now_ms)

    def list_names(self) -> list[str]:
        """Return the names of the targets that may be used."""
        return [each.target for each in self.directory.list_service('desk')]

    def test_removed_again_after_its_lapse(self) -> None:
        """The other lapsed targets are removed too."""
        for name in 'xy':
            self.apply(-1, 1, b'ready', 0, name)
        self.directory.record_outage_end(0)
        for name in 'xy':
            self.apply(-1, 2, None, 100, name)
        self.assertEqual(['x', 'y'], self.list_names())
        self.apply(-1, 3, None, 2_100)
        self.directory.expire(2_200)
        self.assertEqual([], self.list_names())
        self.assertEqual(0, len(self.directory))

    def test_alive_after_an_older_copy(self) -> None:
        """A removed target that proved alive isn't taken out again."""
        for proof in ('registration', 'time'):
            with self.subTest(proof=proof):
                self.setUp()
                self.apply(1, 5, b'ready', 0)
                self.apply(1, 6, None, 0)
                self.apply(2, 3, b'ready', 100)
                self.assertEqual([], self.list_names())
                if proof == 'registration':
                    self.apply(2, 4, b'ready', 200)
                self.directory.expire(8_100)
                self.assertEqual(['x'], self.list_names())
                self.apply(2, 5, b'ready', 8_200)
                self.assertEqual(['x'], self.list_names())
                self.apply(3, 4, b'ready', 8_300)
                self.assertEqual(['x'], self.list_names())

    def test_registration_after_the_start_of_an_era(self) -> None:
        """Only what the first listing contains may be that of the copy."""
        self.apply(1, 5, b'ready', 0)
        self.apply(1, 6, None, 0)
        self.directory.begin_era(2, 3)
        self.apply(2, 4, b'ready', 100)
        self.assertEqual(['x'], self.list_names())

    def test_leaving_holds_after_the_start_of_an_era(self) -> None:
        """A registration that is renewed doesn't end it."""
        self.apply(1, 5, b'leaving', 0)
        self.directory.begin_era(2, 3)
        self.apply(2, 4, b'ready', 100)
        self.assertEqual([], self.list_names())

    def test_second_outage_within_the_grace(self) -> None:
        """A lapsed target has the whole time after the second one."""
        self.apply(1, 1, b'ready', 0)
        self.directory.record_outage_end(0)
        self.apply(2, 1, None, 100)
        self.directory.record_outage_end(1_500)
        self.directory.expire(3_499)
        self.assertEqual(['x'], self.list_names())
        self.directory.expire(3_500)
        self.assertEqual([], self.list_names())

    def test_earlier_life_after_a_later_leaving(self) -> None:
        """An older copy doesn't undo the leaving of the later life."""
        self.apply(1, 5, b'leaving 2', 0)
        self.directory.begin_era(2, 2)
        self.apply(2, 2, b'leaving 1', 100)
        self.directory.begin_era(3, 4)
        self.apply(3, 4, b'ready 2', 200)
        self.assertEqual([], self.list_names())


if __name__ == '__main__':
    unittest.main()
