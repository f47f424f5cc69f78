"""The latest change of each entry of a list, by index: what a reader that knows an older index misses."""

from __future__ import annotations

from typing import Generic, TypeVar

Entry = TypeVar("Entry")


class ChangeLog(Generic[Entry]):
    """Changes by index.  The index of a list that never changed is 0."""

    def __init__(self) -> None:
        self.index = 0  # of the latest change
        self._latest: dict[int, tuple[int, Entry]] = {}  # by ident, the oldest change first

    def record(self, ident: int, entry: Entry) -> None:
        """An entry has changed."""
        self.index += 1
        self._latest.pop(ident, None)
        self._latest[ident] = (self.index, entry)

    def since(self, index: int) -> list[Entry]:
        """The latest state of all entries that changed after `index`, the oldest change first."""
        return [entry for changed_at, entry in self._latest.values() if changed_at > index]
