"""Compresses published values, against one that the receiver has."""

from boltons.cacheutils import LRU
import xxhash
import zstandard

from lagoonbend.exceptions import PeerError
from lagoonbend_entry._internal.coordination.packing import Packing

COMPRESSION_LEVEL = 3
MIN_PACKED_BYTES = 1_024
"""Size from which values are compressed; registrations of targets are
smaller."""
MAX_VALUE_BYTES = 8 * 1024 * 1024
"""Bound on the size of a value that is unpacked; the platform's store holds
at most a megabyte."""
KEPT_VALUES = 4
"""Values that others are packed against and unpacked with."""
KEPT_PACKED = 8
"""Packed values that are kept, as many peers request the same."""
NO_DIGEST = 0


class ValuePacker:
    """Packs values for peers, and unpacks those that peers send.

    A patch is a Zstandard frame (RFC 8878) whose dictionary is a value that
    both sides have, as in ``zstd --patch-from``.
    """

    def __init__(self) -> None:
        self._values: LRU[int, bytes] = LRU(max_size=KEPT_VALUES)
        self._packed: LRU[tuple[int, int], tuple[Packing, bytes]] = LRU(
            max_size=KEPT_PACKED
        )

    def keep(self, value: bytes) -> int:
        """Keep a value to pack others against it; return its digest."""
        digest = compute_digest(value)
        self._values[digest] = value
        return digest

    def pack(self, value: bytes, base_digest: int) -> tuple[Packing, bytes]:
        """Return how a value is encoded, and the encoded value.

        :param base_digest: digest of a value that the receiver has;
            ``NO_DIGEST`` if it has none.
        """
        if len(value) < MIN_PACKED_BYTES:
            return Packing.PLAIN, value
        key = (compute_digest(value), base_digest)
        packed = self._packed.get(key)
        if packed is None:
            packed = _compress(value, self._values.get(base_digest))
            self._packed[key] = packed
        return packed

    def unpack(
        self, packing: int, content: bytes, base_digest: int, digest: int
    ) -> bytes:
        """Return a value that a peer has packed.

        :param base_digest: digest that the peer was told.
        :param digest: digest of the value.
        :raises PeerError: if it can't be unpacked, or is another value.
        """
        if packing == Packing.PLAIN:
            return content
        base = None
        if packing == Packing.PATCH:
            base = self._values.get(base_digest)
            if base is None:
                raise PeerError('a patch is based on an unknown value')
        value = _decompress(content, base)
        if compute_digest(value) != digest:
            raise PeerError('a packed value has another digest')
        return value


def compute_digest(value: bytes) -> int:
    """Return a hash of 64 bits that names a value."""
    return xxhash.xxh3_64_intdigest(value)


def _compress(value: bytes, base: bytes | None) -> tuple[Packing, bytes]:
    if base is None:
        compressor = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL)
        return Packing.COMPRESSED, compressor.compress(value)
    # The window covers both, so that all of the base can be referred to.
    parameters = zstandard.ZstdCompressionParameters.from_level(
        COMPRESSION_LEVEL, source_size=len(value), dict_size=len(base)
    )
    compressor = zstandard.ZstdCompressor(
        compression_params=parameters, dict_data=_make_dictionary(base)
    )
    return Packing.PATCH, compressor.compress(value)


def _decompress(content: bytes, base: bytes | None) -> bytes:
    try:
        size = zstandard.frame_content_size(content)
        if not 0 <= size <= MAX_VALUE_BYTES:
            raise PeerError(f'a packed value has {size} bytes')
        dictionary = None if base is None else _make_dictionary(base)
        decompressor = zstandard.ZstdDecompressor(dict_data=dictionary)
        return decompressor.decompress(content)
    except zstandard.ZstdError as error:
        raise PeerError(f'a packed value is unreadable: {error}') from error


def _make_dictionary(base: bytes) -> zstandard.ZstdCompressionDict:
    return zstandard.ZstdCompressionDict(
        base, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )
