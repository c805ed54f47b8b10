"""Splits the body of a stream into whole events."""

from collections.abc import Iterable
from collections.abc import Iterator

BLOCK_END = b'\n\n'
BLOCK_END_CRLF = b'\r\n\r\n'


def split_blocks(pieces: Iterable[bytes]) -> Iterator[bytes]:
    """Yield whole events, each with the blank line that ends it.

    What is left when the pieces end is yielded last, if there is anything.
    """
    rest = b''
    for piece in pieces:
        rest += piece
        while True:
            end = _find_end(rest)
            if end < 0:
                break
            yield rest[:end]
            rest = rest[end:]
    if rest:
        yield rest


def is_whole(block: bytes) -> bool:
    """Return True if a block ends with a blank line."""
    return block.endswith((BLOCK_END, BLOCK_END_CRLF))


def _find_end(data: bytes) -> int:
    plain = data.find(BLOCK_END)
    crlf = data.find(BLOCK_END_CRLF)
    ends = [plain + len(BLOCK_END)] if plain >= 0 else []
    if crlf >= 0:
        ends.append(crlf + len(BLOCK_END_CRLF))
    return min(ends, default=-1)
