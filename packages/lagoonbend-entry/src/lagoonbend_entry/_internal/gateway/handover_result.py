"""What became of a call that was handed over to a peer."""

from typing import NamedTuple

from lagoonbend_entry._internal.gateway.gateway_refusal import GatewayRefusal


class HandoverResult(NamedTuple):
    """Result of handing a call over.

    :param is_final: False if no peer could be asked, so that this instance
        must go on with the call itself.
    :param refusal: how the call is refused; None if it was answered.
    """

    is_final: bool
    refusal: GatewayRefusal | None = None
