"""Encodings of published values between instances."""

import enum


class Packing(enum.IntEnum):
    """How a value is encoded in a message.

    A patch is compressed against a value that both sides have.
    """

    PLAIN = 0
    COMPRESSED = 1
    PATCH = 2
