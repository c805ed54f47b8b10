"""Passes published items on between instances."""

from collections.abc import Callable

from lagoonbend.clock import Clock
from lagoonbend.exceptions import PeerError
from lagoonbend.facts import PublishedItem
from lagoonbend_entry._internal.coordination import messages
from lagoonbend_entry._internal.coordination import wire_codec
from lagoonbend_entry._internal.coordination.items_offer import ItemsOffer
from lagoonbend_entry._internal.coordination.items_request import ItemsRequest
from lagoonbend_entry._internal.coordination.value_packer import NO_DIGEST
from lagoonbend_entry._internal.coordination.value_packer import ValuePacker
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event

REQUEST_TIMEOUT_MS = 600
"""Time for a peer to send the items that were requested; another one is asked
after that. It doubles with each request that gets no answer: where links are
full, more requests would fill them further."""
MAX_REQUEST_TIMEOUT_MS = 2_400


class FactsExchange:
    """Decides which items are requested, sent and used.

    The configuration in force counts by its version, all else by era and
    revision. Peers of earlier versions state no era: their items are used
    only while none is known here. One peer at a time is asked for items. It
    sends large values as the difference to the configuration known here.

    :param facts: facts of this instance.
    :param clock: clock of this instance.
    """

    def __init__(self, facts: FactsCache, clock: Clock) -> None:
        self._facts = facts
        self._clock = clock
        self._request: ItemsRequest | None = None
        self._next_offer: ItemsOffer | None = None
        self._packer = ValuePacker()
        self._kept_value: bytes | None = None
        self._base_digest = NO_DIGEST
        self.sent_bytes = 0
        self.received_bytes = 0
        facts.on_change.append(self._keep_rules)

    def receive(
        self,
        message: messages.Pong | messages.Items,
        peer: str,
        send: Callable[[str, messages.Message], bool],
    ) -> None:
        """Use a message of a peer, and send the request that follows from it.

        :param send: sends a message to a peer; returns False if it isn't
            linked.
        """
        if isinstance(message, messages.Items):
            request = self.handle_items(message, peer)
        else:
            wanted = self.handle_pong(message, peer)
            request = None if wanted is None else (peer, wanted)
        if request is not None and not send(*request):
            self.forget_request(request[0])

    def handle_pong(
        self, pong: messages.Pong, peer: str = ''
    ) -> messages.ItemsWanted | None:
        """Use the proof of a heartbeat, or return a request for its items.

        :param peer: address of the peer.
        """
        item_cache = self._facts.item_cache
        offer = ItemsOffer.from_pong(pong, peer)
        if self._is_newer(offer):
            return self._request_items(offer)
        if pong.proof_age_ms is not None:
            item_cache.mark_verified(
                pong.revision, pong.sent_ms - pong.proof_age_ms, pong.era
            )
        return None

    def forget_request(self, peer: str) -> None:
        """Wait no longer for the answer of a peer whose link is lost."""
        if self._request is not None and self._request.peer == peer:
            self._request = None

    def _is_newer(self, offer: ItemsOffer) -> bool:
        position = (offer.era, offer.revision)
        return (
            position > self._facts.item_cache.position
            or offer.rules_version > self._facts.version
        )

    def _request_items(self, offer: ItemsOffer) -> messages.ItemsWanted | None:
        """Return a request; None while another one may still be answered."""
        now_ms = self._clock.now_ms()
        timeout_ms = REQUEST_TIMEOUT_MS
        request = self._request
        if request is not None:
            if now_ms - request.sent_ms < request.timeout_ms:
                self._next_offer = offer
                return None
            timeout_ms = min(2 * request.timeout_ms, MAX_REQUEST_TIMEOUT_MS)
        self._request = ItemsRequest(offer.peer, now_ms, timeout_ms)
        item_cache = self._facts.item_cache
        return messages.ItemsWanted(
            now_ms,
            item_cache.complete_revision,
            item_cache.era,
            self._facts.version,
            self._base_digest,
        )

    def _keep_rules(self) -> None:
        """Keep the configuration in force as a base for others."""
        item = self._facts.rules_item
        if item is None or item.value is None:
            return
        if item.value is not self._kept_value:
            self._kept_value = item.value
            self._base_digest = self._packer.keep(item.value)

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
            wanted,
            items,
            item_cache.position,
            self._facts.age_ms(),
            self._packer,
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

    def handle_items(
        self, message: messages.Items, peer: str = ''
    ) -> tuple[str, messages.ItemsWanted] | None:
        """Apply the items that a peer has sent.

        :param peer: address of the peer.
        :returns: a request for what is newer still, and the peer that has it.
        """
        self.forget_request(peer)
        try:
            items = wire_codec.decode_items(message, self._packer)
        except PeerError as error:
            log_event(Event.PEER_REJECTED, peer=peer, reason=str(error))
            # Values are requested whole until the configuration changes.
            self._base_digest = NO_DIGEST
            return None
        self._log_and_apply(message, items, peer)
        offer, self._next_offer = self._next_offer, None
        if offer is None or not self._is_newer(offer):
            return None
        wanted = self._request_items(offer)
        return None if wanted is None else (offer.peer, wanted)

    def _log_and_apply(
        self, message: messages.Items, items: list[PublishedItem], peer: str
    ) -> None:
        item_bytes = _count_bytes(message)
        self.received_bytes += item_bytes
        version = self._facts.version
        position = self._facts.item_cache.position
        self._apply_items(message, items)
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

    def _apply_items(
        self, message: messages.Items, items: list[PublishedItem]
    ) -> None:
        if message.proof_age_ms is None:
            return
        self._facts.apply_peer_items(
            items,
            message.revision,
            message.sent_ms - message.proof_age_ms,
            message.era,
            is_listing=message.is_listing,
            live_keys=message.live_keys,
        )


def _count_bytes(message: messages.Items) -> int:
    return sum(len(item.value or b'') for item in message.items)
