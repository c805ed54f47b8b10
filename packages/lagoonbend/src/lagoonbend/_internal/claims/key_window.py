"""How long callers may repeat a bare key, and how long it is kept."""

from typing import NamedTuple


class KeyWindow(NamedTuple):
    """Time limits for a bare key, an idempotency key chosen by a caller.

    :param repeat_ms: how long after its first send a caller may repeat a
        key.
    :param arrival_ms: maximum time from the acceptance of the connection to
        the receipt of the whole request, in an instance that detects no
        pause of its process; includes pauses too short to be detected.
    :param nonce_life_ms: maximum time from the receipt of the request to
        the arrival of the owner's nonce, and maximum time from the issue of
        the nonce to the claim.
    """

    repeat_ms: int
    arrival_ms: int
    nonce_life_ms: int

    @property
    def retention_ms(self) -> int:
        """How long after its first acceptance a key may still be claimed.

        The last repeat may be sent just before ``repeat_ms`` is over, and
        then take the maximum time to arrive and to be claimed.
        """
        return self.repeat_ms + self.arrival_ms + 2 * self.nonce_life_ms
