"""An in-memory file with a simulated page cache, which a power loss may persist only in part."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

PAGE_BYTES = 64  # Smaller than a real page, so that even short records extend over several pages.
# Probability that all dirty pages survive a crash.
_ALL_PAGES_WRITTEN_PROBABILITY = 0.25
# Probability that all or some of the dirty pages survive a crash.
_ANY_PAGES_WRITTEN_PROBABILITY = 0.75
# Probability that a file that has grown shows stale bytes of another file after a crash.
_STALE_BYTES_PROBABILITY = 0.5


@dataclass(slots=True, eq=False)
class CachedContent:
    """The content of a file, in the page cache and on the disk.

    Attributes:
        cached: The bytes that reads return.
        durable: The bytes on the disk.
        dirty: The numbers of the pages that the next fsync writes.
    """

    cached: bytearray = field(default_factory=bytearray)
    durable: bytearray = field(default_factory=bytearray)
    dirty: set[int] = field(default_factory=set)

    def append(self, data: bytes | memoryview) -> None:
        """Append data to the cache and mark its pages dirty."""
        start = len(self.cached)
        self.cached += data
        self.dirty.update(range(start // PAGE_BYTES, (len(self.cached) + PAGE_BYTES - 1) // PAGE_BYTES))

    def write_back(self, pages: list[int], size: int) -> None:
        """Write pages to the disk, and extend the file there to `size` bytes."""
        if len(self.durable) < size:
            self.durable += bytes(size - len(self.durable))
        self._copy_pages(self.durable, pages, size)

    def after_crash(self, rng: random.Random, stale: list[bytes]) -> CachedContent:
        """Return one of the contents that a power loss could leave.

        Args:
            rng: The source of random choices.
            stale: Contents of former files, whose bytes may appear in the part by which the file grown.
        """
        surviving = bytearray(self.durable)
        if self.dirty:
            durable_size, cached_size = len(self.durable), len(self.cached)
            size = rng.choice((durable_size, cached_size, rng.randint(durable_size, cached_size)))
            pages_draw = rng.random()
            pages = [
                page
                for page in sorted(self.dirty)
                if pages_draw < _ALL_PAGES_WRITTEN_PROBABILITY
                or (pages_draw < _ANY_PAGES_WRITTEN_PROBABILITY and rng.random() < 0.5)
            ]
            if size > durable_size:
                surviving += bytes(size - durable_size)
                if stale and rng.random() < _STALE_BYTES_PROBABILITY:
                    old = rng.choice(stale)
                    surviving[durable_size : min(size, len(old))] = old[durable_size : min(size, len(old))]
                    del surviving[size:]
            self._copy_pages(surviving, pages, size)
        return CachedContent(bytearray(surviving), surviving)

    def _copy_pages(self, target: bytearray, pages: list[int], size: int) -> None:
        for page in pages:
            start, end = page * PAGE_BYTES, min((page + 1) * PAGE_BYTES, size)
            if start < end:
                target[start:end] = self.cached[start:end]
