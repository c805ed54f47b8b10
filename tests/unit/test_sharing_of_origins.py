"""When instances tell each other of all streams that begin.

Pattern of load: the store loses its history, so that nearly all instances of
a large fleet list it anew at the same time. Guards against links and messages
for each stream of all of them.
"""

import unittest
from unittest import mock

from lagoonbend_entry._internal.coordination.coordinator import Coordinator


class SharingOfOriginsTest(unittest.TestCase):
    """An instance of a small or a large fleet."""

    def is_shared(
        self, versions: set[str], *, is_known: bool, is_full_mesh: bool
    ) -> bool:
        """Return True if the streams of a service are shared."""
        coordinator = mock.Mock()
        coordinator._facts.list_versions.return_value = versions
        coordinator._facts.knows_versions.return_value = is_known
        coordinator._fleet.is_full_mesh = is_full_mesh
        return Coordinator._may_be_mixed(coordinator, 'chat')

    def test_several_versions_are_shared_in_any_fleet(self) -> None:
        """Whether the past is known or not."""
        for is_known in (False, True):
            for is_full_mesh in (False, True):
                self.assertTrue(
                    self.is_shared(
                        {'v1', 'v2'},
                        is_known=is_known,
                        is_full_mesh=is_full_mesh,
                    )
                )

    def test_unknown_past_is_shared_in_a_small_fleet_only(self) -> None:
        """A known one with one version nowhere."""
        for is_full_mesh in (False, True):
            self.assertEqual(
                is_full_mesh,
                self.is_shared(
                    {'v1'}, is_known=False, is_full_mesh=is_full_mesh
                ),
            )
            self.assertFalse(
                self.is_shared(
                    {'v1'}, is_known=True, is_full_mesh=is_full_mesh
                )
            )


if __name__ == '__main__':
    unittest.main()
