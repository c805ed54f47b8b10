"""Loops that outlive an unexpected error."""

import unittest

import gevent

from lagoonbend_entry._internal.utils.guarded_loop import run_guarded


class GuardedLoopTest(unittest.TestCase):
    """One bad step ends no loop."""

    def test_loop_goes_on_after_an_error(self) -> None:
        """The step is called again."""
        calls: list[int] = []

        def step() -> None:
            calls.append(1)
            gevent.sleep(0.01)
            if len(calls) == 2:
                raise ValueError('unexpected')

        worker = gevent.spawn(run_guarded, 'test', step)
        gevent.sleep(0.4)
        worker.kill()
        self.assertGreater(len(calls), 3)


if __name__ == '__main__':
    unittest.main()
