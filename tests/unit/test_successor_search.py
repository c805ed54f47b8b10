"""Search for another target while the target of a call is silent.

Guards against slots that stay in use after the search has ended, which would
leave a target with less work than it can run.
"""

import unittest

import gevent
import gevent.event

from lagoonbend.scheduling import SlotDecision
from lagoonbend.scheduling import SlotRequest
from lagoonbend_entry.testing import GrantedSlot
from lagoonbend_entry.testing import SuccessorSearch

SLOT = GrantedSlot(
    SlotRequest('c1', 'i1', 'd1', 'p1', 0, 0, '', 0.0, 0, 300, 3_000),
    SlotDecision('c1', 'i1', target='t1'),
)


class SuccessorSearchTest(unittest.TestCase):
    """A request for a slot is granted when the test says so."""

    def setUp(self) -> None:
        """Create a search whose request waits for its result."""
        self.result: gevent.event.AsyncResult = gevent.event.AsyncResult()
        self.released: list[GrantedSlot] = []
        self.search = SuccessorSearch(self.result.get, self.released.append)

    def test_granted_slot_is_taken_once(self) -> None:
        """It is not released as well."""
        self.search.start()
        self.result.set(SLOT)
        gevent.sleep(0)
        self.assertTrue(self.search.has_slot)
        self.assertIs(SLOT, self.search.take())
        self.search.cancel()
        self.assertIsNone(self.search.take())
        self.assertEqual([], self.released)

    def test_granted_slot_is_released_if_the_target_goes_on(self) -> None:
        """The call stays where it is."""
        self.search.start()
        self.result.set(SLOT)
        gevent.sleep(0)
        self.search.cancel()
        self.assertEqual([SLOT], self.released)

    def test_cancelled_request_ends_without_a_slot(self) -> None:
        """The greenlet that waits for the slot is ended."""
        self.search.start()
        gevent.sleep(0)
        self.search.cancel()
        gevent.sleep(0)
        self.result.set(SLOT)
        gevent.sleep(0)
        self.assertFalse(self.search.has_slot)

    def test_slot_granted_while_the_search_ends_is_released(self) -> None:
        """The result arrives before the greenlet is ended."""
        self.search.start()
        gevent.sleep(0)
        self.result.set(SLOT)
        self.search.cancel()
        gevent.sleep(0)
        self.assertFalse(self.search.has_slot)
        self.assertEqual([SLOT], self.released)


if __name__ == '__main__':
    unittest.main()
