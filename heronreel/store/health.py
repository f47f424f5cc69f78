"""The health of an open store: the failures seen so far, shared by its components."""

from __future__ import annotations

from dataclasses import dataclass

from heronreel.store.errors import CorruptionError, Lost, WriteFailedError


@dataclass(slots=True)
class Health:
    """The reasons why an open store rejects writes, if it does.

    Attributes:
        lost: Known unreadable data. A store with any losses rejects writes.
        failure: The reason why writes are rejected until the store is reopened, or None.
        maintenance_error: The error of the last step of a flush or compaction; later writes retry it.
    """

    lost: tuple[Lost, ...] = ()
    failure: str | None = None
    maintenance_error: OSError | None = None

    @property
    def is_sound(self) -> bool:
        """Whether the store accepts writes."""
        return self.failure is None and not self.lost

    def check(self) -> None:
        """Raise the error that prevents writes, if there is one.

        Raises:
            WriteFailedError: An earlier fsync or write failed permanently.
            CorruptionError: Damage was found.
        """
        if self.failure is not None:
            raise WriteFailedError(self.failure, final=True)
        if self.lost:
            raise CorruptionError(self.lost)

    def fail(self, reason: str) -> None:
        """Reject all writes from now on."""
        self.failure = f"{reason}; writes are rejected until the store is reopened"

    def add_lost(self, lost: tuple[Lost, ...]) -> bool:
        """Add losses; return whether any of them was not yet known."""
        new = tuple(loss for loss in lost if loss not in self.lost)
        self.lost += new
        return bool(new)
