"""Shards of the customers of a document part."""

import hashlib

import msgspec

from lagoonbend._internal.configuration.document import CustomerEntry
from lagoonbend._internal.configuration.document_part import DocumentPart
from lagoonbend._internal.exceptions import DocumentError

Shard = dict[str, CustomerEntry]


class ShardStore:
    """Keeps the shards of the current document part and of the next one.

    Shards are identified by the digest of their content, so that a part
    becomes the current one only with exactly the shards that it names.
    """

    def __init__(self) -> None:
        self._shards: dict[str, Shard] = {}

    def list_missing(self, part: DocumentPart) -> dict[str, str]:
        """Return the digests of a part's missing shards, by first digits."""
        return {
            digits: digest
            for digits, digest in part.shards.items()
            if digest not in self._shards
        }

    def add(self, digest: str, body: bytes) -> None:
        """Add the content of a shard.

        :raises DocumentError: if it is malformed or its digest differs.
        """
        found = hashlib.sha256(body).hexdigest()
        if found != digest:
            raise DocumentError(
                f'found digest {found}',
                context=f'shard {digest}',
                hint='publish the shards before the document',
            )
        try:
            entries = msgspec.json.decode(body, type=list[CustomerEntry])
        except msgspec.MsgspecError as error:
            raise DocumentError(
                str(error), context=f'shard {digest}'
            ) from error
        self._shards[digest] = {item['key_sha256']: item for item in entries}

    def keep_only(self, part: DocumentPart) -> None:
        """Remove the shards that a part does not name."""
        kept = set(part.shards.values())
        self._shards = {d: s for d, s in self._shards.items() if d in kept}

    def find_customer(
        self, part: DocumentPart, key_sha256: str
    ) -> CustomerEntry | None:
        """Return the customer whose bearer key has this digest."""
        if key_sha256 in part.customers or not part.shards:
            return part.customers.get(key_sha256)
        length = len(next(iter(part.shards)))
        digest = part.shards.get(key_sha256[:length], '')
        return self._shards.get(digest, {}).get(key_sha256)


def split_customers(
    customers: list[CustomerEntry], digits: int
) -> dict[str, bytes]:
    """Return the encoded shards by the first digits of key digests."""
    groups: dict[str, list[CustomerEntry]] = {}
    for customer in sorted(customers, key=lambda item: item['key_sha256']):
        groups.setdefault(customer['key_sha256'][:digits], []).append(customer)
    return {
        name: msgspec.json.encode(group, order='sorted')
        for name, group in groups.items()
    }
