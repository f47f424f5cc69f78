"""Counting in a proxy's process: answers as they are handed over, and books on their way to the group."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable
from typing import Any

import structlog

from heronreel.coordination.client import Client
from heronreel.coordination.clock import CrashPoints
from heronreel.coordination.model import Range, RangeResponse, RequestError, ResponseOrError, prefix_end
from heronreel.leases.lease import PRESENCE_PREFIX, SendRequest, present_names
from heronreel.metering.book import FAILED, REFUSED, SERVED
from heronreel.metering.closing import Closing, Outcome
from heronreel.metering.files import OpenBook, Shelf
from heronreel.metering.posting import Actions, Confirm, Over, Phase, Posting, Registered, Seal, SetBack

LOOK_S = 5.0  # between two looks for books of processes that are gone
LEAST_S = 0.005

log = structlog.get_logger()


def kind_of(status: int) -> int:
    """Answers of servers have a status below 500; from 500 on they are the proxy's own."""
    if status < 500:
        return SERVED
    return REFUSED if status == 503 else FAILED


class Counted:
    """Whoever waits for an answer, with its tenant: what reaches it is counted.

    It stands where the proxy expects its client, and passes on all that is said to it.
    """

    __slots__ = ("client", "counter", "open_book", "place", "tenant")

    def __init__(self, counter: Counter, client: Any, tenant: str) -> None:
        self.counter = counter
        self.client = client
        self.tenant = tenant
        self.open_book: OpenBook | None = None  # once something was begun
        self.place = 0

    def _begin(self) -> None:
        self.open_book = self.counter.current
        self.place = self.open_book.book.begin(self.tenant)
        self.counter.points.reach("count")

    def respond(self, status: int, header_lines: bytes, body: bytes = b"") -> None:
        self._begin()
        self.client.respond(status, header_lines, body)
        self.counter.handed_over(self, kind_of(status))

    def begin_stream(self, connection: Any, start: Any, length: int | None) -> Any:
        """A long answer is under way for as long as its client takes, and unknown if we end meanwhile."""
        taker = self.client.begin_stream(connection, start, length)
        if taker is not None:
            self._begin()
        return taker

    def finish_stream(self) -> None:
        self.client.finish_stream()
        self.counter.handed_over(self, SERVED)

    def has_disconnected(self) -> bool:
        return bool(self.client.has_disconnected())

    def abort_stream(self) -> None:
        self.client.abort_stream()
        self.counter.handed_over(self, FAILED)


