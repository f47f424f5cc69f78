"""The usage overview for operators, and the operation that abandons a ledger whose disk is lost."""

from __future__ import annotations

from typing import TypedDict

import msgspec

from heronreel.coordination.client import Client
from heronreel.coordination.model import (
    Compare,
    CompareOperator,
    CompareTarget,
    Put,
    Range,
    RangeResponse,
    Record,
    Txn,
    TxnResponse,
    prefix_end,
)
from heronreel.leases.keys import PRESENCE_PREFIX, present_names
from heronreel.metering.counts import KIND_NAMES, Counts, merge_counts
from heronreel.metering.records import (
    ABANDONED_PAGE,
    CLOSED_PREFIX,
    LEDGER_PREFIX,
    TOTALS_KEY,
    ClosedPeriod,
    LedgerRecord,
    Totals,
    ledger_key,
)

MAX_ABANDON_ATTEMPTS = 5

CountsByKind = dict[str, dict[str, int]]  # The keys are the tenant and the name of the kind.


class PeriodRow(TypedDict):
    """A closed period, as `heronreel counts --json` prints it.

    Attributes:
        step: the number of the period.
        by: the name of the process that closed the period.
        number: the fencing token under which the period was closed.
        counts: the counts of the period.
        unknown: the proxies that were absent and may have counts that are not uploaded.
    """

    step: int
    by: str
    number: int
    counts: CountsByKind
    unknown: list[str]


class LedgerRow(TypedDict):
    """A ledger, as `heronreel counts --json` prints it.

    Attributes:
        book: the id of the ledger.
        proxy: the name of the proxy that counts in the ledger.
        zone: the zone of the proxy.
        page: the number of the last uploaded page.
        there: whether the proxy is present.
    """

    book: str
    proxy: str
    zone: str
    page: int
    there: bool


class UsageOverview(TypedDict):
    """The usage over the fleet, as `heronreel counts --json` prints it.

    Attributes:
        ever: all counts, including uploaded pages that are not aggregated yet.
        open: the counts of the open period, including uploaded pages that are not aggregated yet.
        closed: the number of the last closed period.
        periods: the last closed periods, the oldest first.
        books: the ledgers that have a record and are not abandoned.
    """

    ever: CountsByKind
    open: CountsByKind
    closed: int
    periods: list[PeriodRow]
    books: list[LedgerRow]


async def usage_overview(client: Client, periods: int) -> UsageOverview:
    """Read the usage at one revision, with up to `periods` of the last closed periods.

    Raises:
        RequestError: the coordination service did not respond.
    """
    reads = (
        Range(TOTALS_KEY),
        Range(LEDGER_PREFIX, prefix_end(LEDGER_PREFIX)),
        Range(CLOSED_PREFIX, prefix_end(CLOSED_PREFIX)),
        Range(PRESENCE_PREFIX, prefix_end(PRESENCE_PREFIX), keys_only=True),
    )
    response = await client.call(Txn((), reads))
    assert isinstance(response, TxnResponse)
    totals_read, ledgers_read, closed_read, presence = (
        result for result in response.responses if isinstance(result, RangeResponse)
    )
    totals = _decode_totals(totals_read.records)
    closed = [msgspec.json.decode(stored.value, type=ClosedPeriod) for _, stored in closed_read.records]
    ledgers = [
        (key, msgspec.json.decode(stored.value, type=LedgerRecord)) for key, stored in ledgers_read.records
    ]
    present = set(present_names(presence))
    open_counts = totals.open_counts
    for _, record in ledgers:
        open_counts = merge_counts(open_counts, record.counts)
    return {
        "ever": _by_kind(merge_counts(totals.closed_counts, open_counts)),
        "open": _by_kind(open_counts),
        "closed": totals.last_closed,
        "periods": [_period_row(period) for period in closed[len(closed) - periods :]],
        "books": [
            _ledger_row(key, record, present) for key, record in ledgers if record.page < ABANDONED_PAGE
        ],
    }


def _decode_totals(records: tuple[tuple[bytes, Record], ...]) -> Totals:
    return msgspec.json.decode(records[0][1].value, type=Totals) if records else Totals()


def _period_row(period: ClosedPeriod) -> PeriodRow:
    return {
        "step": period.period,
        "by": period.closed_by,
        "number": period.fencing_token,
        "counts": _by_kind(period.counts),
        "unknown": list(period.missing_proxies),
    }


def _ledger_row(key: bytes, record: LedgerRecord, present: set[str]) -> LedgerRow:
    return {
        "book": key[len(LEDGER_PREFIX) :].decode(),
        "proxy": record.proxy,
        "zone": record.zone,
        "page": record.page,
        "there": record.proxy in present,
    }


def _by_kind(counts: Counts) -> CountsByKind:
    return {tenant: dict(zip(KIND_NAMES, row, strict=True)) for tenant, row in sorted(counts.items())}


async def abandon_ledger(client: Client, ledger_id: str) -> bool:
    """Abandon a ledger: pages that were uploaded before stay counted, and later pages are rejected.

    Returns:
        Whether the ledger was abandoned.  It is not if there is no such ledger, or if its record was changed
        during each attempt.

    Raises:
        RequestError: the coordination service did not respond.
    """
    key = ledger_key(ledger_id)
    for _ in range(MAX_ABANDON_ATTEMPTS):
        range_response = await client.call(Range(key))
        assert isinstance(range_response, RangeResponse)
        if not range_response.records:
            return False
        stored = range_response.records[0][1]
        record = msgspec.json.decode(stored.value, type=LedgerRecord)
        abandoned = msgspec.structs.replace(record, page=ABANDONED_PAGE)
        unchanged = Compare(key, CompareTarget.MOD, CompareOperator.EQUAL, stored.mod_revision)
        response = await client.call(Txn((unchanged,), (Put(key, msgspec.json.encode(abandoned)),)))
        assert isinstance(response, TxnResponse)
        if response.succeeded:
            return True
    return False
