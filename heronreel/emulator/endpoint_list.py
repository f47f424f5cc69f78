"""The endpoint list service: what it knows of the nodes, late, and how it serves a fleet of proxies.

One service for all proxies works through calls in turn; each costs a fixed number of entries and one for each
entry returned.  Changes are batched and sent to all watchers, which costs an entry for each of them, and so a
large fleet learns slowly.  With `call_ms`, each call takes that long in turn instead, a call that would wait
for too long is refused, and calls that nobody waits for any more are worked off all the same.  Faults are set
from outside: `slowdown`, `extra_delay_ms`, `refusing`, `silent`, `breaking_streams`, `corrupting`; a
`WatchReset` closes connections.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from heronreel.emulator.change_log import ChangeLog
from heronreel.emulator.events import EventQueue
from heronreel.emulator.model import EndpointListConfig
from heronreel.emulator.random_streams import RandomStream

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


class CallEnd(Enum):
    """How a call, or the watch that it became, has ended."""

    FAILED = "failed"  # an error, or no response in time
    REFUSED = "refused"  # 503: the service has too many calls
    CLOSED = "closed"  # a watch that had its response: the service closed the connection


class ListSubscriber(Protocol):
    """A proxy's process, as the service sees it."""

    def receive_snapshot(self, endpoints: list[Endpoint]) -> None:
        """The whole list has come."""

    def receive_missed_changes(self, endpoints: list[Endpoint]) -> None:
        """The response to a call has come: all that changed since the last message."""

    def receive_changes(self, endpoints: list[Endpoint]) -> None:
        """Changes since the last message have come."""

    def call_failed(self, end: CallEnd) -> None:
        """The call or the watch has ended."""

    def watch_closed(self, untold: list[Endpoint]) -> None:
        """The service has closed the watch, in place of telling these changes."""


@dataclass(slots=True, eq=False)
class PendingCall:
    """A call that has no response yet."""

    subscriber: ListSubscriber


