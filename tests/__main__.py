"""``python -m tests [NAME ...]``: run tests and print a closing line."""

import pathlib
import sys
import unittest

from tests.lib.known_red import read_known_red

ROOT = pathlib.Path(__file__).resolve().parent.parent


def main() -> int:
    """Run all tests, or the named ones; return the exit code."""
    loader = unittest.TestLoader()
    if sys.argv[1:]:
        suite = loader.loadTestsFromNames(sys.argv[1:])
    else:
        suite = loader.discover(str(ROOT / 'tests'), top_level_dir=str(ROOT))
    result = unittest.TextTestRunner(verbosity=2, buffer=True).run(suite)
    known = read_known_red(ROOT / 'KNOWN-RED.txt')
    red = {test.id() for test, _ in result.failures + result.errors}
    for name in sorted(red & known):
        print(f'known red: {name}')
    for name in sorted(red - known):
        print(f'failed: {name}')
    failed = len(red - known)
    passed = max(0, result.testsRun - len(red))
    print(f'{passed} passed, {failed} failed')
    return 1 if failed or not result.testsRun else 0


sys.exit(main())
