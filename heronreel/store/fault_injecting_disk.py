"""A disk in memory that does to files whatever POSIX permits.

Between two fsyncs it may keep any pages of what was written, in any order; it may lose names, renames and
removals or keep some of them; a file that has grown may show zeros, or bytes that other files left at that
place, where its data did not arrive; a failed fsync drops what it was to write while the cache goes on
showing it.  `crash_image` draws one of the disks that a loss of power could leave now.  Everything is drawn
from a `random.Random` that the caller seeds.

Faults are injected by `fault`, called before each operation; `watch` is called before, in the middle of and
after each operation that changes something, so that a test can look at every crash point of one run.
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

MAX_STALE = 32  # contents of former files that may show through
_KEEPS_ALL_NAMES = 0.25  # of the crashes: all changes of names have reached the disk
_KEEPS_NO_NAMES = 0.25  # of the others: none has
DEFAULT_CAPACITY = 1 << 40


class PowerLoss(BaseException):
    """The power has gone: every operation on this disk raises it from now on."""


@dataclass(frozen=True, slots=True)
class Fault:
    """What an operation does in place of its work.

    Attributes:
        error: The errno of its OSError.
        partial: Of a write, bytes written before the error shows; with any it is a short write, and no error.
    """

    error: int
    partial: int = 0

    def to_error(self, name: str) -> OSError:
        """The error of an operation on a file."""
        return OSError(self.error, os.strerror(self.error), name)


Watch = Callable[[str, str, str], None]
"""Called with the moment ("before", "during", "after"), the operation and the file's name."""

FaultSource = Callable[[str, str], Fault | None]
"""Called with the operation and the file's name."""


class _NameChange(NamedTuple):
    """A change of the directory that no fsync has covered yet."""

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
        """As `DiskFile.write`; short where the disk is full or a fault says so."""
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
            operation.halfway()
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
        """As `DiskFile.sync`; a failed one drops the dirty pages, which the cache goes on showing."""
        content = self._content
        with self._disk.operation("sync", self._name) as operation:
            if operation.fault:
                content.dirty.clear()
                raise operation.fault.to_error(self._name)
            pages, size = sorted(content.dirty), len(content.cached)
            content.write_back(pages[::2], size)
            operation.halfway()
            content.write_back(pages, size)
            content.dirty.clear()

    def close(self) -> None:
        """As `DiskFile.close`."""


class Operation:
    """One operation on the disk, shown to `FaultInjectingDisk.watch`."""

    def __init__(self, disk: FaultInjectingDisk, operation: str, name: str, changes: bool) -> None:
        self._disk = disk
        self._operation = operation
        self._name = name
        self._changes = changes
        self.fault: Fault | None = None

    def __enter__(self) -> Operation:
        disk = self._disk
        disk.check_power()
        disk.operations += 1
        self.fault = disk.fault(self._operation, self._name) if disk.fault else None
        self._notify("before")
        return self

    def raise_fault(self) -> None:
        """Raise the injected error, if there is one."""
        if self.fault:
            raise self.fault.to_error(self._name)

    def halfway(self) -> None:
        """Half of the change is done."""
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
    """One directory on a disk.

    Attributes:
        capacity: Bytes that fit on it.
        fault: Injects faults, if set.
        watch: Called around each operation that changes something, if set.
        operations: How many there were.
        note: The lock's note, None while nobody holds the lock.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
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

    # -- what a test does

    def crash_image(self, rng: random.Random) -> FaultInjectingDisk:
        """One of the disks that a loss of power could leave at this moment; this one is left as it is."""
        image = FaultInjectingDisk(self.capacity)
        image._exists = self._exists
        names = dict(self._durable_names)
        keep_all, keep_none = rng.random() < _KEEPS_ALL_NAMES, rng.random() < _KEEPS_NO_NAMES
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
        """The same files, all of them durable, without an owner of the lock."""
        copied = FaultInjectingDisk(self.capacity)
        copied._exists = self._exists
        for name, content in self._names.items():
            copied.overwrite(name, bytes(content.cached))
        return copied

    def power_off(self) -> None:
        """Every operation raises PowerLoss from now on."""
        self._powered_off = True

    def read_file(self, name: str) -> bytes:
        """All bytes of a file, without an operation."""
        return bytes(self._names[name].cached)

    def truncate(self, name: str, length: int) -> None:
        """Leave `length` bytes of a file."""
        for data in (self._names[name].cached, self._names[name].durable):
            del data[length:]

    def flip_bits(self, name: str, offset: int, bits: int = 1) -> None:
        """Bit rot in one byte, on the disk and in the cache."""
        for data in (self._names[name].cached, self._names[name].durable):
            if offset < len(data):
                data[offset] ^= bits

    def overwrite(self, name: str, data: bytes) -> None:
        """Have a file with these bytes, durably, whatever was there."""
        content = CachedContent(bytearray(data), bytearray(data))
        self._names[name] = self._durable_names[name] = content

    @property
    def used(self) -> int:
        """Bytes of all files."""
        contents = {id(content): content for content in self._names.values()}
        return sum(len(content.cached) for content in contents.values())

    # -- what its files and its lock use

    def check_power(self) -> None:
        """Raise PowerLoss once the power has gone."""
        if self._powered_off:
            raise PowerLoss

    def operation(self, operation: str, name: str, *, changes: bool = True) -> Operation:
        """Begin an operation."""
        return Operation(self, operation, name, changes)

    def free_space(self, name: str, wanted: int) -> int:
        """How many of the wanted bytes fit; an OSError with ENOSPC if none does."""
        free = self.capacity - self.used
        if wanted and free <= 0:
            self.check_power()
            raise Fault(errno.ENOSPC).to_error(name)
        return min(free, wanted)

    # -- the interface of a disk

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
            operation.halfway()
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
        self._stale = [*self._stale[-MAX_STALE:], bytes(content.cached)]
