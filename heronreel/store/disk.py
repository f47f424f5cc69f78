"""The narrow seam between the store and a disk, and the real one.

Whatever the store does to files goes through `Disk` and `DiskFile`: two implementations exist, `RealDisk`
here and `heronreel.store.fault_injecting_disk.FaultInjectingDisk`, which leaves open what POSIX leaves
open.  The store leans on no more than this:

* `write` appends and may write less than it was given;
* written bytes are on the disk once `sync` has returned, and not before; after a failed `sync` they may or
  may not be;
* a file's name, a rename and a removal are on the disk once `sync_folder` has returned, in no order before
  that;
* a file opened stays readable after its name is gone.
"""

from __future__ import annotations

import fcntl
import mmap
import os
from pathlib import Path
from typing import Protocol

LOCK = "LOCK"


class DiskFile(Protocol):
    """A file, open.  Offsets and sizes are in bytes.  Every call may raise OSError."""

    def write(self, data: bytes | memoryview) -> int:
        """Append at most `data`; returns the number of bytes taken, at least 1."""
        ...

    def read(self, offset: int, length: int) -> bytes:
        """Up to `length` bytes from `offset`; fewer only where the file ends."""
        ...

    def size(self) -> int: ...

    def sync(self) -> None:
        """Return once all that was written is durable."""
        ...

    def close(self) -> None: ...


class LockFile(Protocol):
    """The lock that one writer holds.  Its file carries a note for readers, which needs no durability."""

    def tell(self, note: bytes) -> None:
        """Replace the note, at most 64 bytes."""
        ...

    def release(self) -> None: ...


class Disk(Protocol):
    """One folder.  Names are plain file names in it."""

    def make(self) -> None:
        """Make the folder durably, unless it is there."""
        ...

    def exists(self) -> bool: ...

    def names(self) -> list[str]: ...

    def create(self, name: str) -> DiskFile:
        """A new file for appending; an old one of that name is replaced."""
        ...

    def open(self, name: str) -> DiskFile:
        """An old file, for reading; FileNotFoundError if there is none."""
        ...

    def rename(self, old: str, new: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def sync_folder(self) -> None:
        """Return once names, renames and removals are durable."""
        ...

    def lock(self) -> LockFile | None:
        """The writer's lock, or None while a live owner has it."""
        ...

    def note(self) -> bytes | None:
        """What the live owner of the lock told last, or None if nobody has it."""
        ...


def write_whole(file: DiskFile, data: bytes) -> None:
    """Write all of `data`, over as many short writes as the disk makes of it."""
    taken = file.write(data)
    if taken == len(data):
        return
    view = memoryview(data)
    while taken < len(data):
        taken += file.write(view[taken:])


def read_whole(disk: Disk, name: str, most: int | None = None) -> bytes:
    """All bytes of a file, or the first `most` of them."""
    file = disk.open(name)
    try:
        return file.read(0, file.size() if most is None else most)
    finally:
        file.close()


class RealFile:
    """A file by its descriptor, closed when nobody holds it any more: a snapshot may keep one past its
    removal.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def write(self, data: bytes | memoryview) -> int:
        return os.write(self._descriptor, data)

    def read(self, offset: int, length: int) -> bytes:
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
        return os.fstat(self._descriptor).st_size

    def sync(self) -> None:
        os.fdatasync(self._descriptor)

    def close(self) -> None:
        descriptor, self._descriptor = self._descriptor, -1
        if descriptor >= 0:
            os.close(descriptor)

    def __del__(self) -> None:
        self.close()


class RealLock:
    """`flock` on a file: the kernel takes it from a dead owner, and a second opening in this process has to
    wait.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        os.truncate(descriptor, 64)
        # by a mapping: a write to the file would change its times, for the log's next fsync to write as well
        self._note = mmap.mmap(descriptor, 64)

    def tell(self, note: bytes) -> None:
        self._note[:] = note.ljust(64, b"\0")

    def release(self) -> None:
        self._note.close()  # it has the lock's file open too
        descriptor, self._descriptor = self._descriptor, -1
        if descriptor >= 0:
            os.close(descriptor)


class RealDisk:
    """A folder of the file system."""

    def __init__(self, path: str | os.PathLike[str]) -> None:
        self.path = Path(path)

    def make(self) -> None:
        if self.path.is_dir():
            return
        missing = [self.path, *self.path.parents]
        self.path.mkdir(parents=True)
        for parent in missing[1:]:
            self._sync(parent)
            if parent.is_mount() or parent == parent.parent:
                break

    def exists(self) -> bool:
        return self.path.is_dir()

    def names(self) -> list[str]:
        return sorted(os.listdir(self.path))

    def create(self, name: str) -> RealFile:
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC
        return RealFile(os.open(self.path / name, flags, 0o600))

    def open(self, name: str) -> RealFile:
        return RealFile(os.open(self.path / name, os.O_RDONLY | os.O_CLOEXEC))

    def rename(self, old: str, new: str) -> None:
        os.replace(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        os.unlink(self.path / name)

    def sync_folder(self) -> None:
        self._sync(self.path)

    @staticmethod
    def _sync(path: Path) -> None:
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def lock(self) -> RealLock | None:
        descriptor = os.open(self.path / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            return None
        except BaseException:
            os.close(descriptor)
            raise
        return RealLock(descriptor)

    def note(self) -> bytes | None:
        try:
            descriptor = os.open(self.path / LOCK, os.O_RDONLY | os.O_CLOEXEC)
        except FileNotFoundError:
            return None
        try:
            try:
                fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
            except BlockingIOError:
                return os.pread(descriptor, 64, 0)
            return None
        finally:
            os.close(descriptor)
