"""Puts documents into force."""

from lagoonbend.claims import SeatOwnership
from lagoonbend.configuration import parse_document
from lagoonbend.configuration import PartStore
from lagoonbend.exceptions import DocumentError
from lagoonbend_entry._internal.serving.peer_book import PeerBook
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event


class PartApplier:
    """Checks a document and puts its part into force if it is newer.

    :param store: part in force.
    :param ownership: owners of bare keys.
    :param book: hands the document to peers.
    """

    def __init__(
        self, store: PartStore, ownership: SeatOwnership, book: PeerBook
    ) -> None:
        self._store = store
        self._ownership = ownership
        self._book = book

    def apply(self, document: bytes, source: str) -> bool:
        """Return True if the document's part is in force now."""
        try:
            part = parse_document(document).get(self._store.partner)
        except DocumentError as error:
            log_event(Event.PART_REJECTED, source=source, reason=str(error))
            return False
        if part is None:
            return False
        conflicts = len(self._store.conflicts)
        applied = self._store.offer(part)
        if len(self._store.conflicts) > conflicts:
            log_event(Event.PART_CONFLICT, revision=part.revision)
        if not applied:
            return False
        self._ownership.apply(part.seats)
        self._book.keep_value('document', document)
        log_event(
            Event.PART_APPLIED,
            revision=part.revision,
            digest=part.digest,
            source=source,
        )
        return True
