"""A backend that notes when attempts began and what they told it, and the fates that an attempt may have."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from tests.support.loopback import Listener, read_request

Fate = Callable[[asyncio.StreamWriter], Awaitable[None]]


class AttemptLog(Listener):
    """A backend that notes when attempts began and what they told; `answer` is one attempt's whole fate."""

    def __init__(self, answer: Fate) -> None:
        super().__init__(self._serve_attempts)
        self.answer = answer
        self.began: list[tuple[float, dict[str, str]]] = []
        self.out = 0  # attempts without their fate

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
        """The requests of the attempts, in the order in which they began."""
        return [head["x-request-id"] for _, head in self.began]

    def excess_deadlines_s(self, sent_at: float, deadline_ms: int, slack_s: float) -> list[float]:
        """Return the excess of attempts' deadlines over the client's remaining time, if over `slack_s`."""
        over = [
            int(head["x-deadline-ms"]) / 1000.0 - (sent_at + deadline_ms / 1000.0 - at)
            for at, head in self.began
        ]
        return [each for each in over if each > slack_s]


def after(delay_s: float, answer: bytes) -> Fate:
    """That answer, after a while."""

    async def respond(writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(delay_s)
        writer.write(answer)

    return respond


async def reset(writer: asyncio.StreamWriter) -> None:
    """The connection is reset."""
    writer.transport.abort()


async def hang(writer: asyncio.StreamWriter) -> None:
    """Nothing comes, for good."""
    await asyncio.Event().wait()
