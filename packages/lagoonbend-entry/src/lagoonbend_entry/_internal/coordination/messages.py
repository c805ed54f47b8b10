"""Messages between instances.

They are encoded as MessagePack arrays with a tag. An instance of another
version, whose layout may differ, is rejected at its greeting.
"""

from typing import Annotated

import msgspec

from lagoonbend.facts import NO_ERA
from lagoonbend_entry._internal.utils import bounded

PROTOCOL_VERSION = 1
Integer = Annotated[
    int, msgspec.Meta(ge=-bounded.MAX_INTEGER, le=bounded.MAX_INTEGER)
]
"""A number that can be computed with and be sent on."""
Key = int
"""A hash of 64 bits."""
Fraction = Annotated[
    float, msgspec.Meta(ge=-bounded.MAX_INTEGER, le=bounded.MAX_INTEGER)
]
"""The same with fractions."""
Rate = Annotated[float, msgspec.Meta(ge=0, le=bounded.MAX_RATE)]
"""Requests or rejections a second."""


class Message(msgspec.Struct, array_like=True, tag=True):
    """Base of all messages."""


class Greeting(Message):
    """First message of the instance that opened the connection."""

    protocol: Integer
    address: str
    failure_domain: str


class WireMember(msgspec.Struct, array_like=True):
    """An instance that is within reach of the sender.

    ``age_ms`` is the time since its last heartbeat.
    """

    address: str
    failure_domain: str
    age_ms: Integer
    uptime_ms: Integer
    is_leaving: bool


class Ping(Message):
    """Asks for a heartbeat; ``sent_ms`` is by the sender's own clock.

    With ``wants_news``, the pong also carries gossip: other instances, and the
    use of customers' limits. ``reads_reports`` is True if the sender wants
    ``CrashReports`` over this link; earlier versions that understand them want
    them over each one.
    """

    sent_ms: Integer
    uptime_ms: Integer
    wants_news: bool
    reads_reports: bool = False


class Pong(Message):
    """Answer to a ping: the heartbeat of an instance.

    ``sent_ms`` is copied from the ping, so that the receiver counts the age of
    the contents from its own ping and by its own clock. ``keeps_origins`` is
    True if the instance understands messages on the origins of streams; the
    field is missing in pongs of earlier versions, which ignore it. So are the
    era to which ``revision`` belongs, the version of the configuration in
    force, and ``reads_reports``, which is the same for ``CrashReports`` and
    ``LimitReport``. ``callers_endpoint`` is where the instance accepts calls
    that a peer hands over, empty in earlier versions, which accept none;
    ``unreached`` lists the services of which it reaches no target itself.
    ``weighs_prompts`` is the same as in ``OriginFound``. ``binds_streams`` is
    True if a resumable stream is sent again to one software version only,
    before its first event too, and missing in earlier versions.
    """

    sent_ms: Integer
    address: str
    failure_domain: str
    incarnation: str
    uptime_ms: Integer
    is_leaving: bool
    decides: list[str]
    rumours: list[WireMember]
    revision: Integer
    proof_age_ms: Integer | None
    used: dict[str, Fraction]
    keeps_origins: bool = False
    era: Integer = NO_ERA
    rules_version: Integer = 0
    reads_reports: bool = False
    callers_endpoint: str = ''
    unreached: list[str] = []
    weighs_prompts: bool = False
    binds_streams: bool = False


class ItemsWanted(Message):
    """Requests the published items newer than a revision of an era.

    If the receiver has a configuration of a version above ``rules_version``,
    it sends that too. Earlier versions name no era and no version.
    ``base_digest`` names the configuration that the sender has, 0 if it has
    none, for packed values; earlier versions don't send it, and get plain
    values.
    """

    sent_ms: Integer
    since: Integer
    era: Integer | None = None
    rules_version: Integer | None = None
    base_digest: Key | None = None


class WireItem(msgspec.Struct, array_like=True):
    """A published item; ``value`` is None if the item was removed.

    ``packing`` is the number of a ``Packing``, ``digest`` that of the value
    before it was packed; 0 if it wasn't.
    """

    key: str
    revision: Integer
    value: bytes | None
    era: Integer = NO_ERA
    packing: Integer = 0
    digest: Key = 0


class Items(Message):
    """Answer to ``ItemsWanted``: nothing up to ``revision`` is missing.

    If ``is_listing``, what isn't among the items was removed. If there are
    ``live_keys``, what they don't name was. Earlier versions ignore both.
    ``base_digest`` is that of the request.
    """

    sent_ms: Integer
    items: list[WireItem]
    revision: Integer
    proof_age_ms: Integer | None
    era: Integer = NO_ERA
    is_listing: bool = False
    live_keys: list[str] | None = None
    base_digest: Key = 0


class WirePart(msgspec.Struct, array_like=True):
    """A block of a prompt."""

    part: str
    tokens: Integer


