"""A TCP relay on the loopback interface that injects network faults.

Each direction has separate faults, so that a partition may be one-way.  Bytes that a partition drops are
never delivered later: when it heals, their connections are reset.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random

CHUNK_BYTES = 64 << 10
TRICKLE_INTERVAL_S = 0.01
MAX_DUPLICATE_DELAY_S = 0.2
DUPLICATE_TIMEOUT_S = 1.0
# With a full backlog the kernel drops connection attempts, which are then delayed by a second.
LISTEN_BACKLOG = 1024


@dataclass
class LinkFaults:
    """The faults of one direction.

    Attributes:
        partitioned: Whether bytes are dropped without notice to either side.
        max_delay_s: The upper bound of the random delay of each chunk, by which connections overtake each
            other.
        trickle_bytes: How many bytes pass each TRICKLE_INTERVAL_S; 0 for no limit.
    """

    partitioned: bool = False
    max_delay_s: float = 0.0
    trickle_bytes: int = 0


class Relay:
    """Forwards connections from its own address to a target address.

    Attributes:
        requests: The faults of the direction towards the target.
        responses: The faults of the direction back.
        duplicate_probability: The probability that the first chunk of a connection is also sent on a second
            connection, whose response is dropped.
        relayed_bytes: The number of bytes received so far in both directions.
    """

    def __init__(self, target: tuple[str, int], random: Random) -> None:
        """Create a relay that listens after `start`; `random` determines delays and duplicates."""
        self.target = target
        self.random = random
        self.requests = LinkFaults()
        self.responses = LinkFaults()
        self.duplicate_probability = 0.0
        self.port = 0
        self.relayed_bytes = 0
        self.server: asyncio.Server | None = None
        self.connections: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """The address that the relay listens on, as "host:port"."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> Relay:
        """Listen on an ephemeral port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=LISTEN_BACKLOG)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        self.reset_connections()
        for task in list(self.tasks):
            task.cancel()

    def reset_connections(self) -> None:
        """Abort all connections on both sides."""
        for client, target in list(self.connections):
            client.transport.abort()
            target.transport.abort()

    def heal(self) -> None:
        """End all faults; after a partition, reset the connections so that both sides are notified."""
        was_partitioned = self.requests.partitioned or self.responses.partitioned
        self.requests, self.responses = LinkFaults(), LinkFaults()
        self.duplicate_probability = 0.0
        if was_partitioned:
            self.reset_connections()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        connection = writer, target_writer
        self.connections.add(connection)
        directions = [
            asyncio.create_task(self._pump(reader, target_writer, towards_target=True)),
            asyncio.create_task(self._pump(target_reader, writer, towards_target=False)),
        ]
        self.tasks.update(directions)
        await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        for direction in directions:
            direction.cancel()
            self.tasks.discard(direction)
        self.connections.discard(connection)
        writer.transport.abort()
        target_writer.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, towards_target: bool
    ) -> None:
        may_duplicate = towards_target
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                self.relayed_bytes += len(chunk)
                faults = self.requests if towards_target else self.responses
                if faults.partitioned:
                    continue
                if faults.max_delay_s:
                    await asyncio.sleep(faults.max_delay_s * self.random.random())
                if may_duplicate:
                    self._maybe_duplicate(chunk)
                may_duplicate = False
                await self._write(writer, chunk, faults)
        except (ConnectionError, OSError):
            return

    async def _write(self, writer: asyncio.StreamWriter, chunk: bytes, faults: LinkFaults) -> None:
        if faults.trickle_bytes:
            for offset in range(0, len(chunk), faults.trickle_bytes):
                writer.write(chunk[offset : offset + faults.trickle_bytes])
                await asyncio.sleep(TRICKLE_INTERVAL_S)
        else:
            writer.write(chunk)
        await writer.drain()

    def _maybe_duplicate(self, chunk: bytes) -> None:
        if self.duplicate_probability and self.random.random() < self.duplicate_probability:
            task = asyncio.create_task(self._send_duplicate(chunk))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _send_duplicate(self, chunk: bytes) -> None:
        """Send the chunk on a separate connection after a random delay."""
        await asyncio.sleep(MAX_DUPLICATE_DELAY_S * self.random.random())
        try:
            reader, writer = await asyncio.open_connection(*self.target)
            writer.write(chunk)
            async with asyncio.timeout(DUPLICATE_TIMEOUT_S):
                await reader.read(CHUNK_BYTES)
            writer.transport.abort()
        except (OSError, TimeoutError):
            return
