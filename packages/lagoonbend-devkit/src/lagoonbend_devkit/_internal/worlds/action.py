"""Registry of what can happen in a world."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple


class Action(NamedTuple):
    """Something that can happen.

    :param name: name of the method.
    :param weight: how often it is tried, relative to others.
    :param run: method of the world; returns False if it was impossible.
    """

    name: str
    weight: int
    run: Callable[[Any], bool]


ACTIONS: dict[str, Action] = {}


def action(
    weight: int,
) -> Callable[[Callable[[Any], bool]], Callable[[Any], bool]]:
    """Register a method of a world."""

    def decorate(method: Callable[[Any], bool]) -> Callable[[Any], bool]:
        name = method.__name__
        ACTIONS[name] = Action(name, weight, method)
        return method

    return decorate
