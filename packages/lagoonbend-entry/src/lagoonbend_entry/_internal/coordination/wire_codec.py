"""Converts requests, decisions and slots to messages and back."""

from collections.abc import Iterable

from lagoonbend.exceptions import PeerError
from lagoonbend.facts import OriginSource
from lagoonbend.facts import PublishedItem
from lagoonbend.facts import StreamOrigin
from lagoonbend.scheduling import Denial
from lagoonbend.scheduling import HeldSlot
from lagoonbend.scheduling import PromptBlock
from lagoonbend.scheduling import SlotDecision
from lagoonbend.scheduling import SlotOutcome
from lagoonbend.scheduling import SlotRequest
from lagoonbend.scheduling import StatedLoad
from lagoonbend_entry._internal.coordination import messages
from lagoonbend_entry._internal.coordination.packing import Packing
from lagoonbend_entry._internal.coordination.value_packer import compute_digest
from lagoonbend_entry._internal.coordination.value_packer import NO_DIGEST
from lagoonbend_entry._internal.coordination.value_packer import ValuePacker


def encode_request(request: SlotRequest) -> messages.Ask:
    """Return the message that requests a slot."""
    return messages.Ask(
        call=request.call,
        pool=request.pool,
        failure_domain=request.failure_domain,
        rank=request.rank,
        level=request.route_rank,
        customer=request.customer,
        cost_units=request.cost_units,
        waited_ms=request.waited_ms,
        objective_ms=request.objective_ms,
        deadline_ms=request.deadline_ms,
        prompt=[messages.WirePart(*block) for block in request.prompt],
        output_tokens=request.output_tokens,
        body_bytes=request.body_bytes,
        excluded=list(request.excluded),
    )


def decode_request(instance: str, message: messages.Ask) -> SlotRequest:
    """Return the request of an instance."""
    return SlotRequest(
        call=message.call,
        instance=instance,
        failure_domain=message.failure_domain,
        pool=message.pool,
        rank=message.rank,
        route_rank=message.level,
        customer=message.customer,
        cost_units=message.cost_units,
        waited_ms=message.waited_ms,
        objective_ms=message.objective_ms,
        deadline_ms=message.deadline_ms,
        prompt=_decode_prompt(message.prompt),
        output_tokens=message.output_tokens,
        body_bytes=message.body_bytes,
        excluded=tuple(message.excluded),
    )


def encode_decision(decision: SlotDecision) -> messages.Decision:
    """Return the message that reports a decision."""
    return messages.Decision(
        call=decision.call,
        target=decision.target,
        expected_ms=decision.expected_ms,
        denial=decision.denial.value if decision.denial else '',
        retry_after_ms=decision.retry_after_ms,
        waited_ms=decision.waited_ms,
        pool_wait_ms=decision.pool_wait_ms,
    )


def decode_decision(instance: str, message: messages.Decision) -> SlotDecision:
    """Return the decision on a call of an instance.

    :raises PeerError: if the denial is none that is known.
    """
    return SlotDecision(
        call=message.call,
        instance=instance,
        target=message.target,
        expected_ms=message.expected_ms,
        denial=_decode_denial(message.denial),
        retry_after_ms=message.retry_after_ms,
        waited_ms=message.waited_ms,
        pool_wait_ms=message.pool_wait_ms,
    )


def _decode_denial(value: str) -> Denial | None:
    try:
        return Denial(value) if value else None
    except ValueError as error:
        raise PeerError(f'unknown denial {ascii(value[:40])}') from error


def decode_outcome(value: str) -> SlotOutcome:
    """Return how the call in a slot has ended.

    :raises PeerError: if the outcome is none that is known.
    """
    try:
        return SlotOutcome(value)
    except ValueError as error:
        raise PeerError(f'unknown outcome {ascii(value[:40])}') from error


def encode_release(
    request: SlotRequest,
    target: str,
    outcome: SlotOutcome,
    first_byte_ms: int,
    stated: StatedLoad | None = None,
) -> messages.Done:
    """Return the message that releases a slot."""
    return messages.Done(
        call=request.call,
        pool=request.pool,
        target=target,
        failure_domain=request.failure_domain,
        end=outcome.value,
        first_ms=first_byte_ms,
        running=stated.running if stated else None,
        waiting=stated.waiting if stated else None,
        work_percent=stated.work_percent if stated else 0,
        load_age_ms=stated.age_ms if stated else 0,
    )


def decode_stated_load(message: messages.Done) -> StatedLoad | None:
    """Return the load that the target of a released slot has stated."""
    if message.running is None or message.waiting is None:
        return None
    return StatedLoad(
        message.running,
        message.waiting,
        message.work_percent,
        message.load_age_ms,
    )


