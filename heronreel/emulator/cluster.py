"""Connects the nodes to the rest of the system.

It controls the nodes' processes, admits requests to nodes, and gives the oracle policy the real node state.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from heronreel.balancer import interface as api
from heronreel.emulator.context import SimulationContext
from heronreel.emulator.endpoint_list import Endpoint, EndpointState
from heronreel.emulator.fleet import Fleet
from heronreel.emulator.model import NodeKind
from heronreel.emulator.node import NEVER, Admission, Job, Node, Rack
from heronreel.emulator.requests import NodeAttempt, ProxyHandle

MIN_PACE_FACTOR = 0.01  # share of its speed that is assumed for a node that makes no progress
MIN_SUCCESS_RATE = 0.05
OVERLOAD_MARGIN = 2.0  # multiple of the next request's work that a warming node must have room for


class Cluster:
    """The nodes of a rehearsal; reports their changes to the list service, the checker and the proxies."""

    def __init__(self, context: SimulationContext) -> None:
        self.context, self.events = context, context.events
        self.fleet = Fleet(context.rehearsal, context.streams, context.events, self)
        self.proxies: Sequence[ProxyHandle] = ()
        self.on_process_started: Callable[[Node], None] = lambda node: None
        self.rack_numbers = {rack.name: number for number, rack in enumerate(self.fleet.racks)}
        self.nodes: dict[int, Node] = {node.ident: node for node in self.fleet.nodes}
        endpoint_list = context.endpoint_list
        endpoint_list.on_learned = self._endpoint_learned
        endpoint_list.endpoints.update((node.ident, self.endpoint(node)) for node in self.fleet.nodes)

    def endpoint(self, node: Node, state: EndpointState | None = None) -> Endpoint:
        """Return a node's entry of the endpoint list, in `state` or else in its present state."""
        if state is None:
            state = EndpointState.LEAVING if node.draining else EndpointState.UP
            state = EndpointState.LEFT if node.down else state
        rack = self.rack_numbers[node.rack.name]
        return Endpoint(node.ident, node.name, node.zone, node.kind.name, rack, state, node.started_at)

    def _endpoint_learned(self, endpoint: Endpoint) -> None:
        usable = endpoint.state is EndpointState.UP
        self.context.invariants.node_state_known(endpoint.name, usable, self.events.now)

    # Starting, draining and ending node processes.

    def kill(self, node: Node) -> None:
        """End a node's process."""
        if node.down:
            return
        self.fleet.kill(node)
        self.context.invariants.node_warmed_up(node.name)
        self._reset_connections(node)

    def restart(self, node: Node, cold: bool) -> None:
        """Start a process at a node's address."""
        self.fleet.restart(node, cold)
        self._process_started(node)

    def add(self, kind: NodeKind, zone: str, rack: Rack, cold: bool) -> None:
        """Add a machine with a running process."""
        node = self.fleet.add(kind, zone, rack, self.events.now, cold)
        self.nodes[node.ident] = node
        self._process_started(node)

    def _process_started(self, node: Node) -> None:
        self.on_process_started(node)
        if node.cold:
            self.context.invariants.node_started_cold(node.name, node.started_at)
        self._report(node, self.context.rehearsal.endpoint_list.addition_delay_ms)

    def drain(self, node: Node, after_ms: float) -> None:
        """Let a node finish its requests and reject new ones; end it after `after_ms` (0 means never)."""
        if node.down or node.draining:
            return
        node.draining = True
        self._report(node, self.context.rehearsal.endpoint_list.addition_delay_ms)
        if after_ms:
            self.events.schedule(self.events.now + after_ms, self._drained, node, node.incarnation)

    def _drained(self, node: Node, incarnation: int) -> None:
        if node.incarnation == incarnation:
            self.kill(node)
            delay = self.context.rehearsal.endpoint_list.addition_delay_ms
            self._report(node, delay, EndpointState.LEFT)

    def report_removed(self, node: Node) -> None:
        """Report a removed node to the list service, which detects it after its removal delay."""
        delay = self.context.rehearsal.endpoint_list.removal_delay_ms
        self._report(node, delay, EndpointState.LEFT)

    def _report(self, node: Node, delay_ms: float, state: EndpointState | None = None) -> None:
        self.context.endpoint_list.report(self.endpoint(node, state), delay_ms)

    def _collapsed(self, node: Node) -> None:
        """Handle the collapse of an overloaded warming node."""
        now = self.events.now
        self.context.invariants.node_collapsed(node.name, now)
        self._reset_connections(node)
        self.context.timeline.record(now, "fell", "cold", [node.name])
        self.report_removed(node)

    def _reset_connections(self, node: Node) -> None:
        for proxy in self.proxies:
            proxy.node_stopped(node)

    # Notifications of the fleet.

    def node_warmed_up(self, node: Node) -> None:
        """Tell the checker that a node has reached its full pace."""
        self.context.invariants.node_warmed_up(node.name)

    def job_ended(self, node: Node, job: Job) -> None:
        """Record the effect of a completed job, and send its response."""
        attempt: NodeAttempt = job.owner
        context, request = self.context, attempt.request
        now = self.events.now
        if not job.fails:
            context.invariants.effect_took_place(
                job.client_request,
                request.request_class.effect,
                request.ident,
                request.proxy.name,
                node.name,
                now,
            )
            meter = context.scoring.meter
            meter.worked_ms += job.work
            if request.finished:
                meter.wasted_ms += job.work
        if context.tracer is not None:
            context.tracer.job_ended(now, attempt, job.fails)
        self._respond(job, api.Outcome.ERROR if job.fails else api.Outcome.SERVED)

    def job_lost(self, node: Node, job: Job) -> None:
        """Send a connection reset for a job that was lost with its node's process."""
        self._respond(job, api.Outcome.RESET)

    def _respond(self, job: Job, outcome: api.Outcome) -> None:
        for attempt in (job.owner, *job.duplicates):
            attempt.request.proxy.node_responded(attempt, outcome)

    # Requests at nodes.

    def admit(self, node: Node, attempt: NodeAttempt, extra_work: float) -> api.Outcome | None:
        """Handle an attempt that has reached a running node.

        Returns the outcome if the node responds at once, or None if it responds later.  `extra_work` (ms) is
        added to the work of the request, for example that of a handshake.
        """
        context, request, now = self.context, attempt.request, self.events.now
        client_request, request_class = request.client_request, request.request_class
        fails = node.error_rate > 0.0 and context.fault_stream.bernoulli(node.error_rate)
        work = extra_work + context.work.attempt_work(request, attempt.number)
        if node.cold:
            context.invariants.cold_work_arrived(node.name, request.proxy.name, work, now)
            if self.fleet.collapses(node, work):
                self._collapsed(node)
                return api.Outcome.RESET
        window = request_class.dedup_window_ms if request_class.effect == "keyed" else 0.0
        job = Job(client_request.ident, client_request.key, work, attempt, window, fails)
        admission = self.fleet.admit(node, job)
        if admission is Admission.QUEUE_FULL:
            return api.Outcome.REJECTED
        if context.tracer is not None:
            description = "its rack drops it as a repeat" if admission is Admission.DUPLICATE else "taken"
            context.tracer.reached_node(now, attempt, description)
        if admission is Admission.ACCEPTED:
            return None
        first = node.rack.first_job(client_request.ident, now)
        return api.Outcome.SERVED if first is not None and first.completed else None

    # The real state of the nodes, for the oracle policy and for traces.

    def wait_ms(self, zone: str, backend: int, work: float) -> float:
        """Return the expected time until a node answers `work` that is sent now.

        It is infinite if the node would not answer.
        """
        node, now = self.nodes[backend], self.events.now
        if node.down or node.silent or node.draining or not self.context.network.reachable(zone, node.zone):
            return NEVER
        if node.queue_full() or self._would_overload(node, work):
            return NEVER
        pace = node.pace or node.speed * MIN_PACE_FACTOR
        delay = max(0.0, node.paused_until - now) + self._queueing_ms(node, pace)
        latency = self.context.network.mean_latency(zone, node.zone)
        return (delay + work / pace + 2.0 * latency) / max(MIN_SUCCESS_RATE, 1.0 - node.error_rate)

    def _would_overload(self, node: Node, work: float) -> bool:
        overload, warm_up = node.overload, node.warm_up_share(self.events.now)
        if overload is None or warm_up >= 1.0:
            return False
        max_work = overload.factor * node.nominal_capacity * warm_up * overload.window_ms
        return overload.total + OVERLOAD_MARGIN * work > max_work

    def _queueing_ms(self, node: Node, pace: float) -> float:
        """Return the time until a slot is free for a request that arrives now."""
        if len(node.running) < node.slots():
            return 0.0
        ends = sorted(max(0.0, end - node.clock) for end, _, _ in node.running)
        for job in node.waiting:
            ends.append(ends.pop(0) + job.work)
            ends.sort()
        return ends[0] / pace
