"""Errors raised in waiting greenlets.

An error that is raised late could hit a greenlet that has finished the work
and serves another request by then.
"""

import unittest

import gevent

from lagoonbend_entry._internal.utils.interrupt import Interrupt


class InterruptTest(unittest.TestCase):
    """Interrupts a greenlet while it works, and after its work."""

    def test_waiting_work_gets_the_error(self) -> None:
        """The error is raised in the wait."""
        interrupts: list[Interrupt] = []
        greenlet = gevent.spawn(_wait, interrupts, is_over=False)
        gevent.sleep(0)
        interrupts[0].throw(ValueError('stop'))
        self.assertEqual('stopped', greenlet.get(timeout=5))

    def test_work_that_is_over_gets_no_error(self) -> None:
        """The greenlet may serve another request by then."""
        interrupts: list[Interrupt] = []
        greenlet = gevent.spawn(_wait, interrupts, is_over=True)
        gevent.sleep(0)
        interrupts[0].throw(ValueError('stop'))
        self.assertEqual('undisturbed', greenlet.get(timeout=5))


def _wait(interrupts: list[Interrupt], *, is_over: bool) -> str:
    interrupt = Interrupt()
    interrupt.is_over = is_over
    interrupts.append(interrupt)
    try:
        gevent.sleep(0.05)
    except ValueError:
        return 'stopped'
    return 'undisturbed'
