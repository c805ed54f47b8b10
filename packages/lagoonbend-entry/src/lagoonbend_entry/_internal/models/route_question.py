"""A call that is described to an instance, to learn where it would go."""

from typing import NamedTuple
import urllib.parse

from lagoonbend.exceptions import ConfigurationError
from lagoonbend.scheduling import PromptBlock
from lagoonbend_entry._internal.utils import bounded

EXPLAIN_PATH = '/explain-route'
"""Path at which an instance answers, on its listener for metrics."""


class RouteQuestion(NamedTuple):
    """Description of a call.

    :param host: host name in the request.
    :param path: path of the request, without a query.
    :param customer: name of the customer; empty for a call without a key.
    :param prompt: blocks of the prompt in order.
    :param output_tokens: maximum length of the answer in tokens.
    :param body_bytes: size of the body.
    """

    host: str
    path: str
    customer: str = ''
    prompt: tuple[PromptBlock, ...] = ()
    output_tokens: int = 0
    body_bytes: int = 0

    @classmethod
    def parse(
        cls,
        host: str,
        path: str,
        customer: str,
        parts: list[str],
        output_tokens: str,
        body_bytes: str,
    ) -> 'RouteQuestion':
        """Return the question that texts describe.

        :param parts: blocks of the prompt as ``ID:TOKENS``.
        :raises ConfigurationError: if one of them can't be used.
        """
        if not host:
            raise ConfigurationError('missing host', hint='expected a name')
        if not path.startswith('/'):
            raise ConfigurationError(
                f'invalid path {path!r}', hint='expected a leading slash'
            )
        return cls(
            host.lower(),
            path.partition('?')[0],
            customer,
            tuple(_parse_part(part) for part in parts),
            _parse_count(output_tokens, 'output tokens'),
            _parse_count(body_bytes, 'body bytes'),
        )

    @classmethod
    def decode(cls, query: str) -> 'RouteQuestion':
        """Return the question in the query of a URL.

        :raises ConfigurationError: if it can't be used.
        """
        fields = urllib.parse.parse_qs(query, keep_blank_values=True)

        def get_last(name: str, default: str) -> str:
            return fields.get(name, [default])[-1]

        return cls.parse(
            get_last('host', ''),
            get_last('path', ''),
            get_last('customer', ''),
            fields.get('part', []),
            get_last('output', '0'),
            get_last('body', '0'),
        )

    def encode(self) -> str:
        """Return the query of a URL for ``decode``."""
        fields = [
            ('host', self.host),
            ('path', self.path),
            ('customer', self.customer),
            ('output', str(self.output_tokens)),
            ('body', str(self.body_bytes)),
            *(
                ('part', f'{block.block_id}:{block.tokens}')
                for block in self.prompt
            ),
        ]
        return urllib.parse.urlencode(fields)


def _parse_part(text: str) -> PromptBlock:
    block_id, _, tokens = text.partition(':')
    count = bounded.read_digits(tokens)
    if not block_id or count is None:
        raise ConfigurationError(
            f'invalid part of the prompt {text!r}', hint='expected ID:TOKENS'
        )
    return PromptBlock(block_id, count)


def _parse_count(text: str, name: str) -> int:
    count = bounded.read_digits(text)
    if count is None:
        raise ConfigurationError(
            f'invalid number of {name} {text!r}',
            hint='expected a whole number',
        )
    return count
