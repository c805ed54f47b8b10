"""The fault soak and the checks of its results."""

from lagoonbend_devkit._internal.gateway.standin_target import TargetRun
from lagoonbend_devkit._internal.soak.soak import Soak
from lagoonbend_devkit._internal.soak.soak_checks import find_violations
from lagoonbend_devkit._internal.soak.soak_checks import GuaranteeViolation
from lagoonbend_devkit._internal.soak.soak_record import SoakCall
from lagoonbend_devkit._internal.soak.soak_report import SoakReport

__all__ = [
    'GuaranteeViolation',
    'Soak',
    'SoakCall',
    'SoakReport',
    'TargetRun',
    'find_violations',
]
