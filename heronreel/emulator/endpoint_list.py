"""The endpoint list service: what it knows of the nodes, late, and how it serves a fleet of proxies.

One service for all proxies works through calls in turn; each costs a fixed number of entries and one for each
entry returned.  Changes are batched and sent to all watchers, which costs an entry for each of them, and so a
large fleet learns slowly.  Faults are set from outside: `slowdown`, `extra_delay_ms`, `refusing`, `silent`,
`breaking_streams`, `corrupting`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from heronreel.emulator.events import EventQueue
from heronreel.emulator.model import EndpointListConfig

SECOND_MS = 1000.0


class EndpointState(Enum):
    """Where an endpoint is in its life."""

    UP = "up"
    LEAVING = "leaving"
    LEFT = "left"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """An entry of the list."""

    ident: int
    name: str
    zone: str
    kind: str
    rack: int
    state: EndpointState
    started_at: float  # ms; 0: before the rehearsal


class ListSubscriber(Protocol):
    """A proxy's process, as the service sees it."""

    def receive_snapshot(self, endpoints: list[Endpoint]) -> None:
        """The whole list has come."""

    def receive_changes(self, endpoints: list[Endpoint]) -> None:
        """Changes since the last message have come."""

    def call_failed(self) -> None:
        """The call or the watch has ended with an error."""


class EndpointListService:
    """The service.  Times are ms."""

    def __init__(self, events: EventQueue, config: EndpointListConfig, latency: Callable[[], float]) -> None:
        self.events, self.config, self.latency = events, config, latency
        self.endpoints: dict[int, Endpoint] = {}  # in the order in which they were added
        self.watchers: dict[ListSubscriber, None] = {}
        self.unsent: dict[int, Endpoint] = {}  # changes since the last batch
        self.busy_until = 0.0
        self.queued_calls = 0
        self.failed_calls = 0
        self.slowdown = 1.0
        self.extra_delay_ms = 0.0
        self.refusing = self.silent = self.breaking_streams = self.corrupting = False
        self.batch_scheduled = False
        self.on_learned: Callable[[Endpoint], None] = lambda endpoint: None

    def report(self, endpoint: Endpoint, delay: float) -> None:
        """A change of state that the service will learn after `delay`."""
        self.events.schedule(self.events.now + delay, self._learn, endpoint)

    def _learn(self, endpoint: Endpoint) -> None:
        if self.silent:  # down: it finds out when it is back
            self.events.schedule(self.events.now + self.config.batch_ms, self._learn, endpoint)
            return
        if endpoint.state is EndpointState.LEFT:
            if self.endpoints.pop(endpoint.ident, None) is None:
                return
        else:
            known = self.endpoints.get(endpoint.ident)
            if known is not None and known.started_at > endpoint.started_at:
                return  # out of order: it is about an earlier process
            self.endpoints[endpoint.ident] = endpoint
        self.on_learned(endpoint)
        self.unsent[endpoint.ident] = endpoint
        if not self.batch_scheduled:
            self.batch_scheduled = True
            self.events.schedule(self.events.now + self.config.batch_ms, self._send_batch)

    def _enqueue_work(self, entries: float) -> float:
        """When the service has done this much more."""
        took = entries * SECOND_MS * self.slowdown / self.config.entries_per_s
        self.busy_until = max(self.busy_until, self.events.now) + took
        return self.busy_until

    def _send_batch(self) -> None:
        self.batch_scheduled = False
        changes, self.unsent = list(self.unsent.values()), {}
        if self.silent:
            return
        for watcher in self.watchers:
            done = self._enqueue_work(len(changes))
            arrives = done + self.extra_delay_ms + self.latency()
            self.events.schedule(arrives, self._deliver_changes, watcher, changes)

    def _deliver_changes(self, watcher: ListSubscriber, changes: list[Endpoint]) -> None:
        if watcher not in self.watchers or self.silent:
            return
        if self.corrupting:
            self.end_watch(watcher)
            watcher.call_failed()
        else:
            watcher.receive_changes(changes)

    def call(self, subscriber: ListSubscriber) -> None:
        """A proxy requests the whole list and watches its changes."""
        self.watchers.pop(subscriber, None)
        now, config = self.events.now, self.config
        if self.silent:
            self.events.schedule(now + config.timeout_ms, self._fail, subscriber)
        elif self.refusing or self.queued_calls >= config.max_backlog:
            self.events.schedule(now + 2.0 * self.latency(), self._fail, subscriber)
        elif self.busy_until - now > config.timeout_ms:
            # it would wait too long, and the service drops it unread once its time is over
            self.events.schedule(now + config.timeout_ms, self._fail, subscriber)
        else:
            self.queued_calls += 1
            done = self._enqueue_work(config.call_cost + len(self.endpoints))
            arrives = done + self.extra_delay_ms + self.latency()
            self.events.schedule(arrives, self._respond, subscriber)

    def _fail(self, subscriber: ListSubscriber) -> None:
        self.failed_calls += 1
        subscriber.call_failed()

    def _respond(self, subscriber: ListSubscriber) -> None:
        self.queued_calls -= 1
        if self.silent or self.corrupting:
            self._fail(subscriber)
            return
        self.watchers[subscriber] = None
        subscriber.receive_snapshot(list(self.endpoints.values()))
        if self.breaking_streams:
            self.end_watch(subscriber)
            self._fail(subscriber)

    def end_watch(self, subscriber: ListSubscriber) -> None:
        """A watch is over, by either side."""
        self.watchers.pop(subscriber, None)

    def go_silent(self) -> None:
        """End all watches: the watchers notice by a timeout."""
        self.silent = True
        for watcher in list(self.watchers):
            self.end_watch(watcher)
            self.events.schedule(self.events.now + self.config.timeout_ms, watcher.call_failed)
