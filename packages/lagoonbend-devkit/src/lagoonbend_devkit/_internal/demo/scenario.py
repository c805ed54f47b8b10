"""Requests of every kind, with an instance killed in the midst."""

from collections.abc import Iterator
import signal

import gevent
import msgspec

from lagoonbend_devkit._internal.demo.receipt import Receipt
from lagoonbend_devkit._internal.fleet.http import Answer
from lagoonbend_devkit._internal.fleet.local_fleet import LocalFleet

CHAT_PATH = '/v1/chat/completions'
BOOKING_PATH = '/bookings'
END_MARKER = b'data: [DONE]\n\n'
TEXT_CHARACTERS = 44
DRAFT_TOKENS = 150
QUESTION_TOKENS = 8
DRAFT_LEAD_S = 0.5
QUARANTINE_S = 6.0


class Scenario:
    """The demonstration; each step yields what a caller received.

    :param fleet: a started fleet.
    """

    def __init__(self, fleet: LocalFleet) -> None:
        self._fleet = fleet
        self._names = list(fleet.instances)

    def run(self) -> Iterator[Receipt]:
        """Yield the receipts of all steps."""
        yield from self._ask_questions()
        yield self._look_up_map()
        yield from self._book_with_ticket()
        gevent.sleep(QUARANTINE_S)
        yield from self._book_with_bare_key()
        yield from self._kill_in_the_midst()
        yield self._count_executions()

    def _ask_questions(self) -> Iterator[Receipt]:
        for name in self._names:
            body = _write_chat(f'Which way to the kiln? ({name})')
            answer = self._fleet.call(name, 'POST', CHAT_PATH, body=body)
            kept = answer.status == 200 and answer.body.endswith(END_MARKER)
            yield _write(f'question through {name}', answer, kept)

    def _look_up_map(self) -> Receipt:
        answer = self._fleet.call(self._names[0], 'GET', '/maps/lakeshore')
        return _write('map look-up', answer, answer.status == 200)

    def _book_with_ticket(self) -> Iterator[Receipt]:
        ticket = self._fleet.take_ticket(self._names[0])
        for name in self._names[:2]:
            answer = self._book(name, b'van at the potter', ticket)
            kept = answer.status == 200
            yield _write(f'booking with ticket through {name}', answer, kept)

    def _book_with_bare_key(self) -> Iterator[Receipt]:
        for name in self._names[-2:]:
            answer = self._book(name, b'kiln on Friday', 'booking-77')
            kept = answer.status == 200
            what = f'booking with own key through {name}'
            yield _write(what, answer, kept)

    def _kill_in_the_midst(self) -> Iterator[Receipt]:
        victim, other = self._names[0], self._names[-1]
        ticket = self._fleet.take_ticket(victim)
        first = self._book(other, b'boat at noon', ticket)
        kept = first.status == 200
        yield _write(f'booking, ticket of {victim}', first, kept)
        body = _write_chat('Draft the catalogue', 'drafts', DRAFT_TOKENS)
        drafts = {
            name: gevent.spawn(
                self._fleet.call, name, 'POST', CHAT_PATH, body=body
            )
            for name in (victim, other)
        }
        gevent.sleep(DRAFT_LEAD_S)
        self._fleet.processes[victim].send(signal.SIGKILL)
        lost = drafts[victim].get()
        kept = lost.status == 0 and END_MARKER not in lost.body
        yield _write(f'draft cut by the kill of {victim}', lost, kept)
        whole = drafts[other].get()
        kept = whole.status == 200 and whole.body.endswith(END_MARKER)
        yield _write(f'draft through {other} meanwhile', whole, kept)
        repeat = self._book(other, b'boat at noon', ticket)
        kept = repeat.status == 503 and repeat.verdict == 'may_have_run'
        yield _write('the booking again, its home killed', repeat, kept)
        fresh = self._fleet.take_ticket(other)
        answer = self._book(other, b'van at dusk', fresh)
        yield _write('a fresh booking', answer, answer.status == 200)

    def _count_executions(self) -> Receipt:
        executions = self._fleet.read_executions()
        bookings = (
            'van at the potter',
            'kiln on Friday',
            'boat at noon',
            'van at dusk',
        )
        counts = {text: executions.count(text) for text in bookings}
        kept = set(counts.values()) == {1}
        return Receipt('executions of each booking', 0, '', str(counts), kept)

    def _book(self, name: str, body: bytes, key: str) -> Answer:
        return self._fleet.call(name, 'POST', BOOKING_PATH, body=body, key=key)


def _write_chat(
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


def _write(what: str, answer: Answer, kept: bool) -> Receipt:
    text = answer.body.decode('utf-8', 'replace').replace('\n', ' ')
    if answer.body.startswith(b'data: '):
        events = answer.body.count(b'data: ')
        end = 'with' if answer.body.endswith(END_MARKER) else 'without'
        text = f'{events} events, {end} end marker'
    return Receipt(
        what, answer.status, answer.verdict, text[:TEXT_CHARACTERS], kept
    )
