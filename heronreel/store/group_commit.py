"""Group commit: writers queue up, and the first of them writes on behalf of all that wait.

The first writer in the queue is the leader.  It writes the queued writes, its own included, as one group with
one fsync, and then hands leadership to the next writer.
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
    """A write that waits in the queue or is being written."""

    payload: bytes
    operations: list[Operation]
    exclusive: bool = False  # It needs leadership without writing, and never joins a group.
    is_leader: bool = False
    error: BaseException | None = None
    # Released when this write becomes the leader or is done.
    wakeup: threading.Lock = field(default_factory=threading.Lock)


class CommitQueue:
    """The queue of pending writes of one store."""

    def __init__(self, write_group: Callable[[list[PendingWrite]], None], group_bytes: int) -> None:
        """Create an empty queue.

        Args:
            write_group: Makes a group durable, or raises. It is called for one group at a time.
            group_bytes: The maximum payload of a group. A larger write forms a group of its own.
        """
        self._write_group = write_group
        self._group_bytes = group_bytes
        self._lock = threading.Lock()
        self._queue: deque[PendingWrite] = deque()
        self._has_leader = False
        self._closed = False

    def close(self) -> None:
        """Reject further writes; queued writes are still written."""
        with self._lock:
            self._closed = True

    def submit(self, write: PendingWrite) -> bool:
        """Wait until the write is done; return whether the caller was the leader of its group.

        Raises:
            StoreClosedError: The queue is closed.
            BaseException: Any error that `write_group` raised.
        """
        self._enqueue(write)
        if write.is_leader:
            self._lead()
        if write.error is not None:
            raise write.error
        return write.is_leader

    def pause(self) -> None:
        """Become the leader without writing, so that no write is in progress until `resume`."""
        write = PendingWrite(b"", [], exclusive=True)
        self._enqueue(write)
        with self._lock:
            self._queue.remove(write)

    def resume(self) -> None:
        """Allow writes again after `pause`."""
        with self._lock:
            self._hand_over_leadership()

    def _enqueue(self, write: PendingWrite) -> None:
        """Wait until the write is done or is the leader; on an interrupt, remove it from the queue."""
        write.wakeup.acquire()
        with self._lock:
            if self._closed and not write.exclusive:
                raise StoreClosedError("the store is closed")
            self._queue.append(write)
            if not self._has_leader:
                self._has_leader = write.is_leader = True
        if write.is_leader:
            return
        try:
            write.wakeup.acquire()
        except BaseException:
            with self._lock:
                if write in self._queue:
                    self._queue.remove(write)
                    if write.is_leader:
                        self._hand_over_leadership()
            raise

    def _lead(self) -> None:
        """Write the first group of the queue, which includes the caller's write, and hand over leadership."""
        group = self._take_group()
        error: BaseException | None = None
        try:
            self._write_group(group)
        except BaseException as raised:
            error = raised
        for write in group:
            write.error = error
        with self._lock:
            # Hand over leadership before the followers are woken up, so that the disk does not wait for them.
            self._hand_over_leadership()
        for write in group:
            if not write.is_leader:
                write.wakeup.release()

    def _take_group(self) -> list[PendingWrite]:
        """Remove the first group from the queue; an exclusive write ends it."""
        with self._lock:
            group: list[PendingWrite] = []
            size = 0
            while self._queue and not self._queue[0].exclusive:
                size += len(self._queue[0].payload)
                if group and size > self._group_bytes:
                    break
                group.append(self._queue.popleft())
        return group

    def _hand_over_leadership(self) -> None:
        """Make the first write in the queue the leader, if there is one.  The caller holds the lock."""
        if self._queue:
            self._queue[0].is_leader = True
            self._queue[0].wakeup.release()
        else:
            self._has_leader = False
