"""Decodes what an engine says of the prompts that it keeps."""

import msgspec

from lagoonbend.exceptions import DocumentError
from lagoonbend_entry._internal.models.kept_blocks import KeptBlocks
from lagoonbend_entry._internal.utils import bounded


class _WireKeptBlocks(msgspec.Struct):
    """The fields of the answer that are used; others are ignored.

    The first field of an entry has no meaning here; then follow the block, its
    tokens and the model.
    """

    held: list[tuple[str, str, int, str]]
    born: object = None


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
    for _, block_id, tokens, _ in answer.held:
        tokens = min(tokens, bounded.MAX_INTEGER)
        kept[block_id] = max(tokens, kept.get(block_id, 0))
    born_ms = bounded.read_optional(answer.born, 0, bounded.MAX_INTEGER)
    return KeptBlocks(kept, born_ms)
