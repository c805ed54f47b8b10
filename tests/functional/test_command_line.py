"""The command line for operators, the sample settings and the examples.

Guards against commands that fail on good input or hide what is wrong with bad
input, against samples and examples that no longer fit the code, and against an
instance that ends without a log line that says why.
"""

import pathlib
import socket
import subprocess
import sys
import tempfile
import unittest

import msgspec

from lagoonbend_devkit.fleet import find_free_ports
from lagoonbend_devkit.fleet import LocalFleet

ROOT = pathlib.Path(__file__).parents[2]
BIN = pathlib.Path(sys.executable).parent
PARTNERS = ('port-louis', 'lakeshore')
FAULTY_SETTINGS = {
    'port = 8080': ('port = 80800', 'expected a TCP port'),
    'address = 10.0.0.2': ('address = platform', 'expected an IP address'),
    'retry_ms = 1000': ('retry_ms = 1s', 'expected whole milliseconds'),
    'watch_ms = 20000': ('watch_s = 20', 'expected watch_ms'),
    '[serving]': ('[servings]', 'expected serving'),
    'policy = expected_time': ('policy = fastest', 'expected one of'),
    'partner = lakeshore': ('', 'missing key'),
}


class CommandLineTest(unittest.TestCase):
    """Runs the commands as an operator would."""

    def test_samples_are_good(self) -> None:
        """Sample settings and documents of each partner pass the checks."""
        for partner in PARTNERS:
            sample = f'samples/{partner}'
            for arguments in (
                ('config', 'check', f'{sample}.ini'),
                ('document', 'check', f'{sample}.json'),
            ):
                code, output = _run_command(*arguments)
                self.assertEqual(0, code, output)

    def test_faulty_settings_are_one_line_and_exit_code_2(self) -> None:
        """The line names file, section, key and what was expected."""
        text = (ROOT / 'samples' / 'lakeshore.ini').read_text()
        for valid_line, (bad, expected) in FAULTY_SETTINGS.items():
            with (
                self.subTest(bad=bad),
                tempfile.TemporaryDirectory() as directory,
            ):
                path = pathlib.Path(directory) / 'bad.ini'
                path.write_text(text.replace(valid_line, bad, 1))
                code, output = _run_command('config', 'check', str(path))
                self.assertEqual(2, code)
                self.assertEqual(1, len(output.strip().splitlines()), output)
                self.assertIn(str(path), output)
                self.assertIn(expected, output)

    def test_split_document_is_good(self) -> None:
        """A document split into shards of customers passes the check."""
        with tempfile.TemporaryDirectory() as directory:
            code, output = _run_command(
                'document', 'split', 'samples/lakeshore.json', directory
            )
            self.assertEqual(0, code, output)
            code, output = _run_command(
                'document', 'check', f'{directory}/document'
            )
            self.assertEqual(0, code, output)
            code, _ = _run_command(
                'document',
                'diff',
                'samples/lakeshore.json',
                f'{directory}/document',
            )
            self.assertEqual(1, code)

    def test_dump_and_status_read_a_fleet(self) -> None:
        """Commands print tables and JSON of real instances without secrets."""
        with LocalFleet(instances_per_domain=1) as fleet:
            addresses = [
                f'127.0.0.1:{spec.operator_port}'
                for spec in fleet.instances.values()
            ]
            outputs = [
                _run_command('status', *addresses),
                _run_command('dump', addresses[0]),
                _run_command('dump', '--json', addresses[0]),
            ]
        for code, output in outputs:
            self.assertEqual(0, code, output)
            self.assertIn('lake-north-1', output)
            self.assertNotIn('demo-key', output)
        code, _ = _run_command('status', addresses[0])
        self.assertEqual(1, code)

    def test_load_reports_every_tier(self) -> None:
        """A short run prints a table and writes JSON and a plot."""
        with (
            LocalFleet(instances_per_domain=1) as fleet,
            tempfile.TemporaryDirectory() as directory,
        ):
            specs = fleet.instances.values()
            code, output = _run_command(
                'load',
                *(f'127.0.0.1:{spec.caller_port}' for spec in specs),
                *('--mix', 'lakeshore', '--key', 'demo-key'),
                *('--rate', '20', '--seconds', '3'),
                *('--engine', f'127.0.0.1:{fleet.engine_port}'),
                *(
                    '--json',
                    f'{directory}/r.json',
                    '--plot',
                    f'{directory}/r.svg',
                ),
            )
            self.assertEqual(0, code, output)
            report = msgspec.json.decode(
                pathlib.Path(f'{directory}/r.json').read_bytes()
            )
            plot = pathlib.Path(f'{directory}/r.svg').read_text()
        tiers = {tier['tier']: tier for tier in report['tiers']}
        self.assertEqual({'trail', 'booking', 'draft'}, set(tiers))
        for tier in tiers.values():
            self.assertEqual({'answered': tier['sent']}, tier['ends'])
        self.assertIn('<svg', plot)

    def test_examples_run(self) -> None:
        """Each example runs without an error."""
        for path in sorted((ROOT / 'examples').glob('*.py')):
            completed = subprocess.run(
                [sys.executable, str(path)], capture_output=True, check=False
            )
            self.assertEqual(0, completed.returncode, completed.stderr)

    def test_a_listener_that_cannot_be_opened_is_logged(self) -> None:
        """The log gives the reason, although the process ends at once."""
        (port,) = find_free_ports(1)
        with (
            socket.socket() as listener,
            tempfile.TemporaryDirectory() as directory,
        ):
            listener.bind(('127.0.0.1', port))
            listener.listen()
            settings = pathlib.Path(directory) / 'instance.ini'
            settings.write_text(
                (ROOT / 'samples/lakeshore.ini')
                .read_text()
                .replace('address = 10.0.0.4', 'address = 127.0.0.1')
                .replace('port = 8080', f'port = {port}')
            )
            result = subprocess.run(
                [
                    *(sys.executable, '-m', 'lagoonbend_entry'),
                    *('run', '--settings', str(settings)),
                ],
                capture_output=True,
                text=True,
                timeout=30,
            )
        self.assertEqual(3, result.returncode, result.stderr)
        last = msgspec.json.decode(result.stdout.splitlines()[-1])
        self.assertEqual('LB0005', last['message_type'])


def _run_command(*arguments: str) -> tuple[int, str]:
    completed = subprocess.run(
        [str(BIN / 'lagoonbend'), *arguments],
        capture_output=True,
        check=False,
        cwd=ROOT,
        text=True,
    )
    return completed.returncode, completed.stdout + completed.stderr
