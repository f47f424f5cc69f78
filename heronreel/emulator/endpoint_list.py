"""Models the endpoint list service, which learns of node changes late and serves the list to the proxies.

A single service processes the calls of all proxies one after the other.  A call costs a fixed number of
entries, plus one for each entry of the list.  Changes are batched and sent to all watchers, which costs an
entry per change and watcher, so a large fleet learns of them slowly.  With `call_ms` each call takes that
time instead, a call that would wait too long is refused, and abandoned calls are still processed.
Faults are set from outside: `slowdown`, `extra_delay_ms`, `refusing`, `silent`, `breaking_streams` and
`corrupting`; a `WatchReset` closes connections.
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
    """The state of an endpoint."""

    UP = "up"
    LEAVING = "leaving"
    LEFT = "left"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """An entry of the endpoint list."""

    ident: int
    name: str
    zone: str
    kind: str
    rack: int
    state: EndpointState
    started_at: float  # ms; 0 is before the rehearsal


class CallEnd(Enum):
    """How a call, or the watch that followed it, ended."""

    FAILED = "failed"  # an error, or no response in time
    REFUSED = "refused"  # status 503: the service has too many calls
    CLOSED = "closed"  # the service closed the connection of a watch


class ListSubscriber(Protocol):
    """The interface of a proxy's process to the service."""

    def receive_snapshot(self, endpoints: list[Endpoint]) -> None:
        """Handle a snapshot of the whole list."""

    def receive_missed_changes(self, endpoints: list[Endpoint]) -> None:
        """Handle the response to a call that holds all changes since the last message."""

    def receive_changes(self, endpoints: list[Endpoint]) -> None:
        """Handle changes since the last message."""

    def call_failed(self, end: CallEnd) -> None:
        """Handle the end of a call or a watch."""

    def watch_closed(self, untold: list[Endpoint]) -> None:
        """Handle a watch that the service closed instead of sending the changes in `untold`."""


@dataclass(slots=True, eq=False)
class PendingCall:
    """A call without a response."""

    subscriber: ListSubscriber


