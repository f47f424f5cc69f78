"""Limits what one client's input may use of a turn of the event loop, so that others have their turn.

The event loop reads a connection again and again in the same turn while its input fills the buffer.  Input
that is costly to parse, such as chunks of one byte, would keep it busy for seconds.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

from heronreel.proxy.reading_pause import PauseReason, ReadingPause

# A connection whose input took longer than this waits for a later turn.
MAX_TURN_S = 0.001
# How many of those that wait are read in one turn, beside all other connections.
MAX_RESUMED_PER_TURN = 8


class ReadConnection(Protocol):
    """A connection whose input is read in turns.

    Attributes:
        read_turn: The loop's time of the turn in which it was read last.
        read_cost_s: The time that its input took in that turn, in seconds.
    """

    reading_pause: ReadingPause
    read_turn: float
    read_cost_s: float


class ReadTurns:
    """The connections that have used up their part of a turn, the one that waits longest first."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: deque[ReadConnection] = deque()

    def note(self, connection: ReadConnection, cost_s: float) -> None:
        """Count the time that one read took, and let the connection wait after too much of it."""
        turn = self._loop.time()  # the same for all callbacks of a turn
        if connection.read_turn != turn:
            connection.read_turn, connection.read_cost_s = turn, 0.0
        connection.read_cost_s += cost_s
        if connection.read_cost_s <= MAX_TURN_S or PauseReason.TURN_USED in connection.reading_pause:
            return
        connection.reading_pause.add(PauseReason.TURN_USED)
        if not self._waiting:
            self._loop.call_soon(self._resume)
        self._waiting.append(connection)

    def _resume(self) -> None:
        for _ in range(min(MAX_RESUMED_PER_TURN, len(self._waiting))):
            self._waiting.popleft().reading_pause.remove(PauseReason.TURN_USED)
        if self._waiting:
            self._loop.call_soon(self._resume)
