"""Passes published items on between instances."""

from lagoonbend.clock import Clock
from lagoonbend_entry._internal.coordination import messages
from lagoonbend_entry._internal.coordination import wire_codec
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event

REQUEST_INTERVAL_MS = 200
"""Time within which the items up to a position are requested only once,
whichever peers have them."""


class FactsExchange:
    """Decides which items are requested, sent and used.

    The configuration in force counts by its version, all else by era and
    revision. Peers of earlier versions state no era: their items are used
    only while none is known here.

    :param facts: facts of this instance.
    :param clock: clock of this instance.
    """

    def __init__(self, facts: FactsCache, clock: Clock) -> None:
        self._facts = facts
        self._clock = clock
        self._requested_ms: dict[tuple[int, int, int], int] = {}
        self.sent_bytes = 0
        self.received_bytes = 0

    def handle_pong(self, pong: messages.Pong) -> messages.ItemsWanted | None:
        """Use the proof of a heartbeat, or return a request for its items."""
        item_cache = self._facts.item_cache
        if (
            pong.era,
            pong.revision,
        ) > item_cache.position or pong.rules_version > self._facts.version:
            now_ms = self._clock.now_ms()
            if not self._record_request(pong, now_ms):
                return None
            return messages.ItemsWanted(
                now_ms,
                item_cache.complete_revision,
                item_cache.era,
                self._facts.version,
            )
        if pong.proof_age_ms is not None:
            item_cache.mark_verified(
                pong.revision, pong.sent_ms - pong.proof_age_ms, pong.era
            )
        return None

    def _record_request(self, pong: messages.Pong, now_ms: int) -> bool:
        """Return False if the same was requested just now."""
        self._requested_ms = {
            position: sent_ms
            for position, sent_ms in self._requested_ms.items()
            if now_ms - sent_ms < REQUEST_INTERVAL_MS
        }
        position = (pong.era, pong.revision, pong.rules_version)
        if position in self._requested_ms:
            return False
        self._requested_ms[position] = now_ms
        return True

    def build_answer(
        self,
        wanted: messages.ItemsWanted,
        peer: str = '',
        queued_bytes: int = 0,
    ) -> messages.Items:
        """Return the items that a peer has requested.

        :param peer: address of the peer.
        :param queued_bytes: bytes that wait to be sent to it before these.
        """
        item_cache = self._facts.item_cache
        # Removals before the start of the history are not known here.
        lacks_removals = (
            wanted.era is not None
            and (wanted.era, wanted.since) < item_cache.history_start
        )
        is_listing = lacks_removals and wanted.era != item_cache.era
        if is_listing:
            items = [item for item in item_cache if item.value is not None]
        else:
            items = item_cache.list_since(wanted.since, wanted.era)
        rules_item = self._facts.rules_item
        if (
            wanted.rules_version is not None
            and wanted.rules_version < self._facts.version
            and rules_item is not None
            and rules_item not in items
        ):
            items.append(rules_item)
        message = wire_codec.encode_items(
            wanted, items, item_cache.position, self._facts.age_ms()
        )
        message.is_listing = is_listing
        if lacks_removals and not is_listing:
            message.live_keys = [
                item.key for item in item_cache if item.value is not None
            ]
        item_bytes = _count_bytes(message)
        self.sent_bytes += item_bytes
        log_event(
            Event.ITEMS_SENT,
            peer=peer,
            items=len(message.items),
            item_bytes=item_bytes,
            queued_bytes=queued_bytes,
            since=wanted.since,
            revision=message.revision,
            version=self._facts.version,
            known_version=wanted.rules_version,
        )
        return message

    def handle_items(self, message: messages.Items, peer: str = '') -> None:
        """Apply the items that a peer has sent.

        :param peer: address of the peer.
        """
        item_bytes = _count_bytes(message)
        self.received_bytes += item_bytes
        version = self._facts.version
        position = self._facts.item_cache.position
        self._apply_items(message)
        log_event(
            Event.ITEMS_RECEIVED,
            peer=peer,
            items=len(message.items),
            item_bytes=item_bytes,
            transfer_ms=self._clock.now_ms() - message.sent_ms,
            revision=message.revision,
            proof_age_ms=message.proof_age_ms,
            version=self._facts.version,
            is_new=(message.era, message.revision) > position
            or self._facts.version > version,
        )

    def _apply_items(self, message: messages.Items) -> None:
        if message.proof_age_ms is None:
            return
        self._facts.apply_peer_items(
            wire_codec.decode_items(message),
            message.revision,
            message.sent_ms - message.proof_age_ms,
            message.era,
            is_listing=message.is_listing,
            live_keys=message.live_keys,
        )


def _count_bytes(message: messages.Items) -> int:
    return sum(len(item.value or b'') for item in message.items)
