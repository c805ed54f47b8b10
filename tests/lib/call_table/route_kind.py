"""Kinds of routes."""

from typing import NamedTuple


class RouteKind(NamedTuple):
    """A kind of route, as in the operators' configuration.

    :param name: name of the kind in the table.
    :param kind: kind in the configuration.
    :param is_resumable: True if a broken stream may go on elsewhere.
    :param attempt_limit: maximum number of targets that may run a call.
    """

    name: str
    kind: str
    is_resumable: bool
    attempt_limit: int

    @property
    def is_stream(self) -> bool:
        """True if the answer is a stream of events."""
        return self.kind == 'streaming'


ROUTE_KINDS = (
    RouteKind('stream', 'streaming', True, 2),
    RouteKind('stream-one-attempt', 'streaming', True, 1),
    RouteKind('once-stream', 'streaming', False, 2),
    RouteKind('booking', 'unsafe', False, 2),
    RouteKind('look-up', 'safe', False, 2),
)
