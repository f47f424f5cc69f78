"""The list of backends: what discovery writes, and the calls that ask it.

A call tells what it was told and, when it fails, why (`WatchFailure`), once.  Nothing of a malformed answer
is passed on, so the old list stays in force.

The platform counts what a silent watch misses as told 6 s after it fell silent, and a watch may fall silent
right after a line, or before its first.  So a call that is quiet for longer than a healthy one ever is asked
for again while it stays open: if it was only late, it is as good as before, and nothing was lost by asking.
"""

from __future__ import annotations

import asyncio
import json
import logging
import math
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

import httptools

from heronreel.balancer.interface import State, WatchFailure

LINE_MOST = 4 << 20  # bytes of one line: some 30,000 backends
CONNECT_S = 1.0  # for a connection: a packet that vanished is sent again no sooner by the kernel
BEAT_S = 2.5  # an idle watch says something every 2 s, so one that is quiet for longer is late
ANSWER_S = 3.1  # for the head of an answer: a call may wait its turn, but is refused after 3 s
QUIET_MOST_S = 8.0  # after which a late call is given up
PUSHED_AGAIN_S = 0.1  # between calls to an agent on this machine, which answers at once and at no cost
STATES = {"active": State.UP, "leaving": State.DRAINING, "left": State.GONE}

log = logging.getLogger(__name__)


class BadList(ValueError):
    """Malformed discovery data."""


@dataclass(slots=True, frozen=True)
class Member:
    name: str
    address: tuple[str, int] | None  # None: the entry of one that has left may lack it
    zone: str
    kind: str
    cell: int
    state: State
    weight: float
    since_ms: float
    pool: str = ""  # where the host has pools of its own


@dataclass(slots=True, frozen=True)
class Members:
    """One message of discovery: the whole list, or the entries that changed."""

    index: int
    whole: bool
    entries: list[Member]


def members_of(told: object) -> Members:
    if not isinstance(told, dict):
        raise BadList("not an object")
    index, whole, entries = told.get("index"), told.get("snapshot"), told.get("endpoints")
    if isinstance(index, bool) or not isinstance(index, int):
        raise BadList(f"index: not a whole number: {index!r:.40}")
    if not isinstance(whole, bool):
        raise BadList(f"snapshot: neither true nor false: {whole!r:.40}")
    if not isinstance(entries, list):
        raise BadList("endpoints: not a list")
    return Members(index, whole, [_member(entry) for entry in entries])


def _member(entry: object) -> Member:
    if not isinstance(entry, dict):
        raise BadList(f"endpoints: not an object: {entry!r:.40}")
    name = _text(entry, "name", None)
    state = STATES.get(_text(entry, "status", None))
    if state is None:
        raise BadList(f"status: unknown: {entry.get('status')!r:.40}")
    return Member(
        name,
        _address(entry, state),
        _text(entry, "zone", ""),
        _text(entry, "type", ""),
        int(_number(entry, "group", 0.0)),
        state,
        _number(entry, "weight", 1.0),
        _number(entry, "since_ms", 0.0),
    )


def _text(entry: dict[str, Any], field: str, default: str | None) -> str:
    value = entry.get(field, default)
    if not isinstance(value, str) or (default is None and not value):
        raise BadList(f"{field}: not a name: {value!r:.40}")
    return value


