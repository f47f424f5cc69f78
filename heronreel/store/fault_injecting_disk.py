"""A disk in memory that does to files whatever POSIX allows.

Between two fsyncs it may keep any pages of what was written, in any order; it may lose names, renames and
removals or keep some of them; a file that has grown may show zeros, or bytes that other files left at that
place, where its data did not arrive; a failed fsync drops what it was to write while the cache goes on
showing it.  `image` draws one of the disks that a loss of power could leave now.  Everything is drawn from
a `random.Random` that the caller seeds.

Faults are injected by `fault`, asked before each call; `watch` is told before, in the middle of and after
each call that changes something, so that a test can look at every crash point of one run.
"""

from __future__ import annotations

import errno
import os
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from heronreel.store.disk import LOCK

PAGE = 64  # bytes: small, so that short records lie over several
STALE_MOST = 32  # contents of former files that may show through


class Crash(BaseException):
    """The power has gone: every call to this disk raises it from now on."""


@dataclass(frozen=True, slots=True)
class Fault:
    """What a call does in place of its work."""

    error: int  # an errno
    partial: int = 0  # of a write: bytes taken before the error shows; then it is a short write

    def raised(self, name: str) -> OSError:
        return OSError(self.error, os.strerror(self.error), name)


Watch = Callable[[str, str, str], None]  # moment ("before", "during", "after"), call, name
Faults = Callable[[str, str], Fault | None]  # call, name


