"""Simulated store of the platform that the gateway is deployed on.

The store publishes items, such as the configuration and the targets.
"""

import base64
import json
import time
from typing import Any
from typing import NamedTuple
import urllib.parse

import gevent
import gevent.event
import gevent.socket

from lagoonbend_devkit._internal.gateway import loopback_server
from lagoonbend_entry.testing import IncomingRequest

MILLISECONDS_PER_SECOND = 1000
MAX_COPIES = 1_000


class _Copy(NamedTuple):
    """All items as they were after a change.

    :param copied_s: time of the change on the monotonic clock.
    """

    copied_s: float
    revision: int
    items: dict[str, dict[str, Any]]


class StandinStore:
    """Items with revisions, which instances list and watch.

    ``rejected_agent`` is the name of an instance whose requests get 503; an
    instance sends its name as ``User-Agent``. A page of the list has two
    items only, so that instances must follow pages.
    ``mode`` is ``ok``, ``busy`` (503 to all requests), ``silent`` (no answer)
    or ``gone`` (410 to watches: the history was dropped). A watch that is
    waiting when the mode changes to ``busy`` or ``silent`` is answered 60 s
    late. All answers have the header ``Store-Era``.
    """

    def __init__(self) -> None:
        self.mode = 'ok'
        self.rejected_agent = ''
        self.call_count = 0
        self.revision = 1
        self.era = 1
        self._is_away = False
        self._dropped_revision = 0
        self._written: dict[str, bytes | None] = {}
        self._items: dict[str, dict[str, Any]] = {}
        self._copies: list[_Copy] = [_Copy(time.monotonic(), 1, {})]
        self._changes: list[dict[str, Any]] = []
        self._changed_event = gevent.event.Event()
        self._server = loopback_server.LoopbackServer(self._handle_request)
        self.endpoint = self._server.endpoint

    def put(self, key: str, value: object) -> None:
        """Write an item whose value is encoded as JSON."""
        self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key: str, value: bytes) -> None:
        """Write an item with a raw value."""
        self._written[key] = value
        if self._is_away:
            return
        self.revision += 1
        known = self._items.get(key, {})
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'created': known.get('created', self.revision),
            'lease': 0,
        }
        self._items[key] = item
        self._record_change(item)

    def delete(self, key: str) -> None:
        """Delete an item."""
        self._written[key] = None
        if self._is_away:
            return
        self.revision += 1
        self._items.pop(key, None)
        self._record_change(
            {'key': key, 'revision': self.revision, 'tombstone': True}
        )

    def restore(self, age_s: float, away_s: float) -> float:
        """Go away, and come back from an older copy.

        What was written since, or meanwhile, is missing until ``write_again``.

        :param age_s: age of the copy.
        :param away_s: time for which all requests are rejected.
        :returns: time on the monotonic clock since which writes are missing.
        """
        copied_s = time.monotonic() - age_s
        copy = next(
            (c for c in reversed(self._copies) if c.copied_s <= copied_s),
            self._copies[0],
        )
        self._is_away = True
        gevent.sleep(away_s)
        self._is_away = False
        self.era += 1
        self.revision = copy.revision
        self._items = dict(copy.items)
        self._changes = [
            change
            for change in self._changes
            if change['revision'] <= copy.revision
        ]
        self._copies = [c for c in self._copies if c.revision <= copy.revision]
        self._wake_watches()
        return copy.copied_s

    def drop_history(self) -> None:
        """Forget all changes so far; their revisions can't be watched."""
        self._dropped_revision = self.revision
        self._changes = []

    def write_again(self) -> None:
        """Write what the operator and the servers wrote and is missing."""
        for key, value in list(self._written.items()):
            item = self._items.get(key)
            kept = item and base64.b64decode(item['value'])
            if value is None and item is not None:
                self.delete(key)
            elif value is not None and value != kept:
                self.put_bytes(key, value)

    def _is_rejected(self, request: IncomingRequest) -> bool:
        agent = request.header_map.get('user-agent', '')
        return bool(agent) and agent == self.rejected_agent

    def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()

    def _record_change(self, change: dict[str, Any]) -> None:
        self._changes.append(change)
        self._copies.append(
            _Copy(time.monotonic(), self.revision, dict(self._items))
        )
        del self._copies[:-MAX_COPIES]
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed_event.set()
        self._changed_event = gevent.event.Event()

    def _handle_request(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        self.call_count += 1
        if self.mode == 'silent':
            gevent.sleep(60)
            return False
        is_busy = self._is_away or self.mode == 'busy'
        if is_busy or self._is_rejected(request):
            self._send_answer(sock, 503, {})
            return True
        path, _, query = request.path.partition('?')
        query_fields = dict(urllib.parse.parse_qsl(query))
        if path.endswith('kv-range'):
            self._send_range(sock, query_fields)
            return True
        return self._send_changes(sock, query_fields)

    def _send_range(
        self, sock: gevent.socket.socket, query_fields: dict[str, str]
    ) -> None:
        entries = [
            item
            for key, item in sorted(self._items.items())
            if key.startswith(query_fields.get('prefix', ''))
            and key > query_fields.get('after', '')
        ]
        body = {
            'entries': entries[:2],
            'has-more': len(entries) > 2,
            'as-of': self.revision,
        }
        self._send_answer(sock, 200, body)

    def _send_changes(
        self, sock: gevent.socket.socket, query_fields: dict[str, str]
    ) -> bool:
        after_revision = int(query_fields['after'])
        is_known = self._dropped_revision <= after_revision <= self.revision
        if self.mode == 'gone' or not is_known:
            self._send_answer(sock, 410, {})
            return True
        era = self.era
        events = self._find_changes_after(after_revision)
        if not events:
            wait_s = int(query_fields['wait-ms']) / MILLISECONDS_PER_SECOND
            self._changed_event.wait(wait_s)
            if self.mode in ('busy', 'silent'):
                gevent.sleep(60)
            if self.era != era:
                return False
            events = self._find_changes_after(after_revision)
        self._send_answer(
            sock, 200, {'events': events, 'as-of': self.revision}
        )
        return True

    def _find_changes_after(self, after_revision: int) -> list[dict[str, Any]]:
        return [
            item for item in self._changes if item['revision'] > after_revision
        ]

    def _send_answer(
        self,
        sock: gevent.socket.socket,
        status: int,
        body: dict[str, Any],
    ) -> None:
        content = json.dumps(body).encode()
        head = (
            f'HTTP/1.1 {status} X\r\nStore-Era: {self.era}\r\n'
            f'Content-Length: {len(content)}\r\n\r\n'
        )
        sock.sendall(head.encode() + content)
