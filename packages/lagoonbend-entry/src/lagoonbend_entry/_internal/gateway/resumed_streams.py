"""Versions of the streams that callers may take up again."""

from collections.abc import Iterator

from lagoonbend.facts import compute_origin_key
from lagoonbend.facts import compute_prompt_key
from lagoonbend.facts import OriginSource
from lagoonbend.facts import StreamOrigin
from lagoonbend.facts import VersionBinding
from lagoonbend_entry._internal.coordination import origin_exchange
from lagoonbend_entry._internal.gateway.admitted_call import AdmittedCall
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event

ORIGIN_GRACE_MS = 1_000
"""Time by which the origin of a stream is kept longer than its caller may
take the stream up, for clocks and delays."""
MAX_ORIGIN_MS = 60_000
"""Bound on the time for which an origin is kept; callers set their deadlines
themselves, at 15 s at most in the users' deployments."""


class ResumedStreams:
    """Finds and records which software version began a stream.

    :param facts: configuration and target list as last read.
    :param origins: origins of streams, here and at peers.
    """

    def __init__(
        self, facts: FactsCache, origins: origin_exchange.OriginExchange
    ) -> None:
        self._facts = facts
        self._origins = origins

    def find(self, call: AdmittedCall) -> VersionBinding | None:
        """Return the version of the stream that a caller takes up.

        While a service has one version, that one began the stream. The store
        must confirm that, as this instance may be out of step. Otherwise the
        version must be known, here or at a peer, or targets of one version
        alone must have read the prompt.

        :returns: None if it isn't known.
        """
        key = self._compute_origin_key(call)
        evidence, version = next(self._list_evidence(call, key), ('', None))
        service = call.service
        log_event(
            Event.STREAM_BOUND,
            request=call.headers.attempt,
            continues=call.headers.continued_attempt,
            last_event=call.headers.last_event,
            service=service,
            block=call.headers.prompt[-1].block_id
            if call.headers.prompt
            else '',
            evidence=evidence,
            software=version,
            versions=sorted(map(str, self._facts.list_versions(service))),
            knows_versions=self._facts.knows_versions(),
            fact_age_ms=self._facts.age_ms(),
        )
        return None if version is None else VersionBinding(version)

    def _list_evidence(
        self, call: AdmittedCall, key: int | None
    ) -> Iterator[tuple[str, str]]:
        """Yield what shows the version of a stream, and that version."""
        service = call.service
        origin = self._origins.find(key) if key is not None else None
        if origin is not None:
            yield 'known_origin', origin.version
        is_current = (
            len(self._facts.list_versions(service)) == 1
            and self._facts.confirm()
        )
        version = self._facts.find_only_version(service)
        if is_current and version:
            yield 'only_version', version
        if key is None:
            return
        answer = self._origins.ask(key, service)
        if answer.origin is not None:
            yield 'origin_at_peer', answer.origin.version
        # A peer that has run for longer may know what this instance doesn't.
        is_agreed = (
            is_current
            and self._facts.list_versions(service) == answer.only_versions
        )
        if len(answer.only_versions) == 1 and is_agreed:
            yield 'only_version_at_peer', next(iter(answer.only_versions))
        if call.headers.prompt:
            block = call.headers.prompt[-1]
            origin = self._origins.search(key, service, block)
            if origin is not None:
                yield 'prompt', origin.version

    def record(self, call: AdmittedCall, version: str | None) -> None:
        """Record the version of a stream that its caller may take up.

        An attempt that was sent may begin nothing, so that is done with the
        first event, before the caller gets it. A stream that is taken up has
        begun before, maybe at another version.
        """
        key = self._compute_origin_key(call)
        is_resumable = call.route.is_streaming and call.route.is_resumable
        if key is not None and is_resumable:
            self._record(call, key, version, _get_source(call))

    def record_prompt(self, call: AdmittedCall, version: str | None) -> None:
        """Record that targets of a version may have read a call's prompt.

        It may be sent again under another attempt, at any instance.
        """
        if version is not None:
            key = self._compute_prompt_key(call)
            self._record(call, key, version, OriginSource.BEGUN)

    def find_prompt(self, call: AdmittedCall) -> str | None:
        """Return the version that may have read a call's prompt.

        :returns: None if it isn't known here, or if there are several.
        """
        origin = self._origins.find(self._compute_prompt_key(call))
        return None if origin is None else origin.version

    def ask_for_prompt(self, call: AdmittedCall) -> None:
        """Ask the peers which version may have read a call's prompt."""
        key = self._compute_prompt_key(call)
        if self._origins.find(key) is None:
            self._origins.ask(key, call.service)

    def _record(
        self,
        call: AdmittedCall,
        key: int,
        version: str | None,
        source: OriginSource,
    ) -> None:
        wait_ms = min(
            call.headers.deadline_ms or call.route.timeout_ms, MAX_ORIGIN_MS
        )
        expires_ms = call.request.received_ms + wait_ms + ORIGIN_GRACE_MS
        self._origins.record(
            call.service, StreamOrigin(key, version or '', expires_ms, source)
        )

    @staticmethod
    def _compute_prompt_key(call: AdmittedCall) -> int:
        customer = call.customer.name if call.customer else ''
        block_id = call.headers.prompt[-1].block_id
        return compute_prompt_key(customer, call.service, block_id)

    @staticmethod
    def _compute_origin_key(call: AdmittedCall) -> int | None:
        """Return the key of the stream that a call begins or continues.

        :returns: None if the caller doesn't name the attempt.
        """
        attempt = call.headers.attempt
        if call.headers.last_event:
            attempt = call.headers.continued_attempt
        if not attempt:
            return None
        customer = call.customer.name if call.customer else ''
        return compute_origin_key(customer, call.service, attempt)


def _get_source(call: AdmittedCall) -> OriginSource:
    """Return how this instance knows the version of a call's stream."""
    if call.headers.last_event:
        return OriginSource.INFERRED
    if call.is_handed_over:
        return OriginSource.BEGUN_FOR_PEER
    return OriginSource.BEGUN