@dataclass(slots=True, eq=False)
class _Content:
    """A file's bytes: as the cache shows them, and as they are on the disk."""

    seen: bytearray = field(default_factory=bytearray)
    kept: bytearray = field(default_factory=bytearray)
    dirty: set[int] = field(default_factory=set)  # pages that the next fsync writes

    def append(self, data: bytes | memoryview) -> None:
        begin = len(self.seen)
        self.seen += data
        self.dirty.update(range(begin // PAGE, (len(self.seen) + PAGE - 1) // PAGE))

    def keep(self, pages: list[int], size: int) -> None:
        """Write pages to the disk; the file has `size` bytes there from now on."""
        if len(self.kept) < size:
            self.kept += bytes(size - len(self.kept))
        for page in pages:
            end = min((page + 1) * PAGE, size)
            if page * PAGE < end:
                self.kept[page * PAGE : end] = self.seen[page * PAGE : end]

    def after_crash(self, rng: random.Random, stale: list[bytes]) -> _Content:
        made = _Content(kept=bytearray(self.kept))
        if self.dirty:
            size = rng.choice((len(self.kept), len(self.seen), rng.randint(len(self.kept), len(self.seen))))
            how = rng.random()
            pages = [page for page in sorted(self.dirty) if how < 0.25 or (how < 0.75 and rng.random() < 0.5)]
            before = len(made.kept)
            if size > before:
                made.kept += bytes(size - before)
                if stale and rng.random() < 0.5:
                    old = rng.choice(stale)
                    made.kept[before : min(size, len(old))] = old[before : min(size, len(old))]
                    del made.kept[size:]
            for page in pages:
                begin, end = page * PAGE, min((page + 1) * PAGE, size)
                if begin < end:
                    made.kept[begin:end] = self.seen[begin:end]
        made.seen = bytearray(made.kept)
        return made


class FaultInjectingFile:
    def __init__(self, disk: FaultInjectingDisk, name: str, content: _Content) -> None:
        self._disk = disk
        self._name = name
        self._content = content

    def write(self, data: bytes | memoryview) -> int:
        disk = self._disk
        taken = disk._room_for(self._name, len(data))
        half = taken // 2
        with disk._call("write", self._name) as call:
            if call.fault:
                taken = min(call.fault.partial, len(data))
                self._content.append(memoryview(data)[:taken])
                if not taken:
                    raise call.fault.raised(self._name)
                return taken
            self._content.append(memoryview(data)[:half])
            call.during()
            self._content.append(memoryview(data)[half:taken])
        return taken

    def read(self, offset: int, length: int) -> bytes:
        with self._disk._call("read", self._name, changes=False) as call:
            if call.fault:
                raise call.fault.raised(self._name)
        return bytes(self._content.seen[offset : offset + length])

    def size(self) -> int:
        self._disk._alive()
        return len(self._content.seen)

    def sync(self) -> None:
        content = self._content
        with self._disk._call("sync", self._name) as call:
            if call.fault:
                content.dirty.clear()  # dropped: the cache goes on showing them as if they were written
                raise call.fault.raised(self._name)
            pages, size = sorted(content.dirty), len(content.seen)
            content.keep(pages[::2], size)
            call.during()
            content.keep(pages, size)
            content.dirty.clear()

    def close(self) -> None:
        pass


class _Call:
    """One call to the disk, told to whoever watches."""

    def __init__(self, disk: FaultInjectingDisk, call: str, name: str, changes: bool) -> None:
        self._disk = disk
        self._told = call, name
        self._changes = changes
        self.fault: Fault | None = None

    def __enter__(self) -> _Call:
        self._disk._alive()
        self._disk.calls += 1
        self.fault = self._disk.fault(*self._told) if self._disk.fault else None
        self._tell("before")
        return self

    def during(self) -> None:
        self._tell("during")

    def __exit__(self, kind: type[BaseException] | None, *rest: object) -> None:
        if kind is None:
            self._tell("after")

    def _tell(self, moment: str) -> None:
        if self._changes and self._disk.watch:
            self._disk.watch(moment, *self._told)


class FaultInjectingLock:
    def __init__(self, disk: FaultInjectingDisk) -> None:
        self._disk = disk

    def tell(self, note: bytes) -> None:
        self._disk._alive()
        self._disk._note = note.ljust(64, b"\0")

    def release(self) -> None:
        self._disk._note = None


class FaultInjectingDisk:
    """One folder on a disk of `capacity` bytes."""

    def __init__(self, capacity: int = 1 << 40) -> None:
        self.capacity = capacity
        self.fault: Faults | None = None
        self.watch: Watch | None = None
        self.calls = 0
        self.dead = False
        self._made = False
        self._names: dict[str, _Content] = {}
        self._kept: dict[str, _Content] = {}
        self._changes: list[tuple[str | None, str | None, _Content]] = []  # from, to, what
        self._stale: list[bytes] = []
        self._note: bytes | None = None

    # -- what a test does

    def image(self, rng: random.Random) -> FaultInjectingDisk:
        """One of the disks that a loss of power could leave at this moment; this one is left as it is."""
        made = FaultInjectingDisk(self.capacity)
        made._made = self._made
        names = dict(self._kept)
        keep_all, keep_none = rng.random() < 0.25, rng.random() < 0.25
        for old, new, content in self._changes:
            if keep_all or (not keep_none and rng.random() < 0.5):
                if old is not None and names.get(old) is content:
                    del names[old]
                if new is not None:
                    names[new] = content
        contents: dict[int, _Content] = {}
        for name, content in sorted(names.items()):
            if id(content) not in contents:
                contents[id(content)] = content.after_crash(rng, self._stale)
            made._names[name] = made._kept[name] = contents[id(content)]
        made._stale = list(self._stale)
        return made

    def copy(self) -> FaultInjectingDisk:
        """The same files, all of them durable, and nobody at work."""
        made = FaultInjectingDisk(self.capacity)
        made._made = self._made
        for name, content in self._names.items():
            kept = _Content(bytearray(content.seen), bytearray(content.seen))
            made._names[name] = made._kept[name] = kept
        return made

    def die(self) -> None:
        """Every call raises Crash from now on."""
        self.dead = True

    def bytes_of(self, name: str) -> bytes:
        return bytes(self._names[name].seen)

    def cut(self, name: str, length: int) -> None:
        """Leave `length` bytes of a file."""
        for data in (self._names[name].seen, self._names[name].kept):
            del data[length:]

    def flip(self, name: str, offset: int, bits: int = 1) -> None:
        """Bit rot, of what is on the disk and what the cache shows."""
        for data in (self._names[name].seen, self._names[name].kept):
            if offset < len(data):
                data[offset] ^= bits

    def replace(self, name: str, data: bytes) -> None:
        """Put bytes there, durably, whatever was there."""
        self._names[name] = self._kept[name] = _Content(bytearray(data), bytearray(data))

    @property
    def used(self) -> int:
        return sum(len(content.seen) for content in {id(c): c for c in self._names.values()}.values())

    # -- the disk

    def _alive(self) -> None:
        if self.dead:
            raise Crash

    def _call(self, call: str, name: str, changes: bool = True) -> _Call:
        return _Call(self, call, name, changes)

    def _room_for(self, name: str, wanted: int) -> int:
        room = self.capacity - self.used
        if wanted and room <= 0:
            self._alive()
            raise Fault(errno.ENOSPC).raised(name)
        return min(room, wanted)

    def _forget(self, content: _Content) -> None:
        self._stale = [*self._stale[-STALE_MOST:], bytes(content.seen)]

    def make(self) -> None:
        self._alive()
        self._made = True

    def exists(self) -> bool:
        self._alive()
        return self._made

    def names(self) -> list[str]:
        self._alive()
        return sorted(self._names) + ([LOCK] if self._made else [])

    def create(self, name: str) -> FaultInjectingFile:
        with self._call("create", name) as call:
            if call.fault:
                raise call.fault.raised(name)
            if former := self._names.get(name):
                self._forget(former)
            content = self._names[name] = _Content()
            self._changes.append((None, name, content))
        return FaultInjectingFile(self, name, content)

    def open(self, name: str) -> FaultInjectingFile:
        with self._call("open", name, changes=False) as call:
            if call.fault:
                raise call.fault.raised(name)
            if name not in self._names:
                raise Fault(errno.ENOENT).raised(name)
        return FaultInjectingFile(self, name, self._names[name])

    def rename(self, old: str, new: str) -> None:
        with self._call("rename", new) as call:
            if call.fault:
                raise call.fault.raised(new)
            content = self._names.pop(old)
            if former := self._names.get(new):
                self._forget(former)
            self._names[new] = content
            self._changes.append((old, new, content))

    def remove(self, name: str) -> None:
        with self._call("remove", name) as call:
            if call.fault:
                raise call.fault.raised(name)
            if name not in self._names:
                raise Fault(errno.ENOENT).raised(name)
            content = self._names.pop(name)
            self._forget(content)
            self._changes.append((name, None, content))

    def sync_folder(self) -> None:
        with self._call("sync_folder", "") as call:
            if call.fault:
                raise call.fault.raised("")
            half = self._changes[::2]
            for old, new, content in half:
                if old is not None and self._kept.get(old) is content:
                    del self._kept[old]
                if new is not None:
                    self._kept[new] = content
            call.during()
            self._kept = dict(self._names)
            self._changes.clear()

    def lock(self) -> FaultInjectingLock | None:
        self._alive()
        if self._note is not None:
            return None
        self._note = bytes(64)
        return FaultInjectingLock(self)

    def note(self) -> bytes | None:
        self._alive()
        return self._note
