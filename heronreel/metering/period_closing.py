"""The aggregation of uploaded pages, and the closing of a period.  Pure: responses in, requests out.

Every transaction succeeds only while the task's claim has the fencing token that it is done under, nobody
else wrote the totals, and each record aggregated is as it was read.  A page is added to the totals and marked
as aggregated in one of them, so the process that repeats a step, after a lost response or a kill of the
holder, finds what is left.
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
from heronreel.metering.counts import merge_counts
from heronreel.metering.records import (
    ABANDONED_PAGE,
    LEDGER_PREFIX,
    MAX_CLOSED_PERIODS,
    TASK_NAME,
    TOTALS_KEY,
    ClosedPeriod,
    LedgerRecord,
    Totals,
    closed_period_key,
)

MAX_RECORDS_PER_TXN = 48
MAX_BYTES_PER_TXN = 512 << 10  # of ledger records
CLAIM_KEY = CLAIM_PREFIX + TASK_NAME.encode()


class ClosingOutcome(enum.Enum):
    """How the closing of a period ended."""

    CLOSED = "closed"
    TASK_LOST = "task lost"  # another process holds the task


class StoredLedger(NamedTuple):
    """A ledger's record as it was read."""

    key: bytes
    revision: int
    size: int  # in bytes
    record: LedgerRecord


class PeriodClosing:
    """One step of the task: aggregate all uploaded pages, then close a period.

    `next_request` and `on_response` are called in turn, until there is an outcome.
    """

    def __init__(
        self,
        period: int,
        fencing_token: int,
        closed_by: str,
        present_proxies: Collection[str],
        *,
        fenced: bool = True,
    ) -> None:
        """`fenced` is a guard: a test takes it out, and has to fail then."""
        self.period = period
        self.fencing_token = fencing_token
        self.closed_by = closed_by
        self.present_proxies = frozenset(present_proxies)
        self.fenced = fenced
        self.outcome: ClosingOutcome | None = None
        self.totals: Totals | None = None
        self.totals_revision = 0
        self.ledgers: list[StoredLedger] | None = None

    def next_request(self) -> Range | Txn | None:
        """The next request; None once there is an outcome."""
        if self.outcome is not None:
            return None
        if self.totals is None:
            return Range(TOTALS_KEY)
        if self.ledgers is None:
            return Range(LEDGER_PREFIX, prefix_end(LEDGER_PREFIX))
        batch = _next_batch(self.ledgers)
        return self._aggregate(self.totals, batch) if batch else self._close(self.totals, self.ledgers)

    def on_response(self, response: ResponseOrError) -> None:
        """The response to that request; whatever was not done, or may have been, is read again."""
        if isinstance(response, RangeResponse) and self.totals is None:
            self._on_totals(response)
            return
        if isinstance(response, RangeResponse):
            self.ledgers = [_stored_ledger(key, record) for key, record in response.records]
            return
        was_reading = self.totals is not None and self.ledgers is None
        self.totals = self.ledgers = None
        if isinstance(response, TxnResponse) and not response.succeeded and not was_reading:
            # the claim shows whether the task is lost; pages that were uploaded meanwhile don't end the step
            (claim,) = response.responses
            assert isinstance(claim, RangeResponse)
            if not claim.records or claim.records[0][1].create_revision != self.fencing_token:
                self.outcome = ClosingOutcome.TASK_LOST

    def _on_totals(self, response: RangeResponse) -> None:
        self.totals, self.totals_revision = Totals(), 0
        if response.records:
            stored = response.records[0][1]
            self.totals, self.totals_revision = (
                msgspec.json.decode(stored.value, type=Totals),
                stored.mod_revision,
            )
        if self.totals.last_closed >= self.period:
            self.outcome = ClosingOutcome.CLOSED

    def _aggregate(self, totals: Totals, batch: list[StoredLedger]) -> Txn:
        counts = totals.open_counts
        compares: list[Compare] = []
        operations: list[Operation] = []
        for ledger in batch:
            counts = merge_counts(counts, ledger.record.counts)
            compares.append(Compare(ledger.key, CompareTarget.MOD, CompareOperator.EQUAL, ledger.revision))
            operations.append(self._mark_aggregated(ledger))
        pages = totals.pages + len(batch)
        aggregated = Totals(totals.last_closed, counts, pages, totals.closed_counts)
        operations.append(Put(TOTALS_KEY, msgspec.json.encode(aggregated)))
        return self._txn(compares if self.fenced else [], operations)

    def _mark_aggregated(self, ledger: StoredLedger) -> Operation:
        record = ledger.record
        if record.last:
            return DeleteRange(ledger.key)
        marked = LedgerRecord(record.proxy, record.zone, record.page, period=self.period)
        return Put(ledger.key, msgspec.json.encode(marked))

    def _close(self, totals: Totals, ledgers: list[StoredLedger]) -> Txn:
        owners = {ledger.record.proxy for ledger in ledgers if ledger.record.page < ABANDONED_PAGE}
        missing = tuple(sorted(owners - self.present_proxies))
        closed = ClosedPeriod(
            self.period, self.fencing_token, self.closed_by, totals.open_counts, totals.pages, missing
        )
        fresh = Totals(self.period, {}, 0, merge_counts(totals.closed_counts, totals.open_counts))
        operations: list[Operation] = [
            Put(closed_period_key(self.period), msgspec.json.encode(closed)),
            Put(TOTALS_KEY, msgspec.json.encode(fresh)),
        ]
        if self.period > MAX_CLOSED_PERIODS:
            oldest_kept = self.period - MAX_CLOSED_PERIODS + 1
            operations.append(DeleteRange(closed_period_key(0), closed_period_key(oldest_kept)))
        return self._txn([], operations)

    def _txn(self, compares: list[Compare], operations: list[Operation]) -> Txn:
        if self.fenced:
            token = Compare(CLAIM_KEY, CompareTarget.CREATE, CompareOperator.EQUAL, self.fencing_token)
            unchanged = Compare(TOTALS_KEY, CompareTarget.MOD, CompareOperator.EQUAL, self.totals_revision)
            compares = [token, unchanged, *compares]
        return Txn(tuple(compares), tuple(operations), (Range(CLAIM_KEY),))


def _next_batch(ledgers: list[StoredLedger]) -> list[StoredLedger]:
    """The first ledgers with counts to aggregate, as many as fit in one transaction."""
    batch: list[StoredLedger] = []
    size = 0
    for ledger in ledgers:
        if ledger.record.aggregated:
            continue
        size += ledger.size
        if batch and (len(batch) >= MAX_RECORDS_PER_TXN or size > MAX_BYTES_PER_TXN):
            break
        batch.append(ledger)
    return batch


def _stored_ledger(key: bytes, stored: Record) -> StoredLedger:
    record = msgspec.json.decode(stored.value, type=LedgerRecord)
    return StoredLedger(key, stored.mod_revision, len(stored.value), record)
