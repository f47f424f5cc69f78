"""Remembers which requests may have run, so that none of them runs again under the same id.

A client may leave and send a request again with its id, here or at the proxy's other process during an
upgrade.  Its effect would then happen twice, unless the request is idempotent.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import Protocol

# The newest ids are kept: at the rates of one process they cover more than the longest deadline.
MAX_REMEMBERED = 2048
DIGEST_BYTES = 8


class SharedIds(Protocol):
    """The ids that the proxy's processes tell each other."""

    def publish(self, digests: Iterable[bytes]) -> None:
        """Tell the other processes about requests that may run here."""

    def receive(self) -> list[bytes]:
        """Return what the other processes have told since the last call."""


class RecentRequestIds:
    """The ids of requests that may have run, in this process or in another one of the proxy."""

    def __init__(self) -> None:
        self._digests: dict[bytes, None] = {}  # the oldest first
        self._shared: SharedIds | None = None

    def share(self, shared: SharedIds | None) -> None:
        """Exchange ids with the proxy's other processes from now on, or no longer."""
        if shared is not None and self._shared is None:
            shared.publish(self._digests)
        if shared is None:
            self._receive()
        self._shared = shared

    def add(self, request_id: bytes) -> None:
        """Remember a request that is about to be sent to a backend for the first time."""
        digest = _digest(request_id)
        self._remember(digest)
        if self._shared is not None:
            self._shared.publish((digest,))

    def __contains__(self, request_id: bytes) -> bool:
        self._receive()
        return _digest(request_id) in self._digests

    def discard(self, request_id: bytes) -> None:
        """Forget a request that certainly never ran."""
        self._digests.pop(_digest(request_id), None)

    def _receive(self) -> None:
        if self._shared is not None:
            for digest in self._shared.receive():
                self._remember(digest)

    def _remember(self, digest: bytes) -> None:
        self._digests.pop(digest, None)
        self._digests[digest] = None
        if len(self._digests) > MAX_REMEMBERED:
            del self._digests[next(iter(self._digests))]


def _digest(request_id: bytes) -> bytes:
    return hashlib.blake2b(request_id, digest_size=DIGEST_BYTES).digest()
