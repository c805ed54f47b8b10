"""Registry of experiments by name."""

from collections.abc import Callable

from lagoonbend_devkit._internal.capacity import control_slopes
from lagoonbend_devkit._internal.capacity import data_path
from lagoonbend_devkit._internal.capacity import spread
from lagoonbend_devkit._internal.capacity.slope import Slope
from lagoonbend_devkit._internal.experiments import claim_experiment
from lagoonbend_devkit._internal.experiments import claim_latency
from lagoonbend_devkit._internal.experiments import limit_experiment
from lagoonbend_devkit._internal.experiments import model_cases
from lagoonbend_devkit._internal.experiments import model_experiment
from lagoonbend_devkit._internal.experiments.tables import format_table

Experiment = Callable[[], str]
EXPERIMENTS: dict[str, Experiment] = {}


def experiment(name: str) -> Callable[[Experiment], Experiment]:
    """Register a function that runs an experiment and returns its table."""

    def decorate(function: Experiment) -> Experiment:
        EXPERIMENTS[name] = function
        return function

    return decorate


@experiment('claims')
def measure_claims() -> str:
    """Return duplicates and refusals by strategy and fault."""
    return format_table(
        claim_experiment.Result._fields,
        claim_experiment.run_claim_experiment(),
    )


@experiment('claim-latency')
def measure_claim_latency() -> str:
    """Return the latency that a claim adds to a call."""
    return format_table(
        claim_latency.Latency._fields, claim_latency.run_claim_latency()
    )


@experiment('routing')
def measure_routing() -> str:
    """Return goodput and wasted tokens by policy and lag of reports."""
    return format_table(
        model_experiment.Measure._fields,
        model_experiment.measure_cases(model_cases.list_routing_cases()),
    )


@experiment('tiers')
def measure_tiers() -> str:
    """Return goodput and wasted tokens under bursts and slow engines."""
    return format_table(
        model_experiment.Measure._fields,
        model_experiment.measure_cases(model_cases.list_tier_cases()),
    )


@experiment('limits')
def measure_limits() -> str:
    """Return the share of a limit that passes at twice the demand."""
    return format_table(
        limit_experiment.LimitResult._fields,
        limit_experiment.run_limit_experiment(),
    )


@experiment('capacity')
def measure_capacity() -> str:
    """Return how the cost of the control mechanisms grows with size."""
    return format_table(Slope._fields, control_slopes.list_control_slopes())


@experiment('data-path')
def measure_data_path() -> str:
    """Return latency, processor time and memory of the data path."""
    rows = data_path.measure_data_path()
    return format_table(data_path.DataPathCost._fields, rows)


@experiment('idle')
def measure_idle() -> str:
    """Return processor time and memory of idle instances."""
    rows = data_path.measure_idle()
    return format_table(data_path.IdleCost._fields, rows)


@experiment('spread')
def measure_spread() -> str:
    """Return the gossip rounds until every instance has a new value."""
    return format_table(spread.Spread._fields, spread.measure_spread())
