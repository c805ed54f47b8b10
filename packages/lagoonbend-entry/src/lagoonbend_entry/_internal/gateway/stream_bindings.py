"""Keeps each resumable stream at one software version."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping

from lagoonbend.facts import ListedTarget
from lagoonbend.facts import VersionBinding
from lagoonbend_entry._internal.gateway.admitted_call import AdmittedCall
from lagoonbend_entry._internal.gateway.call_progress import CallProgress
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.gateway.reply_writer import ReplyWriter
from lagoonbend_entry._internal.gateway.resumed_streams import ResumedStreams
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event

MAX_ENDED_TARGETS = 1_024
"""Ended targets that are remembered; each is listed for a few seconds more."""


class StreamBindings:
    """Binds calls to the version that has begun, or may have read, them.

    A target keeps the prompt of a call that it has read, whether it has
    answered or not. After a loss of all instances that is the only evidence of
    where a stream began. So a resumable stream is sent again only to targets
    of the version that it was sent to, before its first event too. That ends
    with the targets that may have read it, whose memory ends with them.

    :param facts: target list as last read.
    :param resumed_streams: versions of streams and prompts, also of peers.
    """

    def __init__(
        self, facts: FactsCache, resumed_streams: ResumedStreams
    ) -> None:
        self._facts = facts
        self._resumed_streams = resumed_streams
        self._ended: dict[ListedTarget, None] = {}

    def bind(self, progress: CallProgress, *, has_begun: bool) -> None:
        """Bind a call before it is sent.

        :param has_begun: True if the caller has a part of the stream.
        """
        if has_begun:
            if progress.binding is None:
                progress.binding = VersionBinding(progress.version)
        elif keeps_version(progress.call):
            progress.binding = self._find_binding(progress)

    def bind_lost(self, progress: CallProgress) -> None:
        """Bind a call that was lost at a peer, which may have sent it."""
        call = progress.call
        if keeps_version(call) and self._is_mixed(call.service):
            self._resumed_streams.ask_for_prompt(call)
            progress.binding = self._find_binding(progress)

    def record_read(
        self, progress: CallProgress, target: ListedTarget | None
    ) -> None:
        """Record that a target may have read a call without an answer."""
        if target is None or target in progress.readers:
            return
        if keeps_version(progress.call):
            progress.readers.append(target)
            self._resumed_streams.record_prompt(
                progress.call, target.software_version
            )

    def record_begun(self, call: AdmittedCall, version: str | None) -> None:
        """Record the version at which a stream has begun."""
        self._resumed_streams.record(call, version)
        if keeps_version(call) and self._is_mixed(call.service):
            self._resumed_streams.record_prompt(call, version)

    def record_ended(self, target: ListedTarget, unused: object) -> None:
        """Record that a target has ended, with all that it has read."""
        self._ended[target] = None
        if len(self._ended) > MAX_ENDED_TARGETS:
            del self._ended[next(iter(self._ended))]

    def needs_end(self, progress: CallProgress, target: ListedTarget) -> bool:
        """Return True if a call can only go on if its target has ended."""
        call = progress.call
        return (
            keeps_version(call)
            and self._is_mixed(call.service)
            and not self._has_usable(
                call.service,
                target.software_version,
                (*progress.excluded, target.target),
            )
        )

    def unbind(
        self,
        started: ListedTarget,
        active_calls: Mapping[CallProgress, ReplyWriter],
    ) -> None:
        """Forget the version of streams at a target that has started again.

        Its former life has ended with all of its connections. So they are of
        the new one, which has got calls before it was listed.
        """
        for progress, reply in active_calls.items():
            life = progress.life
            if (
                life is None
                or progress.attempt is None
                or not life.is_followed_by(started)
                or life.target != started.target
                or life.software_version == started.software_version
            ):
                continue
            progress.version = None
            log_event(
                Event.STREAM_UNBOUND,
                request=progress.call.headers.attempt,
                service=started.service,
                target=started.target,
                listed_as=life.software_version,
                software=started.software_version,
                has_begun=reply.has_begun,
            )
            if progress.binding is not None:
                progress.binding = VersionBinding(None)
            if progress.attempt.has_answered:
                self._resumed_streams.record(progress.call, None)

    def _find_binding(self, progress: CallProgress) -> VersionBinding | None:
        """Return the version of a stream that has not begun, if it has one.

        Another instance may have sent it, which binds it while targets of that
        version are listed; so may an earlier attempt of the caller, while they
        may be used.
        """
        call = progress.call
        service = call.service
        if not self._is_mixed(service):
            return None
        versions = set(self._list_read_versions(progress)) - {None}
        if versions:
            is_single = len(versions) == 1
            return VersionBinding(versions.pop()) if is_single else None
        directory = self._facts.target_directory
        version = call.bound_version
        if version and version in directory.list_listed_versions(service):
            return VersionBinding(version)
        version = self._resumed_streams.find_prompt(call)
        if version and self._has_usable(service, version, progress.excluded):
            return VersionBinding(version)
        return None

    def _list_read_versions(
        self, progress: CallProgress
    ) -> Iterator[str | None]:
        """Yield the versions of listed targets that may have read a call."""
        readers = [
            reader for reader in progress.readers if reader not in self._ended
        ]
        if not readers:
            return
        names = {reader.target for reader in readers}
        directory = self._facts.target_directory
        for target in directory.list_registered(progress.call.service):
            if target.target in names:
                yield target.software_version

    def _has_usable(
        self, service: str, version: str | None, excluded: Iterable[str]
    ) -> bool:
        """Return True if a target of a version may run a call."""
        names = set(excluded)
        return any(
            target.software_version == version and target.target not in names
            for target in self._facts.target_directory.list_service(service)
        )

    def _is_mixed(self, service: str) -> bool:
        versions = self._facts.target_directory.list_listed_versions(service)
        return len(versions) > 1


def keeps_version(call: AdmittedCall) -> bool:
    """Return True if the prompt of a call may have to show its version."""
    headers = call.headers
    return (
        call.route.is_streaming
        and call.route.is_resumable
        and bool(headers.prompt)
        and not headers.last_event
    )
