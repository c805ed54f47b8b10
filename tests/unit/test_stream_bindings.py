"""The version to which a stream is bound before its first event.

Guards against a prompt that targets of two versions have read, so that nobody
can tell after a loss of all instances which of them began the stream.
"""

import types
from typing import Any
import unittest

from lagoonbend.clock import PausedClock
from lagoonbend.facts import ListedTarget
from lagoonbend.facts import StreamOrigin
from lagoonbend.facts import StreamOrigins
from lagoonbend.facts import VersionBinding
from lagoonbend.scheduling import PromptBlock
from lagoonbend_entry._internal.gateway.call_progress import CallProgress
from lagoonbend_entry._internal.gateway.resumed_streams import ResumedStreams
from lagoonbend_entry._internal.gateway.stream_bindings import StreamBindings
from lagoonbend_entry._internal.models import handover_mark

TIMEOUT_MS = 3_000
V1 = VersionBinding('v1')


def build_target(name: str, version: str, born_ms: int = 1) -> ListedTarget:
    """Return a target of the service."""
    return ListedTarget(
        name, 'chat', '10.0.0.1', 80, 'd0', 8, False, version, born_ms
    )


class Origins:
    """Keeps origins, and asks a peer that may know more."""

    def __init__(self, clock: PausedClock) -> None:
        self.known = StreamOrigins(clock)
        self.at_peer: list[StreamOrigin] = []
        self.find = self.known.find

    def record(self, service: str, origin: StreamOrigin) -> None:
        """Record an origin here."""
        self.known.add([origin])

    def ask(self, key: int, service: str) -> None:
        """Receive what the peer knows."""
        self.known.add(o for o in self.at_peer if o.key == key)


