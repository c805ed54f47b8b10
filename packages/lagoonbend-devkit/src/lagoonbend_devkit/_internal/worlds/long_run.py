"""Long runs of the simulated fleet over a range of seeds."""

import collections
import multiprocessing

from lagoonbend_devkit._internal.worlds.claim_world import ClaimWorld
from lagoonbend_devkit._internal.worlds.world_core import ViolationError

WORKER_COUNT = 6


def run_worlds(first: int, last: int, steps: int) -> int:
    """Run a simulation for each seed and print a summary.

    :param first: first seed.
    :param last: last seed, inclusive.
    :param steps: number of random actions of each run.
    :returns: number of seeds that violated a guarantee.
    """
    jobs = [(seed, steps) for seed in range(first, last + 1)]
    total: collections.Counter[str] = collections.Counter()
    failed = 0
    with multiprocessing.Pool(WORKER_COUNT) as pool:
        for seed, error, counts in pool.imap(_run_seed, jobs):
            total.update(counts)
            if error:
                failed += 1
                print(f'seed {seed}: {error}')
    print(f'{len(jobs)} seeds of {steps} steps, {failed} failed')
    for name, count in sorted(total.items()):
        print(f'  {name}: {count}')
    return failed


def _run_seed(
    job: tuple[int, int],
) -> tuple[int, str, collections.Counter[str]]:
    seed, steps = job
    world = ClaimWorld(seed)
    try:
        world.run(steps)
    except ViolationError as error:
        return seed, str(error), world.counts
    return seed, '', world.counts
