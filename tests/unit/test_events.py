"""Catalogue of log events and its documentation.

Operators look up an event by its number: a duplicate or undocumented number
would be ambiguous or missing.
"""

import pathlib
import unittest

from lagoonbend_entry._internal.utils.event import Event

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'EVENTS.md'


class EventsTest(unittest.TestCase):
    """Numbers are unique and documented."""

    def test_numbers_are_unique(self) -> None:
        """No two events share a number."""
        numbers = [event.number for event in Event]
        self.assertEqual(len(numbers), len(set(numbers)))

    def test_page_lists_exactly_the_catalogue(self) -> None:
        """Each event has a row, and each row has an event."""
        lines = PAGE.read_text(encoding='utf-8').splitlines()
        rows = {line for line in lines if line.startswith('| LB')}
        expected = {
            f'| {e.number} | {e.severity} | {e.name} | {e.meaning} |'
            for e in Event
        }
        self.assertEqual(expected, rows)
