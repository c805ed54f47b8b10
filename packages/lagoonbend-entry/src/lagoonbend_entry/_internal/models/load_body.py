"""The load that an engine reports."""

from typing import TypedDict


class LoadBody(TypedDict):
    """Fields of a load report; others are not read."""

    running: int
    waiting_tokens: int
