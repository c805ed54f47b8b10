"""Prompts that targets are believed to have cached.

Guards against calls sent to a target for a prompt that it had cached before a
restart.
"""

import unittest

from tests.lib.pool_world import CallKind
from tests.lib.pool_world import PoolWorld

HOLD_MS = 500
KIND = CallKind(0, HOLD_MS, objective_ms=2_000, prompt_tokens=20_000)


class RestartedTargetTest(unittest.TestCase):
    """Load: the holder of a prompt restarts between two calls with it."""

    def test_only_a_later_start_clears_the_cache(self) -> None:
        """An older copy of a registration is no restart."""
        for born_ms, new_tokens in ((1, 0), (2, 0), (3, 20_000)):
            world = PoolWorld(targets=1)
            target = world.listed[0]
            world.set_target_list([target._replace(born_ms=2)])
            prompt = world.arrive(KIND).request.prompt
            world.set_target_list([target._replace(born_ms=born_ms)])
            load = world.scheduler.targets.find('t0')
            assert load is not None
            self.assertEqual(new_tokens, load.cache.count_new_tokens(prompt))


if __name__ == '__main__':
    unittest.main()
