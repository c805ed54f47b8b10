"""Formats results of experiments as Markdown tables."""

from collections.abc import Iterable
from collections.abc import Sequence


def format_table(
    columns: Sequence[str], rows: Iterable[Sequence[object]]
) -> str:
    """Return a Markdown table; floats are rounded to one decimal."""
    lines = [_format_row(columns), _format_row(['---'] * len(columns))]
    lines.extend(_format_row([_format_cell(cell) for cell in r]) for r in rows)
    return '\n'.join(lines)


def _format_row(cells: Sequence[str]) -> str:
    return '| ' + ' | '.join(cells) + ' |'


def _format_cell(cell: object) -> str:
    return f'{cell:.1f}' if isinstance(cell, float) else str(cell)
