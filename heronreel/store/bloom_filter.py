"""A Bloom filter over the XXH3-64 hashes of a table's keys.  Its bytes are part of the stored index."""

from __future__ import annotations

BITS_PER_KEY = 10
PROBES = 4
MIN_FILTER_BYTES = 8
_LOW_32_BITS = 0xFFFFFFFF


class BloomFilter:
    """A Bloom filter with a false positive rate of about one in eighty, and no false negatives."""

    __slots__ = ("_bits", "_data")

    def __init__(self, data: bytes | bytearray) -> None:
        self._data = data
        self._bits = len(data) * 8

    @classmethod
    def empty(cls, keys: int) -> BloomFilter:
        """Return an empty filter that is sized for `keys` keys."""
        return cls(bytearray(max(MIN_FILTER_BYTES, (keys * BITS_PER_KEY + 7) // 8)))

    @classmethod
    def of(cls, hashes: list[int]) -> BloomFilter:
        """Return a filter that contains exactly these hashes."""
        bloom_filter = cls.empty(len(hashes))
        bloom_filter.add(hashes)
        return bloom_filter

    def add(self, hashes: list[int]) -> None:
        """Add hashes; the filter must have been created by `empty`."""
        data, bits = self._data, self._bits
        assert isinstance(data, bytearray)
        for key_hash in hashes:
            probe, step = key_hash & _LOW_32_BITS, key_hash >> 32 | 1
            for _ in range(PROBES):
                bit = probe % bits
                data[bit >> 3] |= 1 << (bit & 7)
                probe += step

    @property
    def data(self) -> bytes:
        """The stored form of the filter."""
        return bytes(self._data)

    def may_contain(self, key_hash: int) -> bool:
        """Return whether a key with this hash may have been added; False is certain."""
        data, bits = self._data, self._bits
        probe, step = key_hash & _LOW_32_BITS, key_hash >> 32 | 1
        for _ in range(PROBES):
            bit = probe % bits
            if not data[bit >> 3] >> (bit & 7) & 1:
                return False
            probe += step
        return True
