"""The wish of a call for a place at a target."""

from typing import NamedTuple

from lagoonbend._internal.scheduling.prompt_block import PromptBlock


class SlotRequest(NamedTuple):
    """What decides where and when a call may run.

    :param call: identity of the call, unique over all instances.
    :param instance: instance that carries the call.
    :param failure_domain: domain of that instance.
    :param pool: targets that may run it; see ``pools``.
    :param rank: importance, smaller is more urgent; see ``ranks``.
    :param route_rank: rank of the route alone; 0 is the most urgent.
    :param customer: name of the customer; empty for a public call.
    :param cost_units: what the call costs of the customer's limit.
    :param waited_ms: time since the call arrived.
    :param objective_ms: time from arrival within which the first bytes have
        their full worth.
    :param deadline_ms: time from arrival after which nobody waits.
    :param prompt: parts of the prompt in order; empty for plain services.
    :param output_tokens: tokens that the answer may have.
    :param body_bytes: size of the body.
    :param excluded: targets that have failed this call.
    """

    call: str
    instance: str
    failure_domain: str
    pool: str
    rank: int
    route_rank: int
    customer: str
    cost_units: float
    waited_ms: int
    objective_ms: int
    deadline_ms: int
    prompt: tuple[PromptBlock, ...] = ()
    output_tokens: int = 0
    body_bytes: int = 0
    excluded: tuple[str, ...] = ()

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the whole prompt."""
        return sum(part.tokens for part in self.prompt)
