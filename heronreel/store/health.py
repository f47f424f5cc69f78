"""The health of an open store: what has gone wrong, shared by its parts."""

from __future__ import annotations

from dataclasses import dataclass

from heronreel.store.errors import CorruptionError, Lost, WriteFailedError


@dataclass(slots=True)
class Health:
    """Why an open store rejects writes, if it does.

    Attributes:
        lost: What can't be read, as far as it is known. A store with any takes no writes.
        failure: Why writes are rejected until the store is reopened.
        maintenance_error: Why the last step of a flush or compaction failed; later writes retry it.
    """

    lost: tuple[Lost, ...] = ()
    failure: str | None = None
    maintenance_error: OSError | None = None

    @property
    def is_sound(self) -> bool:
        """Whether nothing keeps the store from writing."""
        return self.failure is None and not self.lost

    def check(self) -> None:
        """Raise what keeps the store from writing.

        Raises:
            WriteFailedError: An earlier fsync or write failed for good.
            CorruptionError: Damage was found.
        """
        if self.failure is not None:
            raise WriteFailedError(self.failure, final=True)
        if self.lost:
            raise CorruptionError(self.lost)

    def fail(self, what: str) -> None:
        """Reject writes from now on."""
        self.failure = f"{what}; writes are refused until the store is opened anew"

    def add_lost(self, lost: tuple[Lost, ...]) -> bool:
        """Note what is lost; returns whether any of it was not known."""
        unknown = tuple(each for each in lost if each not in self.lost)
        self.lost += unknown
        return bool(unknown)
