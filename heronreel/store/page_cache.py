"""A file in memory with a page cache: what reads show, and what a loss of power may leave of it."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

PAGE_BYTES = 64  # small, so that short records extend over several
_WRITES_ALL = 0.25  # of the crashes: all dirty pages have reached the disk
_WRITES_SOME = 0.75  # of the crashes, those among them: some of the dirty pages have
_SHOWS_STALE = 0.5  # of the crashes with a file that has grown: it shows bytes of another file


@dataclass(slots=True, eq=False)
class CachedContent:
    """The bytes of a file.

    Attributes:
        cached: As the page cache shows them.
        durable: As they are on the disk.
        dirty: Pages that the next fsync writes.
    """

    cached: bytearray = field(default_factory=bytearray)
    durable: bytearray = field(default_factory=bytearray)
    dirty: set[int] = field(default_factory=set)

    def append(self, data: bytes | memoryview) -> None:
        """Append to the cache."""
        start = len(self.cached)
        self.cached += data
        self.dirty.update(range(start // PAGE_BYTES, (len(self.cached) + PAGE_BYTES - 1) // PAGE_BYTES))

    def write_back(self, pages: list[int], size: int) -> None:
        """Write pages to the disk, where the file has `size` bytes from now on."""
        if len(self.durable) < size:
            self.durable += bytes(size - len(self.durable))
        self._copy_pages(self.durable, pages, size)

    def after_crash(self, rng: random.Random, stale: list[bytes]) -> CachedContent:
        """One of the contents that a loss of power could leave.

        Args:
            rng: Draws which.
            stale: Contents of former files, whose bytes may show where the file has grown.
        """
        left = bytearray(self.durable)
        if self.dirty:
            before, grown = len(self.durable), len(self.cached)
            size = rng.choice((before, grown, rng.randint(before, grown)))
            fate = rng.random()
            pages = [
                page
                for page in sorted(self.dirty)
                if fate < _WRITES_ALL or (fate < _WRITES_SOME and rng.random() < 0.5)
            ]
            if size > before:
                left += bytes(size - before)
                if stale and rng.random() < _SHOWS_STALE:
                    old = rng.choice(stale)
                    left[before : min(size, len(old))] = old[before : min(size, len(old))]
                    del left[size:]
            self._copy_pages(left, pages, size)
        return CachedContent(bytearray(left), left)

    def _copy_pages(self, target: bytearray, pages: list[int], size: int) -> None:
        for page in pages:
            start, end = page * PAGE_BYTES, min((page + 1) * PAGE_BYTES, size)
            if start < end:
                target[start:end] = self.cached[start:end]
