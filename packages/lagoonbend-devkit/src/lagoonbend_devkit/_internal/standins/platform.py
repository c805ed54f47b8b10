"""Simulated platform, which publishes values to the instances.

Instances read and watch the values. Only ``PUT`` requests change them; these
control requests replace the tools with which the partners publish.
"""

import falcon
import gevent
import gevent.event
import msgspec

from lagoonbend_devkit._internal.standins.standin_server import Faults
from lagoonbend_devkit._internal.standins.standin_server import FaultsResource

MILLISECONDS_PER_SECOND = 1000


class PublishedValue:
    """A versioned value; readers can wait for its next version."""

    def __init__(self) -> None:
        self.version = 0
        self.body = b''
        self.history: list[tuple[int, bytes]] = [(0, b'')]
        self._changed_event = gevent.event.Event()

    def publish(self, body: bytes) -> None:
        """Replace the value and notify all waiting readers."""
        self.version += 1
        self.body = body
        self.history.append((self.version, body))
        self._changed_event.set()
        self._changed_event = gevent.event.Event()

    def wait(self, timeout_s: float) -> None:
        """Wait for the next version or the end of the time-out."""
        self._changed_event.wait(timeout_s)


class ValueResource:
    """Serves reads and watches of one value.

    The fault ``down`` answers 503; ``stale`` hides new versions; ``behind``
    serves a version that is that many versions older than the newest.

    :param value: value to serve.
    :param faults: faults to inject.
    """

    def __init__(self, value: PublishedValue, faults: Faults) -> None:
        self._value = value
        self._faults = faults
        self._last_visible = (0, b'')
        self.read_count = 0

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Answer with the value.

        A reader that has this version already, as its parameter ``after``
        says, waits up to ``wait_ms`` for the next one. The answer is 304 if
        there is none.
        """
        self.read_count += 1
        known_version = request.get_param('after') or ''
        wait_ms = request.get_param_as_int('wait_ms') or 0
        if self._is_down(response):
            return
        if known_version == str(self._read_visible()[0]):
            self._value.wait(wait_ms / MILLISECONDS_PER_SECOND)
        if self._is_down(response):
            return
        version, body = self._read_visible()
        if not version or known_version == str(version):
            response.status = 304
            return
        response.set_header('Version', str(version))
        response.data = body

    def on_put(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Publish a new version of the value."""
        self._value.publish(request.bounded_stream.read())

    def _is_down(self, response: falcon.Response) -> bool:
        if self._faults['down']:
            response.status = 503
        return bool(self._faults['down'])

    def _read_visible(self) -> tuple[int, bytes]:
        if self._faults['behind']:
            last_index = len(self._value.history) - 1
            return self._value.history[
                max(0, last_index - self._faults['behind'])
            ]
        if not self._faults['stale']:
            self._last_visible = (self._value.version, self._value.body)
        return self._last_visible


class CallsResource:
    """``GET /control/calls``: number of reads of each value.

    :param resources: resources of the values, by name.
    """

    def __init__(self, resources: dict[str, ValueResource]) -> None:
        self._resources = resources

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Answer with the numbers of reads."""
        response.data = msgspec.json.encode(
            {name: value.read_count for name, value in self._resources.items()}
        )


class ShardsResource:
    """Serves all other values, such as shards of the customers.

    A value exists once it was published.

    :param faults: faults to inject.
    """

    def __init__(self, faults: Faults) -> None:
        self._faults = faults
        self._resources: dict[str, ValueResource] = {}

    def on_get(
        self, request: falcon.Request, response: falcon.Response, name: str
    ) -> None:
        """Answer with a value."""
        if name not in self._resources:
            raise falcon.HTTPNotFound
        self._resources[name].on_get(request, response)

    def on_put(
        self, request: falcon.Request, response: falcon.Response, name: str
    ) -> None:
        """Publish a new version of the value."""
        if name not in self._resources:
            value = ValueResource(PublishedValue(), self._faults)
            self._resources[name] = value
        self._resources[name].on_put(request, response)


def build_platform() -> falcon.App:
    """Return the HTTP application of a simulated platform."""
    faults = Faults()
    resources = {
        name: ValueResource(PublishedValue(), faults)
        for name in ('document', 'fleet')
    }
    app = falcon.App()
    shards = ShardsResource(faults)
    app.add_route('/v1/values/{name}', shards)
    app.add_route('/v1/values/document', resources['document'])
    app.add_route('/v1/fleet', resources['fleet'])
    app.add_route('/control/calls', CallsResource(resources))
    app.add_route('/control/faults', FaultsResource(faults))
    return app
