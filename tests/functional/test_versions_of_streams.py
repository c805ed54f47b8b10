"""Streams of a service whose targets run two versions of their software.

Guards against a stream that holds events of two versions, in one answer or
over the tries of its caller.
"""

import signal
import time
from typing import Any
import unittest
from unittest import mock

import gevent
import gevent.socket

from lagoonbend_devkit._internal.gateway import gateway_fleet
from tests.functional.test_gateway_answers import call
from tests.functional.test_gateway_lifecycle import open_stream
from tests.functional.test_gateway_lifecycle import REQUEST_HEAD

CHANGE_SPREAD_S = 1.0
ENGINES = {
    'chat-0': 'v1',
    'chat-1': 'v2',
    'chat-2': 'v2',
    'chat-3': 'v2',
    'chat-4': 'v1',
}
"""Engines and their versions, where there are two of each."""
REFUSED_AT_ONCE_S = 0.5
LONG_TIMEOUT_MS = 30_000
LEARN_TIMEOUT_S = 10.0
"""Time for an instance that stood still to read the list again."""
SILENCE_S = 3.0
"""Time in which a call of a silent engine is sent to another one."""
PROMPT = 'aa01:60,bb02:1030'
"""Blocks of the prompt of a stream; the last one is its own."""
WRITTEN_TOKENS = 1_104
"""Tokens of the last block that an engine keeps after a complete answer."""


