"""Runs a stand-in with a fault switch."""

import falcon
import gevent
import gevent.event
from gevent.pywsgi import WSGIServer
import msgspec

MILLISECONDS_PER_SECOND = 1000


class Faults:
    """Faults of a stand-in, by name; 0 or absent means none."""

    def __init__(self) -> None:
        self._values: dict[str, int] = {}

    def __getitem__(self, name: str) -> int:
        return self._values.get(name, 0)

    def replace(self, values: dict[str, int]) -> None:
        """Put exactly these faults into force."""
        self._values = values

    def sleep(self, name: str) -> None:
        """Sleep as many milliseconds as the fault says."""
        gevent.sleep(self[name] / MILLISECONDS_PER_SECOND)


class FaultsResource:
    """``PUT /control/faults``: an object of names and whole numbers.

    :param faults: faults of the stand-in.
    """

    def __init__(self, faults: Faults) -> None:
        self._faults = faults

    def on_put(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Replace all faults."""
        body = request.bounded_stream.read()
        self._faults.replace(msgspec.json.decode(body, type=dict[str, int]))


def serve_standin(app: falcon.App, port: int) -> None:
    """Serve on loopback until the process ends."""
    server = WSGIServer(('127.0.0.1', port), app, log=None)
    server.serve_forever()
