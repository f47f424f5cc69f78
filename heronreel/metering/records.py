"""What the coordination service stores: a record for each ledger, the totals, and the last closed periods.

A ledger's record holds the counts that are not aggregated yet.  A page is added to it, and its counts are
moved to the totals, by transactions on the record's own revision, so a page that is uploaded twice or late is
never in it twice.

Fields are stored under the names given by `name=`, which never change.
"""

from __future__ import annotations

import msgspec

from heronreel.metering.counts import Counts

LEDGER_PREFIX = b"count/book/"
TOTALS_KEY = b"count/sum"
CLOSED_PREFIX = b"count/closed/"
MAX_CLOSED_PERIODS = 96  # older ones are deleted
ABANDONED_PAGE = 1 << 62  # the page of a ledger that an operator abandoned: later than any it may have

TASK_NAME = "count"  # of the fleet-wide task that closes periods


class LedgerRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """The record of one ledger."""

    proxy: str
    zone: str = ""
    page: int = 0  # the newest one that was uploaded; 0: none yet
    aggregated: bool = msgspec.field(default=True, name="taken")  # all pages are in the totals
    last: bool = False  # no page follows
    counts: Counts = {}  # of the pages that are not aggregated
    period: int = msgspec.field(default=0, name="step")  # in which pages were aggregated the last time


class Totals(msgspec.Struct, frozen=True, omit_defaults=True):
    """The open period, and the sum of all closed ones."""

    last_closed: int = msgspec.field(default=0, name="closed")  # the number of the last closed period
    open_counts: Counts = msgspec.field(default_factory=dict, name="open")  # of the period after it
    pages: int = 0  # aggregated into the open period
    closed_counts: Counts = msgspec.field(default_factory=dict, name="ever")  # of all closed periods


class ClosedPeriod(msgspec.Struct, frozen=True, omit_defaults=True):
    """One closed period.

    A request is in the period in which its page was aggregated: commonly the one in which it was answered or
    the next, and later where its proxy could not reach the coordination service.
    """

    period: int = msgspec.field(name="step")
    fencing_token: int = msgspec.field(name="number")  # of the task's holder that closed it
    closed_by: str = msgspec.field(name="by")
    counts: Counts = {}
    pages: int = 0
    missing_proxies: tuple[str, ...] = msgspec.field(default=(), name="unknown")  # absent, not all uploaded


def ledger_key(ledger_id: str) -> bytes:
    """The key of a ledger's record."""
    return LEDGER_PREFIX + ledger_id.encode()


def closed_period_key(period: int) -> bytes:
    """The key of a closed period: keys sort as the numbers do."""
    return CLOSED_PREFIX + b"%012d" % period
