"""What a target has said of the requests that it takes."""

from typing import NamedTuple

from lagoonbend._internal.facts.listed_target import ListedTarget


class NamedLimit(NamedTuple):
    """The statement of one life of a target, at one time.

    :param target: target as listed when the request was sent.
    :param rate_per_s: requests a second that it takes from all instances
        together; None if it has ended its limit.
    :param stated_ms: time on this instance's clock from which the statement
        holds: that of the answer which named the limit, or that of the request
        whose answer named none.
    :param rejection_limit_per_s: rejections a second beyond which the target
        falls over; None if it isn't brittle.
    """

    target: ListedTarget
    rate_per_s: float | None
    stated_ms: int
    rejection_limit_per_s: float | None = None

    @property
    def says_nothing(self) -> bool:
        """True if the target is neither limited nor brittle."""
        return self.rate_per_s is None and self.rejection_limit_per_s is None