class EndpointListService:
    """The service.  Times are ms."""

    def __init__(
        self,
        events: EventQueue,
        config: EndpointListConfig,
        latency: Callable[[], float],
        stream: RandomStream,
    ) -> None:
        """`stream` draws which responses are whole lists."""
        self.events, self.config, self.latency, self.stream = events, config, latency, stream
        self.endpoints: dict[int, Endpoint] = {}  # in the order in which they were added
        self.watchers: dict[ListSubscriber, None] = {}
        self.pending_calls: dict[PendingCall, None] = {}
        self.closing: dict[ListSubscriber, None] = {}  # their connections are closed; they don't know it yet
        self.change_log = ChangeLog[Endpoint]()
        self.known_index: dict[ListSubscriber, int] = {}  # of the list that a proxy has; at the start: 0
        self.unsent: dict[int, Endpoint] = {}  # changes since the last batch
        self.withholding = 0  # faults that keep changes from being sent
        self.before_changes: list[Callable[[], None]] = []  # each called once, by one change
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
        self.change_log.record(endpoint.ident, endpoint)
        self.on_learned(endpoint)
        self.unsent[endpoint.ident] = endpoint
        if self.before_changes:
            self.before_changes.pop(0)()
        if not self.batch_scheduled:
            self.batch_scheduled = True
            self.events.schedule(self.events.now + self.config.batch_ms, self._send_batch)

    def _enqueue_work(self, entries: float) -> float:
        """When the service has done this much more."""
        return self._enqueue(entries * SECOND_MS * self.slowdown / self.config.entries_per_s)

    def _enqueue_call(self) -> float:
        """When the service has done a call more."""
        if self.config.call_ms:
            return self._enqueue(self.config.call_ms * self.slowdown)
        return self._enqueue_work(self.config.call_cost + len(self.endpoints))

    def _enqueue(self, took: float) -> float:
        self.busy_until = max(self.busy_until, self.events.now) + took
        return self.busy_until

    def _send_batch(self) -> None:
        self.batch_scheduled = False
        if self.withholding or not self.unsent:
            return
        changes, self.unsent = list(self.unsent.values()), {}
        if self.silent:
            return
        for watcher in self.watchers:
            done = self._enqueue_work(len(changes))
            arrives = done + self.extra_delay_ms + self.latency()
            self.events.schedule(arrives, self._deliver_changes, watcher, changes, self.change_log.index)

    def _deliver_changes(self, watcher: ListSubscriber, changes: list[Endpoint], index: int) -> None:
        if watcher not in self.watchers or self.silent:
            return
        if self.corrupting:
            self.end_watch(watcher)
            watcher.call_failed(CallEnd.FAILED)
        else:
            self.known_index[watcher] = max(self.known_index.get(watcher, 0), index)
            watcher.receive_changes(changes)

    def call(self, subscriber: ListSubscriber) -> None:
        """A proxy requests the list and watches its changes."""
        self.watchers.pop(subscriber, None)
        self.closing.pop(subscriber, None)
        call = PendingCall(subscriber)
        self.pending_calls[call] = None
        now, config = self.events.now, self.config
        refusal = CallEnd.REFUSED if config.call_ms else CallEnd.FAILED
        if self.silent:
            self.events.schedule(now + config.timeout_ms, self._fail, call, CallEnd.FAILED)
        elif self.refusing or self.queued_calls >= config.max_backlog:
            self.events.schedule(now + 2.0 * self.latency(), self._fail, call, refusal)
        elif self.busy_until - now > config.timeout_ms:
            # it would wait too long: dropped unread once its time is over, or refused and worked off in turn
            if config.call_ms:
                self._enqueue_call()
            self.events.schedule(now + config.timeout_ms, self._fail, call, refusal)
        else:
            self.queued_calls += 1
            arrives = self._enqueue_call() + self.extra_delay_ms + self.latency()
            self.events.schedule(arrives, self._respond, call)

    def _is_awaited(self, call: PendingCall) -> bool:
        """Whether a call still waits; from now on it does not."""
        if call not in self.pending_calls:
            return False
        del self.pending_calls[call]
        return True

    def _fail(self, call: PendingCall, end: CallEnd) -> None:
        if self._is_awaited(call):
            self._report_failure(call.subscriber, end)

    def _report_failure(self, subscriber: ListSubscriber, end: CallEnd) -> None:
        self.failed_calls += 1
        subscriber.call_failed(end)

    def _respond(self, call: PendingCall) -> None:
        self.queued_calls -= 1
        if not self._is_awaited(call):
            return
        subscriber = call.subscriber
        if self.silent or self.corrupting:
            self._report_failure(subscriber, CallEnd.FAILED)
            return
        self.watchers[subscriber] = None
        self._send_list(subscriber)
        if self.breaking_streams:
            self.end_watch(subscriber)
            self._report_failure(subscriber, CallEnd.FAILED)

    def _send_list(self, subscriber: ListSubscriber) -> None:
        """The whole list, or all that changed since the one that a proxy has."""
        share = self.config.snapshot_share
        if share >= 1.0 or self.stream.bernoulli(share):
            subscriber.receive_snapshot(self._snapshot())
        else:
            subscriber.receive_missed_changes(self.change_log.since(self.known_index.get(subscriber, 0)))
        if subscriber in self.watchers:  # its process is there
            self.known_index[subscriber] = self.change_log.index

    def _snapshot(self) -> list[Endpoint]:
        endpoints = list(self.endpoints.values())
        if self.config.snapshot_omits_draining:
            return [endpoint for endpoint in endpoints if endpoint.state is EndpointState.UP]
        return endpoints

    def end_watch(self, subscriber: ListSubscriber) -> None:
        """A watch is over, by either side; in turn, calls that still wait are given up and worked off."""
        self.watchers.pop(subscriber, None)
        self.closing.pop(subscriber, None)
        if self.config.call_ms:
            for call in [call for call in self.pending_calls if call.subscriber is subscriber]:
                del self.pending_calls[call]

    def go_silent(self) -> None:
        """End all watches: the watchers notice by a timeout."""
        self.silent = True
        for watcher in list(self.watchers):
            self.end_watch(watcher)
            noticed_at = self.events.now + self.config.timeout_ms
            self.events.schedule(noticed_at, watcher.call_failed, CallEnd.FAILED)

    # A reset of all connections.

    def before_next_change_is_told(self, callback: Callable[[], None]) -> None:
        """Call `callback` once: when the list has its next change, which nobody has been sent."""
        self.before_changes.append(callback)

    def withhold_changes(self) -> None:
        """Send no changes from now on, until as many calls of `end_withholding`."""
        self.withholding += 1

    def end_withholding(self) -> list[Endpoint]:
        """The changes that were withheld.  After the last call, those to come are sent again."""
        self.withholding -= 1
        withheld = list(self.unsent.values())
        if not self.withholding:
            self.unsent.clear()
        return withheld

    def close_connections(self, untold: list[Endpoint], notice_delay: Callable[[], float]) -> None:
        """Close all watches, in place of telling these changes, and the calls that wait.

        Each proxy notices after a delay of its own.  The work for the calls is done all the same.
        """
        watchers, calls = list(self.watchers), list(self.pending_calls)
        self.watchers.clear()
        self.pending_calls.clear()
        for watcher in watchers:
            self._schedule_close(notice_delay(), watcher, watcher.watch_closed, untold)
        for call in calls:
            subscriber = call.subscriber
            self._schedule_close(notice_delay(), subscriber, self._report_failure, subscriber, CallEnd.FAILED)

    def _schedule_close(
        self, delay: float, subscriber: ListSubscriber, notify: Callable[..., None], *arguments: object
    ) -> None:
        self.closing[subscriber] = None
        self.events.schedule(self.events.now + delay, self._notice_close, subscriber, notify, arguments)

    def _notice_close(
        self, subscriber: ListSubscriber, notify: Callable[..., None], arguments: tuple[object, ...]
    ) -> None:
        if subscriber in self.closing:  # else its process has ended, or called again
            del self.closing[subscriber]
            notify(*arguments)
