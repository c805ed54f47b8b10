"""Step: ask the owner of a bare key for a nonce."""

from typing import NamedTuple


class FetchNonce(NamedTuple):
    """Ask the owner of a bare key for a nonce.

    Result: the nonce, a str. Raises PeerError.

    :param holder: address of the owner; None for this instance.
    """

    holder: str | None
