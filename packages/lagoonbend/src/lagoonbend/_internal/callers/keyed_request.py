"""One piece of work, over all sends of its key."""

from lagoonbend._internal.callers.advice import Advice
from lagoonbend._internal.models.verdict import Verdict


class KeyedRequest:
    """Keeps what all sends with one key have told.

    An instance that can't ask the holder of a key must say that the key may
    have run, for it can't know of earlier sends. The caller can: if every
    send was answered, and every answer says that its own attempt did not
    run, then the work did not run, and a new key is safe.
    """

    def __init__(self) -> None:
        self._open_sends = 0
        self._may_have_run = False
        self._ran = False

    def send(self) -> None:
        """Note that the request is about to be sent."""
        self._open_sends += 1

    def lose(self) -> None:
        """Note that a send ended without an answer."""
        self._may_have_run = True
        self._open_sends -= 1

    def receive(self, verdict: Verdict, attempt_verdict: Verdict) -> None:
        """Note the verdicts of an answer."""
        self._open_sends -= 1
        if verdict is Verdict.RAN:
            self._ran = True
        if attempt_verdict is not Verdict.NOT_RUN:
            self._may_have_run = True

    @property
    def verdict(self) -> Verdict:
        """What is known of the work."""
        if self._ran:
            return Verdict.RAN
        if self._may_have_run or self._open_sends:
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN

    def advise(self, *, is_key_usable: bool) -> Advice:
        """Return what to do next.

        :param is_key_usable: False once an answer said that the key can't
            be used any more, or its window is over.
        """
        if self.verdict is Verdict.RAN:
            return Advice.DONE
        if is_key_usable:
            return Advice.REPEAT_SAME_KEY
        if self.verdict is Verdict.NOT_RUN:
            return Advice.TAKE_NEW_KEY
        return Advice.UNDECIDED
