"""Between the sockets and the balancer: ids, clock and timers, and the lives of requests and attempts.

Events wait in a queue, so that what an action causes never re-enters the balancer.  Every request gets one
final response: what a backend served, the balancer's Refuse or Fail, or, if there is none, a 504 at the
deadline.
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
    Response,
    ResponseBodySink,
)
from heronreel.proxy.backend_registry import BackendRegistry, stable_number
from heronreel.proxy.budget import ByteBudget
from heronreel.proxy.config import Config
from heronreel.proxy.connection_pool import ConnectionPool
from heronreel.proxy.endpoint_watch import EndpointWatch
from heronreel.proxy.endpoints import EndpointList
from heronreel.proxy.event_log import EventKind, RefusalReason, record
from heronreel.proxy.http1 import DATE_LINE
from heronreel.proxy.request import Request, RequestHead, ResponseWriter, Router
from heronreel.proxy.streams import RequestBodyStream

MAX_UPLOAD_S = 600.0  # that a body may take to come: 32 MB at 64 kB a second, and some to spare
TIMER_RETRY_S = 0.2  # a timer that the balancer failed on comes again
TIMER_MARGIN_S = 0.001  # the loop's clock may stand behind, and a timer must not come early
DEADLINE_TOLERANCE_S = 0.0005

log = logging.getLogger(__name__)


class Decisions(Protocol):
    """What decides: a Balancer, or what speaks as one."""

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """What to do after an event."""


class Dispatcher:
    """The one caller of `Decisions.handle`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        decisions: Decisions | None = None,
        router: Router | None = None,
    ) -> None:
        self.loop = loop
        self.router = router
        self.accepts_any_client = (
            config.any_status
        )  # not the platform's clients: they send none of its headers
        self._take_settings(config.settings)
        self.balancer: Decisions = decisions or Balancer(config.settings, config.seed)
        self.epoch = time.time() - time.monotonic()  # wall clock at start; it never steps after
        self.pool = ConnectionPool(loop, config, self)
        self.registry = BackendRegistry(self.pool, self.dispatch, config.endpoints_from_file)
        self.backends = self.registry.backends
        self.list_expired = False  # and the log has it
        self.watch = self._make_watch(config)
        self.requests: dict[int, Request] = {}  # those not finished, or with attempts in flight
        self.request_ids: set[bytes] = set()  # of the same requests
        self.budget = ByteBudget(config.body_bytes)
        self.last_number = 0  # of a request
        self.has_received_list = not config.discovery  # a list was received, so we know more than the file
        self.events: deque[api.Event] = deque()
        self.dispatching = False
        self.decided_at = 0.0  # when the balancer was last called
        self.answer_by = math.inf  # on the monotonic clock: no deadline is later
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
        """The endpoint list may be used until then, on the monotonic clock in seconds."""
        self.pool.list_valid_until = valid_until
        if self.list_expired and time.monotonic() < valid_until:
            self.list_expired = False
            record(EventKind.LIST_VALID)

    def is_list_valid(self) -> bool:
        """Whether requests may be sent by the endpoint list that we hold; the file's endpoints always may."""
        valid = self.registry.merges_file or time.monotonic() < self.pool.list_valid_until
        if not valid and not self.list_expired and self.watch:
            self.list_expired = True
            record(EventKind.LIST_EXPIRED, list_age_s=round(self.watch.list_age_s(), 3))
        return valid

    def reload(self, config: Config) -> None:
        """Take settings, limits and discovery of a new file, under load.

        What is under way goes on as it began; the file's list is passed over, since the watch has a newer
        one.
        """
        self._take_settings(config.settings)
        self.dispatch(api.NewSettings(config.settings))
        self.pool.reconfigure(config)
        self.budget.limit = config.body_bytes
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
        """Whether any backend may get requests."""
        return self.registry.is_serving() and self.is_list_valid()

    def on_endpoints(self, update: EndpointList | api.WatchFailure) -> None:
        """The watch received a list, or failed."""
        if isinstance(update, api.WatchFailure):
            self.dispatch(api.BackendList(api.ListKind.FAILED, failure=update))
        else:
            self.has_received_list = True
            kind = api.ListKind.FULL if update.is_snapshot else api.ListKind.CHANGES
            self.registry.update(update, kind)

    def begin_shutdown(self, send_until: float, answer_by: float) -> None:
        """The process ends: nothing is sent from `send_until` on, and no deadline is after `answer_by`.

        Both are on the monotonic clock, in seconds.  What is under way keeps a deadline that is earlier.
        """
        self.answer_by = answer_by
        self.pool.send_until = send_until
        for request in self.requests.values():
            request.deadline = min(request.deadline, answer_by)

    # Events and actions.

    def dispatch(self, event: api.Event) -> None:
        """Give events to the balancer in the order they happened, and carry out what it decides.

        One that an action causes waits until its round is over.
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
                except Exception as error:  # no event may end the process; the deadline ends its request
                    log.error("balancer: %s: %s on %.200r", type(error).__name__, error, event)
                    if isinstance(event, api.TimerFired):  # or what the timer keeps going would stop for good
                        self.loop.call_later(TIMER_RETRY_S, self.dispatch, event)
                    continue
                for action in actions:
                    self._carry_out(action)
                if isinstance(event, api.AttemptEnded | api.RequestClosed):
                    self._forget_if_done(event.request)
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
                self._carry_out_rare(action)

    def _carry_out_rare(self, action: api.Action) -> None:
        """What concerns no single request."""
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
                # no health checks from here
                self.dispatch(api.ProbeEnded(number, api.Outcome.NOT_SENT))

    # The life of a request.

    def submit(
        self,
        client: ResponseWriter,
        head: RequestHead,
        body: bytes | bytearray,
        upload: RequestBodyStream | None = None,
    ) -> Request:
        """Take a request whose last byte was read, or a long one under way; it is owed one final response."""
        now = time.monotonic()
        timeout_ms = head.timeout_ms
        if timeout_ms is None:
            request_class = head.policy.request_class if head.policy else self.classes.get(head.class_name)
            timeout_ms = request_class.deadline_ms if request_class else self.max_deadline_ms
        if upload:  # its time begins with its last byte; how fast it comes is its connection's to judge
            upload.timeout_ms, timeout_ms = timeout_ms, timeout_ms + MAX_UPLOAD_S * 1000.0
        elif head.read_at is not None:  # it may have waited its turn since
            timeout_ms = max(0.0, timeout_ms - (now - head.read_at) * 1000.0)
        timeout_ms = min(timeout_ms, max(0.0, self.answer_by - now) * 1000.0)
        self.last_number += 1
        deadline = now + timeout_ms / 1000.0
        request = Request(
            self.last_number, client, head.data, body, deadline, request_id=head.request_id, upload=upload
        )
        self.requests[request.number] = request
        if request.request_id:
            self.request_ids.add(request.request_id)
        request.timer = self.loop.call_later(timeout_ms / 1000.0, self._on_deadline, request)
        if not self.is_list_valid():  # rather than send by a guess: a refusal promises that nothing was done
            self._finish(request.number, 503, 0.0)
            return request
        self.dispatch(
            api.Arrival(
                request.number,
                head.class_name,
                timeout_ms,
                head.tenant if head.tenant in self.tenants else "",  # bounds the balancer's state by tenant
                stable_number(head.key) if head.key else None,
                head.cost_hint_ms,
                head.is_retry,
                head.is_write,
                head.policy,
                stable_number(head.idempotency_key) if head.idempotency_key else None,
            )
        )
        return request

    def upload_finished(self, request: Request) -> None:
        """The last byte was read: from here on its time runs, and that of the backend that has it."""
        if request.finished or not request.upload:
            return
        now, timeout_s = time.monotonic(), request.upload.timeout_ms / 1000.0
        request.deadline = min(now + timeout_s, self.answer_by)
        if request.timer:
            request.timer.cancel()
        request.timer = self.loop.call_later(request.deadline - now, self._on_deadline, request)
        for attempt in request.attempts:
            attempt.started_at, attempt.ends_at = now, min(attempt.ends_at, request.deadline)

    def client_disconnected(self, request: Request) -> None:
        """Nobody waits any more.

        What is in flight goes on to its deadline: giving up stops no backend's work, and the connection is
        worth keeping.  What was not completely written has not begun, and never does.
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
            unsent = attempt.connection and attempt.connection.has_unsent_bytes
            if (upload and not upload.complete) or unsent:
                self.pool.abandon_attempt(attempt, api.Outcome.CANCELLED)

    def _on_deadline(self, request: Request) -> None:
        left = request.deadline - time.monotonic()
        # the loop's clock stands still while it works, so a timer may come early
        if left > DEADLINE_TOLERANCE_S:
            request.timer = self.loop.call_later(left, self._on_deadline, request)
            return
        self.time_out(request)

    def time_out(self, request: Request) -> None:
        """Its time is over, or ours is: no further attempt is sent, whatever the balancer has time for."""
        request.deadline = min(request.deadline, time.monotonic())
        for attempt in request.attempts:
            self.pool.abandon_attempt(attempt, api.Outcome.TIMEOUT)
        if not request.finished:  # the balancer queues it, or failed on it
            self._finish(request.number, 504, 0.0)
            self.dispatch(api.RequestClosed(request.number))

    def _finish(self, number: int, status: int, retry_after_ms: float) -> None:
        request = self.requests.get(number)
        if request is None or request.finished:
            return
        if status == 502 and request.last_outcome is api.Outcome.TIMEOUT:
            status = 504
        client = request.client
        self._record_own_response(request, status)
        self._mark_finished(request)
        if client:
            retry_after = b"retry-after: %.3f\r\n" % (retry_after_ms / 1000.0) if retry_after_ms else b""
            client.respond(status, retry_after + DATE_LINE.now())
        self._forget_if_done(number)

    def _record_own_response(self, request: Request, status: int) -> None:
        """Log a response that no backend made."""
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
        """Nothing more is sent for it, so what a retry would need is released."""
        request.finished, request.client = True, None
        self.budget.release(len(request.body))
        request.head = request.body = b""
        if request.upload:
            request.upload.drop_buffer()
        if not request.in_flight and request.timer:
            request.timer.cancel()

    def _forget_if_done(self, number: int) -> None:
        request = self.requests.get(number)
        if request and request.finished and not request.in_flight:
            del self.requests[number]
            self.request_ids.discard(request.request_id)
            request.attempts.clear()

    # The life of an attempt.

    def _start_attempt(self, action: api.StartAttempt) -> None:
        number, timeout_ms = action.request, action.timeout_ms
        request, now = self.requests[number], time.monotonic()
        attempt_number, backend = len(request.attempts), self.backends.get(action.backend)
        ends_at = min(request.deadline, now + timeout_ms / 1000.0) if timeout_ms else request.deadline
        # counted from the decision, not from here: between the two the process may have stood still
        send_by = self.decided_at + action.within_ms / 1000.0 if action.within_ms else math.inf
        target = backend or Backend(action.backend, "", ("", 0), 0.0)
        attempt = Attempt(request, attempt_number, target, now, ends_at, send_by)
        request.attempts.append(attempt)
        barred = request.finished or attempt_number >= self.settings.max_attempts
        barred = barred or (request.upload is not None and not request.upload.can_restart())
        if barred or backend is None or now >= ends_at:
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
        if ends_at < request.deadline:
            delay_s = ends_at - now
            attempt.timer = self.loop.call_later(
                delay_s, self.pool.abandon_attempt, attempt, api.Outcome.TIMEOUT
            )
        self.pool.start_attempt(attempt)

    def attempt_ended(self, attempt: Attempt, outcome: api.Outcome, response: Response | None) -> None:
        """An attempt has ended; with the response that the client gets, if there is one."""
        request, backend = cast(Request, attempt.request), attempt.backend
        request.last_outcome = outcome
        if outcome is not api.Outcome.SERVED:
            record(
                EventKind.ATTEMPT_ENDED,
                request.request_id,
                attempt=attempt.number,
                backend=backend.name,
                outcome=outcome,
                sent=attempt.connection is not None,
                after_ms=round((time.monotonic() - attempt.started_at) * 1000.0, 1),
            )
        if attempt is request.streaming:
            self._finish_stream(request, outcome)
            self.registry.forget_if_unused(backend)
            return
        if response and request.client:
            client = request.client
            self._mark_finished(request)
            client.respond(response.status, response.header_lines, response.body)
        if request.finished and not request.in_flight and request.timer:
            request.timer.cancel()
        self.dispatch(self._ended_event(request, attempt, outcome, request.finished))
        self.registry.forget_if_unused(backend)

    def response_streaming(
        self, attempt: Attempt, connection: BackendConnection, start: Response, length: int | None
    ) -> ResponseBodySink | None:
        """A long response goes to the client as it comes; None: nobody takes it.

        The work is done and the decisions are over, so the balancer hears of its end here: what follows takes
        as long as the client does.
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
            client.abort_stream()  # the rest can't come; the client sees that it is incomplete
        self._forget_if_done(request.number)

    def _ended_event(
        self, request: Request, attempt: Attempt, outcome: api.Outcome, is_last: bool
    ) -> api.AttemptEnded:
        took_ms = (time.monotonic() - attempt.started_at) * 1000.0
        return api.AttemptEnded(
            request.number, attempt.number, attempt.backend.number, outcome, took_ms, is_last
        )

    def is_abandoned(self, attempt: Attempt) -> bool:
        """Whether nobody waits for an attempt that is about to be sent."""
        request = cast(Request, attempt.request)
        client = request.client
        if client is None or not client.has_disconnected():
            return False
        self.client_disconnected(request)
        return True
