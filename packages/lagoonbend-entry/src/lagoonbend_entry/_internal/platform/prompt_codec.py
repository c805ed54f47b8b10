"""Decodes what an engine says of the prompts that it keeps."""

from typing import NamedTuple

import msgspec

from lagoonbend.exceptions import DocumentError
from lagoonbend_entry._internal.utils import bounded


class _WireBlock(NamedTuple):
    """An entry of the list; the first field has no meaning here."""

    reserved: str
    block_id: str
    tokens: int
    model: str


class _WireKeptBlocks(msgspec.Struct):
    """The field of the answer that is used; others are ignored."""

    held: list[_WireBlock]
    born: object = None


class KeptBlocks(NamedTuple):
    """What a life of an engine keeps.

    :param tokens_by_block: tokens that it keeps of each block.
    :param born_ms: start of this life, in Unix milliseconds as the engine
        counts them; None if it isn't stated.
    """

    tokens_by_block: dict[str, int]
    born_ms: int | None = None


def encode_kept_blocks_headers(
    host: str, target: str
) -> list[tuple[str, str]]:
    """Return the headers of a request for what one engine keeps.

    :param host: IP address and port of the engine.
    :param target: identity of the engine; any other rejects the request.
    """
    return [('Host', host), ('Expect-Instance', target)]


def decode_kept_blocks(body: bytes) -> KeptBlocks | None:
    """Return what an engine keeps.

    Of a block that it keeps for several models, the larger number counts.

    :returns: None if the answer can't be read.
    """
    try:
        answer = bounded.decode_json(body, _WireKeptBlocks, context='blocks')
    except DocumentError:
        return None
    kept: dict[str, int] = {}
    for block in answer.held:
        tokens = min(block.tokens, bounded.MAX_INTEGER)
        kept[block.block_id] = max(tokens, kept.get(block.block_id, 0))
    born_ms = bounded.read_optional(answer.born, 0, bounded.MAX_INTEGER)
    return KeptBlocks(kept, born_ms)
