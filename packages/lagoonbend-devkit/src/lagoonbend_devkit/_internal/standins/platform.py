"""Stand-in for the platform's service.

Values can be read and watched. Only the control paths, which stand for the
partners' own means of publication, change them.
"""

import falcon
import gevent
import gevent.event
import msgspec

from lagoonbend_devkit._internal.standins.standin_server import Faults
from lagoonbend_devkit._internal.standins.standin_server import FaultsResource

MILLISECONDS_PER_SECOND = 1000


class PublishedValue:
    """A value with a version and readers that wait for the next one."""

    def __init__(self) -> None:
        self.version = 0
        self.body = b''
        self.history: list[tuple[int, bytes]] = [(0, b'')]
        self._changed = gevent.event.Event()

    def publish(self, body: bytes) -> None:
        """Replace the value and wake all waiting readers."""
        self.version += 1
        self.body = body
        self.history.append((self.version, body))
        self._changed.set()
        self._changed = gevent.event.Event()

    def wait(self, timeout_s: float) -> None:
        """Wait for the next version."""
        self._changed.wait(timeout_s)


class ValueResource:
    """Reads and watches of one value.

    Fault ``down`` answers 503; ``stale`` hides new versions; ``behind``
    serves as many versions back as it says.

    :param value: value.
    :param faults: faults of the stand-in.
    """

    def __init__(self, value: PublishedValue, faults: Faults) -> None:
        self._value = value
        self._faults = faults
        self._stale = (0, b'')
        self.calls = 0

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Answer with the value, after a wait if the reader has it."""
        self.calls += 1
        known = request.get_param('after') or ''
        wait_ms = request.get_param_as_int('wait_ms') or 0
        if self._is_down(response):
            return
        if known == str(self._read()[0]):
            self._value.wait(wait_ms / MILLISECONDS_PER_SECOND)
        if self._is_down(response):
            return
        version, body = self._read()
        if not version or known == str(version):
            response.status = 304
            return
        response.set_header('Version', str(version))
        response.data = body

    def on_put(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Publish a value; a control path."""
        self._value.publish(request.bounded_stream.read())

    def _is_down(self, response: falcon.Response) -> bool:
        if self._faults['down']:
            response.status = 503
        return bool(self._faults['down'])

    def _read(self) -> tuple[int, bytes]:
        if self._faults['behind']:
            last = len(self._value.history) - 1
            return self._value.history[max(0, last - self._faults['behind'])]
        if not self._faults['stale']:
            self._stale = (self._value.version, self._value.body)
        return self._stale


class CallsResource:
    """``GET /control/calls``: reads counted, by value.

    :param values: resources by name.
    """

    def __init__(self, values: dict[str, ValueResource]) -> None:
        self._values = values

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Answer with the counts."""
        response.data = msgspec.json.encode(
            {name: value.calls for name, value in self._values.items()}
        )


class ShardsResource:
    """All other values, made when they are first published.

    :param faults: faults of the stand-in.
    """

    def __init__(self, faults: Faults) -> None:
        self._faults = faults
        self._values: dict[str, ValueResource] = {}

    def on_get(
        self, request: falcon.Request, response: falcon.Response, name: str
    ) -> None:
        """Answer with a value."""
        if name not in self._values:
            raise falcon.HTTPNotFound
        self._values[name].on_get(request, response)

    def on_put(
        self, request: falcon.Request, response: falcon.Response, name: str
    ) -> None:
        """Publish a value; a control path."""
        if name not in self._values:
            value = ValueResource(PublishedValue(), self._faults)
            self._values[name] = value
        self._values[name].on_put(request, response)


def build_platform() -> falcon.App:
    """Return the application of the platform's stand-in."""
    faults = Faults()
    values = {
        name: ValueResource(PublishedValue(), faults)
        for name in ('document', 'fleet')
    }
    app = falcon.App()
    shards = ShardsResource(faults)
    app.add_route('/v1/values/{name}', shards)
    app.add_route('/v1/values/document', values['document'])
    app.add_route('/v1/fleet', values['fleet'])
    app.add_route('/control/calls', CallsResource(values))
    app.add_route('/control/faults', FaultsResource(faults))
    return app
