"""List of the tests that are known to fail."""

import pathlib

TEST_LINE_PREFIX = 'test: '


def read_known_failures(path: pathlib.Path) -> set[str]:
    """Return the test ids listed in ``path``; none if it does not exist."""
    if not path.exists():
        return set()
    lines = path.read_text(encoding='utf-8').splitlines()
    return {
        line.removeprefix(TEST_LINE_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_LINE_PREFIX)
    }
