"""Serves a stand-in and holds the faults that it injects."""

import falcon
import gevent
import gevent.event
from gevent.pywsgi import WSGIServer
import msgspec

MILLISECONDS_PER_SECOND = 1000


class Faults:
    """Faults to inject, by name; 0 or a missing name means no fault."""

    def __init__(self) -> None:
        self._values: dict[str, int] = {}

    def __getitem__(self, name: str) -> int:
        return self._values.get(name, 0)

    def replace(self, values: dict[str, int]) -> None:
        """Activate exactly these faults."""
        self._values = values

    def sleep(self, name: str) -> None:
        """Sleep for as many milliseconds as the value of a fault."""
        gevent.sleep(self[name] / MILLISECONDS_PER_SECOND)


class FaultsResource:
    """``PUT /control/faults``: a JSON object of names and integers.

    :param faults: faults to replace.
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
    """Serve an application on loopback until the process ends."""
    server = WSGIServer(('127.0.0.1', port), app, log=None)
    server.serve_forever()
