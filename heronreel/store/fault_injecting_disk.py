"""An in-memory disk that shows every failure that POSIX permits.

Between two fsyncs it may persist any subset of the written pages, and lose or keep any of the creations,
renames and removals of files.  Where the data of a file that has grown did not reach the disk, the file may
show zeros, or stale bytes of other files.  A failed fsync drops the pages that it should have written, while
the page cache still shows them.  `crash_image` draws one of the disks that a power loss could leave at that
moment.  All random choices come from a `random.Random` that the caller seeds.

The callback `fault` is called before each operation and may inject a fault.  The callback `watch` is called
before, in the middle of and after each operation that changes the disk, so that a test can examine every
crash point of a run.
"""

from __future__ import annotations

import errno
import os
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from heronreel.store.disk import LOCK_NAME, NOTE_BYTES
from heronreel.store.page_cache import CachedContent

MAX_STALE_CONTENTS = 32  # Contents of former files whose stale bytes may appear in other files.
_ALL_NAMES_KEPT_PROBABILITY = 0.25  # Probability that all directory changes survive a crash.
_NO_NAMES_KEPT_PROBABILITY = 0.25  # Probability that, in the other crashes, no directory change survives.
DEFAULT_CAPACITY_BYTES = 1 << 40


class PowerLoss(BaseException):
    """The power was lost: every later operation on this disk raises this exception."""


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that an operation shows instead of its normal effect.

    Attributes:
        error: The errno of the OSError.
        partial: For a write, the bytes written before the fault. If it is not 0, the write is a short write
            and raises no error.
    """

    error: int
    partial: int = 0

    def to_error(self, name: str) -> OSError:
        """Return the OSError of an operation on the file `name`."""
        return OSError(self.error, os.strerror(self.error), name)


Watch = Callable[[str, str, str], None]
"""Called with the moment ("before", "during", "after"), the operation and the file's name."""

FaultSource = Callable[[str, str], Fault | None]
"""Called with the operation and the file's name."""


class _NameChange(NamedTuple):
    """A change of the directory that is not yet durable."""

    old: str | None
    new: str | None
    content: CachedContent

    def apply(self, names: dict[str, CachedContent]) -> None:
        if self.old is not None and names.get(self.old) is self.content:
            del names[self.old]
        if self.new is not None:
            names[self.new] = self.content


class FaultInjectingFile:
    """A file of a `FaultInjectingDisk`."""

    def __init__(self, disk: FaultInjectingDisk, name: str, content: CachedContent) -> None:
        self._disk = disk
        self._name = name
        self._content = content

    def write(self, data: bytes | memoryview) -> int:
        """As `DiskFile.write`; the write is short if the disk is full or a fault requests it."""
        written = self._disk.free_space(self._name, len(data))
        half = written // 2
        with self._disk.operation("write", self._name) as operation:
            if operation.fault:
                written = min(operation.fault.partial, len(data))
                self._content.append(memoryview(data)[:written])
                if not written:
                    raise operation.fault.to_error(self._name)
                return written
            self._content.append(memoryview(data)[:half])
            operation.notify_halfway()
            self._content.append(memoryview(data)[half:written])
        return written

    def read(self, offset: int, length: int) -> bytes:
        """As `DiskFile.read`."""
        with self._disk.operation("read", self._name, changes=False) as operation:
            operation.raise_fault()
        return bytes(self._content.cached[offset : offset + length])

    def size(self) -> int:
        """As `DiskFile.size`."""
        self._disk.check_power()
        return len(self._content.cached)

    def sync(self) -> None:
        """As `DiskFile.sync`; a failed call drops the dirty pages, which the cache still shows."""
        content = self._content
        with self._disk.operation("sync", self._name) as operation:
            if operation.fault:
                content.dirty.clear()
                raise operation.fault.to_error(self._name)
            pages, size = sorted(content.dirty), len(content.cached)
            content.write_back(pages[::2], size)
            operation.notify_halfway()
            content.write_back(pages, size)
            content.dirty.clear()

    def close(self) -> None:
        """As `DiskFile.close`."""


