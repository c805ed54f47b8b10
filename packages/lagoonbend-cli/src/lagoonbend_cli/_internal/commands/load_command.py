"""The ``lagoonbend load`` command."""

import pathlib

from cleo.helpers import argument
from cleo.helpers import option
import msgspec

from lagoonbend.exceptions import ConfigurationError
from lagoonbend_cli._internal.commands.base import EXIT_OK
from lagoonbend_cli._internal.commands.base import LagoonbendCommand
from lagoonbend_cli._internal.load.load_report import build_tier_report
from lagoonbend_cli._internal.load.load_report import LoadReport
from lagoonbend_cli._internal.load.load_run import LoadRun
from lagoonbend_cli._internal.load.mixes import MIXES
from lagoonbend_cli._internal.load.planned_request import plan_requests
from lagoonbend_cli._internal.load.plot import draw_report
from lagoonbend_cli._internal.network.engine_client import fetch_prefill_totals
from lagoonbend_cli._internal.utils.tables import build_rich_console
from lagoonbend_cli._internal.utils.tables import print_load_report


class LoadCommand(LagoonbendCommand):
    """Sends a seeded mix of requests to instances and reports the outcomes.

    The load is open-loop: when a request is sent does not depend on the
    answers to earlier ones.
    """

    name = 'load'
    description = 'Send a seeded, open-loop mix and report goodput by tier.'
    arguments = [
        argument('address', "ip:port of callers' listeners.", multiple=True)
    ]
    options = [
        option('mix', None, 'port-louis or lakeshore.', flag=False),
        option('key', None, 'Bearer key of the customer.', flag=False),
        option('seed', None, 'Seed.', flag=False, default='1'),
        option('rate', None, 'Requests a second.', flag=False, default='10'),
        option('seconds', None, 'Duration.', flag=False, default='30'),
        option('burst', None, 'Factor of the burst.', flag=False, default='1'),
        option(
            'engine', None, 'ip:port of an engine.', flag=False, multiple=True
        ),
        option('json', None, 'File for the report.', flag=False),
        option('plot', None, 'SVG or PNG file.', flag=False),
    ]

    def execute_command(self) -> int:
        """Send the requests; print and save the report."""
        mix = self.option('mix') or ''
        if mix not in MIXES:
            raise ConfigurationError(
                f'unknown mix {mix!r}', hint=f'expected {" or ".join(MIXES)}'
            )
        seed = int(self.option('seed'))
        rate_per_s = float(self.option('rate'))
        duration_s = float(self.option('seconds'))
        load_run = LoadRun(
            self.argument('address'),
            self.option('key') or '',
            seed,
            self.line_error,
        )
        engines = self.option('engine')
        before = fetch_prefill_totals(engines)
        load_run.run(
            plan_requests(
                MIXES[mix],
                seed=seed,
                rate_per_s=rate_per_s,
                duration_s=duration_s,
                burst=float(self.option('burst')),
            )
        )
        after = fetch_prefill_totals(engines)
        report = LoadReport(
            mix=mix,
            seed=seed,
            rate_per_s=rate_per_s,
            duration_s=duration_s,
            tiers=[
                build_tier_report(*item)
                for item in sorted(load_run.results.items())
            ],
            wasted_tokens=(
                after.wasted_tokens - before.wasted_tokens if engines else None
            ),
            prefilled_tokens=(
                after.prefilled_tokens - before.prefilled_tokens
                if engines
                else None
            ),
        )
        self._output_report(report)
        return EXIT_OK

    def _output_report(self, report: LoadReport) -> None:
        print_load_report(build_rich_console(), report)
        if self.option('json'):
            text = msgspec.json.format(msgspec.json.encode(report))
            pathlib.Path(self.option('json')).write_bytes(text + b'\n')
        if self.option('plot'):
            draw_report(report, pathlib.Path(self.option('plot')))
