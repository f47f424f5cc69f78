"""What can go wrong in a store, each kind under a name of its own."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Lost:
    """Bytes of one file that can't be trusted, and what stood there as far as that is known."""

    file: str
    offset: int  # bytes from the file's begin
    length: int  # bytes
    records: str  # in words: "batches 17 to 19", "keys from b'a' on, before b'c'"
    why: str

    def __str__(self) -> str:
        return f"{self.file}: bytes {self.offset} to {self.offset + self.length}: {self.why}: {self.records}"


class StoreError(Exception):
    """The base of every error that the store raises by itself."""


class InvalidArgument(StoreError, ValueError):
    """A key, a value or a setting outside its limits; nothing was written."""


class UnknownFormat(StoreError):
    """The folder is of a newer format, or no store at all; it was left untouched."""


class StoreLocked(StoreError):
    """Another writer has the store."""


class StoreClosed(StoreError):
    """Used after close(), or from a process that was forked off the owner's."""


class ReadOnly(StoreError):
    """A write to a store opened for reading."""


class WriteFailed(StoreError):
    """The disk refused a write.  Nothing of it is in the store; `__cause__` has the system's error.

    `final`: the store takes no more writes until it is opened anew, since an fsync failed and nobody can
    say what of the pages before it is on the disk.  Without it (a full disk, say) later writes may work.
    """

    def __init__(self, what: str, *, final: bool) -> None:
        super().__init__(what)
        self.final = final


class Damaged(StoreError):
    """Acknowledged records are lost.  `lost` says which of which file.

    A damaged store opens for reading, and not for writing: `heronreel store repair` salvages what is left
    into a new folder.
    """

    def __init__(self, lost: tuple[Lost, ...]) -> None:
        super().__init__("; ".join(map(str, lost[:5])) + (f"; and {len(lost) - 5} more" if lost[5:] else ""))
        self.lost = lost
