"""Identities by which a repeat of a request is recognized."""

import hashlib

from lagoonbend_entry._internal.gateway.admitted_call import AdmittedCall

DIGEST_BYTES = 16
LENGTH_BYTES = 8
"""Bytes for the length of a part, so that parts can't run into each other."""


def fingerprint_call(call: AdmittedCall) -> str:
    """Return a digest of customer, method, path with query, body and prompt.

    What a caller changes between its tries, such as the identity of the
    attempt or its deadline, is no part of it. A caller can't choose a request
    that has the digest of another customer's.
    """
    request = call.request
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    customer = call.customer.name if call.customer else ''
    parts = [
        customer.encode(),
        request.method.encode(),
        request.path.encode(),
        request.body,
        *(block.block_id.encode() for block in call.headers.prompt),
    ]
    for part in parts:
        digest.update(len(part).to_bytes(LENGTH_BYTES))
        digest.update(part)
    return digest.hexdigest()
