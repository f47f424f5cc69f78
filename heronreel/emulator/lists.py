"""The list service: what it knows of the nodes, late, and how it tells a fleet of proxies at its own pace.

One service for all proxies works through calls in turn; each costs lines by itself and a line for each entry.
Changes are gathered for a period and written to all who watch, which costs a line for each of them, and so a
large fleet learns slowly.  What goes wrong with it is set from outside: `slower`, `refuses`, `silent`,
`breaks`, `garbles`, `late_ms`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from heronreel.emulator.events import Events
from heronreel.emulator.model import List


class Shape(Enum):
    UP = "up"
    LEAVING = "leaving"
    LEFT = "left"


@dataclass(slots=True, frozen=True)
class Entry:
    """A line of the list."""

    ident: int
    name: str
    zone: str
    kind: str
    rack: int
    shape: Shape
    since: float


class Caller(Protocol):
    """A proxy's process, as the service sees it."""

    def told_whole(self, entries: list[Entry]) -> None: ...
    def told_changes(self, entries: list[Entry]) -> None: ...
    def call_failed(self) -> None: ...


class ListService:
    def __init__(self, events: Events, list_: List, latency: Callable[[], float]) -> None:
        self.events, self.list, self.latency = events, list_, latency
        self.entries: dict[int, Entry] = {}  # in the order in which they came
        self.watchers: dict[Caller, None] = {}
        self.changed: dict[int, Entry] = {}  # since the last period
        self.ready_at = 0.0  # when it has worked off what it was asked
        self.waiting = 0
        self.failed = 0
        self.slower = 1.0
        self.late_ms = 0.0
        self.refuses = self.silent = self.breaks = self.garbles = False
        self.sending = False  # a period is running
        self.on_known: Callable[[Entry], None] = lambda entry: None

    def learn(self, entry: Entry, delay: float) -> None:
        """Something is true now that the service will know after `delay`."""
        self.events.at(self.events.now + delay, self._known, entry)

    def _known(self, entry: Entry) -> None:
        if self.silent:  # down: it finds out when it is back
            self.events.at(self.events.now + self.list.period_ms, self._known, entry)
            return
        if entry.shape is Shape.LEFT:
            if self.entries.pop(entry.ident, None) is None:
                return
        else:
            old = self.entries.get(entry.ident)
            if old is not None and old.since > entry.since:
                return  # an older word came later
            self.entries[entry.ident] = entry
        self.on_known(entry)
        self.changed[entry.ident] = entry
        if not self.sending:
            self.sending = True
            self.events.at(self.events.now + self.list.period_ms, self._send)

    def _work(self, lines: float) -> float:
        """When it has done so much more."""
        self.ready_at = (
            max(self.ready_at, self.events.now) + lines * 1000.0 * self.slower / self.list.lines_per_s
        )
        return self.ready_at

    def _send(self) -> None:
        self.sending = False
        news, self.changed = list(self.changed.values()), {}
        if self.silent:
            return
        for watcher in self.watchers:
            done = self._work(len(news))
            self.events.at(done + self.late_ms + self.latency(), self._tell, watcher, news)

    def _tell(self, watcher: Caller, news: list[Entry]) -> None:
        if watcher not in self.watchers or self.silent:
            return
        if self.garbles:
            self.end(watcher)
            watcher.call_failed()
        else:
            watcher.told_changes(news)

    def call(self, caller: Caller) -> None:
        """A proxy asks for the whole list and to watch its changes."""
        self.watchers.pop(caller, None)
        now, list_ = self.events.now, self.list
        if self.silent:
            self.events.at(now + list_.timeout_ms, self._fail, caller)
        elif self.refuses or self.waiting >= list_.backlog:
            self.events.at(now + 2.0 * self.latency(), self._fail, caller)
        elif self.ready_at - now > list_.timeout_ms:
            # it would wait too long, and the service drops it unread once its time is over
            self.events.at(now + list_.timeout_ms, self._fail, caller)
        else:
            self.waiting += 1
            done = self._work(list_.call_lines + len(self.entries))
            self.events.at(done + self.late_ms + self.latency(), self._answer, caller)

    def _fail(self, caller: Caller) -> None:
        self.failed += 1
        caller.call_failed()

    def _answer(self, caller: Caller) -> None:
        self.waiting -= 1
        if self.silent or self.garbles:
            self._fail(caller)
            return
        self.watchers[caller] = None
        caller.told_whole(list(self.entries.values()))
        if self.breaks:
            self.end(caller)
            self._fail(caller)

    def end(self, caller: Caller) -> None:
        """A watch is over, by either side."""
        self.watchers.pop(caller, None)

    def go_silent(self) -> None:
        """All watches end: who watched notices by the silence."""
        self.silent = True
        for watcher in list(self.watchers):
            self.end(watcher)
            self.events.at(self.events.now + self.list.timeout_ms, watcher.call_failed)
