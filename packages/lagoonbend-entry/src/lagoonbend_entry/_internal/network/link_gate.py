"""The seam at which tests cut links."""

from lagoonbend.exceptions import PeerError


class LinkGate:
    """Addresses that this process can't reach; empty in production."""

    def __init__(self) -> None:
        self.cut: frozenset[str] = frozenset()

    def check(self, address: str) -> None:
        """Fail as a cut link does.

        :raises PeerError: if the link to ``address`` is cut.
        """
        if address in self.cut:
            raise PeerError('link is cut', context=f'address {address}')
