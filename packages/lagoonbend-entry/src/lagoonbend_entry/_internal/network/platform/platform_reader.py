"""Client of the platform's service, which can only be read."""

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
MILLISECONDS_PER_SECOND = 1000
OK = 200
NOT_MODIFIED = 304
VERSION_HEADER = 'Version'


class PeerEntry(TypedDict):
    """An instance as the platform lists it."""

    instance: str
    ip: str
    port: int
    failure_domain: str
    leaving: bool


class TargetEntry(TypedDict):
    """A target as the platform lists it."""

    target: str
    kind: str
    ip: str
    port: int
    failure_domain: str
    models: list[str]
    leaving: bool


class FleetEntry(TypedDict):
    """The list as the platform publishes it."""

    revision: int
    instances: list[PeerEntry]
    targets: list[TargetEntry]


class Reading(NamedTuple):
    """A value that has changed.

    :param version: version that the platform gives the value.
    :param body: the value in bytes.
    """

    version: str
    body: bytes


class PlatformReader:
    """Reads and watches one value.

    :param address: IP number of the service.
    :param port: TCP port of the service.
    :param path: path of the value.
    :param watch_ms: time that one watch waits for a change.
    :param gate: links that tests cut.
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
        """Wait for a version other than ``version``.

        :returns: None if there was none in the time of a watch.
        :raises PlatformError: if the service gives no usable answer.
        """
        uri = f'{self._path}?after={version}&wait_ms={self._watch_ms}'
        status, reading = self._get(uri)
        if status == NOT_MODIFIED:
            return None
        self._check_status(status)
        return reading

    def read(self) -> bytes:
        """Return the value as it is now.

        :raises PlatformError: if the service gives no usable answer.
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
                f'no answer: {type(error).__name__}',
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
                f'status {status}',
                context=f'platform {self._name}{self._path}',
            )


def parse_fleet(body: bytes) -> FleetList:
    """Read the list of instances and targets.

    :raises PlatformError: if it is malformed.
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
