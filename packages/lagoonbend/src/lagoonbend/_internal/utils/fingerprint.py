"""Fingerprints, by which a repeat of a call is recognized."""

import xxhash

from lagoonbend._internal.models.call import Call


def fingerprint(call: Call) -> int:
    """Return a 64-bit hash of method, path and body."""
    head = f'{call.method}\x00{call.path}\x00'.encode()
    return xxhash.xxh3_64_intdigest(head + call.body)
