"""Messages between instances.

They travel as MessagePack arrays with a tag; the layout of an instance of
another version is refused by the greeting.
"""

import msgspec

PROTOCOL_VERSION = 1


class Message(msgspec.Struct, array_like=True, tag=True):
    """Base of all messages."""


class Greeting(Message):
    """First message of the instance that opened the connection."""

    protocol: int
    address: str
    failure_domain: str


class WireMember(msgspec.Struct, array_like=True):
    """An instance that the sender knows to live.

    ``age_ms`` is the time since its sign of life.
    """

    address: str
    failure_domain: str
    age_ms: int
    uptime_ms: int
    is_leaving: bool


class Ping(Message):
    """Asks for a sign of life; ``sent_ms`` is the asker's own clock.

    With ``wants_news``, the answer tells of other instances and of the use
    of customers' limits as well.
    """

    sent_ms: int
    uptime_ms: int
    wants_news: bool


class Pong(Message):
    """Answer to a ping.

    ``sent_ms`` is the asker's own, so that the age of what is told is
    counted from the question, on the asker's clock.
    """

    sent_ms: int
    address: str
    failure_domain: str
    incarnation: str
    uptime_ms: int
    is_leaving: bool
    decides: list[str]
    rumours: list[WireMember]
    revision: int
    proof_age_ms: int | None
    used: dict[str, float]


class ItemsWanted(Message):
    """Asks for published items newer than a revision."""

    sent_ms: int
    since: int


class WireItem(msgspec.Struct, array_like=True):
    """A published item; no value marks one that was removed."""

    key: str
    revision: int
    value: bytes | None


class Items(Message):
    """Answer to ``ItemsWanted``: nothing up to ``revision`` is missing."""

    sent_ms: int
    items: list[WireItem]
    revision: int
    proof_age_ms: int | None


class WirePart(msgspec.Struct, array_like=True):
    """A part of a prompt."""

    part: str
    tokens: int


class Ask(Message):
    """Asks the instance that decides for a place."""

    call: str
    pool: str
    failure_domain: str
    rank: int
    level: int
    customer: str
    cost_units: float
    waited_ms: int
    objective_ms: int
    deadline_ms: int
    prompt: list[WirePart]
    output_tokens: int
    body_bytes: int
    excluded: list[str]


class Queued(Message):
    """The call waits at the instance that decides."""

    call: str


class Moved(Message):
    """The asked instance does not decide for the pool; another one does."""

    call: str
    pool: str
    decider: str


class Decision(Message):
    """A place, or the reason why there is none."""

    call: str
    target: str
    expected_ms: int
    denial: str
    retry_after_ms: int
    waited_ms: int
    pool_wait_ms: int


class Withdraw(Message):
    """Nobody waits for the call any more."""

    call: str
    pool: str


class Done(Message):
    """A call has ended at a target."""

    call: str
    pool: str
    target: str
    failure_domain: str
    end: str
    first_ms: int


class WirePlace(msgspec.Struct, array_like=True):
    """A place in use; ``age_ms`` is the time since it was given."""

    call: str
    target: str
    rank: int
    prompt: list[WirePart]
    tokens: int
    age_ms: int
    expected_ms: int


class Holding(Message):
    """Places that the sender uses at a service already."""

    pool: str
    places: list[WirePlace]


AnyMessage = (
    Greeting
    | Ping
    | Pong
    | ItemsWanted
    | Items
    | Ask
    | Queued
    | Moved
    | Decision
    | Withdraw
    | Done
    | Holding
)
