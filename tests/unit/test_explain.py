"""Selection of log lines by ``lagoonbend explain``.

The tests guard against lines of other requests in a timeline, against missing
lines of the context, and against a failure on input lines that are no events.
"""

import json
import unittest

from lagoonbend_cli._internal.explain.timeline import explain_request
from lagoonbend_cli._internal.explain.timeline import parse_lines


def write_line(time_s: float, number: str, **fields: object) -> str:
    """Return a line with the prefix that a log collector adds."""
    body = {
        'message_type': number,
        'timestamp': time_s,
        'meaning': 'something',
        'severity': 'info',
        'instance': 'one',
        **fields,
    }
    return f'{time_s:9.3f} host {json.dumps(body)}\n'


class ExplainTest(unittest.TestCase):
    """Lines of a request and of its context."""

    def test_own_lines_and_beliefs_around_them_are_kept(self) -> None:
        """A timeline has the lines of the request and its context, by time.

        Left out are lines of other requests and services, state changes at
        other instances, and what is logged long afterwards.
        """
        texts = [
            write_line(99.0, 'LB0603', service='chat'),
            write_line(100.5, 'LB0605', service='chat', instance='two'),
            write_line(100.6, 'LB0605', service='desk', instance='two'),
            write_line(100.0, 'LB0203', request='other', service='chat'),
            write_line(
                100.9, 'LB0203', request='mine', service='chat', total_ms=500
            ),
            write_line(100.8, 'LB0508', instance='two'),
            write_line(200.0, 'LB0603', service='chat'),
            'no event at all\n',
            '{broken json\n',
        ]
        timeline = explain_request(parse_lines(texts), 'mine')
        self.assertEqual(
            ['LB0603', 'LB0605', 'LB0203'], [line.number for line in timeline]
        )
        self.assertEqual('mine', timeline[-1].fields['request'])

    def test_blocked_prompts_are_shown_however_old(self) -> None:
        """Those of the service, at the instance that refused the request."""
        texts = [
            write_line(10.0, 'LB0212', service='chat', block='bad'),
            write_line(11.0, 'LB0212', service='desk', block='bad'),
            write_line(12.0, 'LB0212', service='chat', instance='two'),
            write_line(100.0, 'LB0203', request='mine', service='chat'),
            write_line(200.0, 'LB0213', service='chat', block='bad'),
        ]
        timeline = explain_request(parse_lines(texts), 'mine')
        self.assertEqual(
            [(10.0, 'LB0212'), (100.0, 'LB0203')],
            [(line.time_s, line.number) for line in timeline],
        )

    def test_unknown_request_has_no_timeline(self) -> None:
        """The context alone gives no timeline."""
        texts = [write_line(1.0, 'LB0603', service='chat')]
        self.assertEqual([], explain_request(parse_lines(texts), 'mine'))


if __name__ == '__main__':
    unittest.main()
