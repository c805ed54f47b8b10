"""Client of the operators' listener of an instance."""

import ipaddress
from typing import TypeVar

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError
import msgspec

from lagoonbend.exceptions import NetworkError
from lagoonbend_entry.dump import Dump
from lagoonbend_entry.explanation import EXPLAIN_PATH
from lagoonbend_entry.explanation import RouteExplanation
from lagoonbend_entry.explanation import RouteQuestion

TIMEOUT_S = 3.0
HTTP_OK = 200
Value = TypeVar('Value')


def fetch_dump(address: str) -> Dump:
    """Return the state of an instance.

    :param address: ``ip:port`` of its operators' listener.
    :raises NetworkError: if the instance gives no usable answer.
    """
    body = _fetch(address, '/dump', '[operators] listener')
    return _decode(body, address, Dump, 'the dump')


def fetch_explanation(
    address: str, question: RouteQuestion
) -> RouteExplanation:
    """Return where a call would go.

    :param address: ``ip:port`` of an instance's listener for metrics.
    :param question: description of the call.
    :raises NetworkError: if the instance gives no usable answer.
    """
    path = f'{EXPLAIN_PATH}?{question.encode()}'
    body = _fetch(address, path, '[listen] metrics_endpoint')
    return _decode(body, address, RouteExplanation, 'the explanation')


def split_address(address: str) -> tuple[str, int]:
    """Return IP address and port.

    :raises NetworkError: if the text has another form.
    """
    ip, _, port = address.rpartition(':')
    try:
        return str(ipaddress.ip_address(ip)), int(port)
    except ValueError as error:
        raise NetworkError(
            f'invalid address {address!r}', hint='expected ip:port'
        ) from error


def _fetch(address: str, path: str, listener: str) -> bytes:
    """Return the body of an answer.

    :param listener: name of the listener in the settings, for the hint.
    """
    ip, port = split_address(address)
    client = HTTPClient(
        ip, port, connection_timeout=TIMEOUT_S, network_timeout=TIMEOUT_S
    )
    try:
        response = client.get(path)
        body = bytes(response.read())
    except (OSError, HTTPParseError) as error:
        raise NetworkError(
            f'no answer: {error}',
            context=f'instance {address}',
            hint=f'check the address of its {listener}',
        ) from error
    finally:
        client.close()
    if response.status_code != HTTP_OK:
        raise NetworkError(
            f'unexpected HTTP status {response.status_code}',
            context=f'instance {address}',
        )
    return body


def _decode(body: bytes, address: str, cls: type[Value], name: str) -> Value:
    try:
        return msgspec.json.decode(body, type=cls)
    except msgspec.MsgspecError as error:
        raise NetworkError(
            f'cannot parse {name}: {error}',
            context=f'instance {address}',
            hint='use the same version of the command line and the daemon',
        ) from error
