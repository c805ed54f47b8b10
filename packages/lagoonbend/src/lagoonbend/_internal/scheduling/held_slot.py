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
    :param new_tokens: tokens of the prompt that were not cached; None for a
        slot that another scheduler has granted.
    :param wait_ms: expected time for prompts ahead, at a slowness of 1.
    """

    call: str
    instance: str
    target: str
    rank: int
    prompt: tuple[PromptBlock, ...]
    tokens: int
    started_ms: int
    expected_ms: int
    new_tokens: int | None = None
    wait_ms: float = 0.0
