"""The usage ledger of one process: two pages of counts in a buffer that outlives it.  Pure.

The buffer is a memory-mapped file: what was stored in it is found by the process that opens the file next,
whenever this one was killed.  Each change takes effect by *one* store of eight bytes, so there is no state in
between: the open page has a number, and raising the number seals that page and opens the other one.  A page
is sealed only once the one before it is confirmed, so two pages are enough, however long the coordination
service is away: until then the open page goes on growing.

A response is *begun* before it is handed to its client's connection and *settled* afterwards.  One that was
begun and not settled when the process was killed is counted as unknown, and never as delivered.
"""

from __future__ import annotations

from collections.abc import MutableSequence, Sequence
from typing import NamedTuple

from heronreel.metering.counts import KIND_NAMES, NO_TENANT, Counts, ResponseKind
from heronreel.metering.errors import PagePendingError
from heronreel.metering.ledger_format import (
    PAGES,
    WORD_CONFIRMED_PAGE,
    WORD_LAST_PAGE,
    WORD_OPEN_PAGE,
    WORD_REGISTERED,
    LedgerHeader,
)


class Page(NamedTuple):
    """A sealed page; tenants of whom nothing was counted are left out."""

    number: int
    counts: Counts


class Ledger:
    """The counts in a buffer of eight-byte words, which nobody else may write to."""

    def __init__(self, header: LedgerHeader, words: MutableSequence[int], first_cell: int) -> None:
        """`words` is the whole buffer, and its cells begin at `first_cell`: see `decode_header`."""
        self.header = header
        self.words = words
        self.tenants = len(header.tenants) + 1
        tenants = (NO_TENANT, *header.tenants)
        self.tenant_indexes = {tenant: index for index, tenant in enumerate(tenants)}
        self._in_flight = first_cell
        first_page = first_cell + self.tenants
        self._pages = (first_page, first_page + self.tenants * len(KIND_NAMES))

    def _cell(self, page: int, tenant_index: int, kind: int) -> int:
        return self._pages[page % PAGES] + tenant_index * len(KIND_NAMES) + kind

    # -- counting

    def begin(self, tenant: str) -> int:
        """Record that a response is about to be handed over; returns the tenant's index, for `settle`."""
        tenant_index = self.tenant_indexes.get(tenant, 0)
        self.words[self._in_flight + tenant_index] += 1
        return tenant_index

    def settle(self, tenant_index: int, kind: int) -> None:
        """Count a response that was handed over.

        The count goes up before the number in flight goes down: a process that is killed in between has
        counted what it also reports as unknown, and nothing is counted that was not handed over.
        """
        self.words[self._cell(self.open_page, tenant_index, kind)] += 1
        self.words[self._in_flight + tenant_index] -= 1

    def in_flight(self) -> Sequence[int]:
        """Responses begun and not settled, by tenant."""
        return self.words[self._in_flight : self._in_flight + self.tenants]

    def count_in_flight_as_unknown(self) -> int:
        """Count what was in flight as unknown, and return how much that was.

        To be called in the ledger of a process that is gone, before its open page is sealed.  When it is
        interrupted by a kill, calling it again leads to the same counts.
        """
        total = 0
        for tenant_index in range(self.tenants):
            in_flight = self.words[self._in_flight + tenant_index]
            if in_flight:
                self.words[self._cell(self.open_page, tenant_index, ResponseKind.UNKNOWN)] = in_flight
                self.words[self._in_flight + tenant_index] = 0
                total += in_flight
        return total

    # -- pages

    @property
    def open_page(self) -> int:
        """The number of the open page, from 1."""
        return self.words[WORD_OPEN_PAGE]

    @property
    def confirmed_page(self) -> int:
        """The number of the last page that was uploaded; 0: none."""
        return self.words[WORD_CONFIRMED_PAGE]

    def pending_page(self) -> Page | None:
        """The sealed page that is not confirmed, if there is one."""
        return self._read_page(self.open_page - 1) if self.confirmed_page < self.open_page - 1 else None

    def open_counts(self) -> Counts:
        """What the open page holds."""
        return self._read_page(self.open_page).counts

    def _read_page(self, number: int) -> Page:
        counts: Counts = {}
        for tenant, tenant_index in self.tenant_indexes.items():
            cell = self._cell(number, tenant_index, 0)
            served, refused, failed, unknown = self.words[cell : cell + len(KIND_NAMES)]
            if served or refused or failed or unknown:
                counts[tenant] = served, refused, failed, unknown
        return Page(number, counts)

    def seal_page(self) -> Page:
        """Seal the open page.  The other page is cleared first, and opened by the same store that seals.

        Raises:
            PagePendingError: the page before it is not confirmed yet.
        """
        if self.confirmed_page != self.open_page - 1:
            raise PagePendingError(self.open_page - 1)
        next_page = self.open_page + 1
        for tenant_index in range(self.tenants):
            for kind in range(len(KIND_NAMES)):
                self.words[self._cell(next_page, tenant_index, kind)] = 0
        self.words[WORD_OPEN_PAGE] = next_page
        return self._read_page(next_page - 1)

    def confirm_page(self, number: int) -> None:
        """Record that a page was uploaded; repeated, it changes nothing."""
        if number == self.open_page - 1:
            self.words[WORD_CONFIRMED_PAGE] = number

    # -- registration and end

    @property
    def registered(self) -> bool:
        """Whether the coordination service was seen to have a record of this ledger."""
        return bool(self.words[WORD_REGISTERED])

    def mark_registered(self) -> None:
        """Record that the coordination service has a record of this ledger."""
        self.words[WORD_REGISTERED] = 1

    @property
    def is_complete(self) -> bool:
        """Whether the sealed page is the last one."""
        return bool(self.words[WORD_LAST_PAGE]) and self.words[WORD_LAST_PAGE] == self.open_page - 1

    def mark_last_page(self) -> None:
        """Record that the open page is the last one; to be called before it is sealed."""
        self.words[WORD_LAST_PAGE] = self.open_page
