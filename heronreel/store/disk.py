"""The interface between the store and a disk, and its implementation on a real file system.

The store accesses files only through `Disk` and `DiskFile`.  There are two implementations: `RealDisk` in
this module, and `heronreel.store.fault_injecting_disk.FaultInjectingDisk`, which shows every behaviour that
POSIX permits.  The store relies on these guarantees only:

* `write` appends, and may write fewer bytes than requested;
* written bytes are only certain to be durable once `sync` has returned; after a failed `sync` they may or may
  not be durable;
* the creation, the rename and the removal of a file are durable once `sync_directory` has returned; before
  that they may reach the disk in any order;
* an open file stays readable after its name was removed.
"""

from __future__ import annotations

import fcntl
import mmap
import os
from pathlib import Path
from typing import Protocol

LOCK_NAME = "LOCK"
NOTE_BYTES = 64  # Size of the note in the lock file.


class DiskFile(Protocol):
    """An open file.  Offsets and sizes are in bytes.  Every call may raise OSError."""

    def write(self, data: bytes | memoryview) -> int:
        """Append `data` or its first part; return the number of bytes written, at least 1."""
        ...

    def read(self, offset: int, length: int) -> bytes:
        """Return up to `length` bytes from `offset`; fewer only at the end of the file."""
        ...

    def size(self) -> int:
        """Return the file's size."""
        ...

    def sync(self) -> None:
        """Make all written bytes durable before returning."""
        ...

    def close(self) -> None:
        """Close the file; a second call has no effect."""
        ...


class LockFile(Protocol):
    """The exclusive lock of the writer.  Its file holds a note for readers, which need not be durable."""

    def publish(self, note: bytes) -> None:
        """Replace the note by `note`, which has at most `NOTE_BYTES` bytes."""
        ...

    def release(self) -> None:
        """Release the lock."""
        ...


class Disk(Protocol):
    """One directory.  Names are names of files in it, without a path.  Every call may raise OSError."""

    def make_directory(self) -> None:
        """Create the directory durably, unless it exists."""
        ...

    def exists(self) -> bool:
        """Return whether the directory exists."""
        ...

    def list_names(self) -> list[str]:
        """Return the names of the directory's files, sorted."""
        ...

    def create(self, name: str) -> DiskFile:
        """Create a file and open it for appending; an existing file of that name is replaced."""
        ...

    def open(self, name: str) -> DiskFile:
        """Open an existing file for reading; raises FileNotFoundError if there is none."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Rename a file; an existing file of the new name is replaced."""
        ...

    def remove(self, name: str) -> None:
        """Remove a file; raises FileNotFoundError if there is none."""
        ...

    def sync_directory(self) -> None:
        """Make file creations, renames and removals durable before returning."""
        ...

    def acquire_lock(self) -> LockFile | None:
        """Acquire the writer's lock; return None while a live process holds it."""
        ...

    def read_note(self) -> bytes | None:
        """Return the last note of the process that holds the lock, or None if no process holds it."""
        ...


def write_all(file: DiskFile, data: bytes) -> None:
    """Write all of `data`; continue after short writes."""
    written = file.write(data)
    if written == len(data):
        return
    view = memoryview(data)
    while written < len(data):
        written += file.write(view[written:])


def read_all(disk: Disk, name: str, limit: int | None = None) -> bytes:
    """Return all bytes of a file, or the first `limit` of them."""
    file = disk.open(name)
    try:
        return file.read(0, file.size() if limit is None else limit)
    finally:
        file.close()


class RealFile:
    """A file that is accessed by its descriptor, and closed when its last reference is dropped at the latest.

    A snapshot may keep a file open after its removal.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def write(self, data: bytes | memoryview) -> int:
        """As `DiskFile.write`."""
        return os.write(self._descriptor, data)

    def read(self, offset: int, length: int) -> bytes:
        """As `DiskFile.read`."""
        data = os.pread(self._descriptor, length, offset)
        if len(data) == length:
            return data
        parts = [data]
        while data and (length := length - len(data)) > 0:
            offset += len(data)
            data = os.pread(self._descriptor, length, offset)
            parts.append(data)
        return b"".join(parts)

    def size(self) -> int:
        """As `DiskFile.size`."""
        return os.fstat(self._descriptor).st_size

    def sync(self) -> None:
        """As `DiskFile.sync`."""
        os.fdatasync(self._descriptor)

    def close(self) -> None:
        """As `DiskFile.close`."""
        descriptor, self._descriptor = self._descriptor, -1
        if descriptor >= 0:
            os.close(descriptor)

    def __del__(self) -> None:
        self.close()


class RealLock:
    """An `flock` on the lock file.

    The kernel releases it when the holding process ends. It also excludes a second writer in the same
    process.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        os.truncate(descriptor, NOTE_BYTES)
        # The note is memory-mapped, because a write call would change the file's timestamps, and the log's
        # next fsync would have to write those as well.
        self._note = mmap.mmap(descriptor, NOTE_BYTES)

    def publish(self, note: bytes) -> None:
        """As `LockFile.publish`."""
        self._note[:] = note.ljust(NOTE_BYTES, b"\0")

    def release(self) -> None:
        """As `LockFile.release`."""
        self._note.close()  # The mapping would also keep the lock's file open.
        descriptor, self._descriptor = self._descriptor, -1
        if descriptor >= 0:
            os.close(descriptor)


class RealDisk:
    """A directory of the file system."""

    def __init__(self, path: str | os.PathLike[str]) -> None:
        self.path = Path(path)

    def make_directory(self) -> None:
        """As `Disk.make_directory`; parents are created too."""
        if self.path.is_dir():
            return
        missing = [self.path, *self.path.parents]
        self.path.mkdir(parents=True)
        for parent in missing[1:]:
            self._sync(parent)
            if parent.is_mount() or parent == parent.parent:
                break

    def exists(self) -> bool:
        """As `Disk.exists`."""
        return self.path.is_dir()

    def list_names(self) -> list[str]:
        """As `Disk.list_names`."""
        return sorted(os.listdir(self.path))

    def create(self, name: str) -> RealFile:
        """As `Disk.create`."""
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC
        return RealFile(os.open(self.path / name, flags, 0o600))

    def open(self, name: str) -> RealFile:
        """As `Disk.open`."""
        return RealFile(os.open(self.path / name, os.O_RDONLY | os.O_CLOEXEC))

    def rename(self, old: str, new: str) -> None:
        """As `Disk.rename`."""
        os.replace(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        """As `Disk.remove`."""
        os.unlink(self.path / name)

    def sync_directory(self) -> None:
        """As `Disk.sync_directory`."""
        self._sync(self.path)

    @staticmethod
    def _sync(path: Path) -> None:
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def acquire_lock(self) -> RealLock | None:
        """As `Disk.acquire_lock`."""
        descriptor = os.open(self.path / LOCK_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            return None
        except BaseException:
            os.close(descriptor)
            raise
        return RealLock(descriptor)

    def read_note(self) -> bytes | None:
        """As `Disk.read_note`."""
        try:
            descriptor = os.open(self.path / LOCK_NAME, os.O_RDONLY | os.O_CLOEXEC)
        except FileNotFoundError:
            return None
        try:
            try:
                fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
            except BlockingIOError:
                return os.pread(descriptor, NOTE_BYTES, 0)
            return None
        finally:
            os.close(descriptor)


def as_disk(path: str | os.PathLike[str] | Disk) -> Disk:
    """Return `path` if it is a disk already, else the disk of the directory at that path."""
    return RealDisk(path) if isinstance(path, (str, os.PathLike)) else path