class EndpointListService:
    """The endpoint list service.  Times are ms."""

    def __init__(
        self,
        events: EventQueue,
        config: EndpointListConfig,
        latency: Callable[[], float],
        stream: RandomStream,
    ) -> None:
        """Create a service; `stream` draws which responses are whole lists."""
        self.events, self.config, self.latency, self.stream = events, config, latency, stream
        self.endpoints: dict[int, Endpoint] = {}  # in the order of addition
        self.watchers: dict[ListSubscriber, None] = {}
        self.pending_calls: dict[PendingCall, None] = {}
        self.closing: dict[ListSubscriber, None] = {}  # closed, but not noticed yet
        self.change_log = ChangeLog[Endpoint]()
        self.known_index: dict[ListSubscriber, int] = {}  # of the proxy's list; 0 at the start
        self.unsent: dict[int, Endpoint] = {}  # changes since the last batch
        self.withholding = 0  # number of active faults that withhold changes
        self.before_changes: list[Callable[[], None]] = []  # each is called once, by one change
        self.busy_until = 0.0
        self.queued_calls = 0
        self.failed_calls = 0
        self.slowdown = 1.0
        self.extra_delay_ms = 0.0
        self.refusing = self.silent = self.breaking_streams = self.corrupting = False
        self.batch_scheduled = False
        self.on_learned: Callable[[Endpoint], None] = lambda endpoint: None

    def report(self, endpoint: Endpoint, delay: float) -> None:
        """Report a change of state that the service learns after `delay`."""
        self.events.schedule(self.events.now + delay, self._learn, endpoint)

    def _learn(self, endpoint: Endpoint) -> None:
        if self.silent:  # a silent service learns of the change when it is back
            self.events.schedule(self.events.now + self.config.batch_ms, self._learn, endpoint)
            return
        if endpoint.state is EndpointState.LEFT:
            if self.endpoints.pop(endpoint.ident, None) is None:
                return
        else:
            known = self.endpoints.get(endpoint.ident)
            if known is not None and known.started_at > endpoint.started_at:
                return  # a late report about an earlier process
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
        """Add work to the queue and return when the service will have done it."""
        return self._enqueue(entries * SECOND_MS * self.slowdown / self.config.entries_per_s)

    def _enqueue_call(self) -> float:
        """Add a call to the queue and return when the service will have processed it."""
        if self.config.call_ms:
            return self._enqueue(self.config.call_ms * self.slowdown)
        return self._enqueue_work(self.config.call_cost + len(self.endpoints))

    def _enqueue(self, duration_ms: float) -> float:
        self.busy_until = max(self.busy_until, self.events.now) + duration_ms
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
        """Request the list for a proxy, which then watches its changes."""
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
            # The call would wait too long.  With `call_ms` it is refused but still processed; otherwise it is
            # dropped unread after the timeout.
            if config.call_ms:
                self._enqueue_call()
            self.events.schedule(now + config.timeout_ms, self._fail, call, refusal)
        else:
            self.queued_calls += 1
            arrives = self._enqueue_call() + self.extra_delay_ms + self.latency()
            self.events.schedule(arrives, self._respond, call)

    def _is_awaited(self, call: PendingCall) -> bool:
        """Remove a call from the pending ones and return whether it was still pending."""
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
        """Send the whole list, or all changes since the list that a proxy has."""
        share = self.config.snapshot_share
        if share >= 1.0 or self.stream.bernoulli(share):
            subscriber.receive_snapshot(self._snapshot())
        else:
            subscriber.receive_missed_changes(self.change_log.since(self.known_index.get(subscriber, 0)))
        if subscriber in self.watchers:  # the process is still running
            self.known_index[subscriber] = self.change_log.index

    def _snapshot(self) -> list[Endpoint]:
        endpoints = list(self.endpoints.values())
        if self.config.snapshot_omits_draining:
            return [endpoint for endpoint in endpoints if endpoint.state is EndpointState.UP]
        return endpoints

    def end_watch(self, subscriber: ListSubscriber) -> None:
        """End a watch from either side.

        With `call_ms`, the waiting calls of the subscriber are abandoned too, but are still processed.
        """
        self.watchers.pop(subscriber, None)
        self.closing.pop(subscriber, None)
        if self.config.call_ms:
            for call in [call for call in self.pending_calls if call.subscriber is subscriber]:
                del self.pending_calls[call]

    def go_silent(self) -> None:
        """Stop responding and end all watches; the watchers notice it by a timeout."""
        self.silent = True
        for watcher in list(self.watchers):
            self.end_watch(watcher)
            noticed_at = self.events.now + self.config.timeout_ms
            self.events.schedule(noticed_at, watcher.call_failed, CallEnd.FAILED)

    # A reset of all connections.

    def before_next_change_is_told(self, callback: Callable[[], None]) -> None:
        """Call `callback` once, when the list has its next change and before the change is sent."""
        self.before_changes.append(callback)

    def withhold_changes(self) -> None:
        """Send no changes until `end_withholding` has been called as often as this method."""
        self.withholding += 1

    def end_withholding(self) -> list[Endpoint]:
        """Return the withheld changes.  After the last call, new changes are sent again."""
        self.withholding -= 1
        withheld = list(self.unsent.values())
        if not self.withholding:
            self.unsent.clear()
        return withheld

    def close_connections(self, untold: list[Endpoint], notice_delay: Callable[[], float]) -> None:
        """Close all watches, instead of sending the changes in `untold`, and all waiting calls.

        Each proxy notices after a delay of its own.  The service still does the work for the calls.
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
        if subscriber in self.closing:  # otherwise its process has ended or called again
            del self.closing[subscriber]
            notify(*arguments)
