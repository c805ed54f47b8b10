"""Answers requests that an instance refuses."""

import contextlib

from lagoonbend.exceptions import CallerGoneError
from lagoonbend_entry._internal.gateway import refusal_body
from lagoonbend_entry._internal.gateway.gateway_refusal import GatewayRefusal
from lagoonbend_entry._internal.gateway.incoming_request import IncomingRequest
from lagoonbend_entry._internal.gateway.reply_writer import ReplyWriter
from lagoonbend_entry._internal.models import handover_mark
from lagoonbend_entry._internal.platform import refusal_headers


def send_refusal(
    request: IncomingRequest, reply: ReplyWriter, refusal: GatewayRefusal
) -> None:
    """Answer a request with a refusal.

    :raises CallerGoneError: if the caller has closed the connection.
    """
    reason = refusal.reason
    headers = refusal_headers.encode_refusal_headers(
        request.header_map, refusal.retry_after_ms
    )
    if reason.concerns_instance:
        headers.extend(handover_mark.list_refusal_marks(request.header_map))
    body = refusal_body.encode_refusal_body(reason)
    reply.send_answer(reason.status, b'', headers, body)


def try_to_refuse(
    request: IncomingRequest, reply: ReplyWriter, refusal: GatewayRefusal
) -> None:
    """Answer a request with a refusal, unless its caller has gone."""
    with contextlib.suppress(CallerGoneError):
        send_refusal(request, reply, refusal)
