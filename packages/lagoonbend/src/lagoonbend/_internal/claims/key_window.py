"""How long bare keys are repeated and remembered."""

from typing import NamedTuple


class KeyWindow(NamedTuple):
    """Times that bound the life of a bare key.

    :param repeat_ms: how long a caller may send a key after its first send.
    :param arrival_ms: greatest time from the accepted connection to the
        receipt of the whole request, in an instance that notices no pause;
        pauses too short to notice are part of it.
    :param nonce_life_ms: greatest time from the receipt to the arrival of
        the owner's nonce, and from the issue of the nonce to the claim.
    """

    repeat_ms: int
    arrival_ms: int
    nonce_life_ms: int

    @property
    def retention_ms(self) -> int:
        """How long after its first acceptance a key may still be claimed.

        The last repeat is sent just before ``repeat_ms`` is over; it may
        then take its whole time to arrive and to be claimed.
        """
        return self.repeat_ms + self.arrival_ms + 2 * self.nonce_life_ms
