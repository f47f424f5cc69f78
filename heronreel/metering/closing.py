"""The fleet-wide task that takes pages and closes periods.  Pure: answers in, questions out.

Every transaction holds only while the task's claim has the number it is done under, nobody else wrote the
sum, and each page taken is as it was read.  A page goes into the sum and is marked as taken in one of them,
so whoever does a step again, after an answer that was lost or a holder that was killed, finds what is left.
"""

from __future__ import annotations

import enum
from collections.abc import Collection
from typing import NamedTuple

import msgspec

from heronreel.coordination.model import (
    Compare,
    CompareOperator,
    CompareTarget,
    DeleteRange,
    Operation,
    Put,
    Range,
    RangeResponse,
    Record,
    ResponseOrError,
    Txn,
    TxnResponse,
    prefix_end,
)
from heronreel.leases.keys import CLAIM_PREFIX
from heronreel.metering.book import added
from heronreel.metering.records import (
    BOOKS,
    CLOSED_KEPT,
    GIVEN_UP,
    SUM,
    TASK,
    Closed,
    Posted,
    Sum,
    closed_key,
)

PAGES_MOST = 48  # in one transaction
BYTES_MOST = 512 << 10  # of pages in one


class Outcome(enum.Enum):
    CLOSED = "closed"
    LEFT = "left"  # another holds the task


class Book(NamedTuple):
    """A book's record as it was read."""

    key: bytes
    mod: int
    size: int
    posted: Posted


class Closing:
    """One step: take all pages there are, then close the period `step`.  `next` and `answered` in turn."""

    def __init__(
        self, step: int, number: int, by: str, present: Collection[str], *, fenced: bool = True
    ) -> None:
        """`present` are the names of the proxies that are there; `fenced` is taken out by tests that have to
        fail then.
        """
        self.step = step
        self.number = number
        self.by = by
        self.present = frozenset(present)
        self.fenced = fenced
        self.outcome: Outcome | None = None
        self.sum: Sum | None = None
        self.mod = 0  # of the sum
        self.books: list[Book] | None = None

    def next(self) -> Range | Txn | None:
        """The next question; None once there is an outcome."""
        if self.outcome is not None:
            return None
        if self.sum is None:
            return Range(SUM)
        if self.books is None:
            return Range(BOOKS, prefix_end(BOOKS))
        batch = self._batch(self.books)
        return self._take(self.sum, batch) if batch else self._close(self.sum, self.books)

    def answered(self, answer: ResponseOrError) -> None:
        """The answer to it; whatever was not done, or may have been, is read anew."""
        if isinstance(answer, RangeResponse) and self.sum is None:
            self._read_sum(answer)
            return
        if isinstance(answer, RangeResponse):
            self.books = [_book(key, record) for key, record in answer.records]
            return
        reading = self.sum is not None and self.books is None
        self.sum = self.books = None
        if isinstance(answer, TxnResponse) and not answer.succeeded and not reading:
            # the first result says who has the claim; pages that were put meanwhile are no reason to leave
            (found,) = answer.results
            assert isinstance(found, RangeResponse)
            if not found.records or found.records[0][1].create != self.number:
                self.outcome = Outcome.LEFT

    def _read_sum(self, found: RangeResponse) -> None:
        self.mod = found.records[0][1].mod if found.records else 0
        self.sum = msgspec.json.decode(found.records[0][1].value, type=Sum) if found.records else Sum()
        if self.sum.closed >= self.step:
            self.outcome = Outcome.CLOSED

    def _batch(self, books: list[Book]) -> list[Book]:
        batch: list[Book] = []
        size = 0
        for book in books:
            if book.posted.taken:
                continue
            size += book.size
            if batch and (len(batch) >= PAGES_MOST or size > BYTES_MOST):
                break
            batch.append(book)
        return batch

    def _txn(self, compares: list[Compare], operations: list[Operation]) -> Txn:
        claim = CLAIM_PREFIX + TASK.encode()
        if self.fenced:
            ours = Compare(claim, CompareTarget.CREATE, CompareOperator.EQUAL, self.number)
            same = Compare(SUM, CompareTarget.MOD, CompareOperator.EQUAL, self.mod)
            compares = [ours, same, *compares]
        return Txn(tuple(compares), tuple(operations), (Range(claim),))

    def _take(self, old: Sum, batch: list[Book]) -> Txn:
        counts = old.open
        compares: list[Compare] = []
        operations: list[Operation] = []
        for book in batch:
            posted = book.posted
            counts = added(counts, posted.counts)
            compares.append(Compare(book.key, CompareTarget.MOD, CompareOperator.EQUAL, book.mod))
            if posted.last:
                operations.append(DeleteRange(book.key))
            else:
                kept = Posted(posted.proxy, posted.zone, posted.page, step=self.step)
                operations.append(Put(book.key, msgspec.json.encode(kept)))
        new = Sum(old.closed, counts, old.pages + len(batch), old.ever)
        operations.append(Put(SUM, msgspec.json.encode(new)))
        return self._txn(compares if self.fenced else [], operations)

    def _close(self, old: Sum, books: list[Book]) -> Txn:
        owners = {book.posted.proxy for book in books if book.posted.page < GIVEN_UP}
        unknown = sorted(owners - self.present)
        row = Closed(self.step, self.number, self.by, old.open, old.pages, tuple(unknown))
        new = Sum(self.step, {}, 0, added(old.ever, old.open))
        operations: list[Operation] = [
            Put(closed_key(self.step), msgspec.json.encode(row)),
            Put(SUM, msgspec.json.encode(new)),
        ]
        if self.step > CLOSED_KEPT:
            operations.append(DeleteRange(closed_key(0), closed_key(self.step - CLOSED_KEPT + 1)))
        return self._txn([], operations)


def _book(key: bytes, record: Record) -> Book:
    return Book(key, record.mod, len(record.value), msgspec.json.decode(record.value, type=Posted))
