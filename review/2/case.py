"""Backends send some of their answers a second time, some milliseconds late, while nothing waits there.

Each answer names the request that it was made for, so a client sees when it gets the answer to another one.
"""

from __future__ import annotations

import asyncio
import random
import select
from collections import Counter

from harness.case import Case, main
from harness.discovery import Endpoint
from harness.link import Link
from harness.messages import HEAD_END, ClientRequest, parse_head, read_head
from harness.proxy import Proxy, keyed_class

SEED = 62
CLIENTS = 20
RUN_S = 15.0
MAX_THINK_S = 0.04
SERVICE_S = 0.02
SITE_DELAY_S = 0.01  # one way between the two sites
SECOND_ANSWER_SHARE = 0.1
MIN_LATE_S, MAX_LATE_S = 0.002, 0.008  # from an answer to its second copy


class Backend(asyncio.Protocol):
    """One connection at a backend; it carries one request at a time."""

    def __init__(self, name: str, case: Case, dice: random.Random) -> None:
        self.name = name
        self.case = case
        self.dice = dice
        self.input = b""
        self.waiting = 0  # requests without an answer
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Begin each request whose last byte has come."""
        self.input += data
        head_bytes, end, rest = self.input.partition(HEAD_END)
        if not end:
            return
        head = parse_head(head_bytes)
        if len(rest) < head.length:
            return
        self.input = rest[head.length :]
        self.waiting += 1
        request_id = head.fields["x-request-id"]
        self.case.record.add(f"run {request_id} at {self.name}")
        asyncio.get_running_loop().call_later(SERVICE_S, self._answer, request_id)

    def _answer(self, request_id: str) -> None:
        self.waiting -= 1
        if self.transport.is_closing():
            return
        body = answer_body(request_id)
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        self.transport.write(answer)
        if self.case.trouble and self.dice.random() < SECOND_ANSWER_SHARE:
            late_s = self.dice.uniform(MIN_LATE_S, MAX_LATE_S)
            asyncio.get_running_loop().call_later(late_s, self._answer_again, request_id, answer)

    def _answer_again(self, request_id: str, answer: bytes) -> None:
        """Send an answer a second time, unless a request waits or a part of one has come."""
        if self.waiting or self.input or self.transport.is_closing() or self._has_unread_input():
            return
        self.case.record.add(f"second answer to {request_id} from {self.name}")
        self.transport.write(answer)

    def _has_unread_input(self) -> bool:
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))


def answer_body(request_id: str) -> bytes:
    """Return the body of the answer to a request."""
    return f"profile of {request_id}".encode()


async def start_backend(name: str, case: Case, dice: random.Random) -> int:
    """Start a backend, and return its port."""
    server = await asyncio.get_running_loop().create_server(lambda: Backend(name, case, dice), "127.0.0.1", 0)
    port: int = server.sockets[0].getsockname()[1]
    return port


async def start_backends(case: Case, dice: random.Random) -> list[Endpoint]:
    """Start two backends in the proxy's site and two in the other one."""
    endpoints = [
        Endpoint(f"s-palermo-{number}", await start_backend(f"s-palermo-{number}", case, dice), group=1)
        for number in range(2)
    ]
    for number in range(2):
        name = f"s-catania-{number}"
        link = Link(await start_backend(name, case, dice), SITE_DELAY_S)
        await link.start()
        endpoints.append(Endpoint(name, link.port, group=2, zone="catania"))
    return endpoints


class Client:
    """Sends one request at a time, on a connection that it keeps, and checks each answer."""

    def __init__(self, case: Case, proxy: Proxy, dice: random.Random, counts: Counter[str]) -> None:
        self.case = case
        self.proxy = proxy
        self.dice = dice
        self.counts = counts
        self.breaks: list[str] = []

    async def run(self, until: float) -> None:
        """Send requests until a time of the event loop's clock."""
        streams = None
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            if streams is None:
                streams = await asyncio.open_connection("127.0.0.1", self.proxy.port)
            reader, writer = streams
            if not await self._ask(reader, writer):
                writer.close()
                streams = None
            await asyncio.sleep(self.dice.uniform(0.0, MAX_THINK_S))

    async def _ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send one request, and return whether the connection may be used again."""
        request = ClientRequest("salva-profilo", 2500, b"ride")
        self.case.record.add(f"sent {request.request_id}")
        try:
            writer.write(request.head() + request.body)
            head = await read_head(reader)
            body = await reader.readexactly(head.length)
        except (OSError, asyncio.IncompleteReadError) as error:
            self.case.record.add(f"no answer to {request.request_id}: {error!r}")
            self.counts["no answer"] += 1
            return False
        status = head.first_line.split()[1]
        self.counts[status] += 1
        self.case.record.add(f"answer to {request.request_id}: {status} {body.decode()}")
        if status == "200" and body != answer_body(request.request_id):
            self.breaks.append(f"{request.request_id} was answered with the {body.decode()}")
        return head.fields.get("connection", "").lower() != "close"


async def scenario(case: Case) -> list[str]:
    """Send requests through a proxy to backends that sometimes answer twice."""
    dice = random.Random(SEED)
    proxy = await case.start_proxy(await start_backends(case, dice), [keyed_class()])
    counts: Counter[str] = Counter()
    clients = [Client(case, proxy, dice, counts) for _ in range(CLIENTS)]
    until = asyncio.get_running_loop().time() + RUN_S
    await asyncio.gather(*[client.run(until) for client in clients])
    await case.check_alive(proxy)
    breaks = [text for client in clients for text in client.breaks]
    case.record.add(f"answers by status: {dict(counts)}; wrong answers: {len(breaks)}")
    return breaks


if __name__ == "__main__":
    main(scenario)
