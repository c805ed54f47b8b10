"""The ``lagoonbend explain`` command."""

import pathlib

from cleo.helpers import argument

from lagoonbend_cli._internal.commands.base import EXIT_FAILURE
from lagoonbend_cli._internal.commands.base import EXIT_OK
from lagoonbend_cli._internal.commands.base import LagoonbendCommand
from lagoonbend_cli._internal.explain.log_line import LogLine
from lagoonbend_cli._internal.explain.timeline import explain_request
from lagoonbend_cli._internal.explain.timeline import parse_lines


class ExplainCommand(LagoonbendCommand):
    """Prints the events around a request from the logs of instances.

    An asterisk marks the events that name the request.
    """

    name = 'explain'
    description = 'Print the timeline of a request from log files.'
    arguments = [
        argument('request', "The caller's identity of the attempt."),
        argument('file', 'Log files of instances.', multiple=True),
    ]

    def execute_command(self) -> int:
        """Print the timeline; return 1 if no log line names the request."""
        lines: list[LogLine] = []
        for file_name in self.argument('file'):
            text = pathlib.Path(file_name).read_text('utf-8', errors='replace')
            lines.extend(parse_lines(text.splitlines()))
        request = self.argument('request')
        timeline = explain_request(lines, request)
        if not timeline:
            self.line_error(
                f'{request}: no line names it: look in the logs of all '
                'instances, and for LB0010, which counts lines left out'
            )
            return EXIT_FAILURE
        start_s = timeline[0].time_s
        for line in timeline:
            marker = '*' if line.fields.get('request') == request else ' '
            fields = ' '.join(
                f'{name}={value}' for name, value in line.fields.items()
            )
            self.line(
                f'{marker} +{line.time_s - start_s:7.3f} s {line.instance} '
                f'{line.number} {line.meaning} {fields}'
            )
        return EXIT_OK
