"""Measures goodput by tier and wasted prompt tokens over several seeds."""

import multiprocessing
import statistics
from typing import NamedTuple

from lagoonbend_devkit._internal.model.model_run import ModelResult
from lagoonbend_devkit._internal.model.model_run import ModelRun
from lagoonbend_devkit._internal.model.model_settings import ModelSettings
from lagoonbend_devkit._internal.model.workload import WORKLOADS

SEEDS = (1, 2, 3, 4, 5)
WORKER_COUNT = 6
"""Processes that run simulations in parallel."""
TOKENS_PER_MILLION = 1_000_000


class Case(NamedTuple):
    """A case to measure; one row of the table.

    :param name: name of the row.
    :param workload: name of the workload.
    :param settings: settings of its runs; the seed is set for each run.
    """

    name: str
    workload: str
    settings: ModelSettings


class Measure(NamedTuple):
    """A row of the table, formatted as text.

    Each value is given as ``mean (minimum to maximum)`` over the seeds. A
    workload has two tiers.

    :param workload: name of the workload.
    :param case: name of the case.
    :param top_goodput: requests of the most urgent tier answered in time,
        in percent.
    :param low_goodput: the same of the lower tier.
    :param low_refused: requests of the lower tier refused, in percent.
    :param wasted: prompt tokens, in millions, of prefixes that an engine had
        computed before, and of requests that were then cancelled.
    """

    workload: str
    case: str
    top_goodput: str
    low_goodput: str
    low_refused: str
    wasted: str


def measure_cases(cases: list[Case]) -> list[Measure]:
    """Run each case with each seed; return a row for each case."""
    jobs = [
        (case.workload, case.settings._replace(seed=seed))
        for case in cases
        for seed in SEEDS
    ]
    with multiprocessing.Pool(WORKER_COUNT) as pool:
        results = pool.starmap(_run, jobs, chunksize=1)
    seed_count = len(SEEDS)
    return [
        _build_row(case, results[seed_count * i : seed_count * (i + 1)])
        for i, case in enumerate(cases)
    ]


def _run(workload: str, settings: ModelSettings) -> ModelResult:
    return ModelRun(WORKLOADS[workload], settings).run()


def _build_row(case: Case, results: list[ModelResult]) -> Measure:
    top, low = (kind.name for kind in WORKLOADS[case.workload].kinds)
    return Measure(
        case.workload,
        case.name,
        _format_range([o.goodput_percent[top] for o in results]),
        _format_range([o.goodput_percent[low] for o in results]),
        _format_range([o.refused_percent[low] for o in results]),
        _format_range(
            [o.wasted_tokens / TOKENS_PER_MILLION for o in results], 2
        ),
    )


def _format_range(values: list[float], digits: int = 1) -> str:
    mean = statistics.mean(values)
    low, high = min(values), max(values)
    return f'{mean:.{digits}f} ({low:.{digits}f} to {high:.{digits}f})'
