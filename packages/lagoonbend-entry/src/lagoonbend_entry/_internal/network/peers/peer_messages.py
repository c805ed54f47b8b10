"""Conversion between protobuf messages and models."""

from lagoonbend.models import ClaimDecision
from lagoonbend.models import ClaimReply
from lagoonbend.models import ClaimRequest
from lagoonbend.models import RecordedAnswer
from lagoonbend.models import Verdict
from lagoonbend_entry._internal.models.aged_load import AgedLoad
from lagoonbend_entry._internal.models.digest import Digest
from lagoonbend_entry._internal.network.peers.generated import peer_pb2


def write_claim_request(request: ClaimRequest) -> peer_pb2.ClaimRequest:
    """Return the message of a claim."""
    return peer_pb2.ClaimRequest(**request._asdict())


def read_claim_request(message: peer_pb2.ClaimRequest) -> ClaimRequest:
    """Return the claim in a message."""
    return ClaimRequest(
        message.customer,
        message.key,
        message.attempt,
        message.fingerprint,
        message.nonce,
    )


def write_claim_reply(reply: ClaimReply) -> peer_pb2.ClaimReply:
    """Return the message of the reply to a claim."""
    message = peer_pb2.ClaimReply(
        decision=reply.decision.value, verdict=reply.verdict.value
    )
    if reply.answer is not None:
        message.answer.CopyFrom(write_answer(reply.answer))
    return message


def read_claim_reply(message: peer_pb2.ClaimReply) -> ClaimReply:
    """Return the reply to a claim in a message."""
    answer = None
    if message.HasField('answer'):
        answer = read_answer(message.answer)
    return ClaimReply(
        ClaimDecision(message.decision), Verdict(message.verdict), answer
    )


def write_answer(answer: RecordedAnswer) -> peer_pb2.Answer:
    """Return the message of a recorded answer."""
    return peer_pb2.Answer(**answer._asdict())


def read_answer(message: peer_pb2.Answer) -> RecordedAnswer:
    """Return the recorded answer in a message."""
    return RecordedAnswer(message.status, message.content_type, message.body)


def write_digest(digest: Digest) -> peer_pb2.Digest:
    """Return the message of a digest."""
    fields = digest._asdict()
    fields['loads'] = [peer_pb2.Load(**x._asdict()) for x in digest.loads]
    return peer_pb2.Digest(**fields)


def read_digest(message: peer_pb2.Digest) -> Digest:
    """Return the digest in a message."""
    return Digest(
        message.instance,
        message.address,
        message.partner,
        message.part_revision,
        message.part_digest,
        message.fleet_revision,
        message.seat_epoch,
        tuple(
            AgedLoad(x.target, x.running, x.waiting_tokens, x.age_ms)
            for x in message.loads
        ),
    )
