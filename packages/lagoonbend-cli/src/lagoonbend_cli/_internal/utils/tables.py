"""Readable tables of dumps."""

from collections.abc import Iterable
from collections.abc import Sequence

from rich.console import Console
from rich.table import Table

from lagoonbend_entry.dump import Dump

NEVER = 'never'
DIGEST_CHARACTERS = 12


def print_dump(console: Console, dump: Dump) -> None:
    """Print the whole state of an instance."""
    _print_facts(console, dump)
    _print_rows(
        console,
        'Targets',
        ('target', 'kind', 'domain', 'state', 'requests', 'tokens/s'),
        (
            (
                target['target'],
                target['kind'],
                target['failure_domain'],
                'leaving' if target['leaving'] else 'serving',
                str(target['outstanding']),
                str(target['tokens_per_s']),
            )
            for target in dump['targets']
        ),
    )
    _print_rows(
        console,
        'Attempts',
        ('attempt', 'tier', 'target', 'verdict', 'age ms'),
        (
            (
                attempt['attempt'],
                attempt['tier'],
                attempt['target'],
                attempt['verdict'],
                str(attempt['age_ms']),
            )
            for attempt in dump['attempts']
        ),
    )
    _print_rows(
        console,
        'Peers',
        ('instance', 'address', 'domain', 'heard ms ago', 'revision'),
        (
            (
                peer['instance'],
                peer['address'],
                peer['failure_domain'],
                _write_age(peer['heard_age_ms']),
                str(peer['part_revision']),
            )
            for peer in dump['peers']
        ),
    )


def print_status(console: Console, rows: Iterable[Sequence[str]]) -> None:
    """Print a line for each instance."""
    _print_rows(
        console,
        'Instances',
        (
            'instance',
            'domain',
            'state',
            'revision',
            'digest',
            'list age ms',
            'waiting',
            'in flight',
            'broken invariants',
        ),
        rows,
    )


def summarize(dump: Dump) -> tuple[str, ...]:
    """Return the status line of an instance."""
    return (
        dump['instance'],
        dump['failure_domain'],
        dump['state'],
        str(dump['part_revision']),
        dump['part_digest'][:DIGEST_CHARACTERS],
        _write_age(dump['fleet_age_ms']),
        str(sum(dump['waiting'].values())),
        str(len(dump['attempts'])),
        str(sum(dump['violations'].values())),
    )


def _print_facts(console: Console, dump: Dump) -> None:
    table = Table(title=f'Instance {dump["instance"]}', show_header=False)
    for name, value in dump.items():
        if not isinstance(value, list):
            table.add_row(name, str(value))
    console.print(table)


def _print_rows(
    console: Console,
    title: str,
    columns: Sequence[str],
    rows: Iterable[Sequence[str]],
) -> None:
    table = Table(title=title)
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*row)
    console.print(table)


def _write_age(age_ms: int | None) -> str:
    return NEVER if age_ms is None else str(age_ms)
