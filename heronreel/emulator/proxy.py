"""An emulated proxy that carries out the actions of its decider in virtual time, like the network code.

Connections are reused and closed when idle, and a new connection costs round trips and work at the node.
Responses may arrive late, out of order or never, and a process can be drained, killed and restarted.  The
proxy reports what it sends and receives to the invariant checker, and sends its responses to the clients.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from heronreel.balancer import interface as api
from heronreel.emulator.client_request import ClientRequest, RequestResult
from heronreel.emulator.cluster import Cluster
from heronreel.emulator.connections import ConnectionPool
from heronreel.emulator.context import SimulationContext
from heronreel.emulator.deciders import DeciderFactory, proxy_settings
from heronreel.emulator.endpoint_list import CallEnd, Endpoint, EndpointState
from heronreel.emulator.node import NEVER, Node
from heronreel.emulator.policies import Decider
from heronreel.emulator.requests import Attempt, Connection, InboundRequest, NodeAttempt

BACKEND_STATES = {
    EndpointState.UP: api.BackendState.UP,
    EndpointState.LEAVING: api.BackendState.DRAINING,
    EndpointState.LEFT: api.BackendState.REMOVED,
}
SWEEP_INTERVAL_MS = 500.0  # interval of closing idle connections when no request triggers it
AFTER_GRACE_MS = 1e-3  # the check for an overdue response runs this long after the grace period
REUSABLE_OUTCOMES = (api.Outcome.SERVED, api.Outcome.ERROR, api.Outcome.REJECTED)
# Share of the requests with a reset connection that the node never executes; it executes the others.
RESET_UNTAKEN_SHARE = 0.5


class ClientSide(Protocol):
    """The interface of the clients to a proxy."""

    def response_sent(self, request: InboundRequest, result: RequestResult, retry_after_ms: float) -> None:
        """Handle a proxy's response: served, refused, failed or lost."""

    def connection_lost(self, request: InboundRequest) -> None:
        """Handle the end of the proxy's process while the request is in flight."""

    def connect_failed(self, client_request: ClientRequest) -> None:
        """Handle a failed attempt to connect to a proxy."""


class Supervisor(Protocol):
    """The platform component that is notified of the proxies' processes."""

    def process_started(self, proxy: Proxy) -> None:
        """Handle a process that is ready for requests."""

    def process_ended(self, proxy: Proxy) -> None:
        """Handle the end of a process, whether it exited or was killed."""


