"""Result of a step of the demonstration."""

from typing import NamedTuple


class DemoResult(NamedTuple):
    """An answer, and whether it is the one that the guarantees require.

    :param description: what was sent, and through which instance.
    :param status: HTTP status code; 0 if no whole answer came.
    :param verdict: verdict of the instance.
    :param answer_text: start of the answer, or a summary of it.
    :param is_expected: True if the answer keeps the guarantees.
    """

    description: str
    status: int
    verdict: str
    answer_text: str
    is_expected: bool
