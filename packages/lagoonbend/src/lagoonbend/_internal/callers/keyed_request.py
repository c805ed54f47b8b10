"""A request with an idempotency key, over all its sends."""

from lagoonbend._internal.callers.advice import Advice
from lagoonbend._internal.models.verdict import Verdict


class KeyedRequest:
    """Tracks the outcomes of all sends of a request with one key.

    An instance that can't reach the holder of a key has to answer that the
    request may have run, as it doesn't know of earlier sends. The caller does:
    if every send was answered, and every answer says that its own attempt did
    not run, then the request did not run, and a new key is safe.
    """

    def __init__(self) -> None:
        self._pending_sends = 0
        self._may_have_run = False
        self._ran = False

    def record_send(self) -> None:
        """Record that the request is about to be sent."""
        self._pending_sends += 1

    def record_loss(self) -> None:
        """Record that a send ended without an answer."""
        self._may_have_run = True
        self._pending_sends -= 1

    def record_answer(
        self, verdict: Verdict, attempt_verdict: Verdict
    ) -> None:
        """Record the verdicts of an answer."""
        self._pending_sends -= 1
        if verdict is Verdict.RAN:
            self._ran = True
        if attempt_verdict is not Verdict.NOT_RUN:
            self._may_have_run = True

    @property
    def verdict(self) -> Verdict:
        """Whether the request may have run, judged by all its sends."""
        if self._ran:
            return Verdict.RAN
        if self._may_have_run or self._pending_sends:
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN

    def advise(self, *, is_key_usable: bool) -> Advice:
        """Return what to do next.

        :param is_key_usable: False once an answer said that the key can't
            be used any more, or its repeat window has ended.
        """
        if self.verdict is Verdict.RAN:
            return Advice.DONE
        if is_key_usable:
            return Advice.REPEAT_SAME_KEY
        if self.verdict is Verdict.NOT_RUN:
            return Advice.TAKE_NEW_KEY
        return Advice.UNDECIDED
