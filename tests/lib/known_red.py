"""Tests that are known to fail."""

import pathlib

PREFIX = 'test: '


def read_known_red(path: pathlib.Path) -> set[str]:
    """Return the names of the tests that the file lists."""
    if not path.exists():
        return set()
    lines = path.read_text(encoding='utf-8').splitlines()
    return {
        line.removeprefix(PREFIX).strip()
        for line in lines
        if line.startswith(PREFIX)
    }
