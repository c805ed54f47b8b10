"""Shares the origins of streams with other instances.

A caller takes a stream up at any instance, also after the one at which the
stream began was killed. While a service has one software version, any of its
targets can continue a stream, and nothing is sent. If all instances were
killed, what the targets have read shows the origin.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

import gevent
import gevent.event

from lagoonbend.clock import Clock
from lagoonbend.facts import StreamOrigin
from lagoonbend.facts import StreamOrigins
from lagoonbend.scheduling import PromptBlock
from lagoonbend_entry._internal.coordination import messages
from lagoonbend_entry._internal.coordination import wire_codec
from lagoonbend_entry._internal.utils.guarded_loop import log_failure
from lagoonbend_entry._internal.utils.guarded_loop import run_guarded

BATCH_INTERVAL_S = 0.02
"""Minimum time between two batches. The first origin after a pause is sent at
once, beside the first event of its stream."""
ANSWER_TIMEOUT_MS = 150
"""Time for peers to answer a question; a round trip between failure domains
takes about 3 ms."""
SEARCH_TIMEOUT_MS = 1_300
"""Time for a peer to ask the targets who has read a prompt, which may take
some time on a narrow link, and to answer."""
SEARCHED_ORIGIN_MS = 15_000
"""Time for which an origin that targets have shown is kept; callers wait for
15 s at most in the users' deployments."""
MAX_BATCH = 500
"""Origins in one message."""
MILLISECONDS_PER_SECOND = 1000

Send = Callable[[str, messages.Message], bool]


class OriginAnswer(NamedTuple):
    """Result of a question to the peers.

    :param origin: origin of the stream; None if no peer knows it.
    :param only_versions: the versions that the answers name as the only one
        of the service; empty if no peer is sure.
    """

    origin: StreamOrigin | None
    only_versions: frozenset[str]


class _Question:
    """A question whose answers have not all arrived.

    :param peers: peers that were asked.
    :param is_search: True if they were to ask the targets.

    ``has_weighed`` is True once a peer has answered that weighs what targets
    tell.
    """

    def __init__(self, peers: set[str], *, is_search: bool) -> None:
        self.peers = peers
        self.is_search = is_search
        self.has_weighed = False
        self.only_versions: set[str] = set()
        self.result: gevent.event.AsyncResult = gevent.event.AsyncResult()


