"""Scheduling of calls on the slots of targets.

A slot is the right of one call to run at a target. The slots of a pool are
granted by one instance on behalf of all instances that can reach it.
"""

from lagoonbend._internal.scheduling.call_ages import CALL_AGES
from lagoonbend._internal.scheduling.call_ages import CallAge
from lagoonbend._internal.scheduling.caller_patience import CallerPatience
from lagoonbend._internal.scheduling.customer_orders import CUSTOMER_ORDERS
from lagoonbend._internal.scheduling.customer_orders import CustomerOrder
from lagoonbend._internal.scheduling.customer_orders import CustomerOrderClass
from lagoonbend._internal.scheduling.customer_orders import LatestStartOrder
from lagoonbend._internal.scheduling.customer_shares import CustomerShares
from lagoonbend._internal.scheduling.denial import Denial
from lagoonbend._internal.scheduling.held_slot import HeldSlot
from lagoonbend._internal.scheduling.kept_prompt_choice import choose_option
from lagoonbend._internal.scheduling.kept_prompt_totals import KeptPromptTotals
from lagoonbend._internal.scheduling.kept_prompt_waits import KeptPromptWaits
from lagoonbend._internal.scheduling.kept_prompts import KEPT_PROMPTS
from lagoonbend._internal.scheduling.pool_plan import CallOrigin
from lagoonbend._internal.scheduling.pool_plan import PoolPlan
from lagoonbend._internal.scheduling.pool_scheduler import PoolScheduler
from lagoonbend._internal.scheduling.pools import Pool
from lagoonbend._internal.scheduling.pools import PoolWaitTimes
from lagoonbend._internal.scheduling.prompt_block import PromptBlock
from lagoonbend._internal.scheduling.ranks import rank_continued_stream
from lagoonbend._internal.scheduling.ranks import RANK_ORDERS
from lagoonbend._internal.scheduling.ranks import RankOrder
from lagoonbend._internal.scheduling.recent_denials import RecentDenials
from lagoonbend._internal.scheduling.route_explanation import CostTerms
from lagoonbend._internal.scheduling.route_explanation import OutReason
from lagoonbend._internal.scheduling.route_explanation import PoolExplanation
from lagoonbend._internal.scheduling.route_explanation import TargetExplanation
from lagoonbend._internal.scheduling.slot_decision import SlotDecision
from lagoonbend._internal.scheduling.slot_outcome import SlotOutcome
from lagoonbend._internal.scheduling.slot_request import SlotRequest
from lagoonbend._internal.scheduling.stated_load import StatedLoad
from lagoonbend._internal.scheduling.target_load import TargetLoad
from lagoonbend._internal.scheduling.target_option import TargetOption
from lagoonbend._internal.scheduling.target_set import TargetSet

__all__ = [
    'CALL_AGES',
    'CUSTOMER_ORDERS',
    'CallAge',
    'CallOrigin',
    'CallerPatience',
    'CostTerms',
    'CustomerOrder',
    'CustomerOrderClass',
    'CustomerShares',
    'KEPT_PROMPTS',
    'KeptPromptTotals',
    'KeptPromptWaits',
    'PoolPlan',
    'RANK_ORDERS',
    'Denial',
    'HeldSlot',
    'LatestStartOrder',
    'OutReason',
    'PoolExplanation',
    'TargetExplanation',
    'SlotDecision',
    'SlotOutcome',
    'SlotRequest',
    'StatedLoad',
    'Pool',
    'PoolWaitTimes',
    'PromptBlock',
    'RankOrder',
    'RecentDenials',
    'PoolScheduler',
    'TargetLoad',
    'TargetOption',
    'TargetSet',
    'choose_option',
    'rank_continued_stream',
]
