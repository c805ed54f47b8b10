"""Writes refusals and answers to Falcon responses."""

import math

import falcon
import msgspec

from lagoonbend.models import Refusal
from lagoonbend_entry._internal.models.problem import PROBLEM_MEDIA_TYPE
from lagoonbend_entry._internal.models.problem import write_problem
from lagoonbend_entry._internal.models.served_answer import ServedAnswer

MILLISECONDS_PER_SECOND = 1000
REPLAYED_HEADER = 'Lagoonbend-Replayed'
VERDICT_HEADER = 'Lagoonbend-Verdict'


def write_refusal(response: falcon.Response, refusal: Refusal) -> None:
    """Write a refusal as a problem document."""
    response.status = refusal.status
    response.content_type = PROBLEM_MEDIA_TYPE
    response.data = msgspec.json.encode(write_problem(refusal))
    response.set_header(VERDICT_HEADER, refusal.verdict.value)
    if refusal.retry_after_ms is not None:
        seconds = math.ceil(refusal.retry_after_ms / MILLISECONDS_PER_SECOND)
        response.set_header('Retry-After', str(seconds))


def write_served(response: falcon.Response, served: ServedAnswer) -> None:
    """Write the answer of a target."""
    response.status = served.status
    if served.content_type:
        response.content_type = served.content_type
    response.set_header(VERDICT_HEADER, 'ran')
    if served.replayed:
        response.set_header(REPLAYED_HEADER, 'true')
    if served.stream is not None:
        response.stream = served.stream
    else:
        response.data = served.body
