"""Applies configuration documents."""

from collections.abc import Callable

from lagoonbend.claims import KeyOwnership
from lagoonbend.configuration import DocumentPart
from lagoonbend.configuration import parse_document
from lagoonbend.configuration import PartStore
from lagoonbend.configuration import ShardStore
from lagoonbend.exceptions import DocumentError
from lagoonbend_entry._internal.serving.peer_registry import PeerRegistry
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event

SHARD_VALUE_PREFIX = 'customers-'
FetchValue = Callable[[str], bytes]


class PartApplier:
    """Validates documents and activates newer document parts.

    A document has one part for each partner. An instance serves the callers of
    one partner and uses only that part.

    :param store: holds the active document part.
    :param shards: holds the part's shards of customers.
    :param ownership: owners of bare keys, the idempotency keys that callers
        choose.
    :param peer_registry: serves the document and its shards to peers.
    """

    def __init__(
        self,
        store: PartStore,
        shards: ShardStore,
        ownership: KeyOwnership,
        peer_registry: PeerRegistry,
    ) -> None:
        self._store = store
        self._shards = shards
        self._ownership = ownership
        self._peer_registry = peer_registry

    def apply(self, document: bytes, source: str, fetch: FetchValue) -> bool:
        """Apply a document; return True if it was newer and is active now.

        :param source: where the document came from, for logs.
        :param fetch: fetches another value from the same source.
        :raises NetworkError: if a shard can't be fetched.
        """
        try:
            part = parse_document(document).get(self._store.partner)
            if part is None:
                return False
            if self._store.is_newer(part):
                self._fetch_shards(part, fetch)
        except DocumentError as error:
            log_event(Event.PART_REJECTED, source=source, reason=str(error))
            return False
        conflicts = len(self._store.conflicts)
        applied = self._store.offer(part)
        if len(self._store.conflicts) > conflicts:
            log_event(Event.PART_CONFLICT, revision=part.revision)
        if applied:
            self._activate(part, document, source)
        return applied

    def _fetch_shards(self, part: DocumentPart, fetch: FetchValue) -> None:
        for digits, digest in self._shards.list_missing(part).items():
            name = SHARD_VALUE_PREFIX + digits
            body = fetch(name)
            self._shards.add(digest, body)
            self._peer_registry.store_value(name, body)

    def _activate(
        self, part: DocumentPart, document: bytes, source: str
    ) -> None:
        self._ownership.apply(part.seats)
        self._shards.keep_only(part)
        self._peer_registry.store_value('document', document)
        log_event(
            Event.PART_APPLIED,
            revision=part.revision,
            digest=part.digest,
            source=source,
        )
