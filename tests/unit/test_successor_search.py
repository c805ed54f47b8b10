"""Search for another target while the target of a call is silent.

Guards against slots that stay in use after the search has ended, which would
leave a target with less work than it can run.
"""

import unittest

import gevent
import gevent.event

from lagoonbend_entry.testing import SuccessorSearch

RETRY_TIME_S = 0.8
SLOT = 'slot at another target'


class SuccessorSearchTest(unittest.TestCase):
    """A request for a slot is granted when the test says so."""

    def setUp(self) -> None:
        """Create a search whose request waits for its result."""
        self.result: gevent.event.AsyncResult = gevent.event.AsyncResult()
        self.released: list[str] = []
        self.search: SuccessorSearch[str] = SuccessorSearch(
            self.result.get, self.released.append
        )

    def test_granted_slot_is_taken_once(self) -> None:
        """It is not released as well."""
        self.search.start()
        self.result.set(SLOT)
        gevent.sleep(0)
        self.assertTrue(self.search.has_found)
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
        self.assertFalse(self.search.has_found)

    def test_slot_granted_while_the_search_ends_is_released(self) -> None:
        """The result arrives before the greenlet is ended."""
        self.search.start()
        gevent.sleep(0)
        self.result.set(SLOT)
        self.search.cancel()
        gevent.sleep(0)
        self.assertFalse(self.search.has_found)
        self.assertEqual([SLOT], self.released)

    def test_search_goes_on_after_an_unexpected_error(self) -> None:
        """The error is logged, and the next request is made later."""
        results = iter([OSError('no descriptors left')])

        def find() -> str:
            for error in results:
                raise error
            return SLOT

        search: SuccessorSearch[str] = SuccessorSearch(
            find, self.released.append
        )
        search.start()
        gevent.sleep(RETRY_TIME_S)
        self.assertEqual(SLOT, search.take())


if __name__ == '__main__':
    unittest.main()
