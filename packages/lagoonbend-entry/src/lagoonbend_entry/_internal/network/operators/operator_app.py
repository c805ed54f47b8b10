"""WSGI application for operators."""

from collections.abc import Callable

import falcon
import msgspec

from lagoonbend_entry._internal.models.dump import Dump
from lagoonbend_entry._internal.network.link_gate import LinkGate

PROMETHEUS_MEDIA_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


class DumpResource:
    """``GET /dump``: the state of the instance as JSON.

    :param build_dump: returns the state.
    """

    def __init__(self, build_dump: Callable[[], Dump]) -> None:
        self._build_dump = build_dump

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Respond with the state."""
        response.media = self._build_dump()


class MetricsResource:
    """``GET /metrics``: metrics in the text format of Prometheus.

    :param render_metrics: returns the rendered metrics.
    """

    def __init__(self, render_metrics: Callable[[], bytes]) -> None:
        self._render_metrics = render_metrics

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Respond with all metrics."""
        response.content_type = PROMETHEUS_MEDIA_TYPE
        response.data = self._render_metrics()


class HealthResource:
    """``GET /ready`` and ``GET /live``: status 200 or 503.

    :param is_healthy: returns True for status 200.
    """

    def __init__(self, is_healthy: Callable[[], bool]) -> None:
        self._is_healthy = is_healthy

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Respond with the status, and with yes or no as text."""
        healthy = self._is_healthy()
        response.status = 200 if healthy else 503
        response.content_type = 'text/plain'
        response.text = 'yes\n' if healthy else 'no\n'


class LinksResource:
    """``PUT /links``: sets the addresses whose links are cut; for tests.

    :param gate: cut links of the instance.
    """

    def __init__(self, gate: LinkGate) -> None:
        self._gate = gate

    def on_put(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Replace the list of cut addresses."""
        body = request.bounded_stream.read()
        self._gate.cut = frozenset(msgspec.json.decode(body, type=list[str]))


def build_operator_app(
    build_dump: Callable[[], Dump],
    render_metrics: Callable[[], bytes],
    is_ready: Callable[[], bool],
    gate: LinkGate | None,
) -> falcon.App:
    """Return the application that serves operators."""
    app = falcon.App()
    app.add_route('/dump', DumpResource(build_dump))
    app.add_route('/metrics', MetricsResource(render_metrics))
    app.add_route('/ready', HealthResource(is_ready))
    app.add_route('/live', HealthResource(lambda: True))
    if gate is not None:
        app.add_route('/links', LinksResource(gate))
    return app
