"""Log lines never wait for their reader."""

import contextlib
import os
import unittest

from lagoonbend_entry._internal.utils import log_writer


class LogWriterTest(unittest.TestCase):
    """A pipe whose other end reads when the test wants."""

    def setUp(self) -> None:
        """Open a pipe."""
        self.read_end, self.write_end = os.pipe()
        self.writer = log_writer.LogWriter(self.write_end)

    def tearDown(self) -> None:
        """Close the pipe."""
        os.close(self.read_end)
        os.close(self.write_end)

    def test_unread_output_blocks_nobody_and_is_counted(self) -> None:
        """Lines beyond the bound are left out."""
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
        """A partly written line is completed later."""
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
        """An idle process need not look whether there are lines."""
        asked: list[int] = []
        writer = log_writer.LogWriter(self.write_end, lambda: asked.append(1))
        writer({'number': 1})
        writer({'number': 2})
        self.assertEqual(1, len(asked))
        self.assertFalse(writer.is_empty)
        writer.flush()
        self.assertTrue(writer.is_empty)
        writer({'number': 3})
        self.assertEqual(2, len(asked))


if __name__ == '__main__':
    unittest.main()