def encode_held_slots(
    pool: str, slots: Iterable[HeldSlot], now_ms: int
) -> messages.Holding:
    """Return the message that reports slots in use."""
    return messages.Holding(
        pool,
        [
            messages.WirePlace(
                call=slot.call,
                target=slot.target,
                rank=slot.rank,
                prompt=[messages.WirePart(*block) for block in slot.prompt],
                tokens=slot.tokens,
                age_ms=now_ms - slot.started_ms,
                expected_ms=slot.expected_ms,
            )
            for slot in slots
        ],
    )


def decode_held_slots(
    instance: str, message: messages.Holding, now_ms: int
) -> list[HeldSlot]:
    """Return the slots that an instance uses."""
    return [
        HeldSlot(
            call=slot.call,
            instance=instance,
            target=slot.target,
            rank=slot.rank,
            prompt=_decode_prompt(slot.prompt),
            tokens=slot.tokens,
            started_ms=now_ms - slot.age_ms,
            expected_ms=slot.expected_ms,
        )
        for slot in message.places
    ]


def encode_items(
    wanted: messages.ItemsWanted,
    items: Iterable[PublishedItem],
    position: tuple[int, int],
    proof_age_ms: int | None,
    packer: ValuePacker,
) -> messages.Items:
    """Return the message that carries published items."""
    era, revision = position
    base_digest = wanted.base_digest
    return messages.Items(
        wanted.sent_ms,
        [_encode_item(item, base_digest, packer) for item in items],
        revision,
        proof_age_ms,
        era,
        base_digest=base_digest or NO_DIGEST,
    )


def _encode_item(
    item: PublishedItem, base_digest: int | None, packer: ValuePacker
) -> messages.WireItem:
    plain = messages.WireItem(item.key, item.revision, item.value, item.era)
    if item.value is None or base_digest is None:
        return plain
    packing, content = packer.pack(item.value, base_digest)
    if packing is Packing.PLAIN:
        return plain
    return messages.WireItem(
        item.key,
        item.revision,
        content,
        item.era,
        packing,
        compute_digest(item.value),
    )


def decode_items(
    message: messages.Items, packer: ValuePacker
) -> list[PublishedItem]:
    """Return the published items of a message.

    :raises PeerError: if a value can't be unpacked.
    """
    return [_decode_item(item, message, packer) for item in message.items]


def _decode_item(
    item: messages.WireItem, message: messages.Items, packer: ValuePacker
) -> PublishedItem:
    value = item.value
    if value is not None:
        value = packer.unpack(
            item.packing, value, message.base_digest, item.digest
        )
    return PublishedItem(item.key, item.revision, value, item.era)


def _decode_prompt(
    blocks: Iterable[messages.WirePart],
) -> tuple[PromptBlock, ...]:
    return tuple(PromptBlock(block.part, block.tokens) for block in blocks)


def encode_origins(
    origins: Iterable[StreamOrigin], now_ms: int
) -> messages.Origins:
    """Return the message that reports streams."""
    return messages.Origins([_encode_origin(o, now_ms) for o in origins])


def decode_origins(
    message: messages.Origins, now_ms: int
) -> list[StreamOrigin]:
    """Return the origins of the streams that a peer reports."""
    return [_decode_origin(origin, now_ms) for origin in message.origins]


def encode_origin_answer(
    key: int, origin: StreamOrigin | None, only_version: str, now_ms: int
) -> messages.OriginFound:
    """Return the answer to a question for the origin of a stream."""
    found = [] if origin is None else [_encode_origin(origin, now_ms)]
    return messages.OriginFound(
        key,
        found,
        only_version,
        has_followed=bool(only_version),
        weighs_prompts=True,
    )


def decode_origin_answer(
    message: messages.OriginFound, now_ms: int
) -> list[StreamOrigin]:
    """Return the origin in an answer, in a list that may be empty."""
    return [_decode_origin(origin, now_ms) for origin in message.origins]


def _encode_origin(origin: StreamOrigin, now_ms: int) -> messages.WireOrigin:
    return messages.WireOrigin(
        origin.key,
        origin.version,
        origin.expires_ms - now_ms,
        origin.source.value,
    )


def _decode_origin(origin: messages.WireOrigin, now_ms: int) -> StreamOrigin:
    try:
        source = OriginSource(origin.source)
    except ValueError:
        source = OriginSource.INFERRED
    return StreamOrigin(
        origin.key, origin.version, now_ms + origin.left_ms, source
    )
