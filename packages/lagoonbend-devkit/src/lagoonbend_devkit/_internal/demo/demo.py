"""Runs the demonstration and prints what each caller received."""

from rich.console import Console
from rich.table import Table

from lagoonbend_devkit._internal.demo.demo_result import DemoResult
from lagoonbend_devkit._internal.demo.scenario import Scenario
from lagoonbend_devkit._internal.fleet.local_fleet import LocalFleet

WIDTH_CHARACTERS = 120


def run_demo() -> int:
    """Run all steps; return 0 only if every answer is as expected."""
    console = Console(width=WIDTH_CHARACTERS)
    console.print('Starting 2 failure domains with 2 instances each ...')
    with LocalFleet() as fleet:
        console.print('Sending requests; one instance will be killed ...')
        results = list(Scenario(fleet).run())
    _print_table(console, results)
    unexpected_results = [
        result for result in results if not result.is_expected
    ]
    if unexpected_results:
        console.print(f'{len(unexpected_results)} promises were broken.')
        return 1
    console.print(f'All {len(results)} promises held.')
    return 0


def _print_table(console: Console, results: list[DemoResult]) -> None:
    table = Table(title='What each caller received')
    for column in ('sent', 'status', 'verdict', 'answer', 'as promised'):
        table.add_column(column)
    for result in results:
        table.add_row(
            result.description,
            str(result.status) if result.status else '-',
            result.verdict or '-',
            result.answer_text,
            'yes' if result.is_expected else 'NO',
        )
    console.print(table)
