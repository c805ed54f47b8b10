"""The schema of the configuration document."""

from typing import NotRequired
from typing import TypedDict


class CustomerEntry(TypedDict):
    """A customer.

    ``key_sha256`` is the hex digest of the bearer key; the key itself is
    never part of a document. ``rate_per_s`` and ``burst`` limit the
    customer's requests.
    """

    name: str
    key_sha256: str
    rate_per_s: NotRequired[float]
    burst: NotRequired[int]


class TierEntry(TypedDict):
    """A priority tier; rank 0 is the most urgent."""

    name: str
    rank: int
    deadline_ms: int


class RuleEntry(TypedDict):
    """A rule; the first one that matches a request classifies it.

    ``path`` is a prefix; ``method``, ``model`` and ``customer`` match any
    value when they are absent. ``kind`` is ``engine`` or ``service``.
    """

    name: str
    path: str
    tier: str
    kind: str
    idempotent: bool
    method: NotRequired[str]
    model: NotRequired[str]
    customer: NotRequired[str]
    key_required: NotRequired[bool]


class SeatsEntry(TypedDict):
    """The addresses that own bare keys; see ``SeatPlan``."""

    epoch: int
    seats: list[str]
    former: list[list[str]]


class PartEntry(TypedDict):
    """The part of the document that belongs to one partner.

    ``parent`` is the digest of the part that the operators edited to make
    this one. ``shards`` maps the first hex digits of customers' key digests
    to the SHA-256 of the shard that holds these customers. A shard is a
    separate value of the platform, a list of ``CustomerEntry``, so that a
    change of one customer transfers one shard, not the whole document.
    """

    revision: int
    parent: str
    customers: list[CustomerEntry]
    tiers: list[TierEntry]
    rules: list[RuleEntry]
    seats: NotRequired[SeatsEntry]
    shards: NotRequired[dict[str, str]]


class DocumentEntry(TypedDict):
    """The whole document: one part per partner."""

    parts: dict[str, PartEntry]
