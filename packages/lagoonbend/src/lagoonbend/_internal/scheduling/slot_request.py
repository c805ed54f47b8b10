"""Request of a call for a slot."""

from typing import NamedTuple

from lagoonbend._internal.scheduling.prompt_block import PromptBlock


class SlotRequest(NamedTuple):
    """What determines when and at which target a call may run.

    :param call: identity of the call, unique over all instances.
    :param instance: instance that handles the call.
    :param failure_domain: failure domain of that instance.
    :param pool: name of the target pool, as ``Pool.name`` gives it.
    :param rank: rank of the call, which combines the ranks of its customer and
        its route; smaller is more urgent.
    :param route_rank: rank of the route alone; 0 is the most urgent.
    :param customer: name of the customer; empty for a public call.
    :param cost_units: units that the call takes from the customer's limit,
        which counts tokens or requests.
    :param waited_ms: time since the call arrived.
    :param objective_ms: latency objective: time from arrival to the first byte
        within which the answer has its full value.
    :param deadline_ms: time from arrival after which no answer is needed.
    :param prompt: blocks of the prompt in order; empty for plain services.
    :param output_tokens: maximum number of tokens of the answer.
    :param body_bytes: size of the body.
    :param excluded: targets at which the call has failed.
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
        """Number of tokens of the whole prompt."""
        return sum(block.tokens for block in self.prompt)
