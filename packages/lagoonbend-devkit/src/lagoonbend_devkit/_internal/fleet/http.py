"""HTTP requests to processes of a fleet."""

from typing import NamedTuple

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from lagoonbend_devkit._internal.fleet.ports import LOOPBACK

CONNECT_TIMEOUT_S = 5.0


class Answer(NamedTuple):
    """Answer of a process.

    :param status: HTTP status code; 0 if no whole answer came.
    :param headers: headers with lower-case names.
    :param body: whole body, or the part of it that was received.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def verdict(self) -> str:
        """Value of ``Lagoonbend-Verdict``; empty if the header is missing."""
        return self.headers.get('lagoonbend-verdict', '')


NO_ANSWER = Answer(0, {}, b'')


def exchange(
    port: int,
    method: str,
    path: str,
    *,
    body: bytes = b'',
    headers: dict[str, str] | None = None,
    timeout_s: float = 30.0,
) -> Answer:
    """Send one request on a new connection.

    A failed exchange returns an answer with status 0.
    """
    client = HTTPClient(
        LOOPBACK,
        port,
        connection_timeout=CONNECT_TIMEOUT_S,
        network_timeout=timeout_s,
    )
    try:
        return send_request(client, method, path, body, headers)
    finally:
        client.close()


def send_request(
    client: HTTPClient,
    method: str,
    path: str,
    body: bytes = b'',
    headers: dict[str, str] | None = None,
) -> Answer:
    """Send one request on a client's connection, which stays open.

    A failed exchange returns an answer with status 0.
    """
    response = None
    content = b''
    try:
        response = client.request(method, path, body=body, headers=headers)
        for line in iter(lambda: response.readline(b'\n'), b''):
            content += line
        content += response.read()
    except (OSError, HTTPParseError):
        pass
    if response is None:
        return NO_ANSWER
    answer_headers = {
        name.lower(): str(value) for name, value in response.items()
    }
    if not response.message_complete:
        return Answer(0, answer_headers, content)
    return Answer(int(response.status_code), answer_headers, content)
