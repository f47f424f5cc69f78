"""The endpoint list service of a fleet, over loopback sockets, with the faults that a real one may have.

It processes calls one at a time.  A call that would wait for longer than `MAX_WAIT_S` is refused immediately,
which costs the service time as well; calls whose callers have given up are processed too.  While it is down,
it refuses each call after `MAX_WAIT_S` at no cost.  A watch may end without delivering a change.  Each proxy
has a separate address, so that its history records which messages it was sent.
"""

from __future__ import annotations

import asyncio
import json
import time
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from heronreel.soak.notification_judge import (
    Departed,
    History,
    ListWritten,
    Reachable,
    Returned,
    WatchEnded,
)

HEARTBEAT_S = 1.0
MAX_WAIT_S = 3.0  # longest time that a call waits for its turn
REFUSAL_DELAY_S = 0.02  # delay of an immediate refusal
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
SERVICE = "discovery"  # default name of the service in the histories
ACTIVE = "active"
LEAVING = "leaving"


def endpoint(name: str, port: int) -> dict[str, Any]:
    """Return the list entry of an active backend."""
    return {
        "name": name, "address": f"127.0.0.1:{port}", "zone": "a", "group": 0, "status": ACTIVE,
        "since_ms": 0,
    }  # fmt: skip


def whole_list(endpoints: list[dict[str, Any]], index: int = 1) -> dict[str, Any]:
    """Return a message with the whole list."""
    return {"index": index, "snapshot": True, "endpoints": endpoints}


@dataclass(eq=False)
class Watch:
    """A call of a proxy; once it is `answered`, it is an open watch and gets the changes."""

    proxy: str
    writer: asyncio.StreamWriter
    answered: bool = False
    open: bool = True


@dataclass(eq=False)
class ListService:
    """One service for all proxies, with a separate address for each."""

    endpoints: list[dict[str, Any]]
    call_s: float = 0.0  # time to process a call
    refusal_s: float = 0.0  # time to process a call that it refuses immediately
    name: str = SERVICE  # its name in the histories
    index: int = 1
    is_down: bool = False
    histories: dict[str, History] = field(default_factory=dict)  # by name of the proxy
    free_at: float = 0.0  # when it will have processed all accepted calls
    calls: int = 0
    refused: int = 0  # calls refused immediately
    watches: list[Watch] = field(default_factory=list)
    servers: list[asyncio.Server] = field(default_factory=list)

    async def address_for(self, proxy: str) -> str:
        """Listen for a proxy on an ephemeral loopback port, and return the address."""
        self.histories.setdefault(proxy, History(self.name))

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with suppress(OSError, asyncio.IncompleteReadError):
                await self._serve(proxy, reader, writer)
            writer.transport.abort()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.servers.append(server)
        return "{}:{}".format(*server.sockets[0].getsockname())

    def stop(self) -> None:
        """Stop listening, and end all calls."""
        for server in self.servers:
            server.close()
        self.reset_watches()

    # Changes of the list.

    def change(self, name: str, status: str, notify_watches: bool = True) -> None:
        """Make a backend LEAVING or ACTIVE; open watches deliver the change only with `notify_watches`."""
        self.index += 1
        (entry,) = (candidate for candidate in self.endpoints if candidate["name"] == name)
        entry["status"] = status
        kind = Returned if status == ACTIVE else Departed
        for history in self.histories.values():
            history.note(kind(time.monotonic(), self.name, name))
        for watch in self.watches:
            if notify_watches and watch.answered:
                self._write_list(watch, {"index": self.index, "snapshot": False, "endpoints": [entry]})

    # Faults of watches and calls.

    def end_watches(self) -> None:
        """End all open watches in an orderly way, without further messages."""
        for watch in [watch for watch in self.watches if watch.answered]:
            watch.writer.write(LAST_CHUNK)
            watch.writer.close()
            self._forget(watch)

    def reset_watches(self) -> None:
        """Reset all open watches and all calls in progress."""
        for watch in [*self.watches]:
            watch.writer.transport.abort()
            self._forget(watch)

    def go_down(self) -> None:
        """Reset all watches, and refuse calls after `MAX_WAIT_S` until `come_back`."""
        self.is_down = True
        self.reset_watches()

    def come_back(self) -> None:
        """Process new calls again."""
        self.is_down = False
        self.free_at = 0.0
        for history in self.histories.values():
            history.note(Reachable(time.monotonic(), self.name))

    def _forget(self, watch: Watch) -> None:
        watch.open = False
        self.watches.remove(watch)
        self.histories[watch.proxy].note(WatchEnded(time.monotonic(), self.name, watch.answered))

    # Calls.

    async def _serve(self, proxy: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        watch = Watch(proxy, writer)
        self.watches.append(watch)
        self.calls += 1
        if not await self._wait_for_turn():
            if watch.open:
                writer.write(REFUSAL)
                self._forget(watch)
                await writer.drain()
                writer.close()
                await reader.read()
            return
        if reader.at_eof() or writer.is_closing():  # the proxy gave up while the call waited
            if watch.open:
                watch.open = False
                self.watches.remove(watch)
            return
        if watch.open:
            self._answer(watch)
        while watch.open and not reader.at_eof():
            with suppress(TimeoutError):
                await asyncio.wait_for(reader.read(1), HEARTBEAT_S)
            if watch.open:
                writer.write(b"1\r\n\n\r\n")
        if watch.open:  # closed by its proxy, so that no change was withheld
            watch.open = False
            self.watches.remove(watch)

    async def _wait_for_turn(self) -> bool:
        """Wait until a call is processed or refused; return whether it was processed."""
        if self.is_down:
            await asyncio.sleep(MAX_WAIT_S)
            return False
        now = time.monotonic()
        begins_at = max(self.free_at, now)
        if begins_at + self.call_s > now + MAX_WAIT_S:
            self.free_at = begins_at + self.refusal_s
            self.refused += 1
            await asyncio.sleep(REFUSAL_DELAY_S)
            return False
        self.free_at = begins_at + self.call_s
        await asyncio.sleep(self.free_at - now)
        return not self.is_down

    def _answer(self, watch: Watch) -> None:
        watch.answered = True
        active = [entry for entry in self.endpoints if entry["status"] == ACTIVE]
        watch.writer.write(HEAD)
        self._write_list(watch, whole_list(active, self.index))

    def _write_list(self, watch: Watch, message: dict[str, Any]) -> None:
        line = json.dumps(message).encode() + b"\n"
        watch.writer.write(b"%x\r\n%b\r\n" % (len(line), line))
        removed = {entry["name"] for entry in self.endpoints if entry["status"] != ACTIVE}
        self.histories[watch.proxy].note(ListWritten(time.monotonic(), self.name, frozenset(removed)))
