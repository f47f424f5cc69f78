"""A process's own counts: two pages in a buffer that outlives it.

The buffer is a file mapped into memory: what was stored there is found by whoever opens the file next,
whenever the process was killed.  Each change that counts is *one* store of eight bytes, so there is no
state in between: the open page has a number, and raising the number seals it and opens the other one.  A
page is sealed only when the one before it is confirmed, so two are enough, whatever becomes of the group:
until then the open one goes on growing.

An answer is *begun* before it is handed to its client's connection and *settled* behind it.  What was begun
and not settled when the process was killed is told as unknown, and never as done.
"""

from __future__ import annotations

from collections.abc import MutableSequence, Sequence
from typing import NamedTuple

import msgspec
import xxhash

KINDS = ("served", "refused", "failed", "unknown")
SERVED, REFUSED, FAILED, UNKNOWN = range(len(KINDS))
OTHERS = ""  # the tenant of requests that name none, or none of the file's

MAGIC = int.from_bytes(b"hrcount1", "little")
_MAGIC, _NUMBER, _CONFIRMED, _LENGTH, _SUM, _REGISTERED, _LAST = range(7)
WORDS = 8  # of eight bytes before the head
HEAD_MOST = 1 << 20


class Damaged(ValueError):
    """A buffer that holds no book, or one that was cut off or written over."""


class Head(msgspec.Struct, frozen=True):
    """Whose counts these are."""

    id: str  # of this book alone, drawn when it was made
    proxy: str
    zone: str
    tenants: tuple[str, ...]  # those of the file; `OTHERS` comes before them


Counts = dict[str, tuple[int, int, int, int]]  # by tenant: one number for each of KINDS


class Page(NamedTuple):
    """A sealed page; tenants of whom nothing was counted are left out."""

    number: int
    counts: Counts


def blank(head: Head) -> bytes:
    """A book in which nothing was counted yet; its open page is number 1."""
    data = msgspec.json.encode(head)
    padded = data + b" " * (-len(data) % 8)
    if len(padded) > HEAD_MOST:
        raise ValueError(f"a head of {len(padded):,} bytes, and at most {HEAD_MOST:,} are kept")
    words = [MAGIC, 1, 0, len(padded), xxhash.xxh3_64_intdigest(padded), 0, 0, 0]
    cells = (len(head.tenants) + 1) * (2 * len(KINDS) + 1)
    return b"".join(word.to_bytes(8, "little") for word in words) + padded + bytes(8 * cells)


def head_of(buffer: bytes | memoryview) -> tuple[Head, int]:
    """The head, and where the cells begin, in words.  Raises Damaged."""
    raw = bytes(buffer[: 8 * WORDS])
    if len(raw) < 8 * WORDS:
        raise Damaged("cut off")
    words = [int.from_bytes(raw[at : at + 8], "little") for at in range(0, 8 * WORDS, 8)]
    length = words[_LENGTH]
    if words[_MAGIC] != MAGIC or length > HEAD_MOST or length % 8:
        raise Damaged("no book of counts")
    data = bytes(buffer[8 * WORDS : 8 * WORDS + length])
    if len(data) != length or xxhash.xxh3_64_intdigest(data) != words[_SUM]:
        raise Damaged("its head is cut off or written over")
    try:
        head = msgspec.json.decode(data, type=Head)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise Damaged(f"its head: {error}") from None
    first = WORDS + length // 8
    if len(buffer) != 8 * (first + (len(head.tenants) + 1) * (2 * len(KINDS) + 1)):
        raise Damaged(f"has {len(buffer):,} bytes, which does not fit its head")
    if not 1 <= words[_NUMBER] - words[_CONFIRMED] <= 2:
        raise Damaged(f"page {words[_NUMBER]} is open and page {words[_CONFIRMED]} confirmed")
    return head, first


