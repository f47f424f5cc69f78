"""Uploads ledgers from a serving process: its own ledgers and the orphans that it adopts."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable

import structlog

from heronreel.coordination.client import Client
from heronreel.coordination.model import ResponseOrError
from heronreel.leases.requests import SendRequest
from heronreel.metering.ledger_files import LedgerFile
from heronreel.metering.meter import UsageMeter
from heronreel.metering.upload import (
    Action,
    Actions,
    ConfirmPage,
    LedgerUpload,
    MarkRegistered,
    QuarantineLedger,
    RemoveLedger,
    SealPage,
    UploadPhase,
)

ADOPTION_INTERVAL_S = 5.0  # The time between two searches for orphans.
MIN_SLEEP_S = 0.005
MAX_SLEEP_S = 0.1  # The longest time between two checks whether a ledger is final.

log = structlog.get_logger()


class LedgerUploader:
    """Uploads the ledgers of one process and the ledgers that it adopts."""

    def __init__(self, meter: UsageMeter, interval_s: float, clock: Callable[[], float]) -> None:
        """Make an uploader that seals pages with counts every `interval_s` seconds on the given clock."""
        self.meter = meter
        self.directory = meter.directory
        self.crash_points = meter.crash_points
        self.interval_s = interval_s
        self.clock = clock
        self._jitter = random.Random(secrets.randbits(64)).random
        self._client: Client | None = None
        self._uploads: dict[LedgerFile, LedgerUpload] = {}
        self._wakeup = asyncio.Event()
        self._finishing = False
        self._tasks: asyncio.TaskGroup | None = None

    async def run(self, client: Client) -> None:
        """Upload ledgers until `finish` has completed or this is cancelled."""
        self._client = client
        async with asyncio.TaskGroup() as self._tasks:
            self._start_upload(self.meter.current)
            while not self._finishing:
                await self._adopt_orphans()
                try:
                    async with asyncio.timeout(ADOPTION_INTERVAL_S):
                        await self._wakeup.wait()
                    self._wakeup.clear()
                except TimeoutError:
                    pass

    async def finish(self, timeout_s: float) -> bool:
        """Upload all remaining counts, and return whether that was done within `timeout_s` seconds.

        No more responses may be counted.  Ledgers that are not uploaded in time stay on the disk, where
        another process adopts them.
        """
        self.meter.flush()
        self._finishing = True
        self._wakeup.set()
        try:
            async with asyncio.timeout(timeout_s):
                while self._uploads:
                    await asyncio.sleep(MIN_SLEEP_S)
            return True
        except TimeoutError:
            return False

    def change_tenants(self, tenants: tuple[str, ...]) -> None:
        """Continue in a new ledger if the tenants have changed, and finish the upload of the previous one.

        Raises:
            OSError: no ledger can be created.
        """
        if self.meter.current.ledger.header.tenants == tenants:
            return
        previous = self.meter.replace_ledger(tenants)
        current = self.meter.current
        log.info("usage ledger replaced", old=previous.ledger.header.id, new=current.ledger.header.id)
        self._start_upload(current)
        self._wakeup.set()

    async def _adopt_orphans(self) -> None:
        adopted = await asyncio.to_thread(self.directory.adopt_orphans)
        for problem in adopted.problems:
            log.error("usage ledger unreadable; its counts are unknown", problem=problem)
        for ledger_file in adopted.files:
            self.crash_points.reach("adopt")
            unknown = ledger_file.ledger.count_in_flight_as_unknown()
            log.info("usage ledger adopted", ledger=ledger_file.ledger.header.id, unknown=unknown)
            self.crash_points.reach("adopted")
            self._start_upload(ledger_file)

    def _start_upload(self, ledger_file: LedgerFile) -> None:
        ledger = ledger_file.ledger
        self._uploads[ledger_file] = LedgerUpload(
            ledger.header,
            ledger.confirmed_page,
            ledger.pending_page(),
            self.interval_s,
            self.clock(),
            registered=ledger.registered,
            pending_is_last=ledger.is_complete,
            jitter=self._jitter,
        )
        if self._tasks is not None:
            self._tasks.create_task(self._run_upload(ledger_file))

    def _is_final(self, ledger_file: LedgerFile) -> bool:
        """Return whether no more responses will be counted in a ledger.

        A response is counted in the ledger in which it began, so a replaced ledger is final once it has no
        responses in flight.
        """
        if ledger_file is self.meter.current:
            return self._finishing
        return not any(ledger_file.ledger.in_flight())

    async def _run_upload(self, ledger_file: LedgerFile) -> None:
        upload = self._uploads[ledger_file]
        ledger = ledger_file.ledger
        while upload.phase is not UploadPhase.DONE:
            if not upload.finishing and self._is_final(ledger_file):
                if ledger_file is self.meter.current:
                    ledger.count_in_flight_as_unknown()  # Their clients have closed the connection.
                upload.finish(self.clock())
            if self.clock() >= upload.next_wakeup():  # Reading the counts is avoided while nothing is due.
                actions = upload.tick(self.clock(), bool(ledger.open_counts()))
                while actions:
                    actions = await self._carry_out(ledger_file, upload, actions)
            # The sleep is short, because the ledger may become final in the meantime.
            await asyncio.sleep(min(max(MIN_SLEEP_S, upload.next_wakeup() - self.clock()), MAX_SLEEP_S))
        self._uploads.pop(ledger_file, None)

    async def _carry_out(self, ledger_file: LedgerFile, upload: LedgerUpload, actions: Actions) -> Actions:
        """Carry out actions, and return the actions that result from them."""
        next_actions: Actions = []
        for action in actions:
            if isinstance(action, SendRequest):
                next_actions += await self._send(upload, action)
            elif isinstance(action, SealPage):
                await self._seal_page(ledger_file, upload, action.last)
            else:
                await self._update_ledger(ledger_file, action)
        return next_actions

    async def _send(self, upload: LedgerUpload, action: SendRequest) -> Actions:
        assert self._client is not None
        self.crash_points.reach("request")
        response: ResponseOrError = await self._client.call_or_error(
            action.request, action.deadline - self.clock()
        )
        self.crash_points.reach("response")
        return upload.on_response(self.clock(), action.request_id, response)

    async def _seal_page(self, ledger_file: LedgerFile, upload: LedgerUpload, last: bool) -> None:
        self.crash_points.reach("seal")
        if last:
            ledger_file.ledger.mark_last_page()
        page = ledger_file.ledger.seal_page()
        self.crash_points.reach("sealed")
        await asyncio.to_thread(ledger_file.sync)
        upload.page_sealed(self.clock(), page, last)

    async def _update_ledger(self, ledger_file: LedgerFile, action: Action) -> None:
        if isinstance(action, MarkRegistered):
            ledger_file.ledger.mark_registered()
            await asyncio.to_thread(ledger_file.sync)
        elif isinstance(action, ConfirmPage):
            self.crash_points.reach("confirm")
            ledger_file.ledger.confirm_page(action.number)
            self.crash_points.reach("confirmed")
        elif isinstance(action, RemoveLedger):
            self.crash_points.reach("remove")
            ledger_file.remove()
        elif isinstance(action, QuarantineLedger):
            self._quarantine(ledger_file, action)

    def _quarantine(self, ledger_file: LedgerFile, action: QuarantineLedger) -> None:
        log.error(
            "usage ledger contradicts its record; its counts are unknown, and the file is quarantined",
            ledger=ledger_file.ledger.header.id,
            record_page=action.record_page,
            ledger_page=action.ledger_page,
        )
        if ledger_file is self.meter.current and not self._finishing:
            self.meter.replace_ledger(ledger_file.ledger.header.tenants)
            self._start_upload(self.meter.current)
        ledger_file.quarantine()
