"""The usage ledger of one process: two pages of counts in a buffer that outlives the process.  Pure: no I/O.

The buffer is a memory-mapped file.  Whenever the process is killed, the next process that opens the file
finds everything that was stored in it.  Each change takes effect by *one* store of eight bytes, so no
intermediate state is ever visible: the open page has a number, and incrementing that number seals the page
and opens the other one.  A page is sealed only after the page before it has been confirmed.  Therefore two
pages are enough even if the coordination service is unavailable for a long time: until the page is confirmed,
the counts of the open page keep growing.

A response *begins* before it is written to its client's connection, and is *settled* afterwards.  A response
that had begun and was not settled when the process was killed is counted as unknown, and never as delivered.
"""

from __future__ import annotations

from collections.abc import MutableSequence, Sequence
from typing import NamedTuple

from heronreel.metering.counts import KIND_NAMES, NO_TENANT, Counts, ResponseKind
from heronreel.metering.errors import PagePendingError
from heronreel.metering.ledger_format import (
    PAGE_COUNT,
    WORD_CONFIRMED_PAGE,
    WORD_LAST_PAGE,
    WORD_OPEN_PAGE,
    WORD_REGISTERED,
    LedgerHeader,
)


class Page(NamedTuple):
    """The counts of a page.  Tenants without counts are left out."""

    number: int
    counts: Counts


class Ledger:
    """The counts in a buffer of eight-byte words.  Nothing else may write to the buffer."""

    def __init__(self, header: LedgerHeader, words: MutableSequence[int], first_cell: int) -> None:
        """Use a buffer with a valid header.

        `words` is the whole buffer.  Its cells begin at the index `first_cell`, which `decode_header`
        returns.
        """
        self.header = header
        self.words = words
        self.tenant_count = len(header.tenants) + 1
        tenants = (NO_TENANT, *header.tenants)
        self.tenant_indexes = {tenant: index for index, tenant in enumerate(tenants)}
        self._in_flight = first_cell
        first_page = first_cell + self.tenant_count
        self._pages = (first_page, first_page + self.tenant_count * len(KIND_NAMES))

    def _cell_index(self, page: int, tenant_index: int, kind: int) -> int:
        return self._pages[page % PAGE_COUNT] + tenant_index * len(KIND_NAMES) + kind

    # -- counting

    def begin(self, tenant: str) -> int:
        """Record that a response is about to be sent; returns the tenant's index, which `settle` needs."""
        tenant_index = self.tenant_indexes.get(tenant, 0)
        self.words[self._in_flight + tenant_index] += 1
        return tenant_index

    def settle(self, tenant_index: int, kind: int) -> None:
        """Count a response that was sent.

        The count is incremented before the number in flight is decremented.  If the process is killed in
        between, the response is counted and is also reported as unknown.  No response is counted that was not
        sent.
        """
        self.words[self._cell_index(self.open_page, tenant_index, kind)] += 1
        self.words[self._in_flight + tenant_index] -= 1

    def in_flight(self) -> Sequence[int]:
        """Return the number of responses that have begun and are not settled, by tenant index."""
        return self.words[self._in_flight : self._in_flight + self.tenant_count]

    def count_in_flight_as_unknown(self) -> int:
        """Count the responses in flight as unknown, and return their number.

        Call this on the ledger of a process that has ended, before the open page is sealed.  If the caller is
        killed during the call, repeating it leads to the same counts.
        """
        total = 0
        for tenant_index in range(self.tenant_count):
            in_flight = self.words[self._in_flight + tenant_index]
            if in_flight:
                self.words[self._cell_index(self.open_page, tenant_index, ResponseKind.UNKNOWN)] = in_flight
                self.words[self._in_flight + tenant_index] = 0
                total += in_flight
        return total

    # -- pages

    @property
    def open_page(self) -> int:
        """The number of the open page; the first page is 1."""
        return self.words[WORD_OPEN_PAGE]

    @property
    def confirmed_page(self) -> int:
        """The number of the last page that was uploaded, or 0 if there is none."""
        return self.words[WORD_CONFIRMED_PAGE]

    def pending_page(self) -> Page | None:
        """Return the sealed page that is not confirmed, or None if there is none."""
        return self._read_page(self.open_page - 1) if self.confirmed_page < self.open_page - 1 else None

    def open_counts(self) -> Counts:
        """Return the counts of the open page."""
        return self._read_page(self.open_page).counts

    def _read_page(self, number: int) -> Page:
        counts: Counts = {}
        for tenant, tenant_index in self.tenant_indexes.items():
            cell = self._cell_index(number, tenant_index, 0)
            served, refused, failed, unknown = self.words[cell : cell + len(KIND_NAMES)]
            if served or refused or failed or unknown:
                counts[tenant] = served, refused, failed, unknown
        return Page(number, counts)

    def seal_page(self) -> Page:
        """Seal the open page, and return it.

        The other page is cleared first.  The store that seals the open page also opens the other page.

        Raises:
            PagePendingError: the previous page is not confirmed yet.
        """
        if self.confirmed_page != self.open_page - 1:
            raise PagePendingError(self.open_page - 1)
        next_page = self.open_page + 1
        for tenant_index in range(self.tenant_count):
            for kind in range(len(KIND_NAMES)):
                self.words[self._cell_index(next_page, tenant_index, kind)] = 0
        self.words[WORD_OPEN_PAGE] = next_page
        return self._read_page(next_page - 1)

    def confirm_page(self, number: int) -> None:
        """Record that a page was uploaded; repeating the call has no effect."""
        if number == self.open_page - 1:
            self.words[WORD_CONFIRMED_PAGE] = number

    # -- registration and end

    @property
    def registered(self) -> bool:
        """Whether the coordination service is known to have stored a record of this ledger."""
        return bool(self.words[WORD_REGISTERED])

    def mark_registered(self) -> None:
        """Remember that the coordination service has stored a record of this ledger."""
        self.words[WORD_REGISTERED] = 1

    @property
    def is_complete(self) -> bool:
        """Whether the last page of the ledger has been sealed."""
        return bool(self.words[WORD_LAST_PAGE]) and self.words[WORD_LAST_PAGE] == self.open_page - 1

    def mark_last_page(self) -> None:
        """Mark the open page as the last page; call this before the page is sealed."""
        self.words[WORD_LAST_PAGE] = self.open_page
