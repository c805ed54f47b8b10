"""Client that reads the prefill counters of engines."""

from collections.abc import Iterable
from typing import NamedTuple
from typing import TypedDict

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError
import msgspec

from lagoonbend.exceptions import NetworkError


class PrefillTotals(NamedTuple):
    """Prompt tokens that some engines computed, summed over the engines.

    :param prefilled_tokens: all prompt tokens computed.
    :param wasted_tokens: prompt tokens of prefixes that an engine had computed
        before, and of requests that were then cancelled.
    """

    prefilled_tokens: int
    wasted_tokens: int


class EngineLoadBody(TypedDict):
    """Counters in the body of an engine's ``/load`` answer."""

    prefilled_tokens: int
    wasted_tokens: int


def fetch_prefill_totals(addresses: Iterable[str]) -> PrefillTotals:
    """Return the sums of the counters of some engines.

    :param addresses: addresses of the engines, as ``ip:port``.
    :raises NetworkError: if an engine gives no usable answer.
    """
    bodies = [_fetch_counters(address) for address in addresses]
    return PrefillTotals(
        sum(body['prefilled_tokens'] for body in bodies),
        sum(body['wasted_tokens'] for body in bodies),
    )


def _fetch_counters(address: str) -> EngineLoadBody:
    ip, _, port = address.rpartition(':')
    client = HTTPClient(ip, int(port))
    try:
        body = bytes(client.get('/load').read())
        return msgspec.json.decode(body, type=EngineLoadBody)
    except (OSError, HTTPParseError, msgspec.MsgspecError) as error:
        raise NetworkError(
            f'cannot read prefill counters: {error}',
            context=f'engine {address}',
        ) from error
    finally:
        client.close()
