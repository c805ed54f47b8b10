"""The ``lagoonbend explain-route`` command."""

from cleo.helpers import argument
from cleo.helpers import option
from cleo.io.outputs.output import Type as OutputType
import msgspec

from lagoonbend.exceptions import ConfigurationError
from lagoonbend.exceptions import NetworkError
from lagoonbend_cli._internal.commands.base import EXIT_OK
from lagoonbend_cli._internal.commands.base import LagoonbendCommand
from lagoonbend_cli._internal.explain.route_text import format_explanation
from lagoonbend_cli._internal.network.operator_client import fetch_explanation
from lagoonbend_cli._internal.network.operator_client import split_address
from lagoonbend_entry.explanation import RouteQuestion

MAX_PORT = 65_535


class ExplainRouteCommand(LagoonbendCommand):
    """Prints where a call would go now, and why, without sending it."""

    name = 'explain-route'
    description = 'Print where a call would go now, without sending it.'
    arguments = [
        argument('address', "ip:port of an instance's metrics_endpoint."),
        argument('host', 'Host name in the request.'),
        argument('path', 'Path of the request.'),
        argument(
            'prompt',
            'Parts of the prompt as ID:TOKENS.',
            optional=True,
            multiple=True,
        ),
    ]
    options = [
        option('customer', None, 'Name of the customer.', flag=False),
        option(
            'output-tokens', None, 'Longest answer.', flag=False, default='0'
        ),
        option(
            'body-bytes', None, 'Size of the body.', flag=False, default='0'
        ),
        option('json', None, 'Print JSON.'),
    ]

    def execute_command(self) -> int:
        """Ask the instance; print its answer as text or JSON."""
        address = self.argument('address')
        _check_address(address)
        question = RouteQuestion.parse(
            self.argument('host'),
            self.argument('path'),
            self.option('customer') or '',
            self.argument('prompt') or [],
            self.option('output-tokens'),
            self.option('body-bytes'),
        )
        answer = fetch_explanation(address, question)
        lines = list(format_explanation(question, answer))
        if self.option('json'):
            lines = [msgspec.json.format(msgspec.json.encode(answer)).decode()]
        # Names in the answer may look like the markup of the console.
        self.io.output.write_line(lines, type=OutputType.RAW)
        return EXIT_OK


def _check_address(address: str) -> None:
    """Check the address of an instance.

    :raises ConfigurationError: if it isn't one.
    """
    try:
        _, port = split_address(address)
    except NetworkError as error:
        raise ConfigurationError(error.message, hint=error.hint) from error
    if not 0 < port <= MAX_PORT:
        raise ConfigurationError(
            f'invalid address {address!r}', hint='expected a TCP port'
        )
