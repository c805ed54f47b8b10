"""Client of the operators' listener of an instance."""

import ipaddress
from typing import TypeVar

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError
import msgspec

from lagoonbend.exceptions import NetworkError
from lagoonbend_entry.dump import Dump

TIMEOUT_S = 3.0
HTTP_OK = 200
Value = TypeVar('Value')


def fetch_dump(address: str) -> Dump:
    """Return the state of an instance.

    :param address: ``ip:port`` of its operators' listener.
    :raises NetworkError: if the instance gives no usable answer.
    """
    ip, port = _split_address(address)
    client = HTTPClient(
        ip, port, connection_timeout=TIMEOUT_S, network_timeout=TIMEOUT_S
    )
    try:
        response = client.get('/dump')
        body = bytes(response.read())
    except (OSError, HTTPParseError) as error:
        raise NetworkError(
            f'no answer: {error}',
            context=f'instance {address}',
            hint='check the address of its [operators] listener',
        ) from error
    finally:
        client.close()
    if response.status_code != HTTP_OK:
        raise NetworkError(
            f'unexpected HTTP status {response.status_code}',
            context=f'instance {address}',
        )
    return _decode_dump(body, address)


def _decode_dump(body: bytes, address: str) -> Dump:
    try:
        return msgspec.json.decode(body, type=Dump)
    except msgspec.MsgspecError as error:
        raise NetworkError(
            f'cannot parse the dump: {error}',
            context=f'instance {address}',
            hint='use the same version of the command line and the daemon',
        ) from error


def _split_address(address: str) -> tuple[str, int]:
    ip, _, port = address.rpartition(':')
    try:
        return str(ipaddress.ip_address(ip)), int(port)
    except ValueError as error:
        raise NetworkError(
            f'invalid address {address!r}', hint='expected ip:port'
        ) from error
