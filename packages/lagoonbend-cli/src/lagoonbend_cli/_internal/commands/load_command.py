"""``lagoonbend load``."""

import pathlib

from cleo.helpers import argument
from cleo.helpers import option
import msgspec

from lagoonbend.exceptions import ConfigurationError
from lagoonbend_cli._internal.commands.base import EXIT_OK
from lagoonbend_cli._internal.commands.base import LagoonbendCommand
from lagoonbend_cli._internal.load.load_report import LoadReport
from lagoonbend_cli._internal.load.load_report import report_tier
from lagoonbend_cli._internal.load.load_run import LoadRun
from lagoonbend_cli._internal.load.mixes import MIXES
from lagoonbend_cli._internal.load.planned_request import plan_requests
from lagoonbend_cli._internal.load.plot import draw_report
from lagoonbend_cli._internal.network.engine_client import fetch_prefill
from lagoonbend_cli._internal.utils.tables import build_console
from lagoonbend_cli._internal.utils.tables import print_load


class LoadCommand(LagoonbendCommand):
    """Sends a seeded mix to instances and reports what came of it."""

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
        """Run the load; print the report."""
        mix = self.option('mix') or ''
        if mix not in MIXES:
            raise ConfigurationError(
                f'found mix {mix!r}', hint=f'expected {" or ".join(MIXES)}'
            )
        seed = int(self.option('seed'))
        rate_per_s = float(self.option('rate'))
        duration_s = float(self.option('seconds'))
        run = LoadRun(
            self.argument('address'),
            self.option('key') or '',
            seed,
            self.line_error,
        )
        engines = self.option('engine')
        before = fetch_prefill(engines)
        run.run(
            plan_requests(
                MIXES[mix],
                seed=seed,
                rate_per_s=rate_per_s,
                duration_s=duration_s,
                burst=float(self.option('burst')),
            )
        )
        after = fetch_prefill(engines)
        report = LoadReport(
            mix=mix,
            seed=seed,
            rate_per_s=rate_per_s,
            duration_s=duration_s,
            tiers=[report_tier(*item) for item in sorted(run.results.items())],
            wasted_tokens=after.wasted - before.wasted if engines else None,
            prefilled_tokens=(
                after.prefilled - before.prefilled if engines else None
            ),
        )
        self._write(report)
        return EXIT_OK

    def _write(self, report: LoadReport) -> None:
        print_load(build_console(), report)
        if self.option('json'):
            text = msgspec.json.format(msgspec.json.encode(report))
            pathlib.Path(self.option('json')).write_bytes(text + b'\n')
        if self.option('plot'):
            draw_report(report, pathlib.Path(self.option('plot')))
