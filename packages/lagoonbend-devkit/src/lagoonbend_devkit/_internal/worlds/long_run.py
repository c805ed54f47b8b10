"""Long seeded runs of the claim world."""

import collections
import multiprocessing

from lagoonbend_devkit._internal.worlds.claim_world import ClaimWorld
from lagoonbend_devkit._internal.worlds.world_core import WorldError

WORKERS = 6


def run_worlds(first: int, last: int, steps: int) -> int:
    """Run worlds of seeds ``first`` to ``last``; return how many failed."""
    jobs = [(seed, steps) for seed in range(first, last + 1)]
    total: collections.Counter[str] = collections.Counter()
    failed = 0
    with multiprocessing.Pool(WORKERS) as pool:
        for seed, error, counts in pool.imap(_run, jobs):
            total.update(counts)
            if error:
                failed += 1
                print(f'seed {seed}: {error}')
    print(f'{len(jobs)} seeds of {steps} steps, {failed} failed')
    for name, count in sorted(total.items()):
        print(f'  {name}: {count}')
    return failed


def _run(job: tuple[int, int]) -> tuple[int, str, collections.Counter[str]]:
    seed, steps = job
    world = ClaimWorld(seed)
    try:
        world.run(steps)
    except WorldError as error:
        return seed, str(error), world.counts
    return seed, '', world.counts
