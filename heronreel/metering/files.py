"""Books on a disk: one file each, mapped into memory, and locked for as long as its process lives.

A book whose lock is free is of a process that is gone: whoever finds it takes it over.  What a killed
process stored is in the system's cache and found at once; a machine that went down may have lost what was
stored since the last seal, and nothing before.
"""

from __future__ import annotations

import fcntl
import mmap
import os
import secrets
from pathlib import Path

from heronreel.metering.book import Book, Damaged, Head, blank, head_of

ENDING = ".counts"
FRESH = ".fresh"  # being made
ASIDE = ".set-back"  # not to be put to the group: see `posting.SetBack`
ADOPTED_MOST = 64  # at once


class OpenBook:
    """A book that this process has, and the file below it."""

    def __init__(self, path: Path, descriptor: int) -> None:
        """Raises Damaged; the descriptor is the caller's until then."""
        self.path = path
        self.descriptor = descriptor
        size = os.fstat(descriptor).st_size
        if not size:
            raise Damaged("cut off")
        self.map = mmap.mmap(descriptor, size)
        try:
            with memoryview(self.map) as view:
                head, first = head_of(view)
        except Damaged:
            self.map.close()
            raise
        self.words = memoryview(self.map).cast("Q")
        self.book = Book(head, self.words, first)  # type: ignore[arg-type]

    def sync(self) -> None:
        """What is stored now is found also after the machine went down.  Raises OSError."""
        self.map.flush()

    def close(self) -> None:
        """Let go of it; the file stays for whoever takes it over."""
        self.words.release()
        self.map.close()
        os.close(self.descriptor)

    def remove(self) -> None:
        """The group has all of it."""
        self.path.unlink(missing_ok=True)
        self.close()

    def put_aside(self) -> None:
        """Keep it for people to look at; what is settled in it until this process ends is there too."""
        self.path.rename(self.path.with_suffix(ASIDE))


class Shelf:
    """The folder of the books of one machine's proxies."""

    def __init__(self, folder: str | Path) -> None:
        """Raises OSError where the folder can't be made."""
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.damaged: set[str] = set()  # told already

    def make(self, proxy: str, zone: str, tenants: tuple[str, ...]) -> OpenBook:
        """A new book; it is locked before anybody else can see it.  Raises OSError."""
        head = Head(secrets.token_hex(8), proxy, zone, tenants)
        data = blank(head)
        fresh = self.folder / f"{head.id}{FRESH}"
        descriptor = os.open(fresh, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.posix_fallocate(descriptor, 0, len(data))  # a store into a hole of a full disk would kill us
            os.pwrite(descriptor, data, 0)
            os.fsync(descriptor)
            path = fresh.with_suffix(ENDING)
            fresh.rename(path)
            self._sync_folder()
            return OpenBook(path, descriptor)
        except BaseException:
            os.close(descriptor)
            fresh.unlink(missing_ok=True)
            raise

    def _sync_folder(self) -> None:
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def orphans(self) -> tuple[list[OpenBook], list[str]]:
        """Books of processes that are gone, now ours; and what is wrong with files that hold none, once."""
        found: list[OpenBook] = []
        wrong: list[str] = []
        for path in sorted(self.folder.iterdir()):
            if path.suffix not in (ENDING, FRESH) or len(found) >= ADOPTED_MOST:
                continue
            descriptor = self._locked(path)
            if descriptor is None:
                continue
            if path.suffix == FRESH:  # its process was killed while it was made: nothing is in it
                path.unlink(missing_ok=True)
                os.close(descriptor)
                continue
            try:
                found.append(OpenBook(path, descriptor))
            except (Damaged, OSError, ValueError) as error:
                os.close(descriptor)
                if path.name not in self.damaged:
                    self.damaged.add(path.name)
                    wrong.append(f"{path}: {error}")
        return found, wrong

    def _locked(self, path: Path) -> int | None:
        """A descriptor that holds the lock, or None where a process lives that has it."""
        try:
            descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC)
        except OSError:
            return None  # removed meanwhile, or not ours to open
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            if os.fstat(descriptor).st_nlink and path.exists():
                return descriptor
        except OSError:
            pass
        os.close(descriptor)
        return None
