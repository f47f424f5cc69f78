"""The records in the coordination service: one for each ledger, the totals, and the last closed periods.

The record of a ledger holds the counts that are not aggregated yet.  Pages are added to it, and its counts
are moved to the totals, by transactions that compare the revision of the record.  Therefore a page that is
uploaded twice or late is never counted twice.

A field with `name=` is stored under that name, which must never change.
"""

from __future__ import annotations

import msgspec

from heronreel.metering.counts import Counts

LEDGER_PREFIX = b"count/book/"
TOTALS_KEY = b"count/sum"
CLOSED_PREFIX = b"count/closed/"
MAX_CLOSED_PERIODS = 96  # Older closed periods are deleted.
# The page number in the record of a ledger that an operator has abandoned.  It is higher than the number of
# any page, so that all pages of the ledger are rejected.
ABANDONED_PAGE = 1 << 62

TASK_NAME = "count"  # The name of the fleet-wide task that closes periods.


class LedgerRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """The record of one ledger.

    Attributes:
        proxy: the name of the proxy that counts in the ledger.
        zone: the zone of the proxy.
        page: the number of the last uploaded page, or 0 if there is none.
        aggregated: whether all uploaded pages have been added to the totals.
        last: whether the last uploaded page is the last page of the ledger.
        counts: the counts of the uploaded pages that are not aggregated.
        period: the period in which pages of the ledger were last aggregated.
    """

    proxy: str
    zone: str = ""
    page: int = 0
    aggregated: bool = msgspec.field(default=True, name="taken")
    last: bool = False
    counts: Counts = {}
    period: int = msgspec.field(default=0, name="step")


class Totals(msgspec.Struct, frozen=True, omit_defaults=True):
    """The counts of the open period, and the sum of all closed periods.

    Attributes:
        last_closed: the number of the last closed period.
        open_counts: the counts of the open period, which follows the last closed period.
        pages: the number of pages that were aggregated into the open period.
        closed_counts: the sum of the counts of all closed periods.
    """

    last_closed: int = msgspec.field(default=0, name="closed")
    open_counts: Counts = msgspec.field(default_factory=dict, name="open")
    pages: int = 0
    closed_counts: Counts = msgspec.field(default_factory=dict, name="ever")


class ClosedPeriod(msgspec.Struct, frozen=True, omit_defaults=True):
    """One closed period.

    A response is counted in the period in which its page was aggregated.  Usually this is the period in which
    the response was sent, or the next one.  It is a later one if the proxy could not reach the coordination
    service.

    Attributes:
        period: the number of the period.
        fencing_token: the fencing token of the task's holder that closed the period.
        closed_by: the name of the process that closed the period.
        counts: the counts of the period.
        pages: the number of pages that were aggregated into the period.
        missing_proxies: the proxies that were absent and may have counts that are not uploaded.
    """

    period: int = msgspec.field(name="step")
    fencing_token: int = msgspec.field(name="number")
    closed_by: str = msgspec.field(name="by")
    counts: Counts = {}
    pages: int = 0
    missing_proxies: tuple[str, ...] = msgspec.field(default=(), name="unknown")


def ledger_key(ledger_id: str) -> bytes:
    """Return the key of a ledger's record."""
    return LEDGER_PREFIX + ledger_id.encode()


def closed_period_key(period: int) -> bytes:
    """Return the key of a closed period.  The keys sort in the order of the periods' numbers."""
    return CLOSED_PREFIX + b"%012d" % period
