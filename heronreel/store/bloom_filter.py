"""A Bloom filter over the XXH3-64 hashes of a table's keys; its bytes are part of the stored index."""

from __future__ import annotations

BITS_PER_KEY = 10
PROBES = 4
MIN_FILTER_BYTES = 8
_LOW_32_BITS = 0xFFFFFFFF


class BloomFilter:
    """A Bloom filter: it takes about one in eighty absent keys for present, and no present key for absent."""

    __slots__ = ("_bits", "_data")

    def __init__(self, data: bytes | bytearray) -> None:
        self._data = data
        self._bits = len(data) * 8

    @classmethod
    def empty(cls, keys: int) -> BloomFilter:
        """A filter without keys, of the size for a number of them."""
        return cls(bytearray(max(MIN_FILTER_BYTES, (keys * BITS_PER_KEY + 7) // 8)))

    @classmethod
    def of(cls, hashes: list[int]) -> BloomFilter:
        """A filter of just these hashes."""
        bloom_filter = cls.empty(len(hashes))
        bloom_filter.add(hashes)
        return bloom_filter

    def add(self, hashes: list[int]) -> None:
        """Add hashes; only to a filter that `empty` made."""
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
        """The filter's bytes as they are stored."""
        return bytes(self._data)

    def may_contain(self, key_hash: int) -> bool:
        """False only if no key with this hash was added."""
        data, bits = self._data, self._bits
        probe, step = key_hash & _LOW_32_BITS, key_hash >> 32 | 1
        for _ in range(PROBES):
            bit = probe % bits
            if not data[bit >> 3] >> (bit & 7) & 1:
                return False
            probe += step
        return True
