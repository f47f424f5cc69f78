"""Case 8: a long chunked request gets its final answer seconds after its client's time is over.

The client writes the whole request at once.  The server takes some seconds before it reads the body, so the
rest of it waits in the kernel's buffers of the client and of the proxy.  The proxy has not seen the last
chunk and lets no time run for the request.
"""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from functools import partial
from pathlib import Path

from standins.http import Message, read_head, read_message, response, says_yes
from standins.ports import LOOPBACK, ReservedPort
from standins.programs import Program, proxy_configuration, run_command, write_configuration
from standins.servers import Backend, Discovery, wait_until
from standins.verdict import Record, Verdict, run_case

BACKENDS = 4
SERVICE_S = 0.1
READ_AFTER_S = 6.0  # "peers take seconds to read"
DEADLINE_S = 2.5
# Up to half a second after its time an answer only earns nothing; each limit on sockets is 50 ms longer.
LATEST_AFTER_S = DEADLINE_S + 0.5 + 0.05
BODY_BYTES = (5_000_000, 6_000_000, 7_000_000, 8_000_000)
CHUNK_BYTES = 64 << 10
READY_WITHIN_S = 6.0
CLIENT_TIMEOUT_S = 30.0
CATEGORIES = [
    {
        "Name": "salva-profilo", "OnTimeMs": 500.0, "HardLimitMs": DEADLINE_S * 1000.0, "Worth": 1.0,
        "LateWorth": 0.5, "Effect": "deduplicated", "DedupScope": "cell", "RepeatWindowMs": 5000.0,
    }
]  # fmt: skip


class SlowReader(Backend):
    """A sound server that takes some time before it reads the body of a request."""

    def __init__(self, name: str, read_after_s: float, record: Record) -> None:
        super().__init__(name, SERVICE_S, lambda _, __: None)
        self.read_after_s = read_after_s
        self.record = record

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Run the requests of a connection, one at a time."""
        while True:
            head = await read_head(reader)
            ident = head.fields["x-request-id"]
            await asyncio.sleep(self.read_after_s)
            size = await self._read_chunks(reader)
            self.record.note(f"server {self.name} has read {ident}, {size} bytes")
            await asyncio.sleep(self.service_s)
            writer.write(response("200 OK", ident.encode()))
            await writer.drain()

    async def _read_chunks(self, reader: asyncio.StreamReader) -> int:
        total = 0
        while size := int((await reader.readuntil(b"\r\n")).partition(b";")[0], 16):
            await reader.readexactly(size + 2)
            total += size
        await reader.readexactly(2)
        return total


def chunked_request(ident: str, size: int) -> bytes:
    """Return a request with a chunked body."""
    head = (
        f"POST /salva-profilo/{ident} HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {ident}\r\n"
        f"X-Class: salva-profilo\r\nX-Deadline-Ms: {DEADLINE_S * 1000.0:.0f}\r\n"
        f"Idempotency-Key: key-{ident}\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    chunk = b"%x\r\n%b\r\n" % (CHUNK_BYTES, bytes(CHUNK_BYTES))
    return head.encode() + chunk * (size // CHUNK_BYTES) + b"0\r\n\r\n"


class Client:
    """A client that writes one request at once and waits for its answer."""

    def __init__(self, ident: str, size: int, record: Record) -> None:
        self.ident = ident
        self.size = size
        self.record = record
        self.answer: Message | None = None
        self.answered_after_s = 0.0  # counted from when its kernel had taken the last byte

    async def run(self, port: int) -> None:
        """Send the request and read the answer."""
        clock = asyncio.get_running_loop().time
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        answering = asyncio.create_task(self._read(reader))
        writer.transport.set_write_buffer_limits(high=0)
        writer.write(chunked_request(self.ident, self.size))
        began_at = clock()
        await writer.drain()
        written_at = clock()
        self.record.note(f"{self.ident}: the last byte is written after {written_at - began_at:.2f} s")
        await answering
        self.answered_after_s = clock() - written_at
        status = "no whole answer" if self.answer is None else str(self.answer.status)
        self.record.note(f"{self.ident}: {status} {self.answered_after_s:.2f} s after its last byte")
        writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                self.answer = await read_message(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.record.note(f"{self.ident}: {type(error).__name__}")


async def run(record: Record, folder: Path, disrupted: bool) -> Verdict:
    """Send long chunked requests, and compare the time of their answers with the clients' time."""
    async with AsyncExitStack() as stack:
        read_after_s = READ_AFTER_S if disrupted else 0.0
        backends = [
            await stack.enter_async_context(SlowReader(f"s{number}", read_after_s, record))
            for number in range(BACKENDS)
        ]
        entries = [backend.entry() for backend in backends]
        discovery = await stack.enter_async_context(Discovery(entries))
        port = stack.enter_context(ReservedPort())
        path = folder / "config.json"
        write_configuration(
            path, proxy_configuration("n1", port.address, discovery.address, entries, CATEGORIES)
        )
        environment = {"LB_NAME": "n1", "LB_LISTEN": port.address, "LB_CONFIG": str(path)}
        proxy = Program.start(["/bin/sh", "-c", run_command()], folder / "proxy.log", environment)
        stack.callback(proxy.kill)
        if not await wait_until(partial(says_yes, port.number, "/_health"), READY_WITHIN_S):
            return Verdict.COULD_NOT_RUN
        clients = [Client(f"r{size}", size, record) for size in BODY_BYTES]
        await asyncio.gather(*(client.run(port.number) for client in clients))
        for line in (folder / "proxy.log").read_text().splitlines():
            record.note(f"proxy: {line}")
        late = [client.ident for client in clients if client.answered_after_s > LATEST_AFTER_S]
        record.note(f"result: {len(late)} of {len(clients)} answers later than {LATEST_AFTER_S:g} s: {late}")
        return Verdict.BROKEN if late else Verdict.HELD


if __name__ == "__main__":
    run_case(Path(__file__).parent, run)
