"""Stand-in for the platform's service that publishes items."""

import base64
import json
from typing import Any
import urllib.parse

import gevent
import gevent.event
import gevent.socket

from lagoonbend_devkit._internal.published import published_server
from lagoonbend_entry.testing import IncomingRequest

MILLISECONDS_PER_SECOND = 1000


class PublishedStore:
    """Items with revisions; reads, and watches that wait.

    ``refused_agent`` is the name of an instance that is turned away.
    ``mode`` is ``ok``, ``busy`` (503 to all), ``silent`` (no answer) or
    ``gone`` (watches say that the history was dropped).
    """

    def __init__(self) -> None:
        self.mode = 'ok'
        self.refused_agent = ''
        self.call_count = 0
        self.revision = 1
        self._items: dict[str, dict[str, Any]] = {}
        self._changes: list[dict[str, Any]] = []
        self._changed = gevent.event.Event()
        self._server = published_server.PublishedServer(self._serve)
        self.endpoint = self._server.endpoint

    def put(self, key: str, value: object) -> None:
        """Write an item as JSON."""
        self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key: str, value: bytes) -> None:
        """Write an item."""
        self.revision += 1
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'created': self.revision,
            'lease': 0,
        }
        self._items[key] = item
        self._note(item)

    def delete(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        self._items.pop(key, None)
        self._note({'key': key, 'revision': self.revision, 'tombstone': True})

    def _is_refused(self, request: IncomingRequest) -> bool:
        agent = request.header_map.get('user-agent', '')
        return bool(agent) and agent == self.refused_agent

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def _note(self, change: dict[str, Any]) -> None:
        self._changes.append(change)
        self._changed.set()
        self._changed = gevent.event.Event()

    def _serve(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        self.call_count += 1
        if self.mode == 'silent':
            gevent.sleep(60)
            return False
        if self.mode == 'busy' or self._is_refused(request):
            self._answer(sock, 503, {})
            return True
        path, _, query = request.path.partition('?')
        fields = dict(urllib.parse.parse_qsl(query))
        if path.endswith('kv-range'):
            self._list(sock, fields)
        else:
            self._watch(sock, fields)
        return True

    def _list(
        self, sock: gevent.socket.socket, fields: dict[str, str]
    ) -> None:
        entries = [
            item
            for key, item in sorted(self._items.items())
            if key.startswith(fields.get('prefix', ''))
            and key > fields.get('after', '')
        ]
        body = {
            'entries': entries[:2],
            'has-more': len(entries) > 2,
            'as-of': self.revision,
        }
        self._answer(sock, 200, body)

    def _watch(
        self, sock: gevent.socket.socket, fields: dict[str, str]
    ) -> None:
        if self.mode == 'gone':
            self._answer(sock, 410, {})
            return
        after = int(fields['after'])
        events = self._list_changes(after)
        if not events:
            wait_s = int(fields['wait-ms']) / MILLISECONDS_PER_SECOND
            self._changed.wait(wait_s)
            if self.mode in ('busy', 'silent'):
                gevent.sleep(60)
            events = self._list_changes(after)
        self._answer(sock, 200, {'events': events, 'as-of': self.revision})

    def _list_changes(self, after: int) -> list[dict[str, Any]]:
        return [item for item in self._changes if item['revision'] > after]

    @staticmethod
    def _answer(
        sock: gevent.socket.socket, status: int, body: dict[str, Any]
    ) -> None:
        content = json.dumps(body).encode()
        head = f'HTTP/1.1 {status} X\r\nContent-Length: {len(content)}\r\n\r\n'
        sock.sendall(head.encode() + content)
