"""Section ``[faults]``."""

from typing import NamedTuple


class FaultsSettings(NamedTuple):
    """Fault injection for tests; all off in production.

    :param links: ``on`` lets operators cut links with ``PUT /links``.
    """

    links: str = 'off'
