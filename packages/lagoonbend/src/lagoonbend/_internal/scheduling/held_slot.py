"""A slot in use."""

from typing import NamedTuple

from lagoonbend._internal.scheduling.prompt_block import PromptBlock


class HeldSlot(NamedTuple):
    """A call that runs at a target.

    :param call: identity of the call.
    :param instance: instance that handles the call.
    :param target: name of the target.
    :param rank: rank of the call.
    :param prompt: blocks of the prompt.
    :param tokens: memory that the call may need, in tokens.
    :param started_ms: when the slot was granted, on the scheduler's clock.
    :param expected_ms: expected time to the first byte.
    :param usual_ms: the same at a target of slowness 1 that states nothing; 0
        if it isn't known.
    """

    call: str
    instance: str
    target: str
    rank: int
    prompt: tuple[PromptBlock, ...]
    tokens: int
    started_ms: int
    expected_ms: int
    usual_ms: float = 0.0
