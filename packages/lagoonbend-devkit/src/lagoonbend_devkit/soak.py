"""The fault soak and the checks of its results."""

from lagoonbend_devkit._internal.gateway.standin_target import TargetArrival
from lagoonbend_devkit._internal.gateway.standin_target import TargetRun
from lagoonbend_devkit._internal.gateway.target_crash import TargetCrash
from lagoonbend_devkit._internal.soak.call_failure import CallFailure
from lagoonbend_devkit._internal.soak.cold_period import ColdPeriod
from lagoonbend_devkit._internal.soak.cut_period import CutPeriod
from lagoonbend_devkit._internal.soak.drained_period import DrainedPeriod
from lagoonbend_devkit._internal.soak.evacuated_period import EvacuatedPeriod
from lagoonbend_devkit._internal.soak.instance_event import InstanceEvent
from lagoonbend_devkit._internal.soak.instance_event import InstanceEventKind
from lagoonbend_devkit._internal.soak.limited_period import LimitedPeriod
from lagoonbend_devkit._internal.soak.link_fault import LinkFault
from lagoonbend_devkit._internal.soak.sent_request import SentRequest
from lagoonbend_devkit._internal.soak.soak import Soak
from lagoonbend_devkit._internal.soak.soak_checks import find_violations
from lagoonbend_devkit._internal.soak.soak_checks import GuaranteeViolation
from lagoonbend_devkit._internal.soak.soak_faults import COLD
from lagoonbend_devkit._internal.soak.soak_faults import CRASHING
from lagoonbend_devkit._internal.soak.soak_faults import CRASHING_REQUESTS
from lagoonbend_devkit._internal.soak.soak_faults import EVACUATIONS
from lagoonbend_devkit._internal.soak.soak_faults import LINKS
from lagoonbend_devkit._internal.soak.soak_history import SoakHistory
from lagoonbend_devkit._internal.soak.soak_record import PausedPeriod
from lagoonbend_devkit._internal.soak.soak_record import SoakCall
from lagoonbend_devkit._internal.soak.soak_report import SoakReport
from lagoonbend_devkit._internal.soak.stream_shares import StreamShares
from lagoonbend_devkit._internal.soak.stream_shares import sum_shares
from lagoonbend_devkit._internal.soak.supervisor import Supervisor
from lagoonbend_devkit._internal.soak.target_period import TargetPeriod

__all__ = [
    'COLD',
    'CRASHING',
    'CRASHING_REQUESTS',
    'EVACUATIONS',
    'LINKS',
    'CallFailure',
    'ColdPeriod',
    'CutPeriod',
    'DrainedPeriod',
    'EvacuatedPeriod',
    'GuaranteeViolation',
    'InstanceEvent',
    'InstanceEventKind',
    'LimitedPeriod',
    'LinkFault',
    'PausedPeriod',
    'SentRequest',
    'Soak',
    'SoakCall',
    'SoakHistory',
    'SoakReport',
    'Supervisor',
    'TargetArrival',
    'TargetCrash',
    'TargetRun',
    'StreamShares',
    'TargetPeriod',
    'find_violations',
    'sum_shares',
]
