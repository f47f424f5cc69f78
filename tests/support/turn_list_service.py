"""A stub list service on loopback that processes calls one at a time and fails as the protocol allows.

A test plans the answer to each call of a watch; a call without a plan gets the answer that the protocol
prescribes.  A history records every event that decides when a change counts as notified.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections import deque
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

from heronreel.soak.notification_judge import (
    Departed,
    History,
    ListWritten,
    Reachable,
    Returned,
    WatchEnded,
    WatchFellSilent,
)
from tests.support.loopback import Listener, entry, read_head

HEARTBEAT_S = 2.0  # interval of the empty lines of a watch
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


class Plan(Enum):
    """How the service handles one call."""

    ANSWER = auto()  # the changes after the caller's version, or the whole list
    ANSWER_AND_END = auto()  # the same, and the watch ends immediately afterwards
    NOTHING_AND_END = auto()  # an empty list of changes, and the watch ends without the actual changes
    NEVER = auto()  # no answer, and the connection stays open
    REFUSE_AT_ONCE = auto()
    REFUSE_LATE = auto()  # refused after `refusal_s`


@dataclass(eq=False)
class Watch:
    """A call in progress or an open watch."""

    index: int  # the caller's version
    writer: asyncio.StreamWriter
    answered: bool = False
    silent: bool = False


class TurnListService(Listener):
    """One list service.

    With `whole_lists`, the first answer to a call is the whole list without draining backends.  Each call
    takes `call_s` seconds.
    """

    def __init__(
        self, name: str, history: History, *members: dict[str, Any], call_s: float, whole_lists: bool = False
    ) -> None:
        super().__init__(self._serve_call)
        self.name, self.history, self.call_s, self.whole_lists = name, history, call_s, whole_lists
        self.members = {member["name"]: member for member in members}
        self.index = 1
        self.changes: list[tuple[int, str]] = []  # version and backend name
        self.plans: deque[Plan] = deque()
        self.usual_plan = Plan.ANSWER
        self.refusal_s = 2.0
        self.turn = asyncio.Lock()  # first come, first served
        self.watches: list[Watch] = []
        self.calls = 0
        # Tests clear these events to wait for the next call or answer.
        self.called, self.answered = asyncio.Event(), asyncio.Event()

    # Changes of the list.

    def drain(self, name: str, notify_watches: bool = True) -> None:
        """Start to drain a backend; without `notify_watches`, open watches omit the change (a fault)."""
        self.members[name] = self.members[name] | {"status": "leaving"}
        self.history.note(Departed(time.monotonic(), self.name, name))
        self._change(name, notify_watches)

    def reactivate(self, name: str) -> None:
        """Make a backend active again."""
        self.members[name] = self.members[name] | {"status": "active"}
        self.history.note(Returned(time.monotonic(), self.name, name))
        self._change(name, True)

    def _change(self, name: str, notify_watches: bool) -> None:
        self.index += 1
        self.changes.append((self.index, name))
        for watch in self.watches:
            if notify_watches and watch.answered and not watch.silent:
                self._write_list(watch, self.index, False, [self.members[name]])

    # Faults of watches.

    def reset_watches(self) -> None:
        """Reset all calls in progress and all open watches."""
        for watch in [*self.watches]:
            watch.writer.transport.abort()
            self._note_end(watch)

    def silence_watches(self) -> None:
        """Send nothing more on the open watches, and keep them open."""
        for watch in self.watches:
            watch.silent = True
        self.history.note(WatchFellSilent(time.monotonic(), self.name))

    def go_down(self, plan: Plan) -> None:
        """Reset all watches, and handle each call according to `plan` until `come_back`."""
        self.usual_plan = plan
        self.reset_watches()

    def come_back(self) -> None:
        """Answer calls again."""
        self.usual_plan = Plan.ANSWER
        self.history.note(Reachable(time.monotonic(), self.name))

    # Calls.

    async def _serve_call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target = (await read_head(reader))[""].split()[1]
        watch = Watch(int(target.partition("index=")[2]), writer)
        self.watches.append(watch)
        self.calls += 1
        plan = self.plans.popleft() if self.plans else self.usual_plan
        self.called.set()
        if plan is not Plan.REFUSE_AT_ONCE:
            async with self.turn:
                await asyncio.sleep(self.call_s)
        if plan is Plan.REFUSE_LATE:
            await asyncio.sleep(self.refusal_s)
        if watch not in self.watches:
            return  # the watch was reset meanwhile
        self._answer(watch, plan)
        while watch in self.watches and not reader.at_eof():
            with suppress(TimeoutError):
                await asyncio.wait_for(reader.read(1), HEARTBEAT_S)
            if watch.answered and not watch.silent:
                writer.write(b"1\r\n\n\r\n")
        if watch in self.watches:
            self.watches.remove(watch)  # the proxy closed the connection

    def _answer(self, watch: Watch, plan: Plan) -> None:
        match plan:
            case Plan.ANSWER | Plan.ANSWER_AND_END:
                self._write_first_list(watch)
            case Plan.NOTHING_AND_END:
                self._write_list(watch, watch.index, False, [], HEAD)
            case Plan.REFUSE_AT_ONCE | Plan.REFUSE_LATE:
                watch.writer.write(REFUSAL)
                self.watches.remove(watch)
        if plan in (Plan.ANSWER_AND_END, Plan.NOTHING_AND_END):
            watch.writer.write(LAST_CHUNK)
            watch.writer.close()
            self._note_end(watch)
        if watch.answered:
            self.answered.set()

    def _note_end(self, watch: Watch) -> None:
        self.watches.remove(watch)
        self.history.note(WatchEnded(time.monotonic(), self.name, watch.answered))

    def _write_first_list(self, watch: Watch) -> None:
        if self.whole_lists or watch.index > self.index:
            active = [member for member in self.members.values() if member["status"] == "active"]
            self._write_list(watch, self.index, True, active, HEAD)
            return
        names = dict.fromkeys(name for index, name in self.changes if index > watch.index)
        changed = [self.members[name] for name in names]
        self._write_list(watch, self.index, False, changed, HEAD)

    def _write_list(
        self, watch: Watch, index: int, is_whole: bool, members: list[dict[str, Any]], head: bytes = b""
    ) -> None:
        message = {"index": index, "snapshot": is_whole, "endpoints": members}
        line = json.dumps(message).encode() + b"\n"
        watch.writer.write(head + b"%x\r\n%b\r\n" % (len(line), line))
        watch.answered = True
        named = {member["name"]: member["status"] for member in members}
        removed = {name for name, status in named.items() if status != "active"}
        if is_whole:
            removed |= self.members.keys() - named.keys()
        self.history.note(ListWritten(time.monotonic(), self.name, frozenset(removed)))


def active_members(addresses: dict[str, str]) -> list[dict[str, Any]]:
    """Return active entries for backends, given their addresses by name."""
    return [entry(name, address) for name, address in addresses.items()]