class StreamBindingsTest(unittest.TestCase):
    """One instance, and a service of two versions."""

    def setUp(self) -> None:
        """List two targets of v1 and one of v2."""
        self.clock = PausedClock()
        self.targets = [
            build_target('a', 'v1'),
            build_target('b', 'v1'),
            build_target('c', 'v2'),
        ]
        directory = types.SimpleNamespace(
            list_registered=lambda service: self.targets,
            list_service=lambda service: self.targets,
            list_listed_versions=lambda service: {
                target.software_version for target in self.targets
            },
        )
        facts: Any = types.SimpleNamespace(target_directory=directory)
        self.origins = Origins(self.clock)
        origins: Any = self.origins
        self.streams = ResumedStreams(facts, origins)
        self.bindings = StreamBindings(facts, self.streams)

    def build_progress(
        self, *, is_resumable: bool = True, **changes: Any
    ) -> CallProgress:
        """Return a call that has not been sent."""
        headers = types.SimpleNamespace(
            attempt='first',
            prompt=(PromptBlock('bb02', 1_030),),
            last_event='',
            deadline_ms=TIMEOUT_MS,
        )
        call: Any = types.SimpleNamespace(
            headers=headers,
            customer=None,
            service='chat',
            bound_version=None,
            request=types.SimpleNamespace(received_ms=self.clock.now_ms()),
            route=types.SimpleNamespace(
                is_streaming=True, is_resumable=is_resumable
            ),
        )
        vars(call).update(changes)
        sends: Any = None
        return CallProgress(call, sends)

    def bind(self, progress: CallProgress) -> VersionBinding | None:
        """Return the binding of a call that is sent next."""
        self.bindings.bind(progress, has_begun=False)
        return progress.binding

    def test_call_that_may_have_been_read_keeps_its_version(self) -> None:
        """Until then it may run anywhere."""
        progress = self.build_progress()
        self.assertIsNone(self.bind(progress))
        self.bindings.record_read(progress, self.targets[0])
        self.assertEqual(V1, self.bind(progress))
        self.targets.pop(1)
        self.assertEqual(V1, self.bind(progress))

    # Guards against calls that no target may run, since the version of one
    # that is listed isn't known.
    def test_target_of_an_unknown_version_binds_nothing(self) -> None:
        """No stream can go on there, and none counts as begun there."""
        unknown = self.targets[0]._replace(software_version=None)
        self.targets.append(unknown)
        progress = self.build_progress()
        self.assertIsNone(self.bind(progress))
        self.bindings.record_read(progress, unknown)
        self.targets[0] = unknown
        self.assertIsNone(self.bind(progress))

    def test_call_that_was_rejected_may_run_anywhere(self) -> None:
        """The target has promised not to run it."""
        progress = self.build_progress()
        self.bindings.record_read(progress, self.targets[0])
        progress.rule_out_reader(self.targets[0])
        progress.excluded.extend(('a', 'b'))
        self.assertIsNone(self.bind(progress))

    # Guards against calls that nobody may run, since the only target of their
    # version has ended.
    def test_binding_ends_with_the_targets_that_may_have_read(self) -> None:
        """Whether the target is listed no more, or known to have ended."""
        for is_listed in (False, True):
            with self.subTest(is_listed=is_listed):
                self.setUp()
                progress = self.build_progress()
                reader = self.targets[0]
                del self.targets[1]
                self.bindings.record_read(progress, reader)
                self.assertTrue(self.bindings.needs_end(progress, reader))
                progress.excluded.append('a')
                if is_listed:
                    self.bindings.record_ended(reader, None)
                else:
                    self.targets.append(build_target('d', 'v3'))
                    self.targets.remove(reader)
                self.assertIsNone(self.bind(progress))

    def test_other_calls_are_not_bound(self) -> None:
        """A stream that can't be taken up, and one without a prompt."""
        no_prompt = self.build_progress()
        headers: Any = no_prompt.call.headers
        headers.prompt = ()
        for progress in (self.build_progress(is_resumable=False), no_prompt):
            self.bindings.record_read(progress, self.targets[0])
            self.assertIsNone(self.bind(progress))

    # Guards against a caller that sends its prompt again as a new attempt,
    # which begins at another version.
    def test_prompt_binds_later_attempts_of_its_customer(self) -> None:
        """While the version can run it, and until the first one's deadline."""
        self.bindings.record_read(self.build_progress(), self.targets[0])
        progress = self.build_progress()
        self.assertEqual(V1, self.bind(progress))
        other: Any = types.SimpleNamespace(name='other')
        self.assertIsNone(self.bind(self.build_progress(customer=other)))
        progress.excluded.extend(('a', 'b'))
        self.assertIsNone(self.bind(progress))
        self.clock.advance(2 * TIMEOUT_MS)
        self.assertIsNone(self.bind(self.build_progress()))

    # Guards against a call that a peer has sent before it was lost there, and
    # that begins at another version here.
    def test_call_lost_at_a_peer_keeps_the_version_of_the_peer(self) -> None:
        """The peers that keep origins are asked."""
        progress = self.build_progress()
        self.streams.record_prompt(progress.call, 'v2')
        self.origins.at_peer = list(self.origins.known.list_live())
        self.forget_memory()
        self.bindings.bind_lost(progress)
        self.assertIsNone(progress.binding)
        self.origins.at_peer = self.told
        self.bindings.bind_lost(progress)
        self.assertEqual(VersionBinding('v2'), progress.binding)

    def forget_memory(self) -> None:
        """Forget what is known here; keep what the peer would tell."""
        self.told = self.origins.at_peer
        self.origins.at_peer = []
        self.origins.known = StreamOrigins(self.clock)
        self.origins.find = self.origins.known.find

    def test_call_of_a_peer_keeps_the_version_that_it_names(self) -> None:
        """Unless no target of it is listed any more."""
        progress = self.build_progress(bound_version='v2')
        self.assertEqual(VersionBinding('v2'), self.bind(progress))
        progress.excluded.append('c')
        self.assertEqual(VersionBinding('v2'), self.bind(progress))
        progress = self.build_progress(bound_version='v0')
        self.assertIsNone(self.bind(progress))

    def test_bound_version_passes_between_instances(self) -> None:
        """That of the sender counts, not one that a caller sends."""
        sent = [('X', '1'), ('Lagoonbend-Bound-Version', 'forged')]
        for version in ('v 1.0', None):
            headers = dict(handover_mark.mark_bound_version(sent, version))
            self.assertEqual(
                version, handover_mark.find_bound_version(headers)
            )
            self.assertEqual('1', headers['X'])


if __name__ == '__main__':
    unittest.main()
