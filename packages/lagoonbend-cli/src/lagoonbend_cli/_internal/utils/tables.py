"""Tables of dumps and load reports for the terminal."""

from collections.abc import Iterable
from collections.abc import Sequence

from rich.console import Console
from rich.table import Table

from lagoonbend_cli._internal.load.load_report import LoadReport
from lagoonbend_entry.dump import Dump

NEVER = 'never'
PIPED_WIDTH_COLUMNS = 200
DIGEST_PREFIX_CHARACTERS = 12


def build_rich_console() -> Console:
    """Return a console for the tables.

    When the output is not a terminal, the console is wide enough that names
    are not wrapped.
    """
    console = Console()
    return (
        console if console.is_terminal else Console(width=PIPED_WIDTH_COLUMNS)
    )


def print_dump(console: Console, dump: Dump) -> None:
    """Print the whole state of an instance, one table for each kind."""
    _print_scalar_fields(console, dump)
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
                _format_age(peer['heard_age_ms']),
                str(peer['part_revision']),
            )
            for peer in dump['peers']
        ),
    )


def print_status(console: Console, rows: Iterable[Sequence[str]]) -> None:
    """Print a table with one row for each instance."""
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


def print_load_report(console: Console, report: LoadReport) -> None:
    """Print goodput, latency and outcomes by tier."""
    _print_rows(
        console,
        f'{report["mix"]}, {report["rate_per_s"]:g} requests/s',
        ('tier', 'sent', 'goodput %', 'late', 'p50 ms', 'p95 ms', 'ends'),
        (
            (
                tier['tier'],
                str(tier['sent']),
                str(tier['goodput_percent']),
                str(tier['late']),
                f'{tier["latency_ms"]["p50"]:g}',
                f'{tier["latency_ms"]["p95"]:g}',
                ', '.join(
                    f'{outcome} {count}'
                    for outcome, count in tier['ends'].items()
                ),
            )
            for tier in report['tiers']
        ),
    )
    if report['wasted_tokens'] is not None:
        console.print(
            f'wasted prefill: {report["wasted_tokens"]} of '
            f'{report["prefilled_tokens"]} prompt tokens'
        )


def build_status_row(dump: Dump) -> tuple[str, ...]:
    """Return the row of an instance in the status table."""
    return (
        dump['instance'],
        dump['failure_domain'],
        dump['state'],
        str(dump['part_revision']),
        dump['part_digest'][:DIGEST_PREFIX_CHARACTERS],
        _format_age(dump['fleet_age_ms']),
        str(sum(dump['waiting'].values())),
        str(len(dump['attempts'])),
        str(sum(dump['violations'].values())),
    )


def _print_scalar_fields(console: Console, dump: Dump) -> None:
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
    for index, column in enumerate(columns):
        table.add_column(column, no_wrap=index == 0)
    for row in rows:
        table.add_row(*row)
    console.print(table)


def _format_age(age_ms: int | None) -> str:
    return NEVER if age_ms is None else str(age_ms)
