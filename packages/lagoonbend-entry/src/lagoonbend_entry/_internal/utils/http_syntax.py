"""What the head of an HTTP answer may say (RFC 9110 and 9112)."""

MIN_STATUS = 100
MAX_STATUS = 599
VERSIONS = ('1.0', '1.1')
CHUNKED = 'chunked'
MIN_PRINTABLE = 0x20
DELETE = 0x7F
TAB = 0x09


def is_status(status: int) -> bool:
    """Return True if a number is a status code."""
    return MIN_STATUS <= status <= MAX_STATUS


def is_reason_phrase(reason: bytes) -> bool:
    """Return True if a reason phrase has no control characters but tabs."""
    return all(
        octet == TAB or (octet >= MIN_PRINTABLE and octet != DELETE)
        for octet in reason
    )


def find_head_error(
    version: str, status: int, reason: bytes, transfer_encoding: str | None
) -> str:
    """Return why the head of an answer can't be used; empty if it can.

    The parser checks the syntax of header names and values itself.

    :param version: version of the protocol, such as ``1.1``.
    :param transfer_encoding: None if there is no such header.
    """
    if version not in VERSIONS:
        return f'version {version} of HTTP'
    if not is_status(status):
        return f'status {status}'
    if not is_reason_phrase(reason):
        return 'control character in the reason phrase'
    if (
        transfer_encoding is not None
        and transfer_encoding.strip().lower() != CHUNKED
    ):
        return f'transfer encoding {transfer_encoding[:40]!a}'
    return ''
