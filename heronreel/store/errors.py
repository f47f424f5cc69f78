"""The errors that the store raises, and the record of bytes that were lost."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

MAX_LOST_SHOWN = 5  # in the message of a CorruptionError


@dataclass(frozen=True, slots=True)
class Lost:
    """Bytes of one file that fail verification, and the records they held as far as that is known.

    The field names are keys of `verify --json` and `repair --json`.
    """

    file: str
    offset: int  # bytes from the start of the file
    length: int  # bytes
    records: str  # readable: "groups 17 to 19", "keys from b'a' on, before b'c'"
    why: str

    def __str__(self) -> str:
        return f"{self.file}: bytes {self.offset} to {self.offset + self.length}: {self.why}: {self.records}"


class StoreError(Exception):
    """The base of every error that the store raises by itself.

    `code` is the stable name that `heronreel store ... --json` prints; programs match on it, so it stays as
    it is when a class is renamed.
    """

    code: ClassVar[str] = "StoreError"


class InvalidArgumentError(StoreError, ValueError):
    """A key, a value or a setting is outside its limits; nothing was written."""

    code = "InvalidArgument"


class MalformedOperationsError(StoreError, ValueError):
    """Encoded operations that end within one."""

    code = "MalformedOperations"


class UnknownFormatError(StoreError):
    """The directory has a newer format or is not a store; it was left untouched."""

    code = "UnknownFormat"


class StoreLockedError(StoreError):
    """Another writer holds the store's lock."""

    code = "StoreLocked"


class StoreClosedError(StoreError):
    """The store was used after close(), or from a process forked off the one that opened it."""

    code = "StoreClosed"


class ReadOnlyError(StoreError):
    """A write to a store opened for reading, or `refresh` of one opened for writing."""

    code = "ReadOnly"


class WriteFailedError(StoreError):
    """The disk rejected a write; the store has nothing of it, and `__cause__` is the system's error.

    Attributes:
        final: True if the store rejects all writes until it is reopened, because an fsync failed and it is
            unknown which of the earlier pages reached the disk. With False (a full disk, for example) later
            writes may succeed.
    """

    code = "WriteFailed"

    def __init__(self, message: str, *, final: bool) -> None:
        super().__init__(message)
        self.final = final


class CorruptionError(StoreError):
    """Acknowledged records are lost.

    A corrupt store opens for reading only; `heronreel store repair` salvages what is left into a new
    directory.

    Attributes:
        lost: Which bytes of which files are lost, and the records they held as far as that is known.
    """

    code = "Damaged"

    def __init__(self, lost: tuple[Lost, ...]) -> None:
        shown = "; ".join(map(str, lost[:MAX_LOST_SHOWN]))
        hidden = len(lost) - MAX_LOST_SHOWN
        super().__init__(f"{shown}; and {hidden} more" if hidden > 0 else shown)
        self.lost = lost
