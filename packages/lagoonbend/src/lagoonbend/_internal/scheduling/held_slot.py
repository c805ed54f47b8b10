"""A place in use."""

from typing import NamedTuple

from lagoonbend._internal.scheduling.prompt_block import PromptBlock


class HeldSlot(NamedTuple):
    """A call that runs at a target.

    :param call: the call.
    :param instance: instance that carries it.
    :param target: where it runs.
    :param rank: importance of the call.
    :param prompt: parts of the prompt.
    :param tokens: memory that the call may need in tokens.
    :param started_ms: when the place was given, on the scheduler's clock.
    :param expected_ms: expected time to the first bytes.
    """

    call: str
    instance: str
    target: str
    rank: int
    prompt: tuple[PromptBlock, ...]
    tokens: int
    started_ms: int
    expected_ms: int
