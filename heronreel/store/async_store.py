"""The store for asyncio: reads and writes never hold the event loop, and writers share fsyncs.

One thread writes.  What arrives while it waits for the disk is its next group, so that the number of fsyncs
a second is the disk's and the number of writes is not.  What waits is bounded in bytes: beyond it writers
wait.
"""

from __future__ import annotations

import asyncio
import os
import threading
from collections import deque
from collections.abc import AsyncIterator, Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from queue import SimpleQueue
from types import TracebackType
from typing import TypeVar

from heronreel.store.disk import Disk
from heronreel.store.errors import StoreClosedError
from heronreel.store.log_format import OPERATION_BYTES, Operation
from heronreel.store.snapshot import Snapshot, validated_key, validated_value
from heronreel.store.store import Batch, Limits, Store

T = TypeVar("T")
WAITING_MOST = 8 << 20  # bytes of writes that wait for the disk; one more may lie over it
PAGE = 256  # records that a scan fetches at once


class _Write:
    __slots__ = ("future", "operations", "size")

    def __init__(self, operations: list[Operation], size: int, future: asyncio.Future[None]) -> None:
        self.operations = operations
        self.size = size
        self.future = future


class AsyncBatch(Batch):
    """As `Batch`, with `async with`."""

    def __init__(self, store: AsyncStore) -> None:
        super().__init__(store.store)
        self._async = store

    async def acommit(self) -> None:
        if operations := self.taken():
            await self._async.write(operations)

    async def __aenter__(self) -> AsyncBatch:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        if kind is None:
            await self.acommit()


class AsyncStore:
    """An asyncio face over a `Store`, of one event loop.  It raises what the store raises.

    A write that is cancelled while it waits may be in the store or not, whole in either case.
    """

    def __init__(self, store: Store, *, readers: int = 2) -> None:
        self.store = store
        self._loop = asyncio.get_running_loop()
        self._readers = ThreadPoolExecutor(readers, "store-reader")
        self._queue: SimpleQueue[_Write | None] = SimpleQueue()  # None ends the writer
        self._waiting = 0  # bytes
        self._room: deque[asyncio.Future[None]] = deque()
        self._ending = False
        self._writer = threading.Thread(target=self._write_all, name="store-writer", daemon=True)
        self._writer.start()

    @classmethod
    async def open(
        cls, path: str | os.PathLike[str] | Disk, *, read_only: bool = False, limits: Limits | None = None
    ) -> AsyncStore:
        """As `Store.open`, which see; opening is done in a thread."""
        return cls(await asyncio.to_thread(Store.open, path, read_only=read_only, limits=limits))

    async def __aenter__(self) -> AsyncStore:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Write what waits, then close the store."""
        if not self._ending:
            self._ending = True
            self._queue.put(None)
        for future in self._room:
            if not future.done():
                future.set_exception(StoreClosedError("the store is closed"))
        await asyncio.to_thread(self._writer.join)
        await asyncio.to_thread(self.store.close)
        self._readers.shutdown(wait=False)

    async def _read(self, call: Callable[[], T]) -> T:
        return await self._loop.run_in_executor(self._readers, call)

    async def get(self, key: bytes) -> bytes | None:
        """As `Store.get`.  What is in memory is answered at once."""
        view = self.store._view
        for table in (view.memory, view.frozen):
            if key in table:
                self.store._check_open()
                return table[key]
        return await self._read(lambda: self.store.get(key))

    async def snapshot(self) -> Snapshot:
        """As `Store.snapshot`; its `get` and `scan` read the disk, so use them in a thread, or `scan`
        here.
        """
        return self.store.snapshot()

    async def scan(self, prefix: bytes = b"") -> AsyncIterator[tuple[bytes, bytes]]:
        """As `Store.scan`, over the store as it is when the first record is asked for."""
        records = await self._read(lambda: self.store.scan(prefix))
        while page := await self._read(lambda: _page(records)):
            for record in page:
                yield record

    async def put(self, key: bytes, value: bytes) -> None:
        """As `Store.put`."""
        await self.write([(validated_key(key), validated_value(value))])

    async def delete(self, key: bytes) -> None:
        """As `Store.delete`."""
        await self.write([(validated_key(key), None)])

    def batch(self) -> AsyncBatch:
        """As `Store.batch`: `async with store.batch() as batch: ...`"""
        return AsyncBatch(self)

    async def sync(self) -> None:
        """As `Store.sync`."""
        await asyncio.to_thread(self.store.sync)

    async def compact(self, progress: Callable[[int, int], None] | None = None) -> None:
        """As `Store.compact`, in a thread; `progress` is called there."""
        await asyncio.to_thread(self.store.compact, progress)

    async def write(self, operations: list[Operation]) -> None:
        """Write operations as one batch; keys and values have been checked."""
        size = sum(OPERATION_BYTES + len(key) + len(value or b"") for key, value in operations)
        self.store._check_writable()
        while self._waiting >= WAITING_MOST:
            room = self._loop.create_future()
            self._room.append(room)
            await room
        write = _Write(operations, size, self._loop.create_future())
        if self._ending:
            raise StoreClosedError("the store is closed")
        self._waiting += size
        self._queue.put(write)
        await write.future

    def _write_all(self) -> None:
        """The writer's thread."""
        ending = False
        while not ending:
            first = self._queue.get()
            if first is None:
                return
            group, size = [first], first.size
            while size < self.store.limits.group and not self._queue.empty():
                following = self._queue.get()
                if following is None:
                    ending = True
                    break
                group.append(following)
                size += following.size
            error: BaseException | None = None
            try:
                self.store.write([write.operations for write in group])
            except BaseException as raised:
                error = raised
            try:
                self._loop.call_soon_threadsafe(self._settle, group, size, error)
            except RuntimeError:  # the loop has ended; nobody waits
                return

    def _settle(self, group: list[_Write], size: int, error: BaseException | None) -> None:
        self._waiting -= size
        for write in group:
            if not write.future.done():
                if error is None:
                    write.future.set_result(None)
                else:
                    write.future.set_exception(error)
        if self._waiting < WAITING_MOST:  # whoever finds no room any more waits again
            for room in self._room:
                if not room.done():
                    room.set_result(None)
            self._room.clear()


def _page(records: Iterator[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    page = []
    for record in records:
        page.append(record)
        if len(page) == PAGE:
            break
    return page
