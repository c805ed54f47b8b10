"""Rate limits of customers, enforced jointly by all instances."""

from lagoonbend._internal.limits.customer_limit import CustomerLimit
from lagoonbend._internal.limits.customer_limiter import CustomerLimiter
from lagoonbend._internal.limits.limit_owner import LimitOwner
from lagoonbend._internal.limits.limit_tolerance import LimitTolerance
from lagoonbend._internal.limits.shared_limits import SharedLimits

__all__ = [
    'CustomerLimit',
    'CustomerLimiter',
    'LimitOwner',
    'LimitTolerance',
    'SharedLimits',
]