class Proxy:
    """One proxy, across restarts of its process.  Times are ms."""

    clients: ClientSide
    supervisor: Supervisor

    def __init__(
        self,
        context: SimulationContext,
        cluster: Cluster,
        deciders: DeciderFactory,
        name: str,
        zone: str,
        slot: int,
    ) -> None:
        """Create a proxy without a process.  Call `connect` before the first `start`."""
        self.context, self.cluster, self.deciders = context, cluster, deciders
        self.events = context.events
        self.name, self.zone, self.slot = name, zone, slot
        self.seed_stream = context.streams.stream(f"proxy {slot}")
        self.settings = proxy_settings(context.rehearsal, zone, slot)
        self.incarnation = 0  # number of processes started so far
        self.alive = self.draining = False
        self.decider: Decider | None = None
        self.requests: dict[int, InboundRequest] = {}  # in flight
        self.attempts: dict[Attempt, None] = {}  # in flight
        self.connections = ConnectionPool(context.rehearsal.proxies.idle_ms)
        self.known_endpoints: dict[int, Endpoint] = {}  # the list as last received
        # Called when a response arrives.  With real sockets, attempts have another type.
        self.on_response: Callable[[Any, api.Outcome], None] = self._attempt_ended

    def connect(self, clients: ClientSide, supervisor: Supervisor) -> None:
        """Set the receiver of its responses and the supervisor of its processes."""
        self.clients, self.supervisor = clients, supervisor

    # The process of the proxy.

    def start(self) -> None:
        """Start a process with the endpoint list that the previous process had."""
        self.incarnation += 1
        self.alive, self.draining = True, False
        self.decider = self.deciders.make(self.settings, self.seed_stream.seed())
        self._record_start()
        self.supervisor.process_started(self)
        cached = [self._backend_info(endpoint) for endpoint in self.known_endpoints.values()]
        self.handle(api.BackendList(api.ListKind.CACHED, cached))
        self._schedule_sweep()

    def _record_start(self) -> None:
        """Report the new process and its initial list to the checker."""
        now, invariants = self.events.now, self.context.invariants
        invariants.proxy_started(self.name, now)
        starts = {endpoint.name: endpoint.started_at for endpoint in self.known_endpoints.values()}
        invariants.snapshot_received(self.name, starts, now)

    def terminate(self, limit_ms: float) -> None:
        """Handle SIGTERM: finish the requests, still accept new ones, and end within `limit_ms`."""
        self.draining = True
        self.events.schedule(self.events.now + limit_ms, self._end, self.incarnation, False)

    def _end_if_idle(self) -> None:
        if self.draining and self.alive and not self.requests:
            self._end(self.incarnation, False)

    def kill(self) -> None:
        """Kill its process."""
        self._end(self.incarnation, True)

    def _end(self, incarnation: int, killed: bool) -> None:
        if incarnation != self.incarnation or not self.alive:
            return
        self.alive = self.draining = False
        self.decider = None
        context, now = self.context, self.events.now
        context.endpoint_list.end_watch(self)
        context.invariants.list_polled(self.name, now, False)
        in_flight = list(self.requests.values())
        idents = [request.ident for request in in_flight]
        context.invariants.proxy_stopped(self.name, idents, now, killed)
        self._close_all_connections()
        self.requests.clear()
        for request in in_flight:
            request.finished = True
            self.clients.connection_lost(request)
        self.supervisor.process_ended(self)

    def _close_all_connections(self) -> None:
        for attempt in self.attempts:
            attempt.ended = True
            self._close_connection(attempt)
        self.attempts.clear()
        self.connections.close_all()

    def reload(self) -> None:
        """Make the decider read its settings again."""
        self.handle(api.NewSettings(self.settings))

    # The endpoint list.

    def _backend_info(self, endpoint: Endpoint) -> api.BackendInfo:
        return api.BackendInfo(
            endpoint.ident,
            BACKEND_STATES[endpoint.state],
            endpoint.zone,
            endpoint.kind,
            endpoint.rack,
            started_ms=endpoint.started_at,
        )

    def receive_snapshot(self, endpoints: list[Endpoint]) -> None:
        """Handle a snapshot of the whole list."""
        now, context = self.events.now, self.context
        if not self._watches_list():
            context.endpoint_list.end_watch(self)
            return
        self.known_endpoints = {endpoint.ident: endpoint for endpoint in endpoints}
        starts = {
            endpoint.name: endpoint.started_at for endpoint in endpoints if endpoint.state is EndpointState.UP
        }
        context.invariants.snapshot_received(self.name, starts, now)
        context.invariants.list_call_answered(self.name, now)
        self._forward_list(True, endpoints)

    def receive_missed_changes(self, endpoints: list[Endpoint]) -> None:
        """Handle the response to its call that holds the changes since the list that it has."""
        if not self._watches_list():
            self.context.endpoint_list.end_watch(self)
            return
        self.context.invariants.list_call_answered(self.name, self.events.now)
        self.receive_changes(endpoints)

    def receive_changes(self, endpoints: list[Endpoint]) -> None:
        """Handle changes of the list."""
        if not self._watches_list():
            return
        now, invariants = self.events.now, self.context.invariants
        for endpoint in endpoints:
            if endpoint.state is EndpointState.LEFT:
                self.known_endpoints.pop(endpoint.ident, None)
            else:
                self.known_endpoints[endpoint.ident] = endpoint
            usable = endpoint.state is EndpointState.UP
            invariants.change_received(self.name, endpoint.name, usable, endpoint.started_at, now)
        self._forward_list(False, endpoints)

    def _watches_list(self) -> bool:
        return self.alive

    def _forward_list(self, is_snapshot: bool, endpoints: list[Endpoint]) -> None:
        """Pass a snapshot or changes of the list to the decider."""
        kind = api.ListKind.FULL if is_snapshot else api.ListKind.CHANGES
        self.handle(api.BackendList(kind, [self._backend_info(endpoint) for endpoint in endpoints]))

    def call_failed(self, end: CallEnd) -> None:
        """Handle the failure of a call to the list service, or the end of a watch."""
        if self.alive:
            self._record_call_end(end)
            failure = api.WatchFailure.BUSY if end is CallEnd.REFUSED else api.WatchFailure.ENDED
            self.handle(api.BackendList(api.ListKind.FAILED, failure=failure))

    def watch_closed(self, untold: list[Endpoint]) -> None:
        """Handle a watch that the service closed instead of sending the changes in `untold`."""
        if self.alive:
            names = [endpoint.name for endpoint in untold]
            self.context.invariants.watch_ended_untold(self.name, names, self.events.now)
        self.call_failed(CallEnd.CLOSED)

    def _record_call_end(self, end: CallEnd) -> None:
        """Report the end of a call or a watch to the checker."""
        if end is CallEnd.CLOSED:
            self.context.invariants.list_polled(self.name, self.events.now, False)
        else:
            self.context.invariants.list_call_failed(self.name, self.events.now)

    # Events and actions of the decider.

    def handle(self, event: api.Event) -> None:
        """Pass an event to the decider and carry out its actions."""
        decider = self.decider
        if decider is None:
            return
        now = self.events.now
        for action in decider.handle(now, event):
            if isinstance(action, api.StartAttempt):
                self._start_attempt(now, action)
            elif isinstance(action, api.SetTimer):
                self.events.schedule(now + action.delay_ms, self._timer, self.incarnation, action.token)
            elif isinstance(action, api.Reject):
                self._answer(action.request, RequestResult.REFUSED, action.retry_after_ms)
            elif isinstance(action, api.Fail):
                self._answer(action.request, RequestResult.FAILED, 0.0)
            elif isinstance(action, api.WatchList | api.FetchList):
                self._call_list(now)
            elif isinstance(action, api.CloseIdleConnections):
                self.connections.close_node(action.backend)

    def _call_list(self, now: float) -> None:
        self.context.invariants.list_polled(self.name, now, True)
        self.context.scoring.meter.list_calls += 1
        self.context.endpoint_list.call(self)

    def _timer(self, incarnation: int, token: int) -> None:
        if incarnation == self.incarnation:
            self.handle(api.TimerFired(token))

    def _answer(self, ident: int, result: RequestResult, retry_after_ms: float) -> None:
        request = self.requests.get(ident)
        if request is None:
            self.context.invariants.request_answered(ident, result, self.events.now)
        else:
            self._finish(request, result, retry_after_ms)

    # Requests.

    def receive(self, request: InboundRequest, time_left_ms: float) -> None:
        """Handle a request whose last byte has arrived; the client waits for `time_left_ms`."""
        context, now = self.context, self.events.now
        request_class, client_request = request.request_class, request.client_request
        self._accept(request)
        self.events.schedule(request.deadline, self._deadline_passed, request)
        arrival = api.Arrival(
            request.ident,
            request_class.name,
            time_left_ms,
            client_request.tenant,
            client_request.key,
            context.work.hint(client_request),
            request.is_retry and context.rehearsal.clients.mark_retries,
            request_class.effect != "safe",
        )
        if self.deciders.router is not None:
            arrival.policy = self.deciders.route_policy(request_class)
            arrival.idempotency_key = client_request.ident
        if context.tracer is not None:
            context.tracer.request_received(now, request)
        self.handle(arrival)

    def _accept(self, request: InboundRequest) -> None:
        self.requests[request.ident] = request
        request_class = request.request_class
        self.context.invariants.request_accepted(
            request.ident,
            request.client_request.ident,
            self.name,
            request_class.effect,
            request_class.dedup_scope,
            request_class.dedup_window_ms,
            request.deadline,
        )

    def client_disconnected(self, request: InboundRequest) -> None:
        """Handle the disconnection of the client of a request."""
        if request.finished or request.ident not in self.requests:
            return
        self._close_request(request)
        self.context.invariants.client_left(request.ident)
        self.handle(api.RequestClosed(request.ident))
        self._end_if_idle()

    def _close_request(self, request: InboundRequest) -> None:
        request.finished = True
        del self.requests[request.ident]

    def _finish(self, request: InboundRequest, result: RequestResult, retry_after_ms: float = 0.0) -> None:
        context, now = self.context, self.events.now
        self._close_request(request)
        context.invariants.request_answered(request.ident, result, now)
        if context.tracer is not None:
            context.tracer.request_answered(now, request, result, retry_after_ms)
        self.clients.response_sent(request, result, retry_after_ms)
        if self.draining:
            self.events.schedule(now, self._end_if_idle)

    def _deadline_passed(self, request: InboundRequest) -> None:
        if request.finished and not any(not attempt.ended for attempt in request.attempts):
            return
        for attempt in request.attempts:
            self._attempt_timed_out(attempt)
        if not request.finished:
            grace = self.context.rehearsal.rules.response_grace_ms
            self.events.schedule(request.deadline + grace + AFTER_GRACE_MS, self._overdue, request)

    def _overdue(self, request: InboundRequest) -> None:
        if not request.finished:
            self.context.invariants.request_overdue(request.ident, self.events.now)
            self._close_request(request)
            self.clients.response_sent(request, RequestResult.LOST, 0.0)
            self.handle(api.RequestClosed(request.ident))
            self._end_if_idle()

    # Attempts.

    def _start_attempt(self, now: float, action: api.StartAttempt) -> None:
        context, request = self.context, self.requests.get(action.request)
        node = self.cluster.nodes[action.backend]
        if request is None:
            context.invariants.attempt_sent(action.request, -1, self.name, node.name, "", node.zone, now)
            return
        send_by = now + action.within_ms if action.within_ms else NEVER
        attempt = Attempt(request, len(request.attempts), node, self.incarnation, now, send_by)
        request.attempts.append(attempt)
        self.attempts[attempt] = None
        if context.tracer is not None:
            context.tracer.attempt_decided(now, attempt)
        context.scoring.meter.attempts += 1
        if now >= request.deadline or len(request.attempts) > self.settings.max_attempts:
            self.events.schedule(now, self._attempt_ended, attempt, api.Outcome.NOT_SENT)
            return
        if action.timeout_ms and now + action.timeout_ms < request.deadline:
            self.events.schedule(now + action.timeout_ms, self._attempt_timed_out, attempt)
        attempt.connection = self.connections.take(node, now)
        if attempt.connection is not None:
            self._write(attempt)
        else:
            self._open_connection(now, attempt)

    def _open_connection(self, now: float, attempt: Attempt) -> None:
        context, node, events = self.context, attempt.node, self.events
        timeout = context.rehearsal.proxies.connect_timeout_ms
        latency = context.network.latency(self.zone, node.zone)
        unreachable = node.silent or not context.network.reachable(self.zone, node.zone)
        accepts_late = (
            not node.down and node.paused_until - now > timeout
        )  # a paused node accepts no connections
        if unreachable or accepts_late:
            events.schedule(now + timeout, self._attempt_ended, attempt, api.Outcome.UNREACHABLE)
        elif node.down:
            events.schedule(now + 2.0 * latency, self._attempt_ended, attempt, api.Outcome.UNREACHABLE)
        elif node.kind.connections and node.open_connections >= node.kind.connections:
            events.schedule(now + 2.0 * latency, self._attempt_ended, attempt, api.Outcome.REJECTED)
        else:
            node.open_connections += 1
            attempt.connection = Connection(node)
            attempt.handshake_work = node.kind.handshake_ms
            context.scoring.meter.handshakes += 1
            established = max(now, node.paused_until) + 2.0 * latency * node.kind.handshake_rtts
            events.schedule(established, self._write, attempt)

    def _write(self, attempt: Attempt) -> None:
        """Send the first byte of an attempt, unless it has ended or must not be sent any more."""
        if attempt.ended:
            return
        context, now, request, node = self.context, self.events.now, attempt.request, attempt.node
        if request.finished or now >= attempt.send_by:
            self._attempt_ended(attempt, api.Outcome.NOT_SENT)
            return
        attempt.written = True
        context.invariants.attempt_sent(
            request.ident, attempt.number, self.name, node.name, node.rack.name, node.zone, now
        )
        if node.zone != self.zone:
            context.scoring.meter.crossings += 1
        latency = context.network.latency(self.zone, node.zone)
        self.events.schedule(now + latency, self._reach_node, attempt)

    def _reach_node(self, attempt: Attempt) -> None:
        """Handle the arrival of the last byte of an attempt at its node."""
        context, now, node = self.context, self.events.now, attempt.node
        if node.silent or not context.network.reachable(self.zone, node.zone):
            return  # the proxy gets neither a response nor a reset
        connection = attempt.connection
        if node.down or connection is None or connection.incarnation != node.incarnation:
            if not attempt.ended:
                self.send_response(attempt, api.Outcome.RESET)
            return
        if node.paused_until > now:
            self.events.schedule(node.paused_until, self._reach_node, attempt)
            return
        if node.reset_rate and context.fault_stream.bernoulli(node.reset_rate):
            self.send_response(attempt, api.Outcome.RESET)
            if context.fault_stream.bernoulli(RESET_UNTAKEN_SHARE):
                return
        outcome = self.cluster.admit(node, attempt, attempt.handshake_work)
        if outcome is not None:
            self.send_response(attempt, outcome)

    def node_responded(self, attempt: NodeAttempt, outcome: api.Outcome) -> None:
        """Send the response of a node to this proxy, unless a fault loses it."""
        loss = attempt.node.response_loss
        if loss and self.context.fault_stream.bernoulli(loss):
            return
        self.send_response(attempt, outcome)

    def send_response(self, attempt: NodeAttempt, outcome: api.Outcome) -> None:
        """Schedule the arrival of a response or a reset from the node."""
        network, node = self.context.network, attempt.node
        if network.reachable(self.zone, node.zone) and not node.silent:
            arrives_at = self.events.now + network.latency(self.zone, node.zone)
            self.events.schedule(arrives_at, self.on_response, attempt, outcome)

    def _attempt_timed_out(self, attempt: Attempt) -> None:
        if not attempt.ended:
            self._attempt_ended(attempt, api.Outcome.TIMEOUT if attempt.written else api.Outcome.UNREACHABLE)

    def _attempt_ended(self, attempt: Attempt, outcome: api.Outcome) -> None:
        """Record the end of an attempt and report it to the decider.  Later outcomes are ignored."""
        context, now, request = self.context, self.events.now, attempt.request
        if attempt.ended or attempt.incarnation != self.incarnation:
            return
        attempt.ended = True
        del self.attempts[attempt]
        self._release_connection(attempt, outcome, now)
        if attempt.written:
            context.invariants.attempt_ended(request.ident, attempt.number, outcome in api.NEVER_RAN)
        if context.tracer is not None:
            context.tracer.attempt_ended(now, attempt, outcome)
        if outcome is api.Outcome.SERVED and not request.finished:
            self._finish(request, RequestResult.SERVED)
        self.handle(
            api.AttemptEnded(
                request.ident,
                attempt.number,
                attempt.node.ident,
                outcome,
                now - attempt.decided_at,
                request.finished,
            )
        )

    # Connections.

    def _release_connection(self, attempt: Attempt, outcome: api.Outcome, now: float) -> None:
        connection = attempt.connection
        if connection is None:
            return
        usable = connection.incarnation == connection.node.incarnation
        if usable and (outcome in REUSABLE_OUTCOMES or not attempt.written):
            self.connections.release(connection, now)
        else:
            self._close_connection(attempt)

    def _close_connection(self, attempt: Attempt) -> None:
        if attempt.connection is not None:
            self.connections.close(attempt.connection)
            attempt.connection = None

    def _schedule_sweep(self) -> None:
        self.events.schedule(self.events.now + SWEEP_INTERVAL_MS, self._sweep, self.incarnation)

    def _sweep(self, incarnation: int) -> None:
        if incarnation == self.incarnation and self.alive:
            self.connections.sweep(self.events.now)
            self._schedule_sweep()

    def node_stopped(self, node: Node) -> None:
        """Drop the idle connections to a node whose process has ended."""
        self.connections.forget_node(node.ident)
