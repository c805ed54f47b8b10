"""Settings file of an instance that runs as a gateway on a platform.

The tests guard against faults in the file that are accepted or reported
without their location, and against a deployment template with keys that the
program doesn't know.
"""

import pathlib
import re
import tempfile
import typing
import unittest

from lagoonbend.exceptions import SettingsError
from lagoonbend_entry._internal.settings import gateway_settings
from lagoonbend_entry.settings import is_gateway_file
from lagoonbend_entry.settings import read_gateway_settings

ROOT = pathlib.Path(__file__).parents[2]
SAMPLE = ROOT / 'samples' / 'platform.ini'
TEMPLATE = ROOT / 'deploy' / 'settings.ini.tmpl'
PLACEHOLDER = re.compile(r'\{\{[^}]*\}\}')

# Line of the sample: its faulty variant, and a hint that the error contains.
FAULTY_LINES = {
    'rank_order = route_first': ('rank_order = any', 'customer_first'),
    'call_age = first_send': ('call_age = any', 'first_send'),
    'customer_order = fair_share': ('customer_order = any', 'latest_start'),
    'kept_prompts = off': ('kept_prompts = yes', 'expected one of off, on'),
    'revoke_ms = 5000': ('revoke_ms = soon', 'whole milliseconds'),
    'retry_ratio = 0.2': ('retry_ratio = -1', 'a number'),
    'callers_endpoint = 127.0.0.1:8221': ('callers_endpoint = x', 'ip:port'),
    'grace_s = 8': ('grace = 8', 'expected grace_s'),
    '[scheduling]': ('[schedule]', 'scheduling'),
}


class GatewaySettingsTest(unittest.TestCase):
    """The sample file, faulty variants of it, and the template."""

    def test_sample_is_good(self) -> None:
        """The sample is recognized as a gateway file; its values are read."""
        self.assertTrue(is_gateway_file(SAMPLE))
        self.assertFalse(is_gateway_file(ROOT / 'samples' / 'lakeshore.ini'))
        settings = read_gateway_settings(SAMPLE)
        self.assertEqual('north', settings.instance.failure_domain)

    def test_each_fault_is_named(self) -> None:
        """The error message contains the path and a hint."""
        text = SAMPLE.read_text(encoding='utf-8')
        for good, (bad, hint) in FAULTY_LINES.items():
            with (
                self.subTest(bad=bad),
                tempfile.TemporaryDirectory() as folder,
            ):
                path = pathlib.Path(folder) / 'bad.ini'
                path.write_text(text.replace(good, bad, 1), encoding='utf-8')
                with self.assertRaises(SettingsError) as caught:
                    read_gateway_settings(path)
                self.assertIn(str(path), str(caught.exception))
                self.assertIn(hint, str(caught.exception))

    def test_template_sets_known_keys_only(self) -> None:
        """Each section and key of the template is a field of the settings."""
        sections = typing.get_type_hints(gateway_settings.GatewaySettings)
        fields: dict[str, object] = {}
        for line in TEMPLATE.read_text(encoding='utf-8').splitlines():
            stripped = PLACEHOLDER.sub('', line).strip()
            if stripped.startswith('['):
                section = stripped.strip('[]')
                self.assertIn(section, sections)
                fields = typing.get_type_hints(sections[section])
            elif '=' in stripped:
                self.assertIn(stripped.partition('=')[0].strip(), fields)


if __name__ == '__main__':
    unittest.main()
