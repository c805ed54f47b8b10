"""Fault injection: blocked links to peers and to the platform."""

from lagoonbend.exceptions import PeerError


class LinkGate:
    """Addresses that this process must not reach; none in production."""

    def __init__(self) -> None:
        self.cut: frozenset[str] = frozenset()

    def check(self, address: str) -> None:
        """Fail if a test has cut the link to an address.

        :raises PeerError: if the link to ``address`` is cut.
        """
        if address in self.cut:
            raise PeerError(
                'the link is cut by a test', context=f'address {address}'
            )
