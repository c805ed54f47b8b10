"""Names of the users' platform are confined to one package.

The header, field and path names of the platform belong to its interface and
may change with it. The tests fail if such a name is used outside of the
package that translates it, or if that package grows logic of its own.
"""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).parents[2]
SOURCES = (
    ROOT / 'packages' / 'lagoonbend' / 'src',
    ROOT / 'packages' / 'lagoonbend-entry' / 'src',
)
FOLDER = (
    ROOT / 'packages/lagoonbend-entry/src/lagoonbend_entry/_internal/platform'
)
PLATFORM_NAMES = re.compile(
    r"""['"/](attempt-id|deadline-ms|expect-instance|server-stamp|prefix-hash
    |token-usage|not-executed|server-load|length-hint|kv-\w+|readyz
    |route-kind|store-era|server-leaving|weighted-services|api-keys|rate-per-s|uncached-tokens
    |target-latency-ms|gap-target-ms|max-attempts|heartbeat-ms
    |op/config|servers/)""",
    re.IGNORECASE | re.VERBOSE,
)
DECISION_CODE = re.compile(
    r'import random|gevent\.sleep|retry_share|scheduler|RefusalReason|clock'
)
MAX_LINES = 900


class PlatformFolderTest(unittest.TestCase):
    """The source code is searched as text."""

    def test_names_of_the_platform_stand_in_its_folder_only(self) -> None:
        """No other folder uses the platform's field, header or path names."""
        found = [
            f'{path.relative_to(ROOT)}: {match.group()}'
            for root in SOURCES
            for path in root.rglob('*.py')
            if FOLDER not in path.parents
            for match in PLATFORM_NAMES.finditer(
                path.read_text(encoding='utf-8')
            )
        ]
        self.assertEqual([], found)

    def test_folder_is_small_and_decides_nothing(self) -> None:
        """The folder only translates: no clock, randomness or scheduling."""
        lines = 0
        for path in FOLDER.glob('*.py'):
            text = path.read_text(encoding='utf-8')
            lines += text.count('\n')
            self.assertIsNone(DECISION_CODE.search(text), path.name)
        self.assertLess(lines, MAX_LINES)


if __name__ == '__main__':
    unittest.main()
