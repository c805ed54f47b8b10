"""The fault soak and its checks."""

from lagoonbend_devkit._internal.published.published_target import TargetRun
from lagoonbend_devkit._internal.soak.soak import Soak
from lagoonbend_devkit._internal.soak.soak_checks import BrokenPromise
from lagoonbend_devkit._internal.soak.soak_checks import find_broken_promises
from lagoonbend_devkit._internal.soak.soak_record import SoakCall
from lagoonbend_devkit._internal.soak.soak_report import SoakReport

__all__ = [
    'BrokenPromise',
    'Soak',
    'SoakCall',
    'SoakReport',
    'TargetRun',
    'find_broken_promises',
]
