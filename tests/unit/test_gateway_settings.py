"""Settings of an instance on a published platform."""

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

FAULTS = {
    'rank_order = route_first': ('rank_order = any', 'customer_first'),
    'revoke_ms = 5000': ('revoke_ms = soon', 'whole milliseconds'),
    'retry_ratio = 0.2': ('retry_ratio = -1', 'a number'),
    'callers_endpoint = 127.0.0.1:8221': ('callers_endpoint = x', 'ip:port'),
    'grace_s = 8': ('grace = 8', 'expected grace_s'),
    '[scheduling]': ('[schedule]', 'scheduling'),
}


class GatewaySettingsTest(unittest.TestCase):
    """The sample, faults in it, and the template of the deploy file."""

    def test_sample_is_good(self) -> None:
        """And is told from the settings of the own interface."""
        self.assertTrue(is_gateway_file(SAMPLE))
        self.assertFalse(is_gateway_file(ROOT / 'samples' / 'lakeshore.ini'))
        settings = read_gateway_settings(SAMPLE)
        self.assertEqual('north', settings.instance.failure_domain)

    def test_each_fault_is_named(self) -> None:
        """With the file, the section, the key and a hint."""
        text = SAMPLE.read_text(encoding='utf-8')
        for good, (bad, hint) in FAULTS.items():
            with self.subTest(bad=bad), tempfile.TemporaryDirectory() as name:
                path = pathlib.Path(name) / 'bad.ini'
                path.write_text(text.replace(good, bad, 1), encoding='utf-8')
                with self.assertRaises(SettingsError) as caught:
                    read_gateway_settings(path)
                self.assertIn(str(path), str(caught.exception))
                self.assertIn(hint, str(caught.exception))

    def test_template_sets_known_keys_only(self) -> None:
        """Every section and key of the template is one that is read."""
        sections = typing.get_type_hints(gateway_settings.GatewaySettings)
        fields: dict[str, object] = {}
        for line in TEMPLATE.read_text(encoding='utf-8').splitlines():
            plain = PLACEHOLDER.sub('', line).strip()
            if plain.startswith('['):
                section = plain.strip('[]')
                self.assertIn(section, sections)
                fields = typing.get_type_hints(sections[section])
            elif '=' in plain:
                self.assertIn(plain.partition('=')[0].strip(), fields)


if __name__ == '__main__':
    unittest.main()