class Counter:
    """The books of one process, and those it takes over."""

    def __init__(
        self,
        shelf: Shelf,
        proxy: str,
        zone: str,
        tenants: tuple[str, ...],
        every_s: float,
        now: Callable[[], float],
    ) -> None:
        """Raises OSError where no book can be made: nothing is served uncounted then."""
        self.shelf = shelf
        self.proxy = proxy
        self.zone = zone
        self.every_s = every_s
        self.now = now
        self.points = CrashPoints()
        self.jitter = random.Random(secrets.randbits(64)).random
        self.current = shelf.make(proxy, zone, tenants)
        self.client: Client | None = None
        self.handed: list[tuple[OpenBook, int, int]] = []
        self.postings: dict[OpenBook, Posting] = {}
        self.nudged = asyncio.Event()
        self.ending = False
        self.tasks: asyncio.TaskGroup | None = None

    # -- answers

    def handed_over(self, counted: Counted, kind: int) -> None:
        """Settled a turn of the loop later, when what was written has gone to the system."""
        assert counted.open_book is not None
        if not self.handed:
            asyncio.get_running_loop().call_soon(self._settle)
        self.handed.append((counted.open_book, counted.place, kind))

    def _settle(self) -> None:
        handed, self.handed = self.handed, []
        for open_book, place, kind in handed:
            open_book.book.settle(place, kind)
        if handed:
            self.points.reach("counted")

    def renew(self, tenants: tuple[str, ...]) -> None:
        """Another file, other tenants: a new book, and the old one is brought to its end.  Raises OSError."""
        if self.current.book.head.tenants == tenants:
            return
        old, self.current = self.current, self.shelf.make(self.proxy, self.zone, tenants)
        log.info("counts go on in a new book", old=old.book.head.id, new=self.current.book.head.id)
        self._deliver_soon(self.current)
        self.nudged.set()

    # -- to the group

    async def run(self, client: Client) -> None:
        """Bring books to the group until `finish` is done or this is cancelled."""
        self.client = client
        async with asyncio.TaskGroup() as self.tasks:
            self._deliver_soon(self.current)
            while not self.ending:
                await self._adopt()
                try:
                    async with asyncio.timeout(LOOK_S):
                        await self.nudged.wait()
                    self.nudged.clear()
                except TimeoutError:
                    pass

    async def finish(self, seconds: float) -> bool:
        """Nothing is counted any more: bring all that is there to the group; whether it came in time.

        What did not come stays on the disk for whoever takes it over.
        """
        self._settle()
        self.ending = True
        self.nudged.set()
        try:
            async with asyncio.timeout(seconds):
                while self.postings:
                    await asyncio.sleep(LEAST_S)
            return True
        except TimeoutError:
            return False

    async def _adopt(self) -> None:
        found, wrong = await asyncio.to_thread(self.shelf.orphans)
        for problem in wrong:
            log.error("a book of counts can't be read; what it holds is unknown", problem=problem)
        for open_book in found:
            self.points.reach("adopt")
            unknown = open_book.book.doubts()
            log.info("took over a book", book=open_book.book.head.id, unknown=unknown)
            self.points.reach("adopted")
            self._deliver_soon(open_book)

    def _deliver_soon(self, open_book: OpenBook) -> None:
        book = open_book.book
        self.postings[open_book] = Posting(
            book.head, book.confirmed, book.sealed(), self.every_s, self.now(),
            registered=book.registered, last=book.ended, jitter=self.jitter,
        )  # fmt: skip
        if self.tasks is not None:
            self.tasks.create_task(self._deliver(open_book))

    def _is_final(self, open_book: OpenBook) -> bool:
        if open_book is self.current:
            return self.ending
        return not any(open_book.book.under_way())  # an answer that began in it is counted in it

    async def _deliver(self, open_book: OpenBook) -> None:
        posting = self.postings[open_book]
        book = open_book.book
        while posting.phase is not Phase.OVER:
            if not posting.final and self._is_final(open_book):
                if open_book is self.current:
                    book.doubts()  # answers that were under way to clients that are gone
                posting.finish(self.now())
            if self.now() >= posting.wake():  # the book is looked through only then
                actions = posting.tick(self.now(), bool(book.counted()))
                while actions:
                    actions = await self._carry_out(open_book, posting, actions)
            # looked at between: it may be final by then
            await asyncio.sleep(min(max(LEAST_S, posting.wake() - self.now()), 0.1))
        self.postings.pop(open_book, None)

    async def _carry_out(self, open_book: OpenBook, posting: Posting, actions: Actions) -> Actions:
        book, more = open_book.book, []
        for action in actions:
            if isinstance(action, Seal):
                more += await self._seal(open_book, posting, action.last)
            elif isinstance(action, Registered):
                book.register()
                await asyncio.to_thread(open_book.sync)
            elif isinstance(action, Confirm):
                self.points.reach("confirm")
                book.confirm(action.number)
                self.points.reach("confirmed")
            elif isinstance(action, Over):
                self.points.reach("over")
                open_book.remove()
            elif isinstance(action, SetBack):
                self._set_back(open_book, action)
            else:
                self.points.reach("ask")
                answer = await self._ask(action)
                self.points.reach("told")
                more += posting.answered(self.now(), action.number, answer)
        return more

    async def _seal(self, open_book: OpenBook, posting: Posting, last: bool) -> Actions:
        self.points.reach("seal")
        if last:
            open_book.book.end()
        page = open_book.book.seal()
        self.points.reach("sealed")
        await asyncio.to_thread(open_book.sync)
        return posting.sealed(self.now(), page, last)

    def _set_back(self, open_book: OpenBook, told: SetBack) -> None:
        log.error(
            "a book does not go with the group's record; what it holds is unknown and kept aside",
            book=open_book.book.head.id, group_has=told.page, book_has=told.sealed,
        )  # fmt: skip
        if open_book is self.current and not self.ending:
            head = open_book.book.head
            self.current = self.shelf.make(head.proxy, head.zone, head.tenants)
            self._deliver_soon(self.current)
        open_book.put_aside()

    async def _ask(self, ask: SendRequest) -> ResponseOrError:
        assert self.client is not None
        return await self.client.call_or_error(ask.request, ask.until - self.now())


async def close(client: Client, step: int, number: int, by: str, points: CrashPoints) -> None:
    """A step of the task that closes periods.  Raises PermissionError where another holds it by now."""
    found = await client.call(Range(PRESENCE_PREFIX, prefix_end(PRESENCE_PREFIX), keys_only=True))
    assert isinstance(found, RangeResponse)
    closing = Closing(step, number, by, present_names(found))
    while (request := closing.next()) is not None:
        points.reach("close")
        try:
            closing.answered(await client.call(request, 2.0))
        except RequestError as refused:
            closing.answered(refused)
            await asyncio.sleep(0.05)
        points.reach("closed")
    if closing.outcome is Outcome.LEFT:
        raise PermissionError("another holds the task")
