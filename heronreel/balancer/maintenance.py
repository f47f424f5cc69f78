"""Maintenance of backends: which ones operators took out of service, and when they count as restarted.

Operators take precedence over the list, which is late: a backend can be back in service, restarted and cold,
before the list shows its restart.
"""

from dataclasses import replace

from heronreel.balancer.interface import BackendInfo


class Maintenance:
    """The maintenance of backends, by backend.

    A maintenance lasts until it is ended; all other records last as long as the backend is on the list.
    """

    def __init__(self) -> None:
        self.began: dict[int, float] = {}
        self.entries: dict[int, BackendInfo] = {}  # The newest list entry of each one out of service.
        self.ended: dict[int, tuple[float, float]] = {}  # (time of the beginning, time of the end)

    def begin(self, since: float, backend: int, entry: BackendInfo | None) -> None:
        """Take a backend out of service.  A repeated call has no effect, and one end ends both."""
        self.began.setdefault(backend, since)
        if entry is not None:
            self.entries[backend] = entry

    def end(self, began: float, now: float, backend: int) -> BackendInfo | None:
        """Return the entry with which a backend returns to service, or None if the list has none."""
        # If another process of the proxy recorded the beginning, only `began` is known here.
        since = self.began.pop(backend, began)
        self.ended[backend] = (since, now)
        entry = self.entries.pop(backend, None)
        return self.effective(entry) if entry is not None else None

    def effective(self, entry: BackendInfo) -> BackendInfo | None:
        """Return the entry that applies for a listed one, or None while its backend is out of service."""
        if entry.backend in self.began:
            self.entries[entry.backend] = entry
            return None
        since, at = self.ended.get(entry.backend, (-1.0, 0.0))
        # The list may not show the restart yet, and the backend must count as cold (rule 4).
        return replace(entry, started_ms=at) if entry.started_ms <= since else entry

    def forget(self, backend: int) -> None:
        """Remove the records of a backend that is no longer listed.

        Its maintenance remains in force, because the backend may be listed again.
        """
        self.entries.pop(backend, None)
        self.ended.pop(backend, None)

    def missing(self, listed: set[int]) -> list[int]:
        """Return the recorded backends that a full list no longer contains."""
        return [backend for backend in (*self.entries, *self.ended) if backend not in listed]
