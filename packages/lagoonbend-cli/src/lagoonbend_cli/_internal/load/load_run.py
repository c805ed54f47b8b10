"""Sends planned requests to instances."""

from collections.abc import Callable
from collections.abc import Iterable
import random
import time

import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError
import msgspec

from lagoonbend_cli._internal.load.planned_request import PlannedRequest
from lagoonbend_cli._internal.load.tier_result import TierResult

MILLISECONDS_PER_SECOND = 1000
NETWORK_TIMEOUT_S = 120.0
TICKETS_PATH = '/lagoonbend/v1/tickets'
STREAM_END_MARKER = b'[DONE]'
PROGRESS_INTERVAL_S = 5.0


class LoadRun:
    """Sends each request at its planned time, also while others are pending.

    :param addresses: callers' listeners of the instances, as ``ip:port``.
    :param bearer_key: key of the customer.
    :param seed: seed of the random choice of an instance for each request.
    :param report_progress: called with a line of text every few seconds.
    """

    def __init__(
        self,
        addresses: list[str],
        bearer_key: str,
        seed: int,
        report_progress: Callable[[str], None],
    ) -> None:
        self._addresses = addresses
        self._headers = {
            'Authorization': f'Bearer {bearer_key}',
            'Content-Type': 'application/json',
        }
        self._rng = random.Random(seed)
        self._report_progress = report_progress
        self.results: dict[str, TierResult] = {}

    def run(self, plan: Iterable[PlannedRequest]) -> None:
        """Send all requests; wait until every one has an outcome."""
        started_s = time.monotonic()
        last_progress_s = started_s
        greenlets = []
        for request in plan:
            delay_s = started_s + request.offset_s - time.monotonic()
            gevent.sleep(max(0.0, delay_s))
            address = self._rng.choice(self._addresses)
            due_s = started_s + request.offset_s
            greenlets.append(gevent.spawn(self._send, request, address, due_s))
            if time.monotonic() - last_progress_s >= PROGRESS_INTERVAL_S:
                last_progress_s = time.monotonic()
                running = sum(not greenlet.dead for greenlet in greenlets)
                self._report_progress(
                    f'{len(greenlets)} sent, {running} running'
                )
        gevent.joinall(greenlets)

    def _send(
        self, request: PlannedRequest, address: str, due_s: float
    ) -> None:
        kind = request.kind
        headers = dict(self._headers)
        headers['Lagoonbend-Deadline-Ms'] = str(kind.deadline_ms)
        try:
            if kind.is_keyed:
                headers['Idempotency-Key'] = self._request_ticket(address)
            outcome = self._fetch_outcome(address, request, headers)
        except (OSError, HTTPParseError, msgspec.MsgspecError, KeyError):
            outcome = 'broken'
        latency_ms = (time.monotonic() - due_s) * MILLISECONDS_PER_SECOND
        result = self.results.setdefault(kind.tier, TierResult())
        result.record(outcome, latency_ms, kind.deadline_ms)

    def _request_ticket(self, address: str) -> str:
        client = _connect(address)
        try:
            response = client.post(TICKETS_PATH, b'', self._headers)
            ticket: str = msgspec.json.decode(response.read())['ticket']
        finally:
            client.close()
        return ticket

    def _fetch_outcome(
        self, address: str, request: PlannedRequest, headers: dict[str, str]
    ) -> str:
        client = _connect(address)
        kind = request.kind
        try:
            response = client.request(
                kind.method, kind.path, request.body, headers
            )
            body = bytes(response.read())
        finally:
            client.close()
        if response.status_code != 200:
            code: str = msgspec.json.decode(body)['code']
            return code
        is_complete = not kind.model or STREAM_END_MARKER in body
        return 'answered' if is_complete else 'broken'


def _connect(address: str) -> HTTPClient:
    ip, _, port = address.rpartition(':')
    return HTTPClient(ip, int(port), network_timeout=NETWORK_TIMEOUT_S)
