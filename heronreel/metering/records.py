"""What the group keeps of the counts: one record for each book, one sum, and the periods closed last.

A book's record holds what nobody has taken yet.  A page is added to it, and what it holds is taken out, by
transactions on the record's own revision, so a page that was put twice or late is never in it twice.
"""

from __future__ import annotations

import msgspec

from heronreel.metering.book import Counts

BOOKS = b"count/book/"
SUM = b"count/sum"
CLOSED = b"count/closed/"
CLOSED_KEPT = 96  # periods that stay to be read
GIVEN_UP = 1 << 62  # the page of a book that was given up by hand: later than any it may have

TASK = "count"  # the name of the fleet-wide task that closes periods


class Posted(msgspec.Struct, frozen=True, omit_defaults=True):
    """A book's record."""

    proxy: str
    zone: str = ""
    page: int = 0  # the newest that was put here; 0: none yet
    taken: bool = True  # all of them are in the sum
    last: bool = False  # no page follows
    counts: Counts = {}  # of the pages that are not
    step: int = 0  # the period that it was taken for, the last time


class Sum(msgspec.Struct, frozen=True, omit_defaults=True):
    """The period that is open, and all that were closed."""

    closed: int = 0  # the last one
    open: Counts = {}  # of the period behind it
    pages: int = 0  # taken for it
    ever: Counts = {}  # of all closed ones


class Closed(msgspec.Struct, frozen=True, omit_defaults=True):
    """One period.  A request is in the period that its page was taken for: commonly the one in which it was
    answered or the next, and later where its proxy could not reach the group.
    """

    step: int
    number: int  # the grant under which it was closed
    by: str
    counts: Counts = {}
    pages: int = 0
    unknown: tuple[str, ...] = ()  # proxies that are not there and whose last counts have not come


def book_key(ident: str) -> bytes:
    return BOOKS + ident.encode()


def closed_key(step: int) -> bytes:
    return CLOSED + b"%012d" % step
