"""Background loops that continue after an unexpected error.

An exception in one step would otherwise end the greenlet of the loop, and
its work would stop without notice.
"""

import unittest

import gevent

from lagoonbend_entry._internal.utils.guarded_loop import run_guarded


class GuardedLoopTest(unittest.TestCase):
    """Runs a step that raises an error once."""

    def test_loop_goes_on_after_an_error(self) -> None:
        """The step is called again after the delay."""
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
