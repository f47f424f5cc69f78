"""Ledger files: each ledger is a file that is mapped into memory and locked while its process runs.

A ledger whose lock is free is an orphan: its process has ended, and another process adopts it.  Everything
that a killed process stored is in the system's page cache, so no count is lost.  After a crash of the
machine, counts stored since the last page was sealed may be lost, but no earlier ones.
"""

from __future__ import annotations

import fcntl
import mmap
import os
import secrets
from pathlib import Path
from typing import NamedTuple

from heronreel.metering.errors import InvalidLedgerError
from heronreel.metering.ledger import Ledger
from heronreel.metering.ledger_format import LedgerHeader, decode_header, encode_new_ledger

LEDGER_SUFFIX = ".counts"
TEMPORARY_SUFFIX = ".fresh"  # The file is still being created.
QUARANTINE_SUFFIX = ".set-back"  # The file must not be uploaded: see `upload.QuarantineLedger`.
MAX_ADOPTED_AT_ONCE = 64


class LedgerFile:
    """A ledger that this process owns, and its file."""

    def __init__(self, path: Path, descriptor: int) -> None:
        """Map a file, and take over the descriptor that holds its lock.

        If this raises an error, the caller still owns the descriptor.

        Raises:
            InvalidLedgerError: the file does not contain a valid ledger.
            OSError, ValueError: the file can't be mapped.
        """
        self.path = path
        self.descriptor = descriptor
        size = os.fstat(descriptor).st_size
        if not size:
            raise InvalidLedgerError("the file is empty")
        self.map = mmap.mmap(descriptor, size)
        try:
            with memoryview(self.map) as view:
                header, first_cell = decode_header(view)
        except InvalidLedgerError:
            self.map.close()
            raise
        self.words = memoryview(self.map).cast("Q")
        self.ledger = Ledger(header, self.words, first_cell)  # type: ignore[arg-type]

    def sync(self) -> None:
        """Write the file to the disk, so that its present content survives a crash of the machine.

        Raises:
            OSError: the file can't be written.
        """
        self.map.flush()

    def close(self) -> None:
        """Close the file and release its lock; the file stays on the disk, and a process can adopt it."""
        self.words.release()
        self.map.close()
        os.close(self.descriptor)

    def remove(self) -> None:
        """Remove the file after all of its pages have been uploaded."""
        self.path.unlink(missing_ok=True)
        self.close()

    def quarantine(self) -> None:
        """Rename the file so that it is not uploaded, and keep it for operators to inspect.

        Responses that are settled until this process ends are still counted in the file.
        """
        self.path.rename(self.path.with_suffix(QUARANTINE_SUFFIX))


class AdoptedLedgers(NamedTuple):
    """The ledgers that were adopted, and new problems with files that contain no valid ledger."""

    files: list[LedgerFile]
    problems: list[str]


class LedgerDirectory:
    """The directory with the ledgers of one machine's proxies."""

    def __init__(self, path: str | Path) -> None:
        """Create the directory if it does not exist.

        Raises:
            OSError: the directory can't be created.
        """
        self.path = Path(path)
        self.path.mkdir(parents=True, exist_ok=True)
        self._reported: set[str] = set()  # The names of files whose problem has been reported.

    def create(self, proxy: str, zone: str, tenants: tuple[str, ...]) -> LedgerFile:
        """Create a ledger, which is locked before any other process can see it.

        Raises:
            HeaderTooLargeError: there are too many tenants, or their names are too long.
            OSError: the file can't be created.
        """
        header = LedgerHeader(secrets.token_hex(8), proxy, zone, tenants)
        data = encode_new_ledger(header)
        temporary = self.path / f"{header.id}{TEMPORARY_SUFFIX}"
        descriptor = os.open(temporary, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            # Without allocated blocks, a store into the mapping raises SIGBUS when the disk is full.
            os.posix_fallocate(descriptor, 0, len(data))
            os.pwrite(descriptor, data, 0)
            os.fsync(descriptor)
            path = temporary.with_suffix(LEDGER_SUFFIX)
            temporary.rename(path)
            self._sync_directory()
            return LedgerFile(path, descriptor)
        except BaseException:
            os.close(descriptor)
            temporary.unlink(missing_ok=True)
            raise

    def _sync_directory(self) -> None:
        directory = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)

    def adopt_orphans(self) -> AdoptedLedgers:
        """Take over the ledgers of processes that have ended.

        Each file with a problem is reported only once.

        Raises:
            OSError: the directory can't be read.
        """
        adopted = AdoptedLedgers([], [])
        for path in sorted(self.path.iterdir()):
            if (
                path.suffix not in (LEDGER_SUFFIX, TEMPORARY_SUFFIX)
                or len(adopted.files) >= MAX_ADOPTED_AT_ONCE
            ):
                continue
            descriptor = _lock_orphan(path)
            if descriptor is not None:
                self._adopt(path, descriptor, adopted)
        return adopted

    def _adopt(self, path: Path, descriptor: int, adopted: AdoptedLedgers) -> None:
        if path.suffix == TEMPORARY_SUFFIX:  # The process was killed while creating it, so it has no counts.
            path.unlink(missing_ok=True)
            os.close(descriptor)
            return
        try:
            adopted.files.append(LedgerFile(path, descriptor))
        except (InvalidLedgerError, OSError, ValueError) as error:
            os.close(descriptor)
            if path.name not in self._reported:
                self._reported.add(path.name)
                adopted.problems.append(f"{path}: {error}")


def _lock_orphan(path: Path) -> int | None:
    """Lock a file and return its descriptor; returns None if a running process holds the lock."""
    try:
        descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC)
    except OSError:
        return None  # The file has been removed, or this process may not open it.
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        if os.fstat(descriptor).st_nlink and path.exists():
            return descriptor
    except OSError:
        pass
    os.close(descriptor)
    return None
