"""What operators see of the counts, and giving up a book whose disk is lost."""

from __future__ import annotations

from typing import Any

import msgspec

from heronreel.coordination.client import Client
from heronreel.coordination.model import (
    Compare,
    CompareOperator,
    CompareTarget,
    Put,
    Range,
    RangeResponse,
    Txn,
    TxnResponse,
    prefix_end,
)
from heronreel.leases.keys import PRESENCE_PREFIX, present_names
from heronreel.metering.book import KINDS, Counts, added
from heronreel.metering.records import BOOKS, CLOSED, GIVEN_UP, SUM, Closed, Posted, Sum, book_key


async def counts(client: Client, periods: int) -> dict[str, Any]:
    """Rows for people and programs.  Raises Refused."""
    reads = Txn((), (Range(SUM), Range(BOOKS, prefix_end(BOOKS)), Range(CLOSED, prefix_end(CLOSED)),
                     Range(PRESENCE_PREFIX, prefix_end(PRESENCE_PREFIX), keys_only=True)))  # fmt: skip
    told = await client.call(reads)  # of one moment
    assert isinstance(told, TxnResponse)
    *rest, present = (r for r in told.results if isinstance(r, RangeResponse))
    sums, books, closed = (r.records for r in rest)
    names = set(present_names(present))
    total = msgspec.json.decode(sums[0][1].value, type=Sum) if sums else Sum()
    rows = [msgspec.json.decode(record.value, type=Closed) for _, record in closed]
    records = [(key, msgspec.json.decode(record.value, type=Posted)) for key, record in books]
    open_ = total.open
    for _, posted in records:
        open_ = added(open_, posted.counts)
    return {
        "ever": _shown(added(total.ever, open_)),
        "open": _shown(open_),
        "closed": total.closed,
        "periods": [
            {
                "step": row.step, "by": row.by, "number": row.number, "counts": _shown(row.counts),
                "unknown": list(row.unknown),
            }
            for row in rows[len(rows) - periods :]
        ],
        "books": [
            {
                "book": key[len(BOOKS) :].decode(), "proxy": posted.proxy, "zone": posted.zone,
                "page": posted.page, "there": posted.proxy in names,
            }
            for key, posted in records
            if posted.page < GIVEN_UP
        ],
    }  # fmt: skip


def _shown(counts: Counts) -> dict[str, dict[str, int]]:
    return {name: dict(zip(KINDS, row, strict=True)) for name, row in sorted(counts.items())}


async def forget(client: Client, ident: str) -> bool:
    """Give up a book; what it put before stays counted.  False: there is none.  Raises Refused."""
    key = book_key(ident)
    for _ in range(5):
        found = await client.call(Range(key))
        assert isinstance(found, RangeResponse)
        if not found.records:
            return False
        record = found.records[0][1]
        old = msgspec.json.decode(record.value, type=Posted)
        new = msgspec.structs.replace(old, page=GIVEN_UP)
        same = Compare(key, CompareTarget.MOD, CompareOperator.EQUAL, record.mod)
        done = await client.call(Txn((same,), (Put(key, msgspec.json.encode(new)),)))
        assert isinstance(done, TxnResponse)
        if done.succeeded:
            return True
    return False
