"""Cases of the experiments on routing policies and tiers."""

from lagoonbend_devkit._internal.experiments.model_experiment import Case
from lagoonbend_devkit._internal.model.model_settings import ModelSettings
from lagoonbend_devkit._internal.model.workload import WORKLOADS

LAGS_MS = (100, 1_000, 5_000)
BASELINE_POLICIES = ('round_robin', 'least_reported', 'two_choices')
DEFAULT_POLICY = 'expected_time'
BURST_FACTOR = 10.0
SLOWDOWN_FACTOR = 10


def list_routing_cases() -> list[Case]:
    """Return each policy at each lag of load reports, and the oracle.

    The oracle is the default policy with exact knowledge of the engines.
    """
    cases = []
    for workload in WORKLOADS:
        for lag_ms in LAGS_MS:
            for policy in (*BASELINE_POLICIES, DEFAULT_POLICY):
                settings = ModelSettings(policy=policy, lag_ms=lag_ms)
                name = f'{policy}, lag {lag_ms} ms'
                cases.append(Case(name, workload, settings))
        oracle = ModelSettings(policy=DEFAULT_POLICY, lag_ms=0, is_oracle=True)
        cases.append(Case('oracle', workload, oracle))
    return cases


def list_tier_cases() -> list[Case]:
    """Return cases of normal load, a burst and slow engines.

    Each of them is measured with and without tiers.
    """
    conditions = {
        'quiet': ModelSettings(),
        'burst of 10 times': ModelSettings(burst_factor=BURST_FACTOR),
        '2 engines slow down 10 times': ModelSettings(
            slowdown=SLOWDOWN_FACTOR, slowed_engine_count=2
        ),
    }
    return [
        Case(
            f'{name}, {kind}', workload, settings._replace(has_tiers=has_tiers)
        )
        for workload in WORKLOADS
        for name, settings in conditions.items()
        for kind, has_tiers in (('no tiers', False), ('tiers', True))
    ]
