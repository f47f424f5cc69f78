"""The errors that the store raises, and the description of lost bytes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

MAX_LOST_SHOWN = 5  # Losses listed in the message of a CorruptionError.


@dataclass(frozen=True, slots=True)
class Lost:
    """A range of bytes of one file that fails verification, and the records that it held, as far as known.

    The field names are keys of `verify --json` and `repair --json`.
    """

    file: str
    offset: int  # In bytes from the start of the file.
    length: int  # In bytes.
    records: str  # A description such as "groups 17 to 19" or "keys from b'a' on, before b'c'".
    why: str

    def __str__(self) -> str:
        return f"{self.file}: bytes {self.offset} to {self.offset + self.length}: {self.why}: {self.records}"


class StoreError(Exception):
    """The base class of all errors that the store itself raises.

    `code` is the stable name that `heronreel store ... --json` prints. Programs match on it, so it must not
    change when a class is renamed.
    """

    code: ClassVar[str] = "StoreError"


class InvalidArgumentError(StoreError, ValueError):
    """A key, a value or a setting is outside its limits; nothing was written."""

    code = "InvalidArgument"


class MalformedOperationsError(StoreError, ValueError):
    """Encoded operations whose last operation is cut short or exceeds its group."""

    code = "MalformedOperations"


class UnknownFormatError(StoreError):
    """The directory has a newer format or is not a store; it was not changed."""

    code = "UnknownFormat"


class StoreLockedError(StoreError):
    """Another writer holds the store's lock."""

    code = "StoreLocked"


class StoreClosedError(StoreError):
    """The store was used after `close`, or in a forked child of the process that opened it."""

    code = "StoreClosed"


class ReadOnlyError(StoreError):
    """A store opened for reading was written to, or `refresh` was called on one opened for writing."""

    code = "ReadOnly"


class WriteFailedError(StoreError):
    """A write failed on the disk and was not applied; `__cause__` is the error of the operating system.

    Attributes:
        final: True if the store rejects all writes until it is reopened, because after a failed fsync it is
            unknown which of the earlier pages reached the disk. If False (for example with a full disk),
            later writes may succeed.
    """

    code = "WriteFailed"

    def __init__(self, message: str, *, final: bool) -> None:
        super().__init__(message)
        self.final = final


class CorruptionError(StoreError):
    """Acknowledged records are lost.

    A corrupt store can be opened for reading only; `heronreel store repair` salvages the remaining records
    into a new directory.

    Attributes:
        lost: The lost ranges of files, and the records that they held, as far as known.
    """

    code = "Damaged"

    def __init__(self, lost: tuple[Lost, ...]) -> None:
        shown = "; ".join(map(str, lost[:MAX_LOST_SHOWN]))
        hidden = len(lost) - MAX_LOST_SHOWN
        super().__init__(f"{shown}; and {hidden} more" if hidden > 0 else shown)
        self.lost = lost