class DiskOperation:
    """One operation on the disk, reported to its callbacks `fault` and `watch`."""

    def __init__(self, disk: FaultInjectingDisk, operation: str, name: str, changes: bool) -> None:
        self._disk = disk
        self._operation = operation
        self._name = name
        self._changes = changes
        self.fault: Fault | None = None

    def __enter__(self) -> DiskOperation:
        disk = self._disk
        disk.check_power()
        disk.operations += 1
        self.fault = disk.fault(self._operation, self._name) if disk.fault else None
        self._notify("before")
        return self

    def raise_fault(self) -> None:
        """Raise the error of the injected fault, if there is one."""
        if self.fault:
            raise self.fault.to_error(self._name)

    def notify_halfway(self) -> None:
        """Tell the watcher that half of the change is done."""
        self._notify("during")

    def __exit__(self, kind: type[BaseException] | None, *rest: object) -> None:
        if kind is None:
            self._notify("after")

    def _notify(self, moment: str) -> None:
        if self._changes and self._disk.watch:
            self._disk.watch(moment, self._operation, self._name)


class FaultInjectingLock:
    """The writer's lock of a `FaultInjectingDisk`."""

    def __init__(self, disk: FaultInjectingDisk) -> None:
        self._disk = disk

    def publish(self, note: bytes) -> None:
        """As `LockFile.publish`."""
        self._disk.check_power()
        self._disk.note = note.ljust(NOTE_BYTES, b"\0")

    def release(self) -> None:
        """As `LockFile.release`."""
        self._disk.note = None


