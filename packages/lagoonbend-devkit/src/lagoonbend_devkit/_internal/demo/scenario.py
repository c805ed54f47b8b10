"""Steps of the demonstration: all kinds of requests, and a killed instance."""

from collections.abc import Iterator
import signal

import gevent
import msgspec

from lagoonbend_devkit._internal.demo.demo_result import DemoResult
from lagoonbend_devkit._internal.fleet.http import Answer
from lagoonbend_devkit._internal.fleet.local_fleet import LocalFleet

CHAT_PATH = '/v1/chat/completions'
BOOKING_PATH = '/bookings'
END_MARKER = b'data: [DONE]\n\n'
MAX_TEXT_CHARACTERS = 44
DRAFT_TOKENS = 150
QUESTION_TOKENS = 8
KILL_DELAY_S = 0.5
"""Time between the start of the draft streams and the kill of an instance."""
QUARANTINE_WAIT_S = 6.0
"""Covers the time after its start during which an instance accepts no bare key
(a key that a caller chose without a ticket)."""


class Scenario:
    """Runs the steps of the demonstration against a fleet.

    :param fleet: fleet that has been started.
    """

    def __init__(self, fleet: LocalFleet) -> None:
        self._fleet = fleet
        self._instance_names = list(fleet.instances)

    def run(self) -> Iterator[DemoResult]:
        """Yield the results of all steps."""
        yield from self._ask_questions()
        yield self._look_up_map()
        yield from self._book_with_ticket()
        gevent.sleep(QUARANTINE_WAIT_S)
        yield from self._book_with_bare_key()
        yield from self._kill_instance_during_drafts()
        yield self._count_executions()

    def _ask_questions(self) -> Iterator[DemoResult]:
        for name in self._instance_names:
            body = _build_chat_body(f'Which way to the kiln? ({name})')
            answer = self._fleet.call(name, 'POST', CHAT_PATH, body=body)
            is_expected = answer.status == 200 and answer.body.endswith(
                END_MARKER
            )
            yield _build_result(
                f'question through {name}', answer, is_expected
            )

    def _look_up_map(self) -> DemoResult:
        answer = self._fleet.call(
            self._instance_names[0], 'GET', '/maps/lakeshore'
        )
        return _build_result('map look-up', answer, answer.status == 200)

    def _book_with_ticket(self) -> Iterator[DemoResult]:
        ticket = self._fleet.request_ticket(self._instance_names[0])
        for name in self._instance_names[:2]:
            answer = self._book(name, b'van at the potter', ticket)
            is_expected = answer.status == 200
            yield _build_result(
                f'booking with ticket through {name}', answer, is_expected
            )

    def _book_with_bare_key(self) -> Iterator[DemoResult]:
        for name in self._instance_names[-2:]:
            answer = self._book(name, b'kiln on Friday', 'booking-77')
            is_expected = answer.status == 200
            description = f'booking with own key through {name}'
            yield _build_result(description, answer, is_expected)

    def _kill_instance_during_drafts(self) -> Iterator[DemoResult]:
        killed_name, other_name = (
            self._instance_names[0],
            self._instance_names[-1],
        )
        ticket = self._fleet.request_ticket(killed_name)
        first_answer = self._book(other_name, b'boat at noon', ticket)
        is_expected = first_answer.status == 200
        yield _build_result(
            f'booking, ticket of {killed_name}', first_answer, is_expected
        )
        body = _build_chat_body('Draft the catalogue', 'drafts', DRAFT_TOKENS)
        drafts = {
            name: gevent.spawn(
                self._fleet.call, name, 'POST', CHAT_PATH, body=body
            )
            for name in (killed_name, other_name)
        }
        gevent.sleep(KILL_DELAY_S)
        self._fleet.processes[killed_name].send(signal.SIGKILL)
        cut_answer = drafts[killed_name].get()
        is_expected = (
            cut_answer.status == 0 and END_MARKER not in cut_answer.body
        )
        yield _build_result(
            f'draft cut by the kill of {killed_name}',
            cut_answer,
            is_expected,
        )
        whole_answer = drafts[other_name].get()
        is_expected = (
            whole_answer.status == 200
            and whole_answer.body.endswith(END_MARKER)
        )
        yield _build_result(
            f'draft through {other_name} meanwhile',
            whole_answer,
            is_expected,
        )
        repeated_answer = self._book(other_name, b'boat at noon', ticket)
        is_expected = (
            repeated_answer.status == 503
            and repeated_answer.verdict == 'may_have_run'
        )
        yield _build_result(
            'the booking again, its home killed',
            repeated_answer,
            is_expected,
        )
        new_ticket = self._fleet.request_ticket(other_name)
        answer = self._book(other_name, b'van at dusk', new_ticket)
        yield _build_result('a fresh booking', answer, answer.status == 200)

    def _count_executions(self) -> DemoResult:
        executions = self._fleet.read_executions()
        bookings = (
            'van at the potter',
            'kiln on Friday',
            'boat at noon',
            'van at dusk',
        )
        counts = {text: executions.count(text) for text in bookings}
        is_expected = set(counts.values()) == {1}
        return DemoResult(
            'executions of each booking', 0, '', str(counts), is_expected
        )

    def _book(self, name: str, body: bytes, key: str) -> Answer:
        return self._fleet.call(name, 'POST', BOOKING_PATH, body=body, key=key)


def _build_chat_body(
    text: str,
    model: str = 'assistant',
    max_tokens: int = QUESTION_TOKENS,
) -> bytes:
    return msgspec.json.encode(
        {
            'model': model,
            'messages': [{'role': 'user', 'content': text}],
            'stream': True,
            'max_tokens': max_tokens,
        }
    )


def _build_result(
    description: str, answer: Answer, is_expected: bool
) -> DemoResult:
    text = answer.body.decode('utf-8', 'replace').replace('\n', ' ')
    if answer.body.startswith(b'data: '):
        events = answer.body.count(b'data: ')
        end = 'with' if answer.body.endswith(END_MARKER) else 'without'
        text = f'{events} events, {end} end marker'
    return DemoResult(
        description,
        answer.status,
        answer.verdict,
        text[:MAX_TEXT_CHARACTERS],
        is_expected,
    )
