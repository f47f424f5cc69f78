"""The reasons for which a connection is not read at present.

Several parts of the program pause the reading of one connection, each for a reason of its own that begins and
ends independently of the others.  The connection is read exactly while there is no reason left.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Flag, auto


class PauseReason(Flag):
    """Why a connection is not read."""

    # Of a client's connection:
    BODY_BLOCKED = auto()  # no backend takes more of the request body being received
    RESPONSES_UNREAD = auto()  # the client has not read what was written to it
    REQUESTS_WAITING = auto()  # requests that were read wait for their turn
    INPUT_UNWANTED = auto()  # further input would only be dropped
    TURN_USED = auto()  # other connections have their turn first
    # Of a backend's connection:
    CLIENT_BLOCKED = auto()  # the client does not take more of the response
    MEMORY_USED_UP = auto()  # there is no memory for the response yet


NO_REASON = PauseReason(0)


class ReadingPause:
    """Pauses the reading of a transport while there is a reason for it.

    `on_change` is called with True when reading is paused and with False when it is resumed.
    """

    __slots__ = ("_on_change", "_reasons", "_transport")

    def __init__(
        self, transport: asyncio.ReadTransport, on_change: Callable[[bool], None] | None = None
    ) -> None:
        self._transport = transport
        self._on_change = on_change
        self._reasons = NO_REASON

    def __contains__(self, reason: PauseReason) -> bool:
        return reason in self._reasons

    def is_paused(self) -> bool:
        """Return whether there is any reason not to read."""
        return self._reasons is not NO_REASON

    def add(self, reason: PauseReason) -> None:
        """Begin a reason; it may have begun before."""
        self._set(self._reasons | reason)

    def remove(self, reason: PauseReason) -> None:
        """End a reason; it may have ended before."""
        self._set(self._reasons & ~reason)

    def clear(self) -> None:
        """End all reasons."""
        self._set(NO_REASON)

    def _set(self, reasons: PauseReason) -> None:
        was_paused, self._reasons = self.is_paused(), reasons
        if was_paused == self.is_paused() or self._transport.is_closing():
            return
        if was_paused:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()
        if self._on_change:
            self._on_change(not was_paused)
