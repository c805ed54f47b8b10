"""A slot at a target that the instance of the call doesn't list.

Guards against a decider that takes a target as gone for all instances,
because one of them has not read of its registration yet.
"""

import unittest
from unittest import mock

from lagoonbend.facts import ListedTarget
from lagoonbend.facts import PublishedItem
from lagoonbend.facts import TargetDirectory
from lagoonbend.scheduling import SlotOutcome
from lagoonbend_entry._internal.gateway import call_handler
from lagoonbend_entry._internal.gateway.grant_check import GrantCheck

TARGET = ListedTarget('t', 's', '10.0.1.1', 80, 'd0', 1, False)


class TargetNotListedYetTest(unittest.TestCase):
    """Outcome with which the slot is released."""

    def release(self, *states: ListedTarget | None) -> SlotOutcome:
        """Return the outcome after the target had some states in the list."""
        directory = TargetDirectory(lambda item: states[int(item.value or 0)])
        for number, state in enumerate(states):
            value = str(number).encode() if state is not None else None
            item = PublishedItem('t', number + 1, value)
            directory.apply([item], 0)
        handler = mock.Mock()
        handler._grant_check = GrantCheck(
            mock.Mock(target_directory=directory), mock.Mock(), mock.Mock()
        )
        progress = mock.Mock(binding=None)
        progress.call.service = 's'
        call_handler.CallHandler._open_attempt(
            handler,
            progress,
            mock.Mock(),
            mock.Mock(),
            mock.Mock(target='t'),
            mock.Mock(),
        )
        release = handler._coordinator.release
        outcome: SlotOutcome = release.call_args.args[2]
        return outcome

    def test_target_that_was_never_listed_is_not_gone(self) -> None:
        """The decider's list is newer."""
        self.assertIs(SlotOutcome.UNSUITED, self.release())

    def test_target_that_was_listed_is_gone(self) -> None:
        """The decider's list is older."""
        leaving = TARGET._replace(is_leaving=True)
        for states in ((TARGET, None), (leaving,), (TARGET, leaving)):
            with self.subTest(states=states):
                self.assertIs(SlotOutcome.GONE, self.release(*states))

    def test_target_of_another_service_is_gone(self) -> None:
        """An address can be registered again for another service."""
        other = TARGET._replace(service='other')
        self.assertIs(SlotOutcome.GONE, self.release(other))


if __name__ == '__main__':
    unittest.main()
