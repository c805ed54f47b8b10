"""Errors thrown into waiting greenlets."""

import unittest

import gevent

from lagoonbend_entry._internal.utils.interrupt import Interrupt


class InterruptTest(unittest.TestCase):
    """A greenlet that waits, and one whose work is over."""

    def test_waiting_work_gets_the_error(self) -> None:
        """The error ends the wait."""
        interrupts: list[Interrupt] = []
        job = gevent.spawn(_work, interrupts, is_over=False)
        gevent.sleep(0)
        interrupts[0].throw(ValueError('stop'))
        self.assertEqual('stopped', job.get(timeout=5))

    def test_work_that_is_over_gets_no_error(self) -> None:
        """The greenlet serves another request meanwhile."""
        interrupts: list[Interrupt] = []
        job = gevent.spawn(_work, interrupts, is_over=True)
        gevent.sleep(0)
        interrupts[0].throw(ValueError('stop'))
        self.assertEqual('undisturbed', job.get(timeout=5))


def _work(interrupts: list[Interrupt], *, is_over: bool) -> str:
    interrupt = Interrupt()
    interrupt.is_over = is_over
    interrupts.append(interrupt)
    try:
        gevent.sleep(0.05)
    except ValueError:
        return 'stopped'
    return 'undisturbed'
