"""Reads the prefill counters of engines."""

from collections.abc import Iterable
from typing import NamedTuple
from typing import TypedDict

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError
import msgspec

from lagoonbend.exceptions import NetworkError


class Prefill(NamedTuple):
    """Prompt tokens of some engines.

    :param prefilled: computed tokens.
    :param wasted: computed again, or for work then dropped.
    """

    prefilled: int
    wasted: int


class PrefillBody(TypedDict):
    """Counters in an engine's load report."""

    prefilled_tokens: int
    wasted_tokens: int


def fetch_prefill(addresses: Iterable[str]) -> Prefill:
    """Return the sums over engines at ``ip:port``.

    :raises NetworkError: if one gives no usable answer.
    """
    bodies = [_fetch(address) for address in addresses]
    return Prefill(
        sum(body['prefilled_tokens'] for body in bodies),
        sum(body['wasted_tokens'] for body in bodies),
    )


def _fetch(address: str) -> PrefillBody:
    ip, _, port = address.rpartition(':')
    client = HTTPClient(ip, int(port))
    try:
        body = bytes(client.get('/load').read())
        return msgspec.json.decode(body, type=PrefillBody)
    except (OSError, HTTPParseError, msgspec.MsgspecError) as error:
        raise NetworkError(
            f'no counters: {error}', context=f'engine {address}'
        ) from error
    finally:
        client.close()
