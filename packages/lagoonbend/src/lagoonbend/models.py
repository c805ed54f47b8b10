"""Immutable values that the other modules exchange."""

from lagoonbend._internal.models.call import Call
from lagoonbend._internal.models.claim_decision import ClaimDecision
from lagoonbend._internal.models.claim_reply import ClaimReply
from lagoonbend._internal.models.claim_request import ClaimRequest
from lagoonbend._internal.models.fleet_list import FleetList
from lagoonbend._internal.models.peer import Peer
from lagoonbend._internal.models.permit import Permit
from lagoonbend._internal.models.recorded_answer import RecordedAnswer
from lagoonbend._internal.models.refusal import Refusal
from lagoonbend._internal.models.refusal_code import RefusalCode
from lagoonbend._internal.models.request_class import RequestClass
from lagoonbend._internal.models.seat_plan import SeatPlan
from lagoonbend._internal.models.target import Target
from lagoonbend._internal.models.verdict import Verdict

__all__ = [
    'Call',
    'ClaimDecision',
    'ClaimReply',
    'ClaimRequest',
    'FleetList',
    'Peer',
    'Permit',
    'RecordedAnswer',
    'Refusal',
    'RefusalCode',
    'RequestClass',
    'SeatPlan',
    'Target',
    'Verdict',
]