def _number(entry: dict[str, Any], field: str, default: float) -> float:
    value = entry.get(field, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise BadList(f"{field}: not a number: {value!r:.40}")
    return value


def _address(entry: dict[str, Any], state: State) -> tuple[str, int] | None:
    if "address" not in entry and state is State.GONE:
        return None
    text = _text(entry, "address", None)
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
        raise BadList(f"address: not HOST:PORT: {text[:40]!r}")
    return host.strip("[]"), int(port)


class Discovery:
    """Makes the calls and keeps the version that the next watch asks from.

    Where lists are asked for, `watch` begins each call and a failure is told, so that whoever paces the calls
    of a whole fleet begins the next.  Where they are pushed (`pushed`), what the agent has counts as told at
    once, with a watch or without: the first call goes out with `start`, and each further one from here.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        index: int,
        tell: Callable[[Members | WatchFailure], None],
        pushed: bool = False,
    ) -> None:
        self.loop = loop
        self.address = address
        self.index = index
        self.tell = tell
        self.pushed = pushed
        self.again: asyncio.TimerHandle | None = None  # the next call to an agent
        self.calls: set[_Call] = set()

    def start(self) -> None:
        if self.pushed and not self._watches():
            self._begin()

    def settle(self, address: tuple[str, int], pushed: bool) -> None:
        """A new configuration: ask there from now on; at once, if there is a watch to move."""
        moved, turned = address != self.address, pushed != self.pushed
        self.address, self.pushed = address, pushed
        if moved and any(call.stream for call in self.calls):
            self._begin()
        if moved and not pushed:
            self.tell(WatchFailure.MOVED)  # it may stand in a long pause after failures of the old one
        if turned and pushed:
            self.start()
        elif turned and not self._watches():
            self.tell(WatchFailure.ENDED)  # from now on somebody else paces the calls

    def watch(self) -> None:
        """Begin a watch, unless there is a good one.  Late ones go on until one is answered, so that no
        change is missed and no place in the service's turn is lost.
        """
        if any(call.answered and not call.late for call in self._here()):
            self.tell(Members(self.index, False, []))  # it was only late
        elif not self._watches():
            self._begin()

    def _begin(self) -> None:
        for call in [call for call in self.calls if call.stream and not call.answered]:
            if call.address != self.address:
                call.close()
        self.calls.add(_Call(self, f"?stream=1&index={self.index}", True))

    def _here(self) -> list[_Call]:
        return [call for call in self.calls if call.stream and call.address == self.address]

    def _watches(self) -> bool:
        """Whether a call under way will bring the list, as far as can be told."""
        return any(not call.late for call in self._here())

    def answered(self, fresh: _Call) -> None:
        if fresh.stream:
            for call in [call for call in self.calls if call.stream and call is not fresh]:
                call.close()

    def failed(self, call: _Call, lost: WatchFailure) -> None:
        """A call ended, or is late.  Tell of it, unless another is about to take its place."""
        if call.stream and self._watches():
            return
        if not self.pushed:
            self.tell(lost)
        elif self.again is None:
            self.again = self.loop.call_later(PUSHED_AGAIN_S, self._again)

    def _again(self) -> None:
        self.again = None
        self.start()

    def fetch(self) -> None:
        self.calls.add(_Call(self, "", False))

    def close(self) -> None:
        if self.again:
            self.again.cancel()
        for call in list(self.calls):
            call.close()

    def took(self, members: Members) -> None:
        self.index = members.index
        self.tell(members)


class _Call(asyncio.Protocol):
    """One call on a connection of its own.  `over` makes its failure the only one."""

    def __init__(self, owner: Discovery, query: str, stream: bool) -> None:
        self.owner = owner
        self.address = owner.address
        self.query = query
        self.stream = stream
        self.over = False
        self.answered = False
        self.buffer = bytearray()
        self.searched = 0  # no line ends before this place in the buffer
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.heard = time.monotonic()
        self.late = False
        self.timer = owner.loop.call_later(CONNECT_S, self._check)
        self.task = owner.loop.create_task(self._connect())

    async def _connect(self) -> None:
        try:
            await self.owner.loop.create_connection(lambda: self, *self.address)
        except OSError as error:
            self._fail(f"no connection: {error}")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.over:
            self.transport.abort()
            return
        host, port = self.address
        head = f"GET /catalog/members{self.query} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
        self.transport.write(head.encode())

    def data_received(self, data: bytes) -> None:
        self.heard = time.monotonic()
        if self.late:  # its next silence is as long as any other's
            self.late = False
            self.timer.cancel()
            self.timer = self.owner.loop.call_later(BEAT_S, self._check)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail("malformed HTTP")

    def on_headers_complete(self) -> None:
        status = self.parser.get_status_code()
        if status >= 200:
            self.answered = status == 200
            if not self.answered:
                self._fail(f"answered {status}", WatchFailure.BUSY)
            elif not self.over:
                self.owner.answered(self)

    def on_body(self, data: bytes) -> None:
        if self.over:
            return
        self.buffer += data
        end = self.buffer.find(b"\n", self.searched) if self.stream else -1
        while end >= 0 and not self.over:
            line = bytes(self.buffer[:end])
            del self.buffer[: end + 1]
            if line.strip():
                self._take(line)
            end = self.buffer.find(b"\n")
        self.searched = len(self.buffer)
        if len(self.buffer) > LINE_MOST:  # guards memory: discovery gone mad must not take the proxy along
            self._fail(f"a line of over {LINE_MOST} bytes")

    def on_message_complete(self) -> None:
        if not self.answered or self.over:
            return
        if self.stream:
            self._fail("the watch ended")
        elif self._take(bytes(self.buffer)):
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        self._fail(f"connection lost: {error or 'ended'}")
        del self.parser  # it refers back to us

    def _take(self, text: bytes) -> bool:
        try:
            members = members_of(json.loads(text))
        except (ValueError, RecursionError) as error:
            self._fail(f"malformed data: {error}")
            return False
        self.owner.took(members)
        return True

    def _check(self) -> None:
        """Silence is a failure too: a cut network says nothing.

        After a stall of our own, what came meanwhile may be read after this: then the call was never late.
        """
        if self.transport is None:
            limit = CONNECT_S
        elif self.late:
            limit = QUIET_MOST_S
        else:
            limit = BEAT_S if self.answered else ANSWER_S
        left = self.heard + limit - time.monotonic()
        if left > 0.0:
            self.timer = self.owner.loop.call_later(left, self._check)
        elif self.transport is None or self.late or not self.stream:
            self._fail("no connection" if self.transport is None else "silent")
        else:
            log.info("discovery: late")
            self.late = True
            self.timer = self.owner.loop.call_later(QUIET_MOST_S - limit, self._check)
            self.owner.failed(self, WatchFailure.LATE)

    def _fail(self, why: str, lost: WatchFailure = WatchFailure.ENDED) -> None:
        if not self.over:
            log.info("discovery: %s", why)
            self.close()
            self.owner.failed(self, lost)

    def close(self) -> None:
        self.over = True
        self.timer.cancel()
        self.buffer.clear()
        self.owner.calls.discard(self)
        if self.transport is not None:
            self.transport.abort()
        else:
            self.task.cancel()
