"""Connects the sockets with the balancer and tracks the state of requests and attempts.

Events are queued, so that an event caused by an action never re-enters the balancer.  Every request gets
exactly one final response: the response of a backend, the balancer's Reject or Fail, or otherwise a 504 at
the deadline.
"""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections import deque
from typing import Protocol, cast

from heronreel.balancer import interface as api
from heronreel.balancer.choice import Balancer
from heronreel.proxy.backend_connection import (
    Attempt,
    Backend,
    BackendConnection,
)
from heronreel.proxy.backend_registry import BackendRegistry, stable_number
from heronreel.proxy.config import Config
from heronreel.proxy.connection_pool import ConnectionPool
from heronreel.proxy.endpoint_watch import EndpointWatch
from heronreel.proxy.endpoints import EndpointList
from heronreel.proxy.event_log import EventKind, RefusalReason, record
from heronreel.proxy.http1 import DATE_LINE
from heronreel.proxy.memory_account import USUAL_BASE_BYTES, MemoryAccount, MemoryLimits, MemoryUse
from heronreel.proxy.process_memory import read_process_memory
from heronreel.proxy.recent_ids import RecentRequestIds
from heronreel.proxy.request import Request, RequestHead, ResponseWriter, Router
from heronreel.proxy.response import Response, ResponseBodySink
from heronreel.proxy.streams import RequestBodyStream

# The time that a body may take to arrive: 32 MB at 64 kB a second take 500 s, plus a margin.
MAX_UPLOAD_S = 600.0
# A timer event on which the balancer raised an exception is repeated after this time.
TIMER_RETRY_S = 0.2
# The event loop's clock may be behind, and a timer must not fire early.
TIMER_MARGIN_S = 0.001
# A deadline timer that fires early by no more than this counts as on time.
DEADLINE_TOLERANCE_S = 0.0005

log = logging.getLogger(__name__)


