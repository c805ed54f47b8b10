"""Runs the demonstration and prints what each caller received."""

from rich.console import Console
from rich.table import Table

from lagoonbend_devkit._internal.demo.receipt import Receipt
from lagoonbend_devkit._internal.demo.scenario import Scenario
from lagoonbend_devkit._internal.fleet.local_fleet import LocalFleet

WIDTH_CHARACTERS = 120


def run_demo() -> int:
    """Run; return 0 only if every promise held."""
    console = Console(width=WIDTH_CHARACTERS)
    console.print('Starting 2 failure domains with 2 instances each ...')
    with LocalFleet() as fleet:
        console.print('Sending requests; one instance will be killed ...')
        receipts = list(Scenario(fleet).run())
    _print(console, receipts)
    broken = [receipt for receipt in receipts if not receipt.kept]
    if broken:
        console.print(f'{len(broken)} promises were broken.')
        return 1
    console.print(f'All {len(receipts)} promises held.')
    return 0


def _print(console: Console, receipts: list[Receipt]) -> None:
    table = Table(title='What each caller received')
    for column in ('sent', 'status', 'verdict', 'answer', 'as promised'):
        table.add_column(column)
    for receipt in receipts:
        table.add_row(
            receipt.what,
            str(receipt.status) if receipt.status else '-',
            receipt.verdict or '-',
            receipt.text,
            'yes' if receipt.kept else 'NO',
        )
    console.print(table)