class OriginExchange:
    """Keeps the origins of streams and shares them.

    :param clock: clock of the instance.
    :param find_peers: returns the peers to which the origin with a key is
        sent, and that are asked for it; and the peer that asks the targets of
        a service who has read a prompt, empty if this instance does.
    :param send: sends a message to a peer; returns False if it can't.
    :param find_only_version: returns the only version that targets of a
        service have had for as long as a stream may last; empty if there
        were several or it isn't known.
    :param is_mixed: returns True if targets of a service have, or may have had
        lately, several software versions.

    ``search_prompt`` asks the targets of a service which software version has
    read the last block of a prompt.
    """

    def __init__(
        self,
        clock: Clock,
        find_peers: tuple[Callable[[int], list[str]], Callable[[str], str]],
        send: Send,
        find_only_version: Callable[[str], str],
        is_mixed: Callable[[str], bool],
    ) -> None:
        self._clock = clock
        self._list_keepers, self._find_searcher = find_peers
        self._send = send
        self._find_only_version = find_only_version
        self._is_mixed = is_mixed
        self.search_prompt: Callable[[str, PromptBlock], str | None] = (
            lambda service, block: None
        )
        self._origins = StreamOrigins(clock)
        self._own_origins: dict[str, StreamOrigins] = {}
        self._mixed_services: set[str] = set()
        self._outbox: list[StreamOrigin] = []
        self._has_outgoing = gevent.event.Event()
        self._questions: dict[int, _Question] = {}

    def start(self) -> None:
        """Start to send origins in batches."""
        gevent.spawn(run_guarded, 'stream origins', self._send_batch)

    def record(self, service: str, origin: StreamOrigin) -> None:
        """Record the origin of a stream of this instance."""
        self._origins.add([origin])
        own_origins = self._own_origins.get(service)
        if own_origins is None:
            own_origins = StreamOrigins(self._clock)
            self._own_origins[service] = own_origins
            self.apply_facts()
        own_origins.add([origin])
        if service in self._mixed_services:
            if self._is_mixed(service):
                self._queue([origin])
            else:
                self._mixed_services.discard(service)

    def find(self, key: int) -> StreamOrigin | None:
        """Return the origin of a stream, if it is known here."""
        return self._origins.find(key)

    def ask(self, key: int, service: str) -> OriginAnswer:
        """Ask the peers for the origin of a stream, and wait for an answer."""
        wanted = messages.OriginWanted(key, service)
        question = self._ask(
            wanted, self._list_keepers(key), ANSWER_TIMEOUT_MS
        )
        return OriginAnswer(self.find(key), frozenset(question.only_versions))

    def search(
        self, key: int, service: str, block: PromptBlock
    ) -> StreamOrigin | None:
        """Return the origin of a stream by the targets that read its prompt.

        :param block: last block of the prompt.
        :returns: None if it isn't certain.
        """
        wanted = messages.OriginWanted(
            key, service, block.block_id, block.tokens
        )
        searcher = self._find_searcher(service)
        if searcher:
            question = self._ask(wanted, [searcher], SEARCH_TIMEOUT_MS)
            if question.result.ready() and question.has_weighed:
                return self.find(key)
        self._search_targets(wanted)
        return self.find(key)

    def _search_targets(self, wanted: messages.OriginWanted) -> None:
        """Add the origin of a stream if targets show it."""
        block = PromptBlock(wanted.block_id, wanted.tokens)
        version = self.search_prompt(wanted.service, block)
        if version:
            expires_ms = self._clock.now_ms() + SEARCHED_ORIGIN_MS
            self._origins.add([StreamOrigin(wanted.key, version, expires_ms)])

    def _ask(
        self,
        wanted: messages.OriginWanted,
        peers: Iterable[str],
        timeout_ms: int,
    ) -> _Question:
        """Ask peers, and wait until one knows the origin or all answered."""
        key = wanted.key
        question = self._questions.get(key)
        if question is None:
            question = _Question(set(peers), is_search=bool(wanted.block_id))
            self._questions[key] = question
            for peer in list(question.peers):
                if not self._send(peer, wanted):
                    question.peers.discard(peer)
        try:
            if question.peers:
                question.result.wait(timeout_ms / MILLISECONDS_PER_SECOND)
        finally:
            if self._questions.get(key) is question:
                del self._questions[key]
        return question

    def apply_facts(self) -> None:
        """Share the streams of services that have become mixed."""
        for service, own_origins in self._own_origins.items():
            is_mixed = self._is_mixed(service)
            if is_mixed and service not in self._mixed_services:
                self._mixed_services.add(service)
                self._queue(own_origins.list_live())
            elif not is_mixed:
                self._mixed_services.discard(service)

    def send_all(self, peer: str) -> None:
        """Send all origins to a peer that has come back.

        It may have started anew, and others may have lost theirs.
        """
        if self._mixed_services:
            self._send_origins(peer, self._origins.list_live())

    def handle_origins(self, message: messages.Origins) -> None:
        """Store the origins that a peer has sent."""
        now_ms = self._clock.now_ms()
        self._origins.add(wire_codec.decode_origins(message, now_ms))

    def answer(
        self,
        wanted: messages.OriginWanted,
        send: Callable[[messages.OriginFound], None],
    ) -> None:
        """Answer the question of a peer, in the background if need be."""
        if wanted.block_id and self.find(wanted.key) is None:
            gevent.spawn(self._search_and_answer, wanted, send)
        else:
            send(self.build_answer(wanted))

    def _search_and_answer(
        self,
        wanted: messages.OriginWanted,
        send: Callable[[messages.OriginFound], None],
    ) -> None:
        try:
            self._search_targets(wanted)
        except Exception as error:
            log_failure('search for a prompt', error)
        send(self.build_answer(wanted))

    def build_answer(
        self, wanted: messages.OriginWanted
    ) -> messages.OriginFound:
        """Return the answer to the question of a peer, as known here."""
        origin = self.find(wanted.key)
        return wire_codec.encode_origin_answer(
            wanted.key,
            origin,
            self._find_only_version(wanted.service),
            self._clock.now_ms(),
        )

    def handle_answer(self, peer: str, message: messages.OriginFound) -> None:
        """Store an answer, and wake those who wait for it.

        An earlier build may infer the origin from a prompt that was only read.
        """
        now_ms = self._clock.now_ms()
        question = self._questions.get(message.key)
        may_be_known = question is not None and not question.is_search
        if message.weighs_prompts or may_be_known:
            self._origins.add(wire_codec.decode_origin_answer(message, now_ms))
        if question is None:
            return
        question.has_weighed |= message.weighs_prompts
        if message.only_version and message.has_followed:
            question.only_versions.add(message.only_version)
        question.peers.discard(peer)
        if message.origins or not question.peers:
            question.result.set(None)

    @property
    def has_mixed_services(self) -> bool:
        """True while origins are shared."""
        return bool(self._mixed_services)

    def _queue(self, origins: Iterable[StreamOrigin]) -> None:
        self._outbox.extend(origins)
        self._has_outgoing.set()

    def _send_batch(self) -> None:
        self._has_outgoing.wait()
        self._has_outgoing.clear()
        batch, self._outbox = self._outbox, []
        by_peer: dict[str, list[StreamOrigin]] = {}
        for origin in batch:
            for peer in self._list_keepers(origin.key):
                by_peer.setdefault(peer, []).append(origin)
        for peer, origins in by_peer.items():
            self._send_origins(peer, origins)
        gevent.sleep(BATCH_INTERVAL_S)

    def _send_origins(
        self, peer: str, origins: Iterable[StreamOrigin]
    ) -> None:
        now_ms = self._clock.now_ms()
        batch = list(origins)
        for start in range(0, len(batch), MAX_BATCH):
            part = batch[start : start + MAX_BATCH]
            self._send(peer, wire_codec.encode_origins(part, now_ms))
