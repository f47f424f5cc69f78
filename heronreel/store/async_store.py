"""The store for asyncio: reads and writes never block the event loop, and writers share fsyncs.

One thread writes.  What arrives while it waits for the disk is its next group, so that the number of fsyncs
a second is the disk's and the number of writes is not.  What waits is bounded in bytes: beyond that, writers
wait to enqueue.
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
MAX_QUEUED_BYTES = 8 << 20  # of writes that wait for the disk; one more may exceed it
SCAN_PAGE_RECORDS = 256  # that a scan reads at once


class _QueuedWrite(NamedTuple):
    operations: list[Operation]
    size: int
    future: asyncio.Future[None]


class AsyncBatch(Batch):
    """As `Batch`, with `async with`."""

    def __init__(self, store: AsyncStore) -> None:
        super().__init__(store.store.write)
        self._async_store = store

    async def acommit(self) -> None:
        """As `commit`, without blocking the event loop."""
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
    """An asyncio interface to a `Store`, of one event loop.  It raises what the store raises.

    A write that is cancelled while it waits may be in the store or not, completely in either case.
    """

    def __init__(self, store: Store, *, readers: int = 2) -> None:
        """Wrap an open store, with a thread to write and some to read."""
        self.store = store
        self._loop = asyncio.get_running_loop()
        self._readers = ThreadPoolExecutor(readers, "store-reader")
        self._queue: SimpleQueue[_QueuedWrite | None] = SimpleQueue()  # None ends the writer
        self._queued_bytes = 0
        self._waiting_for_room: deque[asyncio.Future[None]] = deque()
        self._closing = False
        self._writer = threading.Thread(target=self._write_all, name="store-writer", daemon=True)
        self._writer.start()

    @classmethod
    async def open(
        cls, path: str | os.PathLike[str] | Disk, *, read_only: bool = False, limits: Limits | None = None
    ) -> AsyncStore:
        """As `Store.open`, in a thread."""
        return cls(await asyncio.to_thread(Store.open, path, read_only=read_only, limits=limits))

    async def __aenter__(self) -> AsyncStore:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Write what is queued, then close the store."""
        if not self._closing:
            self._closing = True
            self._queue.put(None)
        for future in self._waiting_for_room:
            if not future.done():
                future.set_exception(StoreClosedError("the store is closed"))
        await asyncio.to_thread(self._writer.join)
        await asyncio.to_thread(self.store.close)
        self._readers.shutdown(wait=False)

    async def get(self, key: bytes) -> bytes | None:
        """As `Store.get`.  What is in memory is returned at once."""
        found, value = self.store.find_in_memory(key)
        if found:
            return value
        return await self._read(lambda: self.store.get(key))

    async def snapshot(self) -> Snapshot:
        """As `Store.snapshot`.

        Its `get` and `scan` read the disk: call them in a thread, or use `scan` of this class.
        """
        return self.store.snapshot()

    async def scan(self, prefix: bytes = b"") -> AsyncIterator[tuple[bytes, bytes]]:
        """As `Store.scan`, over the store as it is when the first record is requested."""
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
        """As `Store.compact`, in a thread; `progress` is called there."""
        await asyncio.to_thread(self.store.compact, progress)

    async def write(self, operations: list[Operation]) -> None:
        """Write operations as one batch, as `Store.write`; keys and values are not validated."""
        size = sum(operation_size(key, value) for key, value in operations)
        self.store.check_writable()
        while self._queued_bytes >= MAX_QUEUED_BYTES:
            room = self._loop.create_future()
            self._waiting_for_room.append(room)
            await room
        write = _QueuedWrite(operations, size, self._loop.create_future())
        if self._closing:
            raise StoreClosedError("the store is closed")
        self._queued_bytes += size
        self._queue.put(write)
        await write.future

    async def _read(self, call: Callable[[], Result]) -> Result:
        return await self._loop.run_in_executor(self._readers, call)

    def _write_all(self) -> None:
        """The writer's thread."""
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
                self._loop.call_soon_threadsafe(self._settle, group, error)
            except RuntimeError:  # the loop has ended; nobody waits
                return

    def _next_group(self) -> tuple[list[_QueuedWrite], bool]:
        """The next writes, and whether they are the last."""
        first = self._queue.get()
        if first is None:
            return [], True
        group, size = [first], first.size
        while size < self.store.limits.group_bytes and not self._queue.empty():
            following = self._queue.get()
            if following is None:
                return group, True
            group.append(following)
            size += following.size
        return group, False

    def _settle(self, group: list[_QueuedWrite], error: BaseException | None) -> None:
        self._queued_bytes -= sum(write.size for write in group)
        for write in group:
            if write.future.done():
                continue
            if error is None:
                write.future.set_result(None)
            else:
                write.future.set_exception(error)
        if self._queued_bytes < MAX_QUEUED_BYTES:  # whoever finds no room any more waits again
            for room in self._waiting_for_room:
                if not room.done():
                    room.set_result(None)
            self._waiting_for_room.clear()


def _next_page(records: Iterator[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    return list(islice(records, SCAN_PAGE_RECORDS))
