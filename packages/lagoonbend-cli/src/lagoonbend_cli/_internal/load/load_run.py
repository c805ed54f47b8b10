"""Sends a plan to instances."""

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
TIMEOUT_S = 120.0
TICKETS_PATH = '/lagoonbend/v1/tickets'
END_MARKER = b'[DONE]'
PROGRESS_S = 5.0


class LoadRun:
    """Sends each request at its time, whatever became of the others.

    :param addresses: callers' listeners of the instances, as ``ip:port``.
    :param bearer_key: key of the customer.
    :param seed: chooses the instance of each request.
    :param show: called with a line of progress.
    """

    def __init__(
        self,
        addresses: list[str],
        bearer_key: str,
        seed: int,
        show: Callable[[str], None],
    ) -> None:
        self._addresses = addresses
        self._headers = {
            'Authorization': f'Bearer {bearer_key}',
            'Content-Type': 'application/json',
        }
        self._rng = random.Random(seed)
        self._show = show
        self.results: dict[str, TierResult] = {}

    def run(self, plan: Iterable[PlannedRequest]) -> None:
        """Send the plan and wait for all answers."""
        started_s = time.monotonic()
        shown_s = started_s
        jobs = []
        for request in plan:
            delay_s = started_s + request.at_s - time.monotonic()
            gevent.sleep(max(0.0, delay_s))
            address = self._rng.choice(self._addresses)
            due_s = started_s + request.at_s
            jobs.append(gevent.spawn(self._send, request, address, due_s))
            if time.monotonic() - shown_s >= PROGRESS_S:
                shown_s = time.monotonic()
                running = sum(not job.dead for job in jobs)
                self._show(f'{len(jobs)} sent, {running} running')
        gevent.joinall(jobs)

    def _send(
        self, request: PlannedRequest, address: str, due_s: float
    ) -> None:
        kind = request.kind
        headers = dict(self._headers)
        headers['Lagoonbend-Deadline-Ms'] = str(kind.deadline_ms)
        try:
            if kind.is_keyed:
                headers['Idempotency-Key'] = self._take_ticket(address)
            end = self._exchange(address, request, headers)
        except (OSError, HTTPParseError, msgspec.MsgspecError, KeyError):
            end = 'broken'
        latency_ms = (time.monotonic() - due_s) * MILLISECONDS_PER_SECOND
        result = self.results.setdefault(kind.tier, TierResult())
        result.note(end, latency_ms, kind.deadline_ms)

    def _take_ticket(self, address: str) -> str:
        client = _connect(address)
        try:
            response = client.post(TICKETS_PATH, b'', self._headers)
            ticket: str = msgspec.json.decode(response.read())['ticket']
        finally:
            client.close()
        return ticket

    def _exchange(
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
        is_whole = not kind.model or END_MARKER in body
        return 'answered' if is_whole else 'broken'


def _connect(address: str) -> HTTPClient:
    ip, _, port = address.rpartition(':')
    return HTTPClient(ip, int(port), network_timeout=TIMEOUT_S)
