"""A book's way to the group, page by page.  Pure: events and time in, actions out.

A page is put into the book's record together with what nobody has taken out of it yet, by a transaction on
the record's own revision.

What the group's record says decides, and not what was answered: after every answer that did not come, the
record is read again.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from heronreel.coordination.model import (
    Compare,
    CompareOperator,
    CompareTarget,
    Put,
    Range,
    RangeResponse,
    ResponseOrError,
    Txn,
    TxnResponse,
)
from heronreel.leases.requests import SendRequest, SingleRequestSender
from heronreel.metering.book import Counts, Head, Page, added
from heronreel.metering.records import SUM, Posted, book_key

PAUSE_S = 0.5  # before a question that nobody answered is put again, and twice that at most


class Seal(NamedTuple):
    """Seal the open page, see that it is on the disk, and tell `sealed`."""

    last: bool


class Registered(NamedTuple):
    """The record is there: to be kept in the book before a page is put, since a record that is gone again has
    been let go with its last page.
    """


class Confirm(NamedTuple):
    """The group has the page: the book may let it go."""

    number: int


class Over(NamedTuple):
    """The group has all that the book holds: it may be removed."""


class SetBack(NamedTuple):
    """Book and group do not go together: an old copy of the book was put back, or the group was lost, or the
    book was given up by hand.  What it holds may have been counted, so nothing of it is put.
    """

    page: int  # that the group has
    sealed: int  # that the book has


Action = SendRequest | Seal | Registered | Confirm | Over | SetBack
Actions = list[Action]


class Phase(enum.Enum):
    READING = "reading"  # the record
    COUNTING = "counting"  # until the open page is due
    SEALING = "sealing"
    POSTING = "posting"
    OVER = "over"


class Posting(SingleRequestSender):
    """One book, from when it is opened until the group has all of it."""

    def __init__(
        self,
        head: Head,
        confirmed: int,
        sealed: Page | None,
        every_s: float,
        now: float,
        *,
        registered: bool = False,
        last: bool = False,
        guarded: bool = True,
        dated: bool = True,
        answer_s: float = 1.0,
        jitter: Callable[[], float] = lambda: 0.5,
    ) -> None:
        """`confirmed`, `sealed`, `registered` and `last` (the sealed page is the last one) are the book's.

        The open page is sealed `every_s` if anything is in it.  `guarded` and `dated` are taken out by tests
        that have to fail then.
        """
        self.head = head
        self.key = book_key(head.id)
        self.confirmed = confirmed
        self.page = sealed
        self.every_s = every_s
        super().__init__(answer_s)
        self.jitter = jitter
        self.phase = Phase.READING
        self.due = now
        self.seen = 0  # the record's MOD revision; 0: there is none
        self.record = Posted(head.proxy, head.zone)
        self.final = False  # nothing is counted any more
        self.registered = registered
        self.guarded = guarded
        self.dated = dated
        self.sum_seen = 0  # the sum's MOD revision when the record was read
        self.last = last  # the sealed page is the last one
        self.next_seal = now + every_s * (0.5 + 0.5 * jitter())

    def wake(self) -> float:
        if self.phase is Phase.OVER:
            return float("inf")
        if self.in_flight is not None:
            return self.in_flight.sent_at + self.response_timeout_s
        return float("inf") if self.phase is Phase.SEALING else self.due

    def finish(self, now: float) -> None:
        """Nothing is counted any more: the open page is sealed as the last one, as soon as may be."""
        self.final = True
        self.next_seal = now
        if self.in_flight is None and self.phase is Phase.COUNTING:
            self.due = now

    def tick(self, now: float, counted: bool) -> Actions:
        """Time has passed; `counted`: there is something in the open page."""
        if self._timed_out(now):
            self._again(now)
        if self.in_flight is not None:
            return []
        if self.phase in (Phase.OVER, Phase.SEALING) or now < self.due:
            return []
        if self.phase is Phase.COUNTING:
            if now < self.next_seal or not (counted or self.final):
                self.next_seal = max(self.next_seal, now) if counted else now + self.every_s
                self.due = self.next_seal
                return []
            self.phase = Phase.SEALING
            return [Seal(self.final)]
        return [self._send(now, Txn((), (Range(self.key), Range(SUM))))]

    def sealed(self, now: float, page: Page, last: bool) -> Actions:
        """The book has sealed a page, durably."""
        self.page, self.last = page, last
        self.next_seal = now + self.every_s
        self.phase = Phase.READING
        self.due = now
        return []

    def _again(self, now: float) -> None:
        self.in_flight = None
        self.phase = Phase.READING
        self.due = now + PAUSE_S * (0.5 + self.jitter())

    def _put(self, now: float, record: Posted) -> Actions:
        compares = (
            [Compare(self.key, CompareTarget.MOD, CompareOperator.EQUAL, self.seen)] if self.guarded else []
        )
        if not self.seen and self.dated:
            # a late one could make the record anew behind its end: an end changes the sum
            compares.append(Compare(SUM, CompareTarget.MOD, CompareOperator.EQUAL, self.sum_seen))
        self.phase = Phase.POSTING
        return [self._send(now, Txn(tuple(compares), (Put(self.key, msgspec.json.encode(record)),)))]

    def _post(self, now: float) -> Actions:
        assert self.page is not None
        counts = added(self.record.counts, self.page.counts)
        return self._put(now, self._record(self.page.number, counts, False, self.last))

    def _record(self, page: int, counts: Counts, taken: bool, last: bool) -> Posted:
        return Posted(self.head.proxy, self.head.zone, page, taken, last, counts, self.record.step)

    def answered(self, now: float, number: int, answer: ResponseOrError) -> Actions:
        if not self._is_in_flight(number):
            return []
        if isinstance(answer, TxnResponse) and self.phase is not Phase.POSTING:
            self.in_flight = None
            found, total = answer.results
            assert isinstance(found, RangeResponse) and isinstance(total, RangeResponse)
            self.sum_seen = total.records[0][1].mod if total.records else 0
            return self._read(now, found)
        self._again(now)  # whatever became of it, the record says
        if isinstance(answer, TxnResponse):
            self.due = now
        return []

    def _read(self, now: float, found: RangeResponse) -> Actions:
        if not found.records:
            return self._absent(now)
        record = found.records[0][1]
        self.seen = record.mod
        self.record = posted = msgspec.json.decode(record.value, type=Posted)
        ours = self.page.number if self.page else self.confirmed
        if posted.page > ours or posted.page < self.confirmed:
            return self._set_back(posted.page)
        actions: Actions = [] if self.registered else [Registered()]
        self.registered = True
        if self.page is not None and posted.page < ours:
            return actions + self._post(now)
        if posted.last:
            return self._over()
        if self.page is not None:
            self.confirmed, self.page = ours, None
            actions.append(Confirm(ours))
        self.phase = Phase.COUNTING
        self.due = now if self.final else max(now, self.next_seal)
        return actions

    def _over(self) -> Actions:
        self.phase = Phase.OVER
        return [Over()]

    def _absent(self, now: float) -> Actions:
        """The record was never made, or it was let go with the last page: in no other way is one let go."""
        self.seen = 0
        if self.registered:
            return self._over() if self.last else self._set_back(0)
        return self._put(now, self._record(self.confirmed, {}, True, False))

    def _set_back(self, page: int) -> Actions:
        self.phase = Phase.OVER
        return [SetBack(page, self.page.number if self.page else self.confirmed)]
