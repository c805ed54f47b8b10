"""Places at targets, shared by all instances that reach each other."""

from lagoonbend._internal.scheduling.denial import Denial
from lagoonbend._internal.scheduling.held_place import HeldPlace
from lagoonbend._internal.scheduling.place_decision import PlaceDecision
from lagoonbend._internal.scheduling.place_end import PlaceEnd
from lagoonbend._internal.scheduling.place_request import PlaceRequest
from lagoonbend._internal.scheduling.pool_plan import CallOrigin
from lagoonbend._internal.scheduling.pool_plan import PoolPlan
from lagoonbend._internal.scheduling.pools import Pool
from lagoonbend._internal.scheduling.pools import PoolLoads
from lagoonbend._internal.scheduling.prompt_part import PromptPart
from lagoonbend._internal.scheduling.ranks import RANK_ORDERS
from lagoonbend._internal.scheduling.ranks import RankOrder
from lagoonbend._internal.scheduling.service_scheduler import ServiceScheduler
from lagoonbend._internal.scheduling.target_set import TargetSet

__all__ = [
    'CallOrigin',
    'PoolPlan',
    'RANK_ORDERS',
    'Denial',
    'HeldPlace',
    'PlaceDecision',
    'PlaceEnd',
    'PlaceRequest',
    'Pool',
    'PoolLoads',
    'PromptPart',
    'RankOrder',
    'ServiceScheduler',
    'TargetSet',
]
