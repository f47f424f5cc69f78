"""Keeps the latest change of each entry of a list, to send a reader the changes since an older index."""

from __future__ import annotations

from typing import Generic, TypeVar

Entry = TypeVar("Entry")


class ChangeLog(Generic[Entry]):
    """The latest change of each entry.  Each change increases the index, which starts at 0."""

    def __init__(self) -> None:
        self.index = 0  # index of the latest change
        self._latest: dict[int, tuple[int, Entry]] = {}  # by entry ident, oldest change first

    def record(self, ident: int, entry: Entry) -> None:
        """Record that an entry has changed."""
        self.index += 1
        self._latest.pop(ident, None)
        self._latest[ident] = (self.index, entry)

    def since(self, index: int) -> list[Entry]:
        """Return the latest state of all entries changed after `index`, oldest change first."""
        return [entry for changed_at, entry in self._latest.values() if changed_at > index]
