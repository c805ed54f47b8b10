"""Writing log lines to a pipe whose reader is slow or gone.

A full pipe would block the process at its next log line. The tests guard
against that, against memory that grows without bound meanwhile, and against
torn or reordered lines after a partial write.
"""

import contextlib
import os
import unittest

from lagoonbend_entry._internal.utils import log_writer


class LogWriterTest(unittest.TestCase):
    """Writes to a pipe that is read only when the test does so."""

    def setUp(self) -> None:
        """Open a pipe with a writer."""
        self.read_end, self.write_end = os.pipe()
        self.writer = log_writer.LogWriter(self.write_end)

    def tearDown(self) -> None:
        """Close the pipe."""
        os.close(self.read_end)
        os.close(self.write_end)

    def test_unread_output_blocks_nobody_and_is_counted(self) -> None:
        """Lines beyond the limit are dropped."""
        count = 3 * log_writer.MAX_PENDING_LINES
        for number in range(count):
            self.writer({'number': number, 'filler': 'x' * 100})
            if number % 50 == 0:
                self.writer.flush()
        self.writer.flush()
        dropped = self.writer.pop_dropped_count()
        self.assertGreater(dropped, 0)
        self.assertEqual(0, self.writer.pop_dropped_count())

    def test_what_is_read_is_whole_lines_in_order(self) -> None:
        """The rest of a partly written line follows at the next flush."""
        for number in range(2_000):
            self.writer({'number': number, 'filler': 'x' * 100})
        received = b''
        os.set_blocking(self.read_end, False)
        for _ in range(200):
            self.writer.flush()
            with contextlib.suppress(BlockingIOError):
                received += os.read(self.read_end, 4_096)
        lines = received.split(b'\n')[:-1]
        numbers = [int(line.split(b':')[1].split(b',')[0]) for line in lines]
        self.assertEqual(list(range(len(numbers))), numbers)
        self.assertGreater(len(numbers), 1_000)

    def test_the_first_line_of_a_batch_asks_for_a_flush(self) -> None:
        """So an idle process need not poll for pending lines."""
        flush_requests: list[int] = []
        writer = log_writer.LogWriter(
            self.write_end, lambda: flush_requests.append(1)
        )
        writer({'number': 1})
        writer({'number': 2})
        self.assertEqual(1, len(flush_requests))
        self.assertFalse(writer.is_empty)
        writer.flush()
        self.assertTrue(writer.is_empty)
        writer({'number': 3})
        self.assertEqual(2, len(flush_requests))


if __name__ == '__main__':
    unittest.main()