class BalancingPolicy(Protocol):
    """Decides what is done after each event: a Balancer or a replacement for it."""

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Handle an event and return the actions to carry out."""


class Dispatcher:
    """Passes events to the balancer and carries out its actions.

    No other class calls `BalancingPolicy.handle`.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        decisions: BalancingPolicy | None = None,
        router: Router | None = None,
    ) -> None:
        self.loop = loop
        self.router = router
        # Any clients, rather than the platform's: they send none of the platform's headers.
        self.accepts_any_client = config.accepts_any_status
        self._take_settings(config.settings)
        self.balancer: BalancingPolicy = decisions or Balancer(config.settings, config.seed)
        # Added to the monotonic clock, this gives a wall clock that never steps.
        self.epoch = time.time() - time.monotonic()
        self.pool = ConnectionPool(loop, config, self)
        self.registry = BackendRegistry(self.pool, self.dispatch, config.endpoints_from_file)
        self.backends = self.registry.backends
        self.list_expired = False  # Whether the expiry of the endpoint list was logged.
        self.watch = self._make_watch(config)
        self.requests: dict[int, Request] = {}  # Requests that are unfinished or have attempts in flight.
        self.request_ids: set[bytes] = set()  # The clients' ids of the same requests.
        # The ids of those that may have run, unless they are idempotent.
        self.recent_ids = RecentRequestIds()
        self.memory_limits = MemoryLimits(config.memory_bytes)
        self.base_backends = 0  # Backends that were known when the base memory was measured.
        self.memory = MemoryAccount(self.memory_limits.held_bytes())
        self.last_number = 0  # The number of the latest request.
        # Whether a list newer than the file's was received; true from the start if there is no discovery
        # service.
        self.has_received_list = not config.discovery
        self.events: deque[api.Event] = deque()
        self.dispatching = False
        self.decided_at = 0.0  # When the balancer was last called, on the monotonic clock.
        self.answer_by = math.inf  # The latest deadline of any request, on the monotonic clock.
        self.registry.update(config.endpoints, api.ListKind.CACHED)
        if self.watch:
            self.watch.start()

    def _make_watch(self, config: Config) -> EndpointWatch | None:
        if not config.discovery:
            return None
        return EndpointWatch(
            self.loop,
            config.discovery,
            config.endpoints.index,
            self.on_endpoints,
            self._set_list_validity,
            config.drain_grace_ms / 1000.0,
            not config.settings.watch_list,
        )

    def _set_list_validity(self, valid_until: float) -> None:
        """Set until when the endpoint list may be used, on the monotonic clock in seconds."""
        self.pool.list_valid_until = valid_until
        if self.list_expired and time.monotonic() < valid_until:
            self.list_expired = False
            record(EventKind.LIST_VALID)

    def is_list_valid(self) -> bool:
        """Return whether requests may be sent by the current endpoint list.

        Endpoints from a file never expire.  The expiry of the list is logged once.
        """
        valid = self.registry.merges_file or time.monotonic() < self.pool.list_valid_until
        if not valid and not self.list_expired and self.watch:
            self.list_expired = True
            record(EventKind.LIST_EXPIRED, list_age_s=round(self.watch.list_age_s(), 3))
        return valid

    def reload(self, config: Config) -> None:
        """Apply the settings, limits and discovery address of a changed configuration file.

        Requests in progress are not affected.  The file's copy of the endpoint list is ignored, since the
        watch has a newer one.
        """
        self._take_settings(config.settings)
        self.dispatch(api.NewSettings(config.settings))
        self.pool.reconfigure(config)
        self.memory_limits.process_bytes = config.memory_bytes
        self._update_memory_limit()
        if self.watch and config.discovery:
            pushed = not config.settings.watch_list
            self.watch.reconfigure(config.discovery, pushed, config.drain_grace_ms / 1000.0)
        if config.endpoints_from_file:
            self.registry.update(config.endpoints, api.ListKind.FULL, True)

    def _take_settings(self, settings: api.Settings) -> None:
        self.settings = settings
        self.tenants = {tenant.name for tenant in settings.tenants}
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.max_deadline_ms = max(request_class.deadline_ms for request_class in settings.classes)

    def is_serving(self) -> bool:
        """Return whether any backend may get requests."""
        return self.registry.is_serving() and self.is_list_valid()

    def on_endpoints(self, update: EndpointList | api.WatchFailure) -> None:
        """Handle a received list or a failure of the watch."""
        if isinstance(update, api.WatchFailure):
            self.dispatch(api.BackendList(api.ListKind.FAILED, failure=update))
        else:
            self.has_received_list = True
            kind = api.ListKind.FULL if update.is_snapshot else api.ListKind.CHANGES
            self.registry.update(update, kind)
            self._update_memory_limit()

    def measure_base_memory(self) -> None:
        """Take the memory of this process as its base, before it serves anything."""
        peak = read_process_memory().peak
        self.memory_limits.base_bytes = peak or USUAL_BASE_BYTES
        self.base_backends = len(self.backends)
        self._update_memory_limit()

    def set_memory_elsewhere(self, size: int) -> None:
        """Set how many bytes of the limit the proxy's other processes use."""
        self.memory_limits.elsewhere_bytes = size
        self._update_memory_limit()

    def _update_memory_limit(self) -> None:
        self.memory_limits.added_backends = max(0, len(self.backends) - self.base_backends)
        self.memory.limit = self.memory_limits.held_bytes()

    def begin_shutdown(self, send_until: float, answer_by: float) -> None:
        """Limit all requests to the remaining time of a process that is shutting down.

        No attempt is sent from `send_until` on, and no deadline is later than `answer_by`; both are on the
        monotonic clock, in seconds.  Requests in progress keep an earlier deadline.
        """
        self.answer_by = answer_by
        self.pool.send_until = send_until
        for request in self.requests.values():
            request.deadline = min(request.deadline, answer_by)

    # Events and actions.

    def dispatch(self, event: api.Event) -> None:
        """Pass events to the balancer in the order in which they happened, and carry out its actions.

        An event caused by an action is queued until all actions of the current event are carried out.
        """
        self.events.append(event)
        if self.dispatching:
            return
        self.dispatching = True
        try:
            while self.events:
                event = self.events.popleft()
                try:
                    self.decided_at = time.monotonic()
                    actions = self.balancer.handle((self.epoch + self.decided_at) * 1000.0, event)
                except Exception as error:
                    # No event may end the process.  A request whose event failed ends at its deadline.
                    log.error("balancer failed: %s: %s on event %.200r", type(error).__name__, error, event)
                    if isinstance(event, api.TimerFired):
                        # Repeat it, since the balancer sets periodic timers again only when they fire.
                        self.loop.call_later(TIMER_RETRY_S, self.dispatch, event)
                    continue
                for action in actions:
                    self._carry_out(action)
                if isinstance(event, api.AttemptEnded | api.RequestClosed):
                    self._remove_if_done(event.request)
        finally:
            self.dispatching = False

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.StartAttempt():
                self._start_attempt(action)
            case api.Reject(number, retry_after_ms):
                self._finish(number, 503, retry_after_ms)
            case api.Fail(number):
                self._finish(number, 502, 0.0)
            case api.SetTimer(token, delay_ms):
                delay_s = delay_ms / 1000.0 + TIMER_MARGIN_S
                self.loop.call_later(delay_s, self.dispatch, api.TimerFired(token))
            case api.CancelAttempt(number, attempt_number):
                request = self.requests.get(number)
                if request:
                    self.pool.abandon_attempt(request.attempts[attempt_number], api.Outcome.CANCELLED)
            case _:
                self._carry_out_general(action)

    def _carry_out_general(self, action: api.Action) -> None:
        """Carry out an action that does not concern a single request."""
        match action:
            case api.WatchList():
                if self.watch:
                    self.watch.watch()
            case api.FetchList():
                if self.watch:
                    self.watch.fetch()
            case api.CloseIdleConnections(number):
                if number in self.backends:
                    self.pool.close_idle(self.backends[number])
            case api.Probe(number):
                # The dispatcher performs no health checks itself.
                self.dispatch(api.ProbeEnded(number, api.Outcome.NOT_SENT))

    # Requests.

    def submit(
        self,
        client: ResponseWriter,
        head: RequestHead,
        body: bytes | bytearray,
        upload: RequestBodyStream | None = None,
        reserved_bytes: int = 0,
    ) -> Request:
        """Accept a request, which gets exactly one final response.

        The request is complete, or has an `upload` whose body is still being received.  When the request is
        finished, `reserved_bytes` of memory are released.
        """
        now = time.monotonic()
        timeout_ms = head.timeout_ms
        if timeout_ms is None:
            request_class = head.policy.request_class if head.policy else self.classes.get(head.class_name)
            timeout_ms = request_class.deadline_ms if request_class else self.max_deadline_ms
        if upload:
            # The timeout starts with the last byte of the body.  The client connection checks how fast the
            # body arrives.
            upload.timeout_ms, timeout_ms = timeout_ms, timeout_ms + MAX_UPLOAD_S * 1000.0
        elif head.read_at is not None:
            # A pipelined request may have waited for its turn since it was read.
            timeout_ms = max(0.0, timeout_ms - (now - head.read_at) * 1000.0)
        timeout_ms = min(timeout_ms, max(0.0, self.answer_by - now) * 1000.0)
        self.last_number += 1
        deadline = now + timeout_ms / 1000.0
        request = Request(
            self.last_number,
            client,
            head.encoded_head,
            body,
            deadline,
            request_id=head.request_id,
            upload=upload,
            reserved_bytes=reserved_bytes,
            is_idempotent=self._is_idempotent(head),
        )
        self.requests[request.number] = request
        if request.request_id:
            self.request_ids.add(request.request_id)
        request.timer = self.loop.call_later(timeout_ms / 1000.0, self._on_deadline, request)
        if not self.is_list_valid():
            # Refuse the request rather than send it by an outdated list: it is certain that it did not run.
            self._finish(request.number, 503, 0.0)
            return request
        self.dispatch(
            api.Arrival(
                request.number,
                head.class_name,
                timeout_ms,
                # Unknown tenants are not passed on, which limits the balancer's state by tenant.
                head.tenant if head.tenant in self.tenants else "",
                stable_number(head.key) if head.key else None,
                head.cost_hint_ms,
                head.is_retry,
                head.is_write,
                head.policy,
                stable_number(head.idempotency_key) if head.idempotency_key else None,
            )
        )
        return request

    def is_duplicate(self, head: RequestHead) -> bool:
        """Return whether a request has the id of one in flight, or of one whose effect it would repeat."""
        if not head.request_id:
            return False
        if head.request_id in self.request_ids:
            return True
        return not self._is_idempotent(head) and head.request_id in self.recent_ids

    def _is_idempotent(self, head: RequestHead) -> bool:
        request_class = head.policy.request_class if head.policy else self.classes.get(head.class_name)
        return request_class is not None and request_class.effect is api.Effect.IDEMPOTENT

    def upload_arrived(self, request: Request, arrived_at: float) -> None:
        """Start the timeout of a request whose upload has arrived whole, though not all of it was read."""
        if request.finished or request.streaming or not request.upload or request.upload_has_arrived:
            return
        request.upload_has_arrived = True
        now, timeout_s = time.monotonic(), request.upload.timeout_ms / 1000.0
        request.deadline = min(arrived_at + timeout_s, self.answer_by)
        if request.timer:
            request.timer.cancel()
        request.timer = self.loop.call_later(max(0.0, request.deadline - now), self._on_deadline, request)

    def upload_may_have_arrived(self, request: Request, written_at: float) -> None:
        """End a request whose client may have written all of its upload so long ago that its time is over.

        Until then nothing is decided: more input may show that the client still writes.
        """
        if request.finished or request.streaming or not request.upload or request.upload_has_arrived:
            return
        if time.monotonic() >= min(written_at + request.upload.timeout_ms / 1000.0, self.answer_by):
            self.time_out(request)

    def upload_finished(self, request: Request, arrived_at: float) -> None:
        """Start the timeouts of the attempts when the last byte of a request's upload was read.

        The timeout of the request counts from `arrived_at`, when that byte had arrived.
        """
        if request.finished or not request.upload:
            return
        self.upload_arrived(request, arrived_at)
        now = time.monotonic()
        for attempt in request.attempts:
            attempt.started_at, attempt.ends_at = now, min(attempt.ends_at, request.deadline)

    def client_disconnected(self, request: Request) -> None:
        """Handle the disconnection of a client that waits for a response.

        Attempts in flight continue until their deadline: aborting them would not stop the backend's work, and
        their connections can be reused.  An attempt that was not written completely has not started at its
        backend; it is cancelled, so that it never starts.
        """
        if request.finished:
            return
        streaming, upload = request.streaming, request.upload
        self._mark_finished(request)
        if streaming:
            self.pool.abandon_attempt(streaming, api.Outcome.CANCELLED)
            return
        self.dispatch(api.RequestClosed(request.number))
        for attempt in [attempt for attempt in request.attempts if not attempt.ended]:
            undelivered = attempt.connection and attempt.connection.has_undelivered_bytes()
            if (upload and not upload.complete) or undelivered:
                self.pool.abandon_attempt(attempt, api.Outcome.CANCELLED)

    def _on_deadline(self, request: Request) -> None:
        remaining_s = request.deadline - time.monotonic()
        # The event loop updates its clock only once per iteration, so a timer may fire early.
        if remaining_s > DEADLINE_TOLERANCE_S:
            request.timer = self.loop.call_later(remaining_s, self._on_deadline, request)
            return
        self.time_out(request)

    def time_out(self, request: Request) -> None:
        """End a request at its deadline or at the end of the process.

        No further attempt is sent, even if the balancer would start one.
        """
        request.deadline = min(request.deadline, time.monotonic())
        for attempt in request.attempts:
            self.pool.abandon_attempt(attempt, api.Outcome.TIMEOUT)
        if not request.finished:  # The balancer still queues the request, or failed on one of its events.
            self._finish(request.number, 504, 0.0)
            self.dispatch(api.RequestClosed(request.number))

    def _finish(self, number: int, status: int, retry_after_ms: float) -> None:
        request = self.requests.get(number)
        if request is None or request.finished:
            return
        if status == 502 and request.last_outcome is api.Outcome.TIMEOUT:
            status = 504
        client = request.client
        self._record_generated_response(request, status)
        self._mark_finished(request)
        if client:
            retry_after = b"retry-after: %.3f\r\n" % (retry_after_ms / 1000.0) if retry_after_ms else b""
            client.respond(status, retry_after + DATE_LINE.now())
        self._remove_if_done(number)

    def _record_generated_response(self, request: Request, status: int) -> None:
        """Log a response that the proxy generates itself."""
        kind, reason = EventKind.REQUEST_REFUSED, RefusalReason.REJECTED_BY_BALANCER
        if status == 503 and not request.attempts and self.list_expired:
            reason = RefusalReason.LIST_EXPIRED
        if status != 503:
            kind, reason = EventKind.REQUEST_FAILED, RefusalReason.NO_ATTEMPT_SERVED
            now = time.monotonic()
            if now >= self.answer_by:
                reason = RefusalReason.DRAIN_ENDED
            elif now >= request.deadline - DEADLINE_TOLERANCE_S:
                reason = RefusalReason.DEADLINE_EXCEEDED
        record(
            kind,
            request.request_id,
            status=status,
            reason=reason,
            attempts=len(request.attempts),
            last_outcome=request.last_outcome,
        )

    def _mark_finished(self, request: Request) -> None:
        """Mark a request as finished and release the data that a retry would need."""
        request.finished, request.client = True, None
        self.memory.release(MemoryUse.REQUESTS, request.reserved_bytes)
        request.reserved_bytes = 0
        request.head = request.body = b""
        if request.upload:
            request.upload.drop_buffer()
        if not request.in_flight and request.timer:
            request.timer.cancel()

    def _remove_if_done(self, number: int) -> None:
        request = self.requests.get(number)
        if request and request.finished and not request.in_flight:
            del self.requests[number]
            self.request_ids.discard(request.request_id)
            if request.request_id and not request.may_have_run:
                self.recent_ids.discard(request.request_id)
            request.attempts.clear()

    # Attempts.

    def _start_attempt(self, action: api.StartAttempt) -> None:
        number, timeout_ms = action.request, action.timeout_ms
        request, now = self.requests[number], time.monotonic()
        attempt_number, backend = len(request.attempts), self.backends.get(action.backend)
        ends_at = min(request.deadline, now + timeout_ms / 1000.0) if timeout_ms else request.deadline
        # The time is counted from the decision, since the process may have been stalled between the two.
        send_by = self.decided_at + action.within_ms / 1000.0 if action.within_ms else math.inf
        target = backend or Backend(action.backend, "", ("", 0), 0.0)
        attempt = Attempt(request, attempt_number, target, now, ends_at, send_by)
        request.attempts.append(attempt)
        must_not_start = request.finished or attempt_number >= self.settings.max_attempts
        must_not_start = must_not_start or (request.upload is not None and not request.upload.can_restart())
        if must_not_start or backend is None or now >= ends_at:
            attempt.ended = True
            outcome = api.Outcome.NOT_SENT
            self.dispatch(
                api.AttemptEnded(number, attempt_number, action.backend, outcome, 0.0, request.finished)
            )
            return
        if attempt_number:
            record(
                EventKind.ATTEMPT_REPEATED,
                request.request_id,
                attempt=attempt_number,
                backend=target.name,
                after=request.last_outcome,
                hedged=request.in_flight > 0,
            )
        elif request.request_id and not request.is_idempotent:
            self.recent_ids.add(request.request_id)
        if ends_at < request.deadline:
            delay_s = ends_at - now
            attempt.timer = self.loop.call_later(
                delay_s, self.pool.abandon_attempt, attempt, api.Outcome.TIMEOUT
            )
        self.pool.start_attempt(attempt)

    def attempt_ended(self, attempt: Attempt, outcome: api.Outcome, response: Response | None) -> None:
        """Handle the end of an attempt; `response`, if any, is sent to the client."""
        request, backend = cast(Request, attempt.request), attempt.backend
        request.last_outcome = outcome
        request.may_have_run = request.may_have_run or outcome not in api.NEVER_RAN
        if outcome is not api.Outcome.SERVED:
            self._record_failed_attempt(request, attempt, outcome)
        if attempt is request.streaming:
            self._finish_stream(request, outcome)
            self.registry.remove_if_unused(backend)
            return
        if response and request.client:
            client = request.client
            self._mark_finished(request)
            client.respond(response.status, response.header_lines, response.body)
        if request.finished and not request.in_flight and request.timer:
            request.timer.cancel()
        self.dispatch(self._ended_event(request, attempt, outcome, request.finished))
        self.registry.remove_if_unused(backend)

    def attempt_stalled(self, attempt: Attempt) -> None:
        """Let the balancer start another attempt beside one whose response brings no more bytes."""
        request = cast(Request, attempt.request)
        if request.finished:
            return
        record(
            EventKind.ATTEMPT_STALLED,
            request.request_id,
            attempt=attempt.number,
            backend=attempt.backend.name,
            after_ms=round((time.monotonic() - attempt.started_at) * 1000.0, 1),
        )
        self.dispatch(api.AttemptStalled(request.number, attempt.number))

    def _record_failed_attempt(self, request: Request, attempt: Attempt, outcome: api.Outcome) -> None:
        reason = {"reason": attempt.failure} if attempt.failure else {}
        record(
            EventKind.ATTEMPT_ENDED,
            request.request_id,
            attempt=attempt.number,
            backend=attempt.backend.name,
            outcome=outcome,
            sent=attempt.connection is not None,
            after_ms=round((time.monotonic() - attempt.started_at) * 1000.0, 1),
            **reason,
        )

    def response_streaming(
        self, attempt: Attempt, connection: BackendConnection, start: Response, length: int | None
    ) -> ResponseBodySink | None:
        """Start forwarding a long response to the client while it is being received.

        Returns None if no client is waiting for it.  The balancer is informed here that the attempt has
        ended: the backend has done its work and no decision is left, and the rest takes as long as the client
        needs to receive the response.
        """
        request = cast(Request, attempt.request)
        sink = None
        if request.client and not request.streaming:
            sink = request.client.begin_stream(connection, start, length)
        if sink is None:
            return None
        request.streaming = attempt
        for timer in (request.timer, attempt.timer):
            if timer:
                timer.cancel()
        self.dispatch(self._ended_event(request, attempt, api.Outcome.SERVED, True))
        for other in request.attempts:
            if other is not attempt and not other.ended:
                self.pool.abandon_attempt(other, api.Outcome.CANCELLED)
        return sink

    def _finish_stream(self, request: Request, outcome: api.Outcome) -> None:
        client = request.client
        self._mark_finished(request)
        if client and outcome is api.Outcome.SERVED:
            client.finish_stream()
        elif client:
            client.abort_stream()  # The client sees that the response is incomplete.
        self._remove_if_done(request.number)

    def _ended_event(
        self, request: Request, attempt: Attempt, outcome: api.Outcome, is_last: bool
    ) -> api.AttemptEnded:
        duration_ms = (time.monotonic() - attempt.started_at) * 1000.0
        return api.AttemptEnded(
            request.number, attempt.number, attempt.backend.number, outcome, duration_ms, is_last
        )

    def is_abandoned(self, attempt: Attempt) -> bool:
        """Return whether the client of an attempt that is about to be sent has disconnected."""
        request = cast(Request, attempt.request)
        client = request.client
        if client is None or not client.has_disconnected():
            return False
        self.client_disconnected(request)
        return True