class FaultInjectingDisk:
    """An in-memory `Disk` that injects faults and simulates power losses.

    Attributes:
        capacity: The size of the disk in bytes.
        fault: If set, called before each operation to inject faults.
        watch: If set, called before, during and after each operation that changes the disk.
        operations: The number of operations so far.
        note: The note of the lock file, or None while the lock is free.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY_BYTES) -> None:
        self.capacity = capacity
        self.fault: FaultSource | None = None
        self.watch: Watch | None = None
        self.operations = 0
        self.note: bytes | None = None
        self._powered_off = False
        self._exists = False
        self._names: dict[str, CachedContent] = {}
        self._durable_names: dict[str, CachedContent] = {}
        self._name_changes: list[_NameChange] = []
        self._stale: list[bytes] = []

    # -- control by tests

    def crash_image(self, rng: random.Random) -> FaultInjectingDisk:
        """Return one of the disks that a power loss could leave at this moment; this disk is not changed."""
        image = FaultInjectingDisk(self.capacity)
        image._exists = self._exists
        names = dict(self._durable_names)
        keep_all, keep_none = (
            rng.random() < _ALL_NAMES_KEPT_PROBABILITY,
            rng.random() < _NO_NAMES_KEPT_PROBABILITY,
        )
        for change in self._name_changes:
            if keep_all or (not keep_none and rng.random() < 0.5):
                change.apply(names)
        contents: dict[int, CachedContent] = {}
        for name, content in sorted(names.items()):
            if id(content) not in contents:
                contents[id(content)] = content.after_crash(rng, self._stale)
            image._names[name] = image._durable_names[name] = contents[id(content)]
        image._stale = list(self._stale)
        return image

    def copy(self) -> FaultInjectingDisk:
        """Return a disk with the same files, all of them durable, whose lock is free."""
        copied = FaultInjectingDisk(self.capacity)
        copied._exists = self._exists
        for name, content in self._names.items():
            copied.overwrite(name, bytes(content.cached))
        return copied

    def power_off(self) -> None:
        """Make every later operation raise PowerLoss."""
        self._powered_off = True

    def read_file(self, name: str) -> bytes:
        """Return all bytes of a file; this does not count as an operation."""
        return bytes(self._names[name].cached)

    def truncate(self, name: str, length: int) -> None:
        """Truncate a file to `length` bytes, on the disk and in the cache."""
        for data in (self._names[name].cached, self._names[name].durable):
            del data[length:]

    def flip_bits(self, name: str, offset: int, bits: int = 1) -> None:
        """Flip `bits` of the byte at `offset`, on the disk and in the cache, to simulate bit rot."""
        for data in (self._names[name].cached, self._names[name].durable):
            if offset < len(data):
                data[offset] ^= bits

    def overwrite(self, name: str, data: bytes) -> None:
        """Create or replace a file with these bytes, durably."""
        content = CachedContent(bytearray(data), bytearray(data))
        self._names[name] = self._durable_names[name] = content

    @property
    def used(self) -> int:
        """The size of all files in bytes."""
        contents = {id(content): content for content in self._names.values()}
        return sum(len(content.cached) for content in contents.values())

    # -- interface for the disk's files and its lock

    def check_power(self) -> None:
        """Raise PowerLoss if the power was lost."""
        if self._powered_off:
            raise PowerLoss

    def operation(self, operation: str, name: str, *, changes: bool = True) -> DiskOperation:
        """Return the context manager of an operation on the file `name`."""
        return DiskOperation(self, operation, name, changes)

    def free_space(self, name: str, wanted: int) -> int:
        """Return how many of the wanted bytes fit; raise an OSError with ENOSPC if none does."""
        free = self.capacity - self.used
        if wanted and free <= 0:
            self.check_power()
            raise Fault(errno.ENOSPC).to_error(name)
        return min(free, wanted)

    # -- the `Disk` interface

    def make_directory(self) -> None:
        """As `Disk.make_directory`."""
        self.check_power()
        self._exists = True

    def exists(self) -> bool:
        """As `Disk.exists`."""
        self.check_power()
        return self._exists

    def list_names(self) -> list[str]:
        """As `Disk.list_names`."""
        self.check_power()
        return sorted(self._names) + ([LOCK_NAME] if self._exists else [])

    def create(self, name: str) -> FaultInjectingFile:
        """As `Disk.create`."""
        with self.operation("create", name) as operation:
            operation.raise_fault()
            if replaced := self._names.get(name):
                self._remember_stale(replaced)
            content = self._names[name] = CachedContent()
            self._name_changes.append(_NameChange(None, name, content))
        return FaultInjectingFile(self, name, content)

    def open(self, name: str) -> FaultInjectingFile:
        """As `Disk.open`."""
        with self.operation("open", name, changes=False) as operation:
            operation.raise_fault()
            if name not in self._names:
                raise Fault(errno.ENOENT).to_error(name)
        return FaultInjectingFile(self, name, self._names[name])

    def rename(self, old: str, new: str) -> None:
        """As `Disk.rename`."""
        with self.operation("rename", new) as operation:
            operation.raise_fault()
            content = self._names.pop(old)
            if replaced := self._names.get(new):
                self._remember_stale(replaced)
            self._names[new] = content
            self._name_changes.append(_NameChange(old, new, content))

    def remove(self, name: str) -> None:
        """As `Disk.remove`."""
        with self.operation("remove", name) as operation:
            operation.raise_fault()
            if name not in self._names:
                raise Fault(errno.ENOENT).to_error(name)
            content = self._names.pop(name)
            self._remember_stale(content)
            self._name_changes.append(_NameChange(name, None, content))

    def sync_directory(self) -> None:
        """As `Disk.sync_directory`."""
        with self.operation("sync_directory", "") as operation:
            operation.raise_fault()
            for change in self._name_changes[::2]:
                change.apply(self._durable_names)
            operation.notify_halfway()
            self._durable_names = dict(self._names)
            self._name_changes.clear()

    def acquire_lock(self) -> FaultInjectingLock | None:
        """As `Disk.acquire_lock`."""
        self.check_power()
        if self.note is not None:
            return None
        self.note = bytes(NOTE_BYTES)
        return FaultInjectingLock(self)

    def read_note(self) -> bytes | None:
        """As `Disk.read_note`."""
        self.check_power()
        return self.note

    def _remember_stale(self, content: CachedContent) -> None:
        self._stale = [*self._stale[-MAX_STALE_CONTENTS:], bytes(content.cached)]
