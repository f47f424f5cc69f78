"""A stub server that answers with what a test has given it."""

from __future__ import annotations

import asyncio

from tests.support.loopback import Backend, ok, read_request

ERROR = b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
GONE = b""  # closes without an answer


class ScriptedBackend(Backend):
    """Answers with what a script holds for it, in turn; None waits for `go`."""

    def __init__(self, *answers: bytes | None) -> None:
        super().__init__()
        self.answers = list(answers)
        self.go = asyncio.Event()
        self.heads: list[dict[str, str]] = []

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _ = await read_request(reader)
            self.heads.append(head)
            self.seen.append(head["x-request-id"])
            self.requested.set()
            answer = self.answers.pop(0) if self.answers else ok(b"good")
            if answer is None:
                await self.go.wait()
                answer = ok(b"late")
            if answer == GONE:
                writer.transport.abort()
                return
            writer.write(answer)
