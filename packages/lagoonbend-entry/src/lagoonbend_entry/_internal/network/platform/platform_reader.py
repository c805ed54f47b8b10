"""Read-only client for the platform's service."""

from typing import NamedTuple
from typing import TypedDict

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError
import msgspec

from lagoonbend.exceptions import PeerError
from lagoonbend.exceptions import PlatformError
from lagoonbend.models import FleetList
from lagoonbend.models import Peer
from lagoonbend.models import Target
from lagoonbend_entry._internal.network.link_gate import LinkGate

WATCH_MARGIN_MS = 2_000
"""Time that a request may take beyond the wait of its watch."""
MILLISECONDS_PER_SECOND = 1000
OK = 200
NOT_MODIFIED = 304
VERSION_HEADER = 'Version'


class PeerEntry(TypedDict):
    """An instance in the fleet list."""

    instance: str
    ip: str
    port: int
    failure_domain: str
    leaving: bool


class TargetEntry(TypedDict):
    """A target in the fleet list."""

    target: str
    kind: str
    ip: str
    port: int
    failure_domain: str
    models: list[str]
    leaving: bool


class FleetEntry(TypedDict):
    """The fleet list as the platform publishes it."""

    revision: int
    instances: list[PeerEntry]
    targets: list[TargetEntry]


class Reading(NamedTuple):
    """A value as read from the platform.

    :param version: the platform's version of the value.
    :param body: the value in bytes.
    """

    version: str
    body: bytes


class PlatformReader:
    """Reads and watches one value.

    :param address: IP address of the service.
    :param port: TCP port of the service.
    :param path: URL path of the value.
    :param watch_ms: how long one watch waits for a change.
    :param gate: addresses that a test has made unreachable.
    """

    def __init__(
        self,
        address: str,
        port: int,
        path: str,
        *,
        watch_ms: int,
        gate: LinkGate,
    ) -> None:
        self._name = f'{address}:{port}'
        self._address = address
        self._port = port
        self._path = path
        self._watch_ms = watch_ms
        self._gate = gate

    def watch(self, version: str) -> Reading | None:
        """Wait for a version other than ``version`` (long poll).

        :returns: the new value, or None if there is none within ``watch_ms``.
        :raises PlatformError: if the service does not answer as expected.
        """
        uri = f'{self._path}?after={version}&wait_ms={self._watch_ms}'
        status, reading = self._get(uri)
        if status == NOT_MODIFIED:
            return None
        self._check_status(status)
        return reading

    def read(self) -> bytes:
        """Return the current value.

        :raises PlatformError: if the service does not answer as expected.
        """
        status, reading = self._get(self._path)
        self._check_status(status)
        return reading.body

    def _get(self, uri: str) -> tuple[int, Reading]:
        timeout_ms = self._watch_ms + WATCH_MARGIN_MS
        client = HTTPClient(
            self._address,
            self._port,
            network_timeout=timeout_ms / MILLISECONDS_PER_SECOND,
        )
        try:
            self._gate.check(self._name)
            response = client.get(uri)
            body = bytes(response.read())
            self._gate.check(self._name)
        except (OSError, HTTPParseError, PeerError) as error:
            raise PlatformError(
                f'request failed: {type(error).__name__}',
                context=f'platform {self._name}{self._path}',
            ) from error
        finally:
            client.close()
        version = str(response.get(VERSION_HEADER, ''))
        is_whole = response.message_complete
        status = int(response.status_code) if is_whole else 0
        return status, Reading(version, body)

    def _check_status(self, status: int) -> None:
        if status != OK:
            raise PlatformError(
                f'unexpected status {status}',
                context=f'platform {self._name}{self._path}',
            )


def parse_fleet(body: bytes) -> FleetList:
    """Parse the fleet list.

    :raises PlatformError: if the list is malformed.
    """
    try:
        entry = msgspec.json.decode(body, type=FleetEntry)
    except msgspec.MsgspecError as error:
        raise PlatformError(str(error), context='list') from error
    return FleetList(
        entry['revision'],
        tuple(Peer(**item) for item in entry['instances']),
        tuple(
            Target(
                item['target'],
                item['kind'],
                item['ip'],
                item['port'],
                item['failure_domain'],
                tuple(item['models']),
                item['leaving'],
            )
            for item in entry['targets']
        ),
    )
