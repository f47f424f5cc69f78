"""An asyncio interface to the store: calls never block the event loop, and concurrent writers share fsyncs.

A single thread writes.  The writes that arrive while it waits for the disk form its next group, so the disk
limits the number of fsyncs per second, but not the number of writes.  The queue of waiting writes is bounded
in bytes; while it is full, further writers wait before they enqueue.
"""

from __future__ import annotations

import asyncio
import os
import threading
from collections import deque
from collections.abc import AsyncIterator, Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from itertools import islice
from queue import SimpleQueue
from types import TracebackType
from typing import NamedTuple, TypeVar

from heronreel.store.batch import Batch
from heronreel.store.disk import Disk
from heronreel.store.errors import StoreClosedError
from heronreel.store.limits import Limits, validated_key, validated_value
from heronreel.store.operations import Operation, operation_size
from heronreel.store.progress import Progress
from heronreel.store.snapshot import Snapshot
from heronreel.store.store import Store

Result = TypeVar("Result")
MAX_QUEUED_BYTES = 8 << 20  # The last write that is enqueued may exceed this limit.
SCAN_PAGE_RECORDS = 256  # Records that a scan reads in one call to a reader thread.


class _QueuedWrite(NamedTuple):
    """A batch that waits for the writer thread, with its size in bytes and the future of its result."""

    operations: list[Operation]
    size: int
    future: asyncio.Future[None]


class AsyncBatch(Batch):
    """A `Batch` for use with `async with`."""

    def __init__(self, store: AsyncStore) -> None:
        super().__init__(store.store.write)
        self._async_store = store

    async def acommit(self) -> None:
        """Commit as `commit` does, without blocking the event loop."""
        if operations := self.take():
            await self._async_store.write(operations)

    async def __aenter__(self) -> AsyncBatch:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        if kind is None:
            await self.acommit()


class AsyncStore:
    """An asyncio interface to a `Store`, for use in one event loop.  It raises the errors of `Store`.

    A write that is cancelled while it waits is either applied completely or not at all.
    """

    def __init__(self, store: Store, *, readers: int = 2) -> None:
        """Wrap an open store, with one writer thread and `readers` reader threads."""
        self.store = store
        self._loop = asyncio.get_running_loop()
        self._readers = ThreadPoolExecutor(readers, "store-reader")
        self._queue: SimpleQueue[_QueuedWrite | None] = SimpleQueue()  # None stops the writer.
        self._queued_bytes = 0
        self._space_waiters: deque[asyncio.Future[None]] = deque()
        self._closing = False
        self._writer = threading.Thread(target=self._write_all, name="store-writer", daemon=True)
        self._writer.start()

    @classmethod
    async def open(
        cls, path: str | os.PathLike[str] | Disk, *, read_only: bool = False, limits: Limits | None = None
    ) -> AsyncStore:
        """Open a store as `Store.open` does, in a thread."""
        return cls(await asyncio.to_thread(Store.open, path, read_only=read_only, limits=limits))

    async def __aenter__(self) -> AsyncStore:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Write the queued batches, then close the store."""
        if not self._closing:
            self._closing = True
            self._queue.put(None)
        for future in self._space_waiters:
            if not future.done():
                future.set_exception(StoreClosedError("the store is closed"))
        await asyncio.to_thread(self._writer.join)
        await asyncio.to_thread(self.store.close)
        self._readers.shutdown(wait=False)

    async def get(self, key: bytes) -> bytes | None:
        """As `Store.get`.  A record in memory is returned without a call to a reader thread."""
        found, value = self.store.find_in_memory(key)
        if found:
            return value
        return await self._read(lambda: self.store.get(key))

    async def snapshot(self) -> Snapshot:
        """As `Store.snapshot`.

        The snapshot's `get` and `scan` read the disk and block: call them in a thread, or use `scan` of this
        class.
        """
        return self.store.snapshot()

    async def scan(self, prefix: bytes = b"") -> AsyncIterator[tuple[bytes, bytes]]:
        """As `Store.scan`, over the state of the store when the first record is requested."""
        records = await self._read(lambda: self.store.scan(prefix))
        while page := await self._read(lambda: _next_page(records)):
            for record in page:
                yield record

    async def put(self, key: bytes, value: bytes) -> None:
        """As `Store.put`."""
        await self.write([(validated_key(key), validated_value(value))])

    async def delete(self, key: bytes) -> None:
        """As `Store.delete`."""
        await self.write([(validated_key(key), None)])

    def batch(self) -> AsyncBatch:
        """As `Store.batch`, used as `async with store.batch() as batch: ...`."""
        return AsyncBatch(self)

    async def sync(self) -> None:
        """As `Store.sync`."""
        await asyncio.to_thread(self.store.sync)

    async def compact(self, progress: Progress | None = None) -> None:
        """As `Store.compact`, in a thread; `progress` is called in that thread."""
        await asyncio.to_thread(self.store.compact, progress)

    async def write(self, operations: list[Operation]) -> None:
        """Write operations as one batch, as `Store.write` does; keys and values are not validated."""
        size = sum(operation_size(key, value) for key, value in operations)
        self.store.check_writable()
        while self._queued_bytes >= MAX_QUEUED_BYTES:
            space_available = self._loop.create_future()
            self._space_waiters.append(space_available)
            await space_available
        write = _QueuedWrite(operations, size, self._loop.create_future())
        if self._closing:
            raise StoreClosedError("the store is closed")
        self._queued_bytes += size
        self._queue.put(write)
        await write.future

    async def _read(self, call: Callable[[], Result]) -> Result:
        return await self._loop.run_in_executor(self._readers, call)

    def _write_all(self) -> None:
        """Write queued groups until the queue ends; runs in the writer thread."""
        closing = False
        while not closing:
            group, closing = self._next_group()
            if not group:
                return
            error: BaseException | None = None
            try:
                self.store.write([write.operations for write in group])
            except BaseException as raised:
                error = raised
            try:
                self._loop.call_soon_threadsafe(self._complete_group, group, error)
            except RuntimeError:  # The event loop is closed, so no caller waits for the result.
                return

    def _next_group(self) -> tuple[list[_QueuedWrite], bool]:
        """Take the next group of writes from the queue; the flag tells whether it is the last group."""
        first = self._queue.get()
        if first is None:
            return [], True
        group, size = [first], first.size
        while size < self.store.limits.group_bytes and not self._queue.empty():
            next_write = self._queue.get()
            if next_write is None:
                return group, True
            group.append(next_write)
            size += next_write.size
        return group, False

    def _complete_group(self, group: list[_QueuedWrite], error: BaseException | None) -> None:
        """Set the results of a written group and wake up writers that wait for space in the queue."""
        self._queued_bytes -= sum(write.size for write in group)
        for write in group:
            if write.future.done():
                continue
            if error is None:
                write.future.set_result(None)
            else:
                write.future.set_exception(error)
        if self._queued_bytes < MAX_QUEUED_BYTES:  # A writer that finds the queue full again keeps waiting.
            for space_available in self._space_waiters:
                if not space_available.done():
                    space_available.set_result(None)
            self._space_waiters.clear()


def _next_page(records: Iterator[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    return list(islice(records, SCAN_PAGE_RECORDS))
