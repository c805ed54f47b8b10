"""In-memory sessions of signed-in operators."""

import hmac
import secrets
from typing import NamedTuple

from lagoonbend.clock import Clock

TOKEN_BYTES = 24


class Session(NamedTuple):
    """Session of a signed-in operator.

    :param operator: name of the operator.
    :param csrf_token: token that every posted form must carry.
    :param expires_ms: time at which the session expires, on the console's
        clock.
    """

    operator: str
    csrf_token: str
    expires_ms: int


class SessionStore:
    """Sessions by the token in the operator's cookie.

    They are kept in memory only: a restart of the console signs everyone out.

    :param clock: clock by which sessions expire.
    :param session_ms: time from the sign-in until a session expires.
    """

    def __init__(self, clock: Clock, session_ms: int) -> None:
        self._clock = clock
        self._session_ms = session_ms
        self._sessions: dict[str, Session] = {}

    def begin(self, operator: str) -> str:
        """Begin a session; return the token to store in the cookie."""
        token = secrets.token_urlsafe(TOKEN_BYTES)
        csrf_token = secrets.token_urlsafe(TOKEN_BYTES)
        expires_ms = self._clock.now_ms() + self._session_ms
        self._sessions[token] = Session(operator, csrf_token, expires_ms)
        return token

    def find(self, token: str) -> Session | None:
        """Return the session of a token; None if unknown or expired."""
        session = self._sessions.get(token)
        if session is None or session.expires_ms <= self._clock.now_ms():
            self._sessions.pop(token, None)
            return None
        return session

    def end(self, token: str) -> None:
        """End the session of a token, if there is one."""
        self._sessions.pop(token, None)


def is_valid_csrf_token(session: Session, token: str) -> bool:
    """Return True if the token of a form is the one of the session."""
    return hmac.compare_digest(session.csrf_token, token)