class Book:
    """The counts in a buffer of eight-byte words.  Whoever has it is the only one."""

    def __init__(self, head: Head, words: MutableSequence[int], first: int) -> None:
        """`words` is the whole buffer, and `first` where the cells begin: see `head_of`."""
        self.head = head
        self.words = words
        self.columns = len(head.tenants) + 1
        self.places = {name: place for place, name in enumerate((OTHERS, *head.tenants))}
        self.handing = first  # by tenant: answers begun and not settled
        self.pages = (self.handing + self.columns, self.handing + self.columns * (1 + len(KINDS)))

    @property
    def number(self) -> int:
        """Of the open page, from 1."""
        return self.words[_NUMBER]

    @property
    def confirmed(self) -> int:
        """The last page that the group has taken; 0: none."""
        return self.words[_CONFIRMED]

    def _cell(self, number: int, place: int, kind: int) -> int:
        return self.pages[number % 2] + place * len(KINDS) + kind

    # -- counting

    def begin(self, tenant: str) -> int:
        """An answer is about to be handed over; its place, for `settle`."""
        place = self.places.get(tenant, 0)
        self.words[self.handing + place] += 1
        return place

    def settle(self, place: int, kind: int) -> None:
        """It was handed over.  The count goes up before the doubt goes down: a process killed in between has
        counted what it also tells as unknown, and nothing is told as done that was not.
        """
        self.words[self._cell(self.number, place, kind)] += 1
        self.words[self.handing + place] -= 1

    # -- pages

    def sealed(self) -> Page | None:
        """The page that waits to be confirmed."""
        return self._page(self.number - 1) if self.confirmed < self.number - 1 else None

    def _page(self, number: int) -> Page:
        counts: Counts = {}
        for name, place in self.places.items():
            cell = self._cell(number, place, 0)
            served, refused, failed, unknown = self.words[cell : cell + len(KINDS)]
            if served or refused or failed or unknown:
                counts[name] = served, refused, failed, unknown
        return Page(number, counts)

    def counted(self) -> Counts:
        """What the open page holds."""
        return self._page(self.number).counts

    def seal(self) -> Page:
        """Seal the open page; the other one is wiped first and opened by the same store that seals.

        Raises ValueError while a page is waiting to be confirmed.
        """
        if self.confirmed != self.number - 1:
            raise ValueError(f"page {self.number - 1} is not confirmed")
        other = self.number + 1
        for place in range(self.columns):
            for kind in range(len(KINDS)):
                self.words[self._cell(other, place, kind)] = 0
        self.words[_NUMBER] = other
        return self._page(other - 1)

    def confirm(self, number: int) -> None:
        """The group has taken a page; said again it changes nothing."""
        if number == self.number - 1:
            self.words[_CONFIRMED] = number

    @property
    def registered(self) -> bool:
        """The group was seen to have a record of this book."""
        return bool(self.words[_REGISTERED])

    def register(self) -> None:
        self.words[_REGISTERED] = 1

    @property
    def ended(self) -> bool:
        """The sealed page is the last one."""
        return bool(self.words[_LAST]) and self.words[_LAST] == self.number - 1

    def end(self) -> None:
        """Say so of the page that is sealed next; to be said before it is sealed."""
        self.words[_LAST] = self.number

    def doubts(self) -> int:
        """Whoever opens the book of a process that is gone: what was under way then is unknown.

        To be done before the open page is sealed.  Done again after a kill in the middle it comes to the
        same.
        """
        told = 0
        for place in range(self.columns):
            under_way = self.words[self.handing + place]
            if under_way:
                self.words[self._cell(self.number, place, UNKNOWN)] = under_way
                self.words[self.handing + place] = 0
                told += under_way
        return told

    def under_way(self) -> Sequence[int]:
        """Answers begun and not settled, by tenant."""
        return self.words[self.handing : self.handing + self.columns]


def added(one: Counts, other: Counts) -> Counts:
    """Both together."""
    total = dict(one)
    for name, row in other.items():
        old = total.get(name, (0, 0, 0, 0))
        total[name] = (old[0] + row[0], old[1] + row[1], old[2] + row[2], old[3] + row[3])
    return total
