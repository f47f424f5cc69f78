"""Notices what happens to clients' connections while they are not read.

The event loop reports input and a disconnect only when it reads.  A client whose reading is paused is
therefore polled, so that a request that has not begun at its backend never begins long after its client has
gone, and so that the time of a request counts from when it arrived.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

# Half of the 0.1 s for which a request may still begin after its client has disconnected.
CHECK_INTERVAL_S = 0.05


class PausedClient(Protocol):
    """A client's connection that is not read at present."""

    def check_paused(self) -> None:
        """Look at what has happened to the connection since reading was paused."""


class DisconnectWatch:
    """Polls the connections that are not read, while there are any."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._paused: dict[PausedClient, None] = {}
        self._timer: asyncio.TimerHandle | None = None

    def add(self, client: PausedClient) -> None:
        """Poll a connection from now on."""
        self._paused[client] = None
        if self._timer is None:
            self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def discard(self, client: PausedClient) -> None:
        """Stop polling a connection that is read again or closed."""
        self._paused.pop(client, None)

    def _check(self) -> None:
        self._timer = None
        for client in list(self._paused):
            client.check_paused()
        if self._paused:
            self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)
