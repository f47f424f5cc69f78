"""Ledgers on a disk: one file each, mapped into memory, and locked for as long as its process lives.

A ledger whose lock is free is an orphan: its process is gone, and the next process adopts it.  What a killed
process stored is in the system's page cache and found at once; a machine that crashed may have lost what was
stored since the last page was sealed, and nothing before.
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
TEMPORARY_SUFFIX = ".fresh"  # being created
QUARANTINE_SUFFIX = ".set-back"  # not to be uploaded: see `upload.QuarantineLedger`
MAX_ADOPTED = 64  # at once


class LedgerFile:
    """A ledger that this process owns, and the file that holds it."""

    def __init__(self, path: Path, descriptor: int) -> None:
        """Take over the descriptor, which holds the lock; when this raises it stays the caller's.

        Raises:
            InvalidLedgerError: the file holds no ledger, or a damaged one.
            OSError, ValueError: the file can't be mapped.
        """
        self.path = path
        self.descriptor = descriptor
        size = os.fstat(descriptor).st_size
        if not size:
            raise InvalidLedgerError("truncated")
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
        """Make what is stored by now survive a crash of the machine.

        Raises:
            OSError: the file can't be written.
        """
        self.map.flush()

    def close(self) -> None:
        """Release the lock; the file stays for the process that adopts it."""
        self.words.release()
        self.map.close()
        os.close(self.descriptor)

    def remove(self) -> None:
        """Remove the file: all of it is uploaded."""
        self.path.unlink(missing_ok=True)
        self.close()

    def quarantine(self) -> None:
        """Keep the file for operators to look at; what is settled until this process ends is in it too."""
        self.path.rename(self.path.with_suffix(QUARANTINE_SUFFIX))


class AdoptedLedgers(NamedTuple):
    """Ledgers that were orphans, and newly found problems of files that hold none."""

    files: list[LedgerFile]
    problems: list[str]


class LedgerDirectory:
    """The directory that holds the ledgers of one machine's proxies."""

    def __init__(self, path: str | Path) -> None:
        """Create the directory where it is missing.

        Raises:
            OSError: it can't be created.
        """
        self.path = Path(path)
        self.path.mkdir(parents=True, exist_ok=True)
        self._reported: set[str] = set()  # names of files whose problem was reported already

    def create(self, proxy: str, zone: str, tenants: tuple[str, ...]) -> LedgerFile:
        """Create a ledger; it is locked before anybody else can see it.

        Raises:
            HeaderTooLargeError: the tenants are too many, or their names too long.
            OSError: the file can't be created.
        """
        header = LedgerHeader(secrets.token_hex(8), proxy, zone, tenants)
        data = encode_new_ledger(header)
        temporary = self.path / f"{header.id}{TEMPORARY_SUFFIX}"
        descriptor = os.open(temporary, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.posix_fallocate(descriptor, 0, len(data))  # a store into a hole of a full disk is a SIGBUS
            os.pwrite(descriptor, data, 0)
            os.fsync(descriptor)
            path = temporary.with_suffix(LEDGER_SUFFIX)
            temporary.rename(path)
            self._sync()
            return LedgerFile(path, descriptor)
        except BaseException:
            os.close(descriptor)
            temporary.unlink(missing_ok=True)
            raise

    def _sync(self) -> None:
        directory = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)

    def adopt_orphans(self) -> AdoptedLedgers:
        """Take over the ledgers of processes that are gone; a problem of a file is reported only once.

        Raises:
            OSError: the directory can't be read.
        """
        adopted = AdoptedLedgers([], [])
        for path in sorted(self.path.iterdir()):
            if path.suffix not in (LEDGER_SUFFIX, TEMPORARY_SUFFIX) or len(adopted.files) >= MAX_ADOPTED:
                continue
            descriptor = _lock_orphan(path)
            if descriptor is not None:
                self._adopt(path, descriptor, adopted)
        return adopted

    def _adopt(self, path: Path, descriptor: int, adopted: AdoptedLedgers) -> None:
        if path.suffix == TEMPORARY_SUFFIX:  # its process was killed while it was created: it is empty
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
    """A descriptor that holds the file's lock; None where a living process holds it."""
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
