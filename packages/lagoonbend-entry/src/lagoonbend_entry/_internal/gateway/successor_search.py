"""Search for another target while the target of a call is silent."""

from collections.abc import Callable
from typing import NamedTuple

import gevent

from lagoonbend.scheduling import SlotDecision
from lagoonbend.scheduling import SlotRequest

RETRY_INTERVAL_S = 0.5
"""Pause after a denied request for a slot; a silent target may answer again
any time, so the next request may not be needed."""


class GrantedSlot(NamedTuple):
    """A slot that a call may use next.

    :param request: request that the slot was granted for.
    :param decision: the granted slot.
    """

    request: SlotRequest
    decision: SlotDecision


class SuccessorSearch:
    """Requests a slot at another target, in a greenlet of its own.

    A silent target may be about to go on. Therefore a call stays there until
    a slot elsewhere is granted, and the search ends if the target goes on.

    :param acquire: requests a slot; returns None if none is granted.
    :param release: releases a granted slot that is not used.
    """

    def __init__(
        self,
        acquire: Callable[[], GrantedSlot | None],
        release: Callable[[GrantedSlot], None],
    ) -> None:
        self._acquire = acquire
        self._release = release
        self._slot: GrantedSlot | None = None
        self._greenlet: gevent.Greenlet | None = None

    @property
    def has_slot(self) -> bool:
        """True if a slot has been granted and not been taken."""
        return self._slot is not None

    def start(self) -> None:
        """Begin the search unless it is under way."""
        if self._greenlet is None:
            self._greenlet = gevent.spawn(self._run)

    def take(self) -> GrantedSlot | None:
        """Return the granted slot, which then belongs to the caller."""
        slot, self._slot = self._slot, None
        if slot is not None:
            self._greenlet = None
        return slot

    def cancel(self) -> None:
        """End the search and release a slot that was not taken."""
        greenlet, self._greenlet = self._greenlet, None
        slot = self.take()
        if slot is not None:
            self._release(slot)
        if greenlet is not None:
            greenlet.kill(block=False)

    def _run(self) -> None:
        while self._slot is None:
            slot = self._acquire()
            if slot is None:
                gevent.sleep(RETRY_INTERVAL_S)
            elif self._greenlet is gevent.getcurrent():
                self._slot = slot
            else:
                # The search was cancelled while the slot was granted.
                self._release(slot)
                return