class Ask(Message):
    """Requests a slot from the decider of a pool."""

    call: str
    pool: str
    failure_domain: str
    rank: Integer
    level: Integer
    customer: str
    cost_units: Fraction
    waited_ms: Integer
    objective_ms: Integer
    deadline_ms: Integer
    prompt: list[WirePart]
    output_tokens: Integer
    body_bytes: Integer
    excluded: list[str]


class Queued(Message):
    """Confirms that the decider has queued the call."""

    call: str


class Moved(Message):
    """The requested instance is not the decider of the pool.

    ``decider`` names the one that the sender knows; it is empty if the sender
    has just given up the pool.
    """

    call: str
    pool: str
    decider: str


class Decision(Message):
    """A slot, or the reason why there is none."""

    call: str
    target: str
    expected_ms: Integer
    denial: str
    retry_after_ms: Integer
    waited_ms: Integer
    pool_wait_ms: Integer


class Withdraw(Message):
    """Withdraws the request of a call that no longer waits."""

    call: str
    pool: str


class Done(Message):
    """Releases the slot of a call that has ended at a target.

    ``running``, ``waiting`` and ``work_percent`` are the load that the target
    stated in its answer; None and 0 if it stated none. ``load_age_ms`` is the
    time since that answer arrived. Earlier versions neither send nor read
    these fields.
    """

    call: str
    pool: str
    target: str
    failure_domain: str
    end: str
    first_ms: Integer
    running: Integer | None = None
    waiting: Integer | None = None
    work_percent: Integer = 0
    load_age_ms: Integer = 0


class WirePlace(msgspec.Struct, array_like=True):
    """A slot in use; ``age_ms`` is the time since it was granted."""

    call: str
    target: str
    rank: Integer
    prompt: list[WirePart]
    tokens: Integer
    age_ms: Integer
    expected_ms: Integer


class Holding(Message):
    """Reports slots of a pool that the sender already uses."""

    pool: str
    places: list[WirePlace]


class WireOrigin(msgspec.Struct, array_like=True):
    """The software version that began a stream.

    ``left_ms`` is the time for which the stream can still be taken up,
    ``source`` the number of an ``OriginSource``, which earlier versions don't
    send and ignore.
    """

    key: Key
    version: str
    left_ms: Integer
    source: Integer = 0


class Origins(Message):
    """Reports streams that have begun at the sender."""

    origins: list[WireOrigin]


class OriginWanted(Message):
    """Asks for the origin of a stream of a service.

    With ``block_id``, the last block of the stream's prompt, the receiver asks
    the targets who has read it if it doesn't know the origin. Instances of
    earlier versions ignore that field and ``tokens``, the block's length.
    """

    key: Key
    service: str
    block_id: str = ''
    tokens: Integer = 0


class OriginFound(Message):
    """Answer to ``OriginWanted``; without an origin if it isn't known.

    ``only_version`` is the version of all targets that the service has had
    for as long as a stream may last, as far as the sender knows; empty if
    there were several or it doesn't know. ``has_followed`` is True if the
    sender has read all changes in that time. Earlier versions don't send it
    and may guess. Nor do they send ``weighs_prompts``: to a question with a
    block, they answer with any one version that has read the prompt.
    """

    key: Key
    origins: list[WireOrigin]
    only_version: str
    has_followed: bool = False
    weighs_prompts: bool = False


class WireCrash(msgspec.Struct, array_like=True):
    """A target that ended under a call with a carrier, ``age_ms`` ago.

    ``life`` names the target and its start, ``run_ms`` is the time from the
    begin of the call to the end, if known.
    """

    service: str
    carrier: str
    life: str
    age_ms: Integer
    run_ms: Integer | None = None


class WireSound(msgspec.Struct, array_like=True):
    """A carrier to which an answer began, ``age_ms`` ago."""

    service: str
    carrier: str
    age_ms: Integer


class WireAnswered(msgspec.Struct, array_like=True):
    """A life of a target that has answered a request sent ``age_ms`` ago."""

    service: str
    life: str
    age_ms: Integer


class CrashReports(Message):
    """Evidence for and against calls that end targets.

    With ``wants_all``, the receiver answers with all of its evidence.
    ``answered`` names targets that were taken for ended and haven't; earlier
    versions ignore it.
    """

    crashes: list[WireCrash]
    sound: list[WireSound]
    wants_all: bool = False
    answered: list[WireAnswered] = []


class WireLimit(msgspec.Struct, array_like=True):
    """What a life of a target has said of its limits, ``age_ms`` ago.

    Earlier versions don't read ``rejection_limit_per_s``.
    """

    target: str
    ip: str
    port: Integer
    born_ms: Integer | None
    rate_per_s: Rate | None
    age_ms: Integer
    rejection_limit_per_s: Rate | None = None


class LimitReport(Message):
    """Limits of targets, for the decider of their pool."""

    limits: list[WireLimit]


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
    | Origins
    | OriginWanted
    | OriginFound
    | CrashReports
    | LimitReport
)
