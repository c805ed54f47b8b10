"""Answers whose target stops within the head, or within a body.

Guards against a 200 with an empty or short body that looks complete to its
caller: the head is cut at each byte, with each framing, by a close or a reset,
on a new connection and on one that has brought an answer before.
"""

import socket
import struct
from typing import NamedTuple
import unittest
from unittest import mock

import gevent.socket

from lagoonbend.exceptions import NetworkError
from lagoonbend.outcomes import SendRecord
from lagoonbend_entry._internal.gateway import target_connection
from lagoonbend_entry._internal.gateway.answer import Answer
from lagoonbend_entry._internal.gateway.answer_parser import AnswerParser
from lagoonbend_entry.testing import IncomingRequest
from tests.unit import test_errors_amid_a_call

RESET = struct.pack('ii', 1, 0)
READ_MS = 500
EARLIER = (
    b'HTTP/1.1 200 OK\r\nAttempt-Id: a0\r\nServer-Stamp: s\r\n'
    b'Content-Length: 2\r\n\r\nok'
)
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
START = b'HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\n'


class Form(NamedTuple):
    """A whole answer, and where its body begins.

    ``ends_at_close`` is True if nothing but the end of the connection marks
    the end of the body.
    """

    name: str
    head: bytes
    body: bytes
    ends_at_close: bool = False


FORMS = (
    Form('length', START + b'Content-Length: 4\r\n\r\n', b'body'),
    Form('length first', START + b'Content-Length: 0\r\nX: y\r\n\r\n', b''),
    Form(
        'chunks',
        START + b'Transfer-Encoding: chunked\r\n\r\n',
        b'4\r\nbody\r\n0\r\n\r\n',
    ),
    Form(
        'trailers',
        START + b'Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\n',
        b'4\r\nbody\r\n0\r\nX: y\r\nZ: y\r\n\r\n',
    ),
    Form(
        'folded', START + b'X: y\r\n z\r\nContent-Length: 4\r\n\r\n', b'body'
    ),
    Form(
        'repeated',
        START + b'X: y\r\nX: y\r\nContent-Length: 4\r\n\r\n',
        b'body',
    ),
    Form(
        'stream', START + b'Content-Type: text/event-stream\r\n\r\n', b'', True
    ),
    Form('no length', START + b'X: y\r\n\r\n', b'body', True),
    Form(
        'after an interim answer',
        b'HTTP/1.1 100 Continue\r\n\r\n'
        + START
        + b'Content-Length: 0\r\n\r\n',
        b'',
    ),
)


class CutHeadsTest(unittest.TestCase):
    """Each answer is cut at each of its bytes."""

    def list_cuts(self) -> list[tuple[Form, int, bool]]:
        """Return forms and lengths, and True if an answer came before."""
        return [
            (form, length, is_kept)
            for form in FORMS
            for length in range(len(form.head) + len(form.body))
            for is_kept in (False, True)
        ]

    def may_look_complete(self, form: Form, length: int) -> bool:
        """Return True if a closed connection is the end of the answer."""
        return form.ends_at_close and length >= len(form.head)

    def test_cut_answers_are_incomplete(self) -> None:
        """However the bytes are divided among reads."""
        for form, length, is_kept in self.list_cuts():
            data = (form.head + form.body)[:length]
            for pieces in ([data], [data[i : i + 1] for i in range(length)]):
                parser = AnswerParser()
                if is_kept:
                    parser.feed(EARLIER)
                    self.assertTrue(parser.answers.popleft().is_complete)
                for piece in pieces:
                    parser.feed(piece)
                parser.on_connection_closed()
                finals = [a for a in parser.answers if not a.is_interim]
                is_complete = any(
                    a.is_head_complete and a.is_complete for a in finals
                )
                with self.subTest(form.name, data=data, is_kept=is_kept):
                    self.assertEqual(
                        self.may_look_complete(form, length), is_complete
                    )

    def test_cut_answers_are_errors_of_the_connection(self) -> None:
        """Also those that are reset, which are never complete."""
        for form, length, is_kept in self.list_cuts():
            data = (form.head + form.body)[:length]
            for is_reset in (False, True):
                expected = not is_reset and self.may_look_complete(
                    form, length
                )
                is_complete = self.exchange(
                    data, is_kept=is_kept, is_reset=is_reset
                )
                with self.subTest(
                    form.name, data=data, is_kept=is_kept, is_reset=is_reset
                ):
                    self.assertEqual(expected, is_complete)

    def exchange(self, data: bytes, *, is_kept: bool, is_reset: bool) -> bool:
        """Return True if the answer on a connection counts as complete."""
        with socket.create_server(('127.0.0.1', 0)) as listener:
            near = gevent.socket.create_connection(listener.getsockname())
            far, _ = listener.accept()
        connection = target_connection.TargetConnection(near, ('127.0.0.1', 1))
        try:
            if is_kept:
                far.sendall(EARLIER)
                answer = connection.read_head(READ_MS)
                self.assertEqual(
                    b'ok', b''.join(connection.read_body(answer, READ_MS))
                )
            far.sendall(data)
            if is_reset:
                far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            far.close()
            answer = connection.read_head(READ_MS)
            list(connection.read_body(answer, READ_MS))
        except NetworkError:
            return False
        finally:
            far.close()
            connection.close()
        return answer.is_complete


class CutBodiesTest(test_errors_amid_a_call.HandlerCase):
    """A target ends the connection right after the head of its answer."""

    def serve(self, method: str, status: int) -> int:
        """Return the status that a caller gets."""
        answer = Answer()
        answer.status = status
        answer.header_map = {'attempt-id': 'a1', 'server-stamp': 's'}
        answer.ends_at_close = True
        connection = mock.Mock(received_bytes=0, request_count=0)
        connection.read_head.return_value = answer
        connection.read_body.return_value = iter([])
        self.connection_pool.acquire.return_value = connection
        reachability = mock.Mock()
        reachability.is_unreached.return_value = False
        reachability.is_doubtful.return_value = False
        self.handler.reachability = reachability
        reply = mock.Mock(has_begun=False, sends=SendRecord())
        headers = {'attempt-id': 'a1'}
        now_ms = self.clock.now_ms()
        request = IncomingRequest(
            method, '/x', [], headers, b'', True, True, now_ms
        )
        self.handler.serve(request, reply)
        return int(reply.send_answer.call_args.args[0])

    def test_success_without_length_or_body_does_not_look_complete(
        self,
    ) -> None:
        """Its target may have stopped there; a failure has no body to lose."""
        self.assertEqual(502, self.serve('POST', 200))
        self.assertEqual(404, self.serve('POST', 404))
        self.assertEqual(500, self.serve('POST', 500))
        self.assertEqual(200, self.serve('HEAD', 200))


if __name__ == '__main__':
    unittest.main()
