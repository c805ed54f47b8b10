"""Response body of an engine's load report."""

from typing import TypedDict


class LoadBody(TypedDict):
    """Fields of a load report; others are ignored."""

    running: int
    waiting_tokens: int
