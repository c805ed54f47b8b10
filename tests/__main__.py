"""Command ``python -m tests [NAME ...]``: runs tests, prints a summary line.

Failures listed in ``KNOWN-RED.txt`` are printed as known and do not count.
"""

import pathlib
import sys
import unittest

from tests.lib.known_failures import read_known_failures

ROOT = pathlib.Path(__file__).resolve().parent.parent


def main() -> int:
    """Run all tests, or the named ones, and return the exit code."""
    loader = unittest.TestLoader()
    if sys.argv[1:]:
        suite = loader.loadTestsFromNames(sys.argv[1:])
    else:
        suite = loader.discover(str(ROOT / 'tests'), top_level_dir=str(ROOT))
    result = unittest.TextTestRunner(verbosity=2, buffer=True).run(suite)
    known = read_known_failures(ROOT / 'KNOWN-RED.txt')
    failing = {test.id() for test, _ in result.failures + result.errors}
    for name in sorted(failing & known):
        print(f'known red: {name}')
    for name in sorted(failing - known):
        print(f'failed: {name}')
    failed_count = len(failing - known)
    passed_count = max(0, result.testsRun - len(failing))
    print(f'{passed_count} passed, {failed_count} failed')
    return 1 if failed_count or not result.testsRun else 0


sys.exit(main())
