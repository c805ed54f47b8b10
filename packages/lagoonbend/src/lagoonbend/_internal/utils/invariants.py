"""Invariants that are checked at run time."""

import collections
from collections.abc import Callable

from lagoonbend._internal.exceptions import InvariantViolation


class Invariants:
    """Checks of properties that must always hold.

    A violation is counted, reported and, in strict mode, raised.

    :param strict: raise ``InvariantViolation``; used in tests.
    :param report: called with the invariant's name and the context.
    """

    def __init__(
        self,
        *,
        strict: bool = False,
        report: Callable[[str, str], None] | None = None,
    ) -> None:
        self._strict = strict
        self._report = report
        self.violations: collections.Counter[str] = collections.Counter()

    def check(self, holds: bool, name: str, context: str) -> None:
        """Count, report and possibly raise if ``holds`` is False."""
        if holds:
            return
        self.violations[name] += 1
        if self._report is not None:
            self._report(name, context)
        if self._strict:
            raise InvariantViolation(name, context=context)
