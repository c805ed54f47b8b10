"""The catalogue of log events and its page."""

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
        """Every event has its line, and no line lacks its event."""
        lines = PAGE.read_text(encoding='utf-8').splitlines()
        rows = {line for line in lines if line.startswith('| LB')}
        wanted = {
            f'| {e.number} | {e.severity} | {e.name} | {e.meaning} |'
            for e in Event
        }
        self.assertEqual(wanted, rows)
