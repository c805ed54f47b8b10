"""Tables of experiments, as Markdown."""

from collections.abc import Iterable
from collections.abc import Sequence


def write_table(
    columns: Sequence[str], rows: Iterable[Sequence[object]]
) -> str:
    """Return a Markdown table; numbers keep one decimal."""
    lines = [_write_row(columns), _write_row(['---'] * len(columns))]
    lines.extend(_write_row([_write_cell(cell) for cell in r]) for r in rows)
    return '\n'.join(lines)


def _write_row(cells: Sequence[str]) -> str:
    return '| ' + ' | '.join(cells) + ' |'


def _write_cell(cell: object) -> str:
    return f'{cell:.1f}' if isinstance(cell, float) else str(cell)
