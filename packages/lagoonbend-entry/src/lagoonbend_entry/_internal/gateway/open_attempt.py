"""An attempt of a call in a granted slot."""

from typing import NamedTuple

from lagoonbend.facts import ListedTarget
from lagoonbend.scheduling import SlotDecision
from lagoonbend.scheduling import SlotRequest
from lagoonbend_entry._internal.gateway.answer_heads import AnswerHeads
from lagoonbend_entry._internal.gateway.attempt import Attempt


class OpenAttempt(NamedTuple):
    """An attempt that holds a slot until its outcome is reported.

    :param request: request that the slot was granted for.
    :param decision: the granted slot.
    :param target: target of the slot.
    :param attempt: the attempt.
    :param heads: what the heads of its answers say.
    """

    request: SlotRequest
    decision: SlotDecision
    target: ListedTarget
    attempt: Attempt
    heads: AnswerHeads
