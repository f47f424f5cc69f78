"""The upload of one ledger, page by page.  Pure: events and time in, actions out.

A page is added to the ledger's record, to the counts there that are not aggregated yet, by a transaction on
the record's own revision.

What the stored record says decides, and not what was responded: after every response that did not come, the
record is read again.
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

RETRY_BACKOFF_S = 0.5  # after a request that failed: from half of it up to one and a half, by jitter


class SealPage(NamedTuple):
    """Seal the open page, sync it to the disk, and report it to `page_sealed`."""

    last: bool


class MarkRegistered(NamedTuple):
    """The record exists, which the ledger has to keep before a page is uploaded.

    A record that is missing later was then deleted together with its last page.
    """


class ConfirmPage(NamedTuple):
    """The page is uploaded: the ledger may clear it."""

    number: int


class RemoveLedger(NamedTuple):
    """All that the ledger holds is uploaded: its file may be removed."""


class QuarantineLedger(NamedTuple):
    """Ledger and record contradict each other, so nothing more of the ledger is uploaded.

    An old copy of the file was restored, the coordination service lost its state, or an operator abandoned
    the ledger.  What it holds may have been counted already.
    """

    record_page: int
    ledger_page: int


Action = SendRequest | SealPage | MarkRegistered | ConfirmPage | RemoveLedger | QuarantineLedger
Actions = list[Action]


class UploadPhase(enum.Enum):
    """What an upload is doing."""

    READING = "reading"  # the record
    COUNTING = "counting"  # until the open page is due
    SEALING = "sealing"
    WRITING = "writing"  # the record
    DONE = "done"


class LedgerUpload(SingleRequestSender):
    """The upload of one ledger, from when it is opened until all of it is in its record."""

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
        """Arguments up to `pending_page`, `registered` and `pending_is_last` are the ledger's state.

        The open page is sealed every `interval_s` seconds if anything is in it.  `compares_record` and
        `compares_totals` are guards: tests take them out, and have to fail then.
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
        self.finishing = False  # nothing is counted any more
        self.record = LedgerRecord(header.proxy, header.zone)
        self.record_revision = 0  # as last read; 0: there is no record
        self.totals_revision = 0  # when the record was read
        self.next_action_at = now
        self.next_seal_at = now + interval_s * (0.5 + 0.5 * jitter())

    def next_wakeup(self) -> float:
        """When `tick` has something to do, at the latest."""
        if self.phase is UploadPhase.DONE:
            return float("inf")
        if self.in_flight is not None:
            return self.in_flight.sent_at + self.response_timeout_s
        return float("inf") if self.phase is UploadPhase.SEALING else self.next_action_at

    def finish(self, now: float) -> None:
        """Nothing is counted any more: the open page is sealed as the last one, as soon as possible."""
        self.finishing = True
        self.next_seal_at = now
        if self.in_flight is None and self.phase is UploadPhase.COUNTING:
            self.next_action_at = now

    def tick(self, now: float, has_counts: bool) -> Actions:
        """Time has passed; `has_counts`: there is something in the open page."""
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
        """The ledger has sealed a page, durably."""
        self.pending_page, self.pending_is_last = page, last
        self.next_seal_at = now + self.interval_s
        self.phase = UploadPhase.READING
        self.next_action_at = now

    def on_response(self, now: float, request_id: int, response: ResponseOrError) -> Actions:
        """The response to a request, or its error; ignored unless the request is in flight."""
        if not self._is_in_flight(request_id):
            return []
        if isinstance(response, TxnResponse) and self.phase is not UploadPhase.WRITING:
            self.in_flight = None
            record, totals = response.responses
            assert isinstance(record, RangeResponse) and isinstance(totals, RangeResponse)
            self.totals_revision = totals.records[0][1].mod_revision if totals.records else 0
            return self._on_record(now, record)
        self._read_again(now)  # whatever became of it, the record says
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
        """The record was never created, or deleted with the last page: it is deleted for no other reason."""
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
            # a late request could create the record anew after its end: an end changes the totals
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
