"""Registry of the random actions of a simulated fleet."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple


class Action(NamedTuple):
    """A random action.

    :param name: name of the method; reports count actions by it.
    :param weight: relative frequency at which it is tried.
    :param run: method of the simulated fleet; returns False if the action
        was impossible in its state.
    """

    name: str
    weight: int
    run: Callable[[Any], bool]


ACTIONS: dict[str, Action] = {}


def action(
    weight: int,
) -> Callable[[Callable[[Any], bool]], Callable[[Any], bool]]:
    """Register a method as a random action."""

    def decorate(method: Callable[[Any], bool]) -> Callable[[Any], bool]:
        name = method.__name__
        ACTIONS[name] = Action(name, weight, method)
        return method

    return decorate
