"""Sessions of signed-in operators."""

import hmac
import secrets
from typing import NamedTuple

from lagoonbend.clock import Clock

TOKEN_BYTES = 24


class Session(NamedTuple):
    """A signed-in operator.

    :param operator: name of the operator.
    :param csrf_token: token that every form carries.
    :param ends_ms: when the session ends, on the console's clock.
    """

    operator: str
    csrf_token: str
    ends_ms: int


class Sessions:
    """Sessions by the token in the operator's cookie; in memory alone.

    :param clock: clock of the console.
    :param session_ms: how long a session lasts.
    """

    def __init__(self, clock: Clock, session_ms: int) -> None:
        self._clock = clock
        self._session_ms = session_ms
        self._sessions: dict[str, Session] = {}

    def begin(self, operator: str) -> str:
        """Begin a session; return the token for its cookie."""
        token = secrets.token_urlsafe(TOKEN_BYTES)
        csrf_token = secrets.token_urlsafe(TOKEN_BYTES)
        ends_ms = self._clock.now_ms() + self._session_ms
        self._sessions[token] = Session(operator, csrf_token, ends_ms)
        return token

    def find(self, token: str) -> Session | None:
        """Return the session of a cookie; None if it is over."""
        session = self._sessions.get(token)
        if session is None or session.ends_ms <= self._clock.now_ms():
            self._sessions.pop(token, None)
            return None
        return session

    def end(self, token: str) -> None:
        """End a session."""
        self._sessions.pop(token, None)


def is_csrf_token(session: Session, token: str) -> bool:
    """Return True if a form carried the session's token."""
    return hmac.compare_digest(session.csrf_token, token)
