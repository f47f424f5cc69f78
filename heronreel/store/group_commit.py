"""Group commit: writers queue up, and the first of them writes for all that wait.

The first writer in the queue leads: it takes those that wait along, writes them as one group with one fsync,
and passes the lead on.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from heronreel.store.errors import StoreClosedError
from heronreel.store.operations import Operation


@dataclass(slots=True, eq=False)
class PendingWrite:
    """A write under way."""

    payload: bytes
    operations: list[Operation]
    exclusive: bool = False  # it wants the lead for itself, and is in no group
    leads: bool = False
    error: BaseException | None = None
    wakeup: threading.Lock = field(default_factory=threading.Lock)  # released when it leads or is done


class CommitQueue:
    """The queue of the writes of one store."""

    def __init__(self, write_group: Callable[[list[PendingWrite]], None], group_bytes: int) -> None:
        """Create an empty queue.

        Args:
            write_group: Makes a group durable, or raises; one call at a time.
            group_bytes: Payload of the writes of a group, at most; a larger write is a group of its own.
        """
        self._write_group = write_group
        self._group_bytes = group_bytes
        self._lock = threading.Lock()
        self._queue: deque[PendingWrite] = deque()
        self._has_leader = False
        self._closed = False

    def close(self) -> None:
        """Take no more writes; those that wait are still written."""
        with self._lock:
            self._closed = True

    def submit(self, write: PendingWrite) -> bool:
        """Wait until the write is done; returns whether the caller led its group.

        Raises:
            StoreClosedError: The queue takes no more writes.
            BaseException: Whatever `write_group` raised.
        """
        self._enqueue(write)
        if write.leads:
            self._lead()
        if write.error is not None:
            raise write.error
        return write.leads

    def pause(self) -> None:
        """Take the lead with nothing to write: no write is under way until `resume`."""
        write = PendingWrite(b"", [], exclusive=True)
        self._enqueue(write)
        with self._lock:
            self._queue.remove(write)

    def resume(self) -> None:
        """Let writes go on after `pause`."""
        with self._lock:
            self._pass_lead()

    def _enqueue(self, write: PendingWrite) -> None:
        """Wait until the write is done or leads.  A thread interrupted here leaves the queue in order."""
        write.wakeup.acquire()
        with self._lock:
            if self._closed and not write.exclusive:
                raise StoreClosedError("the store is closed")
            self._queue.append(write)
            if not self._has_leader:
                self._has_leader = write.leads = True
        if write.leads:
            return
        try:
            write.wakeup.acquire()
        except BaseException:
            with self._lock:
                if write in self._queue:
                    self._queue.remove(write)
                    if write.leads:
                        self._pass_lead()
            raise

    def _lead(self) -> None:
        """Write the queue's first writes, the caller's own among them, and pass the lead on."""
        group = self._take_group()
        error: BaseException | None = None
        try:
            self._write_group(group)
        except BaseException as raised:
            error = raised
        for write in group:
            write.error = error
        with self._lock:
            self._pass_lead()  # first: the disk should not wait until the others have woken up
        for write in group:
            if not write.leads:
                write.wakeup.release()

    def _take_group(self) -> list[PendingWrite]:
        with self._lock:
            group: list[PendingWrite] = []
            size = 0
            while self._queue and not self._queue[0].exclusive:
                size += len(self._queue[0].payload)
                if group and size > self._group_bytes:
                    break
                group.append(self._queue.popleft())
        return group

    def _pass_lead(self) -> None:
        """To the first in the queue, if there is one; the lock is held."""
        if self._queue:
            self._queue[0].leads = True
            self._queue[0].wakeup.release()
        else:
            self._has_leader = False
