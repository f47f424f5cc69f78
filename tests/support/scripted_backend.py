"""A stub server that sends responses that a test has prepared."""

from __future__ import annotations

import asyncio

from tests.support.loopback import Backend, ok, read_request

ERROR = b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
CLOSE_WITHOUT_RESPONSE = b""


class ScriptedBackend(Backend):
    """Sends the prepared `answers` in turn, then `ok(b"good")`.

    None in the answers waits for `go` and then sends `ok(b"late")`.
    """

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
            if answer == CLOSE_WITHOUT_RESPONSE:
                writer.transport.abort()
                return
            writer.write(answer)
