"""Questions on where a call would go, for tools that ask an instance."""

from lagoonbend_entry._internal.models.route_answer import RefusalAnswer
from lagoonbend_entry._internal.models.route_answer import RouteExplanation
from lagoonbend_entry._internal.models.route_answer import ServiceAnswer
from lagoonbend_entry._internal.models.route_answer import TargetAnswer
from lagoonbend_entry._internal.models.route_question import EXPLAIN_PATH
from lagoonbend_entry._internal.models.route_question import RouteQuestion

__all__ = [
    'EXPLAIN_PATH',
    'RefusalAnswer',
    'RouteExplanation',
    'RouteQuestion',
    'ServiceAnswer',
    'TargetAnswer',
]
