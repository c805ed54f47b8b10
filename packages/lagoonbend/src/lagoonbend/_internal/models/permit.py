"""The permission to dispatch a keyed request once."""

from typing import NamedTuple


class Permit(NamedTuple):
    """A granted claim.

    :param holder: address of the instance that granted it; None for this
        instance.
    :param customer: name of the customer.
    :param key: ticket, or bare key (a key chosen by the caller).
    :param attempt: attempt that may dispatch.
    """

    holder: str | None
    customer: str
    key: str
    attempt: str