class VersionsOfStreamsTest(unittest.TestCase):
    """Three instances, whose engines run the versions v1 and v2."""

    def setUp(self) -> None:
        """Start a fleet without engines."""
        self.fleet = gateway_fleet.GatewayFleet(3, engine_count=0)
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__, None, None, None)

    def add_engines(self, *versions: str) -> None:
        """Start an engine of each version."""
        for number, version in enumerate(versions):
            self.fleet.add_target(f'chat-{number}', 'chat', version)
        gevent.sleep(CHANGE_SPREAD_S)

    def begin_stream(self, instance: int = 0) -> str:
        """Let a caller receive the first event; return the target's name."""
        prompt = f'Prefix-Hash: {PROMPT}\r\n'.encode()
        sock = open_stream(self.fleet, instance, prompt)
        self.addCleanup(sock.close)
        received = b''
        while b'piece 1' not in received:
            received += sock.recv(4_096)
        return next(r.target for r in self.fleet.runs if r.attempt == 'first')

    def drain(self, name: str) -> None:
        """Let a target drain, so that its streams go on elsewhere."""
        self.fleet.register_target(name, 'chat', 'draining', ENGINES[name])
        gevent.sleep(CHANGE_SPREAD_S)

    def take_up(
        self, instance: int, resumes: str = 'first', prompt: str = PROMPT
    ) -> tuple[int, list[str]]:
        """Take the stream up after its first event.

        Returns the status of the answer and the targets that ran the call.

        :param prompt: blocks of the call's prompt.
        """
        attempt, answer = call(
            self.fleet,
            'stream',
            instance=instance,
            Last_Event_Id='1',
            Resumes=resumes,
            Prefix_Hash=prompt,
        )
        runs = [r.target for r in self.fleet.runs if r.attempt == attempt]
        return answer.status, runs

    # Guards against an answer that another version goes on with after the
    # first target has failed.
    def test_answer_is_not_continued_by_another_version(self) -> None:
        """It ends without its end, since no target of the version is left."""
        self.add_engines('v1', 'v2')
        for name in ('chat-0', 'chat-1'):
            attempt, answer = call(
                self.fleet, 'stream', X_Fault=f'cut-stream@{name}'
            )
            runs = [r.target for r in self.fleet.runs if r.attempt == attempt]
            self.assertEqual(1, len(runs))
            self.assertEqual(200 if runs != [name] else 0, answer.status)

    # Guards against a broken answer while its version could go on.
    def test_answer_is_continued_by_its_own_version(self) -> None:
        """The other target of the version goes on, whichever began."""
        self.add_engines(*ENGINES.values())
        for name in ENGINES:
            for _ in range(4):
                attempt, answer = call(
                    self.fleet, 'stream', X_Fault=f'cut-stream@{name}'
                )
                self.assertEqual(200, answer.status)
                runs = [
                    ENGINES[r.target]
                    for r in self.fleet.runs
                    if r.attempt == attempt
                ]
                self.assertEqual(1, len(set(runs)), runs)

    # Guards against a stream that a caller takes up at another instance and
    # that another version goes on with.
    def test_stream_taken_up_elsewhere_keeps_its_version(self) -> None:
        """Each instance sends it to a target of the version that began it."""
        self.add_engines(*ENGINES.values())
        name = self.begin_stream()
        self.drain(name)
        began = ENGINES[name]
        for instance in (1, 2, 0, 1, 2, 0):
            status, runs = self.take_up(instance)
            self.assertEqual(200, status)
            self.assertEqual([began], [ENGINES[name] for name in runs])

    # Guards against a version that is forgotten with the instance at which
    # the stream began, which is why its caller takes it up elsewhere.
    def test_version_is_known_after_its_instance_was_killed(self) -> None:
        """The instances that are left know it."""
        self.add_engines(*ENGINES.values())
        for killed in (0, 1):
            del self.fleet.runs[:]
            name = self.begin_stream(killed)
            began = ENGINES[name]
            self.fleet.processes[killed].kill()
            self.drain(name)
            for _ in range(3):
                status, runs = self.take_up(2)
                self.assertEqual(200, status)
                self.assertEqual([began], [ENGINES[name] for name in runs])
            self.fleet.register_target(name, 'chat', version=began)
            self.fleet.start_instance(killed)
            self.fleet.wait_ready(killed)

    # Guards against a stream that began before its service had a second
    # version, of which nobody was told then.
    def test_version_is_known_of_streams_before_a_release(self) -> None:
        """The instance tells the others once a second version is listed."""
        self.add_engines('v1', 'v1')
        name = self.begin_stream()
        for number in (2, 3, 4):
            self.fleet.add_target(f'a-chat-{number}', 'chat', 'v2')
        self.fleet.register_target(name, 'chat', 'draining')
        gevent.sleep(CHANGE_SPREAD_S)
        self.fleet.processes[0].kill()
        # More than one target runs at once.
        calls = [gevent.spawn(self.take_up, 1) for _ in range(5)]
        for greenlet in calls:
            status, runs = greenlet.get()
            self.assertEqual(200, status)
            self.assertIn(runs, (['chat-0'], ['chat-1']))

    # Guards against a guess at the version of a stream.
    def test_unknown_stream_is_refused_while_two_versions_serve(self) -> None:
        """It is refused at once, and taken up while one version serves.

        That is known once instances have run for as long as a stream.
        """
        self.add_engines('v1')
        self.assertEqual((503, []), self.take_up(0, 'nobody'))
        gevent.sleep(gateway_fleet.ROUTE_TIMEOUT_MS / 1000)
        status, runs = self.take_up(0, 'nobody')
        self.assertEqual((200, ['chat-0']), (status, runs))
        self.fleet.add_target('chat-1', 'chat', 'v2')
        gevent.sleep(CHANGE_SPREAD_S)
        for resumes in ('nobody-else', ''):
            start_s = time.monotonic()
            answer = self.take_up(0, resumes, 'aa01:60,cc03:1030')
            self.assertEqual((503, []), answer)
            self.assertLess(time.monotonic() - start_s, REFUSED_AT_ONCE_S)

    # Guards against a wait for targets of a version that is gone.
    def test_stream_of_a_version_that_is_gone_is_refused_at_once(self) -> None:
        """Draining targets of the version don't take it up either."""
        self.add_engines('v1', 'v2')
        name = self.begin_stream()
        self.drain(name)
        start_s = time.monotonic()
        self.assertEqual((503, []), self.take_up(1))
        self.assertLess(time.monotonic() - start_s, REFUSED_AT_ONCE_S)

    def replace_engine(self) -> None:
        """Let a stream begin at v1, whose only engine v2 then replaces.

        It may last for longer than the test, also on a busy machine: later on,
        the version that is left would be the only one of its time.
        """
        self.fleet.publish_configuration(timeout_ms=LONG_TIMEOUT_MS)
        self.add_engines('v1')
        self.begin_stream()
        target = self.fleet.add_target('chat-1', 'chat', 'v2')
        self.fleet.register_endpoint(
            'chat-1',
            'chat',
            target.endpoint,
            version='v2',
            born_ms=time.time_ns() // 1_000_000,
        )
        gevent.sleep(CHANGE_SPREAD_S)
        self.fleet.store.delete('servers/chat-0')
        gevent.sleep(CHANGE_SPREAD_S)

    def restart(self, instance: int) -> None:
        """Kill an instance and start it again."""
        self.fleet.processes[instance].kill()
        self.fleet.start_instance(instance)

    # Guards against an instance that starts after a release and takes the
    # version that is left for the only one there was.
    def test_restarted_instance_asks_for_versions_before_its_start(
        self,
    ) -> None:
        """The others know the version, of which no engine is left."""
        self.replace_engine()
        self.fleet.processes[0].kill()
        self.restart(1)
        self.fleet.wait_ready(1)
        gevent.sleep(CHANGE_SPREAD_S)
        for instance in (1, 2):
            self.assertEqual((503, []), self.take_up(instance))

    # Guards against the same guess where no instance remembers the stream.
    def test_restarted_fleet_does_not_guess_versions(self) -> None:
        """An engine has started within the time of the stream."""
        self.replace_engine()
        for instance in range(3):
            self.restart(instance)
        self.fleet.wait_ready(1)
        self.assertEqual((503, []), self.take_up(1))

    def restart_all(self) -> None:
        """Kill all instances, and start them again without their memory."""
        for process in self.fleet.processes:
            process.kill()
        for instance in range(3):
            self.fleet.start_instance(instance)
        for instance in range(3):
            self.fleet.wait_ready(instance)

    # Guards against streams that are refused after a restart of all although
    # engines of their version serve, whose memory shows what they have read.
    def test_restarted_fleet_takes_up_streams_of_two_versions(self) -> None:
        """Each instance finds the version whose engine read the prompt."""
        self.add_engines(*ENGINES.values())
        name = self.begin_stream()
        self.restart_all()
        for instance in (0, 1, 2, 0):
            status, runs = self.take_up(instance)
            self.assertEqual(200, status)
            self.assertEqual([ENGINES[name]], [ENGINES[run] for run in runs])

    # Guards against the same where engines don't state when they started.
    def test_lists_without_a_start_show_the_version(self) -> None:
        """Each instance finds it, as before."""
        self.add_engines(*ENGINES.values())
        for target in self.fleet.targets.values():
            target.states_born = False
        name = self.begin_stream()
        self.restart_all()
        for instance in range(3):
            status, runs = self.take_up(instance)
            self.assertEqual(200, status)
            self.assertEqual([ENGINES[name]], [ENGINES[run] for run in runs])

    # Guards against a stream that is taken up at the wrong version since an
    # attempt before its first event ran at another one.
    def test_prompt_that_two_versions_have_read_tells_nothing(self) -> None:
        """The call is refused, as if no engine kept the prompt."""
        self.add_engines(*ENGINES.values())
        began = ENGINES[self.begin_stream()]
        other = next(n for n, version in ENGINES.items() if version != began)
        self.fleet.targets[other].kept_blocks['bb02'] = 1024
        self.restart_all()
        self.assertEqual((503, []), self.take_up(1))

    def open_at_silent_engine(self) -> gevent.socket.socket:
        """Send a stream to an engine of v1 that doesn't answer.

        It is the only one of v1; two of v2 start after that.
        """
        self.fleet.publish_configuration(timeout_ms=LONG_TIMEOUT_MS)
        self.add_engines('v1')
        headers = f'Prefix-Hash: {PROMPT}\r\nX-Fault: silent@chat-0\r\n'
        sock = gevent.socket.create_connection(
            ('127.0.0.1', self.fleet.callers_port(0))
        )
        self.addCleanup(sock.close)
        sock.sendall(REQUEST_HEAD % (b'stream', b'first', headers.encode()))
        for name in ('chat-1', 'chat-2'):
            self.fleet.add_target(name, 'chat', 'v2')
        gevent.sleep(SILENCE_S)
        return sock

    def list_runs(self, attempt: str) -> list[str]:
        """Return the engines that have run an attempt."""
        return [r.target for r in self.fleet.runs if r.attempt == attempt]

    def read_first_event(self, sock: gevent.socket.socket) -> None:
        """Read until the first event has arrived."""
        received = b''
        with gevent.Timeout(LEARN_TIMEOUT_S):
            while b'piece 1' not in received:
                data = sock.recv(4_096)
                self.assertTrue(data, received)
                received += data

    def remove_engines(self, *names: str) -> None:
        """Remove the entries of engines, and stop them."""
        for name in names:
            self.fleet.store.delete(f'servers/{name}')
            self.fleet.targets[name].stop()

    # Guards against a stream that begins at one version while another one has
    # read its prompt, and goes on there once the first one has left.
    def test_stream_of_a_silent_engine_keeps_its_version(self) -> None:
        """It is sent to another engine of v1 only, and goes on at v1."""
        sock = self.open_at_silent_engine()
        self.assertEqual(['chat-0'], self.list_runs('first'))
        self.fleet.add_target('chat-4', 'chat', 'v1')
        self.read_first_event(sock)
        self.assertEqual(['chat-0', 'chat-4'], self.list_runs('first'))
        self.fleet.targets['chat-0'].kept_blocks['bb02'] = WRITTEN_TOKENS
        for process in self.fleet.processes:
            process.kill()
        self.remove_engines('chat-1', 'chat-2')
        self.restart_all()
        for instance in range(3):
            status, runs = self.take_up(instance)
            self.assertEqual(200, status)
            self.assertEqual(['v1'], [ENGINES[run] for run in runs])

    # Guards against the same by a caller that gives up and sends the prompt
    # again, as a new attempt at another instance.
    def test_prompt_sent_again_by_its_caller_keeps_its_version(self) -> None:
        """Each new attempt runs at v1, although v2 has more engines."""
        self.open_at_silent_engine().close()
        gevent.sleep(CHANGE_SPREAD_S / 2)
        for instance in (1, 2, 0, 1, 2, 0):
            attempt, answer = call(
                self.fleet, 'stream', instance=instance, Prefix_Hash=PROMPT
            )
            self.assertEqual(200, answer.status)
            self.assertEqual(['chat-0'], self.list_runs(attempt))

    # Guards against a call that is lost with the only engine of its version.
    def test_stream_of_an_engine_that_has_ended_begins_elsewhere(self) -> None:
        """What the engine has read has ended with it."""
        sock = self.open_at_silent_engine()
        self.fleet.targets['chat-0'].stop()
        self.read_first_event(sock)
        first, second = self.list_runs('first')
        self.assertEqual('chat-0', first)
        self.assertEqual('v2', ENGINES[second])

    # Guards against an answer that reached nobody, of a version that counts
    # although another one has begun the stream.
    def test_complete_answer_elsewhere_is_not_the_stream(self) -> None:
        """Both serve; one has completed an answer that nobody received."""
        self.add_engines(*ENGINES.values())
        began = self.begin_stream()
        self.restart_all()
        other = next(n for n in ENGINES if ENGINES[n] != ENGINES[began])
        self.fleet.targets[other].kept_blocks['bb02'] = WRITTEN_TOKENS
        self.fleet.targets[began].kept_blocks['bb02'] = 1_024
        for instance in range(3):
            self.assertEqual((503, []), self.take_up(instance))

    # Guards against a new life of an engine, or another engine at its address,
    # that answers for the former one which prompts that has read.
    def test_engine_at_the_address_of_another_does_not_answer_for_it(
        self,
    ) -> None:
        """An engine of v2 keeps a prompt at the address of one of v1."""
        self.add_engines('v2', 'v2')
        self.begin_stream()
        for name in ('chat-0', 'chat-1'):
            self.fleet.targets[name].kept_blocks.clear()
        self.fleet.targets['chat-1'].kept_blocks['bb02'] = 1_024
        self.fleet.register_endpoint(
            'chat-4',
            'chat',
            self.fleet.targets['chat-1'].endpoint,
            version='v1',
            born_ms=gateway_fleet.FIRST_BORN_MS - 1,
        )
        self.restart_all()
        for instance in range(3):
            status, runs = self.take_up(instance)
            self.assertEqual(200, status)
            self.assertIn(runs, (['chat-0'], ['chat-1']))

    def serve_two_services(self) -> None:
        """Start an engine of v1, and one of v2 in another service."""
        self.fleet.add_target('desk-9', 'desk', 'v2')
        self.add_engines('v1')
        for name in list(self.fleet.targets):
            if name.startswith('desk') and name != 'desk-9':
                self.fleet.remove_target(name)
        gevent.sleep(gateway_fleet.ROUTE_TIMEOUT_MS / 1000 + CHANGE_SPREAD_S)

    def publish_route(self, change: dict[str, object]) -> None:
        """Change the route of the streams."""
        build_route = gateway_fleet._build_route

        def build(name: str, *others: Any) -> dict[str, object]:
            route = build_route(name, *others)
            return route | change if name == 'stream' else route

        with mock.patch.object(gateway_fleet, '_build_route', build):
            self.fleet.publish_configuration()
        gevent.sleep(CHANGE_SPREAD_S)

    # Guards against a stream of a divided route that another service goes on
    # with than the one that began it.
    def test_stream_of_a_divided_route_keeps_its_version(self) -> None:
        """The stream goes on at the service that began it, or is refused."""
        self.serve_two_services()
        shares = [
            {'service': name, 'weight': 0.5} for name in ('chat', 'desk')
        ]
        self.publish_route({'weighted-services': shares})
        began = self.begin_stream()
        for _ in range(16):
            status, runs = self.take_up(0)
            self.assertIn((status, runs), ((503, []), (200, [began])))

    # Guards against streams that are refused after a loss of all since an
    # engine of another version is silent, or answers late.
    def test_silent_engine_is_not_waited_for_beside_a_reader(self) -> None:
        """The stream was sent to one version only, which is the reader's."""
        self.add_engines(*ENGINES.values())
        name = self.begin_stream()
        for other, version in ENGINES.items():
            if version != ENGINES[name]:
                self.fleet.targets[other].lists_blocks = False
        self.restart_all()
        for instance in range(3):
            status, runs = self.take_up(instance)
            self.assertEqual(200, status)
            self.assertEqual([ENGINES[name]], [ENGINES[run] for run in runs])

    # Guards against a caller that waits in vain for the engine that began its
    # stream and can't be asked.
    def test_silent_engine_may_have_begun_the_stream(self) -> None:
        """The call is refused at once while no other one has read it."""
        self.add_engines(*ENGINES.values())
        name = self.begin_stream()
        self.fleet.targets[name].lists_blocks = False
        self.restart_all()
        start_s = time.monotonic()
        self.assertEqual((503, []), self.take_up(1))
        self.assertLess(time.monotonic() - start_s, REFUSED_AT_ONCE_S)

    # Guards against streams that are refused after a loss of all since a
    # target of another service has left, listed before the store's history.
    def test_target_of_another_service_that_has_left_does_not_count(
        self,
    ) -> None:
        """Nobody can tell of which service it was."""
        self.add_engines(*ENGINES.values())
        name = self.begin_stream()
        self.fleet.store.drop_history()
        self.fleet.remove_target('desk-0')
        self.restart_all()
        for instance in range(3):
            status, runs = self.take_up(instance)
            self.assertEqual(200, status)
            self.assertEqual([ENGINES[name]], [ENGINES[run] for run in runs])

    # Guards against a shorter prompt of the same session that is taken for
    # the one of the stream.
    def test_shorter_prompt_of_the_session_tells_nothing(self) -> None:
        """The block is the session's, and the engine has read less of it."""
        self.add_engines(*ENGINES.values())
        name = self.begin_stream()
        self.restart_all()
        self.fleet.targets[name].kept_blocks['bb02'] = 512
        self.assertEqual((503, []), self.take_up(1))

    # Guards against a guess at the version where its engines left without a
    # later start of the others.
    def test_restarted_fleet_knows_no_version_that_has_left(self) -> None:
        """Both served side by side; the entry of the older one is removed."""
        self.add_engines('v1')
        self.begin_stream()
        self.fleet.add_target('chat-1', 'chat', 'v2')
        gevent.sleep(CHANGE_SPREAD_S)
        self.fleet.store.delete('servers/chat-0')
        gevent.sleep(CHANGE_SPREAD_S)
        self.restart_all()
        for instance in range(3):
            self.assertEqual((503, []), self.take_up(instance))

    # Guards against a stream that goes on at another version of its engine,
    # which has started again under its identity.
    def test_engine_that_starts_again_as_another_version(self) -> None:
        """Once its entry says so, its streams are refused."""
        self.fleet.publish_configuration(timeout_ms=LONG_TIMEOUT_MS)
        self.add_engines('v1')
        self.begin_stream()
        self.fleet.targets['chat-0'].stop()
        self.fleet.add_target('chat-0', 'chat', 'v2')
        gevent.sleep(CHANGE_SPREAD_S)
        for instance in range(3):
            self.assertEqual((503, []), self.take_up(instance))
        self.restart_all()
        for instance in range(3):
            self.assertEqual((503, []), self.take_up(instance))

    # Guards against a stream that goes on at the version with which its target
    # was listed, while the target had started again at another one.
    def test_stream_of_a_target_that_is_listed_late_is_not_continued(
        self,
    ) -> None:
        """Neither in the same answer nor when it is taken up."""
        self.fleet.publish_configuration(timeout_ms=LONG_TIMEOUT_MS)
        self.add_engines('v1')
        self.fleet.targets['chat-0'].version = 'v2'
        sock = open_stream(
            self.fleet, 0, f'Prefix-Hash: {PROMPT}\r\n'.encode()
        )
        self.addCleanup(sock.close)
        received = b''
        while b'piece 1' not in received:
            received += sock.recv(4_096)
        self.assertIn(b'v2', received)
        self.fleet.register_target(
            'chat-0',
            'chat',
            version='v2',
            born_ms=time.time_ns() // 1_000_000,
        )
        self.fleet.add_target('chat-1', 'chat', 'v1')
        gevent.sleep(CHANGE_SPREAD_S / 2)
        self.fleet.store.delete('servers/chat-0')
        self.fleet.targets['chat-0'].stop()
        while data := sock.recv(4_096):
            received += data
        self.assertNotIn(b'v1', received)
        self.assertFalse(received.endswith(b'0\r\n\r\n'))
        for instance in range(3):
            self.assertEqual((503, []), self.take_up(instance))

    # Guards against an instance that stood still during a release and takes
    # the version that it finds for the one that began a stream.
    def test_instance_that_stood_still_does_not_guess(self) -> None:
        """It is the only one left, and is asked as soon as it goes on.

        The engine of v1 runs, and is listed there until the list is read.
        """
        self.fleet.publish_configuration(timeout_ms=LONG_TIMEOUT_MS)
        self.add_engines('v1')
        self.begin_stream()
        self.fleet.processes[2].send(signal.SIGSTOP)
        self.fleet.add_target('chat-1', 'chat', 'v2')
        gevent.sleep(CHANGE_SPREAD_S)
        self.fleet.store.delete('servers/chat-0')
        gevent.sleep(CHANGE_SPREAD_S)
        for instance in (0, 1):
            self.fleet.processes[instance].kill()
        self.fleet.processes[2].send(signal.SIGCONT)
        answers: list[tuple[int, list[str]]] = []
        with gevent.Timeout(LEARN_TIMEOUT_S):
            while not answers or answers[-1] != (503, []):
                answers.append(self.take_up(2))
                gevent.sleep(CHANGE_SPREAD_S / 10)
        for status, runs in answers[:-1]:
            self.assertEqual((200, ['chat-0']), (status, runs))

    # Guards against streams that are refused after a restart of all although
    # their service has had one version only.
    def test_restarted_fleet_takes_up_streams_of_one_version(self) -> None:
        """An engine has read the prompt."""
        self.add_engines('v1', 'v1')
        self.begin_stream()
        for instance in range(3):
            self.restart(instance)
        self.fleet.wait_ready(1)
        self.assertEqual(200, self.take_up(1)[0])


if __name__ == '__main__':
    unittest.main()
