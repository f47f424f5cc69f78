"""A backend that records the start time and head of each attempt, and the ways in which it can answer."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from tests.support.loopback import Listener, read_request

AttemptAnswer = Callable[[asyncio.StreamWriter], Awaitable[None]]


class AttemptLog(Listener):
    """A backend that records the start time and head of each attempt; `answer` handles one attempt."""

    def __init__(self, answer: AttemptAnswer) -> None:
        super().__init__(self._serve_attempts)
        self.answer = answer
        self.began: list[tuple[float, dict[str, str]]] = []
        self.out = 0  # attempts that `answer` is still handling

    async def _serve_attempts(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _ = await read_request(reader)
            self.began.append((time.monotonic(), head))
            self.out += 1
            try:
                await self.answer(writer)
            finally:
                self.out -= 1

    def idents(self) -> list[str]:
        """Return the request ids of all attempts, in the order in which the attempts began."""
        return [head["x-request-id"] for _, head in self.began]

    def excess_deadlines_s(self, sent_at: float, deadline_ms: int, slack_s: float) -> list[float]:
        """Return by how much each attempt's deadline exceeds the client's remaining time.

        Only excesses over `slack_s` are returned.  `sent_at` and `slack_s` are in seconds.
        """
        excesses = [
            int(head["x-deadline-ms"]) / 1000.0 - (sent_at + deadline_ms / 1000.0 - at)
            for at, head in self.began
        ]
        return [excess for excess in excesses if excess > slack_s]


def after(delay_s: float, answer: bytes) -> AttemptAnswer:
    """Return a handler that sends `answer` after `delay_s` seconds."""

    async def respond(writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(delay_s)
        writer.write(answer)

    return respond


async def reset(writer: asyncio.StreamWriter) -> None:
    """Reset the connection without a response."""
    writer.transport.abort()


async def hang(writer: asyncio.StreamWriter) -> None:
    """Never respond."""
    await asyncio.Event().wait()
