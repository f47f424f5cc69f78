"""The aggregation of uploaded pages, and the closing of a period.  Pure: responses in, requests out.

Every transaction succeeds only under three conditions: the claim on the task still has the fencing token of
the holder, the totals have not been written since they were read, and neither have the aggregated records.  A
page is added to the totals and marked as aggregated in the same transaction.  Therefore a process that
repeats a step, after a lost response or after the holder was killed, finds exactly the pages that are not
aggregated.
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
MAX_BYTES_PER_TXN = 512 << 10  # The limit for the total size of the ledger records in a transaction.
CLAIM_KEY = CLAIM_PREFIX + TASK_NAME.encode()


class ClosingOutcome(enum.Enum):
    """The result of an attempt to close a period."""

    CLOSED = "closed"  # The period is closed.
    TASK_LOST = "task lost"  # Another process holds the task.


class StoredLedger(NamedTuple):
    """The record of a ledger as it was read."""

    key: bytes
    revision: int
    size_bytes: int
    record: LedgerRecord


class PeriodClosing:
    """One step of the task: aggregates all uploaded pages, and then closes a period.

    The caller alternates between `next_request` and `on_response` until there is an outcome.
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
        """Prepare to close a period as the holder of the task.

        Args:
            period: the number of the period.
            fencing_token: the fencing token of the claim on the task.
            closed_by: the name of this process.
            present_proxies: the names of the proxies that are present.
            fenced: whether transactions compare the claim, the totals and the records.  Only a test sets this
                to False, to show that the comparisons are needed.
        """
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
        """Return the next request, or None once there is an outcome."""
        if self.outcome is not None:
            return None
        if self.totals is None:
            return Range(TOTALS_KEY)
        if self.ledgers is None:
            return Range(LEDGER_PREFIX, prefix_end(LEDGER_PREFIX))
        batch = _next_batch(self.ledgers)
        return self._aggregate(self.totals, batch) if batch else self._close(self.totals, self.ledgers)

    def on_response(self, response: ResponseOrError) -> None:
        """Handle the response to the last request.

        After a transaction, or an error that leaves the outcome of a request unknown, the totals and the
        records are read again.
        """
        if isinstance(response, RangeResponse) and self.totals is None:
            self._on_totals(response)
            return
        if isinstance(response, RangeResponse):
            self.ledgers = [_stored_ledger(key, record) for key, record in response.records]
            return
        was_reading = self.totals is not None and self.ledgers is None
        self.totals = self.ledgers = None
        if isinstance(response, TxnResponse) and not response.succeeded and not was_reading:
            # The step ends only if the claim shows that the task is lost.  A transaction may also fail
            # because a page was uploaded in the meantime.
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
        new_totals = Totals(self.period, {}, 0, merge_counts(totals.closed_counts, totals.open_counts))
        operations: list[Operation] = [
            Put(closed_period_key(self.period), msgspec.json.encode(closed)),
            Put(TOTALS_KEY, msgspec.json.encode(new_totals)),
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
    """Return the first ledgers with counts to aggregate, as many as fit in one transaction."""
    batch: list[StoredLedger] = []
    size_bytes = 0
    for ledger in ledgers:
        if ledger.record.aggregated:
            continue
        size_bytes += ledger.size_bytes
        if batch and (len(batch) >= MAX_RECORDS_PER_TXN or size_bytes > MAX_BYTES_PER_TXN):
            break
        batch.append(ledger)
    return batch


def _stored_ledger(key: bytes, stored: Record) -> StoredLedger:
    record = msgspec.json.decode(stored.value, type=LedgerRecord)
    return StoredLedger(key, stored.mod_revision, len(stored.value), record)
