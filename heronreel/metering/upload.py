"""The upload of one ledger, page by page.  Pure: events and the time in, actions out.

A page is added to the counts in the ledger's record that are not aggregated yet.  The transaction that does
so compares the revision of the record.

The stored record decides whether a page has been uploaded, and not the response to the transaction: after
each write, and after each missing response, the record is read again.
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
from heronreel.metering.counts import Counts, merge_counts
from heronreel.metering.ledger import Page
from heronreel.metering.ledger_format import LedgerHeader
from heronreel.metering.records import TOTALS_KEY, LedgerRecord, ledger_key

# The mean delay after a request that failed.  The jitter varies it from half to one and a half of this time.
RETRY_BACKOFF_S = 0.5


class SealPage(NamedTuple):
    """Seal the open page, write it to the disk, and pass it to `page_sealed`.

    `last` states whether it is the last page of the ledger.
    """

    last: bool


class MarkRegistered(NamedTuple):
    """Mark in the ledger that its record exists, before a page is uploaded.

    If the record is missing later, it is then certain that it was deleted together with the last page.
    """


class ConfirmPage(NamedTuple):
    """Confirm a page that has been uploaded, so that the ledger may clear it."""

    number: int


class RemoveLedger(NamedTuple):
    """Remove the file of the ledger, because all of its pages have been uploaded."""


class QuarantineLedger(NamedTuple):
    """Upload nothing more of the ledger, because it contradicts its record.

    This happens if an old copy of the file was restored, if the coordination service lost its state, or if an
    operator abandoned the ledger.  The counts in the ledger may already have been aggregated.
    """

    record_page: int
    ledger_page: int


Action = SendRequest | SealPage | MarkRegistered | ConfirmPage | RemoveLedger | QuarantineLedger
Actions = list[Action]


class UploadPhase(enum.Enum):
    """The current activity of an upload."""

    READING = "reading"  # The record is being read.
    COUNTING = "counting"  # Responses are counted in the open page until it is due to be sealed.
    SEALING = "sealing"  # The open page is being sealed.
    WRITING = "writing"  # The record is being written.
    DONE = "done"  # The ledger has been uploaded or quarantined.


class LedgerUpload(SingleRequestSender):
    """The upload of one ledger, from when the ledger is opened until all of its pages are uploaded."""

    def __init__(
        self,
        header: LedgerHeader,
        confirmed_page: int,
        pending_page: Page | None,
        interval_s: float,
        now: float,
        *,
        registered: bool = False,
        pending_is_last: bool = False,
        compares_record: bool = True,
        compares_totals: bool = True,
        response_timeout_s: float = 1.0,
        jitter: Callable[[], float] = lambda: 0.5,
    ) -> None:
        """Begin to upload a ledger.

        Args:
            header: the header of the ledger.
            confirmed_page: the number of the ledger's last confirmed page.
            pending_page: the ledger's sealed page that is not confirmed, if there is one.
            interval_s: the interval at which the open page is sealed if it has counts.
            now: the current time.
            registered: whether the ledger's record is known to exist.
            pending_is_last: whether the pending page is the last page of the ledger.
            compares_record: whether transactions compare the revision of the record.  Only a test sets this
                to False, to show that the comparison is needed.
            compares_totals: whether the transaction that creates the record compares the revision of the
                totals.  Only a test sets this to False, to show that the comparison is needed.
            response_timeout_s: the time after which a request counts as failed.
            jitter: returns a random number from 0 to 1.
        """
        super().__init__(response_timeout_s)
        self.header = header
        self.key = ledger_key(header.id)
        self.confirmed_page = confirmed_page
        self.pending_page = pending_page
        self.interval_s = interval_s
        self.registered = registered
        self.pending_is_last = pending_is_last
        self.compares_record = compares_record
        self.compares_totals = compares_totals
        self.jitter = jitter
        self.phase = UploadPhase.READING
        self.finishing = False  # True once no more responses are counted in the ledger.
        self.record = LedgerRecord(header.proxy, header.zone)
        self.record_revision = 0  # The revision of the record as last read, or 0 if there is no record.
        self.totals_revision = 0  # The revision of the totals when the record was read.
        self.next_action_at = now
        self.next_seal_at = now + interval_s * (0.5 + 0.5 * jitter())

    def next_wakeup(self) -> float:
        """Return the latest time at which `tick` has to be called again."""
        if self.phase is UploadPhase.DONE:
            return float("inf")
        if self.in_flight is not None:
            return self.in_flight.sent_at + self.response_timeout_s
        return float("inf") if self.phase is UploadPhase.SEALING else self.next_action_at

    def finish(self, now: float) -> None:
        """Seal the open page as the last page as soon as possible.

        No more responses may be counted in the ledger.
        """
        self.finishing = True
        self.next_seal_at = now
        if self.in_flight is None and self.phase is UploadPhase.COUNTING:
            self.next_action_at = now

    def tick(self, now: float, has_counts: bool) -> Actions:
        """Handle timeouts, and return the actions that are due.

        `has_counts` states whether the open page has counts.
        """
        if self._timed_out(now):
            self._read_again(now)
        if self.in_flight is not None:
            return []
        if self.phase in (UploadPhase.DONE, UploadPhase.SEALING) or now < self.next_action_at:
            return []
        if self.phase is UploadPhase.COUNTING:
            return self._seal_if_due(now, has_counts)
        return [self._send(now, Txn((), (Range(self.key), Range(TOTALS_KEY))))]

    def _seal_if_due(self, now: float, has_counts: bool) -> Actions:
        if now >= self.next_seal_at and (has_counts or self.finishing):
            self.phase = UploadPhase.SEALING
            return [SealPage(self.finishing)]
        self.next_seal_at = max(self.next_seal_at, now) if has_counts else now + self.interval_s
        self.next_action_at = self.next_seal_at
        return []

    def page_sealed(self, now: float, page: Page, last: bool) -> None:
        """Report that the ledger has sealed a page, and that the page has been written to the disk."""
        self.pending_page, self.pending_is_last = page, last
        self.next_seal_at = now + self.interval_s
        self.phase = UploadPhase.READING
        self.next_action_at = now

    def on_response(self, now: float, request_id: int, response: ResponseOrError) -> Actions:
        """Handle the response to a request, or its error, unless the request is no longer in flight."""
        if not self._is_in_flight(request_id):
            return []
        if isinstance(response, TxnResponse) and self.phase is not UploadPhase.WRITING:
            self.in_flight = None
            record, totals = response.responses
            assert isinstance(record, RangeResponse) and isinstance(totals, RangeResponse)
            self.totals_revision = totals.records[0][1].mod_revision if totals.records else 0
            return self._on_record(now, record)
        self._read_again(now)  # The record shows whether the write was applied.
        if isinstance(response, TxnResponse):
            self.next_action_at = now
        return []

    def _read_again(self, now: float) -> None:
        self.in_flight = None
        self.phase = UploadPhase.READING
        self.next_action_at = now + RETRY_BACKOFF_S * (0.5 + self.jitter())

    def _on_record(self, now: float, response: RangeResponse) -> Actions:
        if not response.records:
            return self._on_missing_record(now)
        stored = response.records[0][1]
        self.record_revision = stored.mod_revision
        self.record = msgspec.json.decode(stored.value, type=LedgerRecord)
        sealed_page = self._sealed_page()
        if not self.confirmed_page <= self.record.page <= sealed_page:
            return self._quarantine(self.record.page)
        actions: Actions = [] if self.registered else [MarkRegistered()]
        self.registered = True
        if self.pending_page is not None and self.record.page < sealed_page:
            return [*actions, self._upload_page(now, self.pending_page)]
        if self.record.last:
            return self._remove()
        if self.pending_page is not None:
            self.confirmed_page, self.pending_page = sealed_page, None
            actions.append(ConfirmPage(sealed_page))
        self.phase = UploadPhase.COUNTING
        self.next_action_at = now if self.finishing else max(now, self.next_seal_at)
        return actions

    def _on_missing_record(self, now: float) -> Actions:
        """Handle a missing record.

        Either the record was never created, or it was deleted together with the last page.  A record is
        deleted for no other reason.
        """
        self.record_revision = 0
        if self.registered:
            return self._remove() if self.pending_is_last else self._quarantine(0)
        return [self._write(now, self._new_record(self.confirmed_page, {}, aggregated=True, last=False))]

    def _upload_page(self, now: float, page: Page) -> SendRequest:
        counts = merge_counts(self.record.counts, page.counts)
        record = self._new_record(page.number, counts, aggregated=False, last=self.pending_is_last)
        return self._write(now, record)

    def _new_record(self, page: int, counts: Counts, *, aggregated: bool, last: bool) -> LedgerRecord:
        header = self.header
        return LedgerRecord(header.proxy, header.zone, page, aggregated, last, counts, self.record.period)

    def _write(self, now: float, record: LedgerRecord) -> SendRequest:
        compares: list[Compare] = []
        if self.compares_record:
            compares.append(Compare(self.key, CompareTarget.MOD, CompareOperator.EQUAL, self.record_revision))
        if not self.record_revision and self.compares_totals:
            # A late request could create the record again after it was deleted with the last page.  That
            # deletion also changes the totals, so comparing their revision prevents it.
            compares.append(
                Compare(TOTALS_KEY, CompareTarget.MOD, CompareOperator.EQUAL, self.totals_revision)
            )
        self.phase = UploadPhase.WRITING
        return self._send(now, Txn(tuple(compares), (Put(self.key, msgspec.json.encode(record)),)))

    def _sealed_page(self) -> int:
        return self.pending_page.number if self.pending_page else self.confirmed_page

    def _remove(self) -> Actions:
        self.phase = UploadPhase.DONE
        return [RemoveLedger()]

    def _quarantine(self, record_page: int) -> Actions:
        self.phase = UploadPhase.DONE
        return [QuarantineLedger(record_page, self._sealed_page())]
