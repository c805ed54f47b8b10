"""Choice of a target from delayed and incomplete load reports."""

from lagoonbend._internal.models.cache_event import CacheEvent
from lagoonbend._internal.models.load_report import LoadReport
from lagoonbend._internal.routing.assignment import Assignment
from lagoonbend._internal.routing.policy import POLICIES
from lagoonbend._internal.routing.policy import Policy
from lagoonbend._internal.routing.policy import register_policy
from lagoonbend._internal.routing.target_state import TargetState
from lagoonbend._internal.routing.target_table import TargetTable
from lagoonbend._internal.routing.work_estimate import WorkEstimate

__all__ = [
    'POLICIES',
    'Assignment',
    'CacheEvent',
    'LoadReport',
    'Policy',
    'TargetState',
    'TargetTable',
    'WorkEstimate',
    'register_policy',
]
