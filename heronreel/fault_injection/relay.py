"""What lies between two processes: a TCP relay on loopback that can be told to do harm.

Each direction has its own harm, so a cut may be of one way only.  Bytes that are held back by a cut are never
given on later: the connection they belong to ends when the cut does.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random

PIECE = 64 << 10


@dataclass
class Harm:
    """What happens to the bytes of one direction."""

    cut: bool = False  # nothing goes through, and nobody is told
    delay: float = 0.0  # seconds, at most, drawn for each piece: connections overtake one another
    trickle: int = 0  # bytes a hundredth of a second; 0: as fast as they come


class Relay:
    """One address before another: `out` is towards the target, `back` is its answers.

    A request of HTTP that goes through while `back` is cut is one whose answer is lost.  `twice` sends what
    comes as the first piece of a new connection on a second connection as well, whose answers nobody sees.
    """

    def __init__(self, target: tuple[str, int], random: Random) -> None:
        self.target = target
        self.random = random
        self.out = Harm()
        self.back = Harm()
        self.twice = 0.0  # the share of connections whose first piece is doubled
        self.refuse = False  # new connections end at once
        self.port = 0
        self.bytes = 0  # that came, in both directions
        self.server: asyncio.Server | None = None
        self.pairs: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> Relay:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        self.reset()
        for task in list(self.tasks):
            task.cancel()

    def reset(self) -> None:
        """End all connections with a reset."""
        for near, far in list(self.pairs):
            near.transport.abort()
            far.transport.abort()

    def heal(self) -> None:
        """No more harm; what was cut is reset, so that both ends learn of it."""
        harmed = self.out.cut or self.back.cut
        self.out, self.back, self.twice, self.refuse = Harm(), Harm(), 0.0, False
        if harmed:
            self.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.refuse:
            writer.transport.abort()
            return
        try:
            far_reader, far = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = writer, far
        self.pairs.add(pair)
        ways = [
            asyncio.ensure_future(self._pass(reader, far, out=True)),
            asyncio.ensure_future(self._pass(far_reader, writer, out=False)),
        ]
        self.tasks.update(ways)
        await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        for way in ways:
            way.cancel()
            self.tasks.discard(way)
        self.pairs.discard(pair)
        writer.transport.abort()
        far.transport.abort()

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, out: bool) -> None:
        first = out
        try:
            while piece := await reader.read(PIECE):
                self.bytes += len(piece)
                harm = self.out if out else self.back
                if harm.cut:
                    continue
                if harm.delay:
                    await asyncio.sleep(harm.delay * self.random.random())
                if first and self.twice and self.random.random() < self.twice:
                    double = asyncio.ensure_future(self._double(piece))
                    self.tasks.add(double)
                    double.add_done_callback(self.tasks.discard)
                first = False
                if harm.trickle:
                    for place in range(0, len(piece), harm.trickle):
                        writer.write(piece[place : place + harm.trickle])
                        await asyncio.sleep(0.01)
                else:
                    writer.write(piece)
                await writer.drain()
        except (ConnectionError, OSError):
            return

    async def _double(self, piece: bytes) -> None:
        """The same bytes again, a little later, over a connection of their own."""
        await asyncio.sleep(0.2 * self.random.random())
        try:
            reader, writer = await asyncio.open_connection(*self.target)
            writer.write(piece)
            async with asyncio.timeout(1.0):
                await reader.read(PIECE)
            writer.transport.abort()
        except (OSError, TimeoutError):
            return
