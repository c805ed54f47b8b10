"""Registry of experiments by name."""

from collections.abc import Callable

from lagoonbend_devkit._internal.experiments import claim_experiment
from lagoonbend_devkit._internal.experiments import claim_latency
from lagoonbend_devkit._internal.experiments.tables import write_table

Experiment = Callable[[], str]
EXPERIMENTS: dict[str, Experiment] = {}


def experiment(name: str) -> Callable[[Experiment], Experiment]:
    """Register an experiment that returns its table."""

    def decorate(function: Experiment) -> Experiment:
        EXPERIMENTS[name] = function
        return function

    return decorate


@experiment('claims')
def measure_claims() -> str:
    """Return duplicates and refusals, by way and fault."""
    return write_table(
        claim_experiment.Result._fields,
        claim_experiment.run_claim_experiment(),
    )


@experiment('claim-latency')
def measure_claim_latency() -> str:
    """Return what a claim adds to a call."""
    return write_table(
        claim_latency.Latency._fields, claim_latency.run_claim_latency()
    )
