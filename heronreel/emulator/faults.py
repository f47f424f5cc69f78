"""Injects the faults of a script: starts each fault on its targets and undoes it at its end.

Faults of one kind may overlap.  A change by a factor is undone by the same factor, and faults that switch
something on are counted, so the order in which they end does not matter.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

from heronreel.emulator.cluster import Cluster
from heronreel.emulator.context import SimulationContext
from heronreel.emulator.fault_targets import select_targets
from heronreel.emulator.model import Fault
from heronreel.emulator.node import Node
from heronreel.emulator.proxy import Proxy
from heronreel.emulator.random_streams import RandomStream
from heronreel.emulator.supervisor import ProxySupervisor
from heronreel.emulator.traffic import Traffic
from heronreel.emulator.watch_reset import WatchReset

SECOND_MS = 1000.0
HALF_PERIOD_MS = 500.0  # half a period for each second of `every_s`
CONNECTIONS_PER_REQUEST = 1e6  # so large that connections only break ties between equally busy nodes
LIST_TARGET = ["list"]
T = TypeVar("T", Node, Proxy)
NodeChange = Callable[[Node, bool], None]  # applies the change (True) or reverts it (False)


@dataclass(slots=True)
class ActiveFault:
    """A fault that has started: the names of its targets, and the function that undoes it."""

    names: list[str]
    undo: Callable[[], None] | None = None


@dataclass(slots=True)
class Toggle:
    """A switch that stays on while at least one fault needs it."""

    switch: Callable[[bool], None]
    users: int = field(default=0)

    def acquire(self) -> None:
        """Add a fault that needs the switch on."""
        self.users += 1
        self.switch(True)

    def release(self) -> None:
        """Remove a fault, and switch off after the last one."""
        self.users -= 1
        if not self.users:
            self.switch(False)


class FaultInjector:
    """Schedules and carries out the faults of a script."""

    def __init__(
        self,
        context: SimulationContext,
        cluster: Cluster,
        traffic: Traffic,
        proxies: Sequence[Proxy],
        supervisor: ProxySupervisor,
    ) -> None:
        self.context, self.events = context, context.events
        self.cluster, self.traffic = cluster, traffic
        self.proxies, self.supervisor = proxies, supervisor
        self.reloads = 0
        self._list_toggles = self._make_list_toggles()
        self.handlers = self._make_handlers()
        for index, fault in enumerate(context.rehearsal.faults):
            # The name seeds the stream, so changing it would change the results of every rehearsal.
            stream = context.streams.stream(f"trouble {index} {fault.fault_kind}")
            self.events.schedule(fault.at_s * SECOND_MS, self._begin, index, fault, stream)

    def _make_handlers(self) -> Mapping[str, Callable[[Fault, RandomStream], ActiveFault]]:
        """Return the handler of each kind of fault."""
        return {
            "slow": self._slow,
            "errors": self._errors,
            "neighbour": self._noisy_neighbour,
            "lose_answers": self._lose_responses,
            "reset": self._reset_connections,
            "silent": self._silence,
            "pause": self._pause,
            "crash": self._crash,
            "drain": self._drain,
            "replace": self._replace,
            "grow": self._grow,
            "zone_lost": self._lose_zone,
            "zone_cut": self._partition_zone,
            "burst": self._burst,
            "heavy": self._heavy_requests,
            "shift": self._shift_zone_traffic,
            "tenant": self._increase_tenant,
            "list_slow": self._slow_list,
            "list_late": self._delay_list,
            "list_refuses": self._toggle_list,
            "list_silent": self._toggle_list,
            "list_breaks": self._toggle_list,
            "list_garbled": self._toggle_list,
            "list_resets": self._reset_watches,
            "kill": self._kill_proxies,
            "restart": self._restart_proxies,
            "reload": self._reload_proxies,
        }

    def _begin(self, index: int, fault: Fault, stream: RandomStream) -> None:
        now = self.events.now
        active = self.handlers[fault.fault_kind](fault, stream)
        self.context.timeline.record(now, "begins", fault.fault_kind, active.names, index)
        if fault.for_s and active.undo is not None:
            self.events.schedule(now + fault.for_s * SECOND_MS, self._end, index, fault, active.undo)

    def _end(self, index: int, fault: Fault, undo: Callable[[], None]) -> None:
        undo()
        self.context.timeline.record(self.events.now, "ends", fault.fault_kind, [], index)

    # Targets.

    def _target_nodes(self, fault: Fault, stream: RandomStream) -> list[Node]:
        return select_targets(
            fault,
            self.cluster.fleet.in_service(),
            stream,
            rack_of=lambda node: node.rack.name,
            kind_of=lambda node: node.kind.name,
            load_of=_node_load,
        )

    def _target_proxies(self, fault: Fault, stream: RandomStream) -> list[Proxy]:
        serving = [proxy for proxy in self.proxies if proxy.alive and not proxy.draining]
        return select_targets(fault, serving, stream, load_of=lambda proxy: float(len(proxy.requests)))

    def _one_by_one(self, fault: Fault, targets: Sequence[T], action: Callable[[T], object]) -> ActiveFault:
        """Apply `action` to the targets one after the other, spread over `within_s`; it is not undone."""
        for position, target in enumerate(targets):
            wait = fault.within_s * SECOND_MS * position / len(targets)
            self.events.schedule(self.events.now + wait, action, target)
        return ActiveFault([target.name for target in targets])

    def _change_nodes(self, nodes: list[Node], change: NodeChange, every_s: float = 0.0) -> ActiveFault:
        """Change all nodes now and revert them at the end of the fault.

        With `every_s` the change alternates between on and off in the meantime.
        """
        node_switch = _NodeSwitch(self.cluster, nodes, change)
        node_switch.set(True)
        if every_s:
            half_period = every_s * HALF_PERIOD_MS

            def alternate() -> None:
                if not node_switch.ended:
                    node_switch.set(not node_switch.is_on)
                    self.events.schedule(self.events.now + half_period, alternate)

            self.events.schedule(self.events.now + half_period, alternate)
        return ActiveFault([node.name for node in nodes], node_switch.end)

    # Node faults.

    def _slow(self, fault: Fault, stream: RandomStream) -> ActiveFault:
        def change(node: Node, on: bool) -> None:
            node.slowdown = node.slowdown * fault.size if on else node.slowdown / fault.size

        return self._change_nodes(self._target_nodes(fault, stream), change, fault.every_s)

    def _errors(self, fault: Fault, stream: RandomStream) -> ActiveFault:
        def change(node: Node, on: bool) -> None:
            node.error_rate += fault.size if on else -fault.size

        return self._change_nodes(self._target_nodes(fault, stream), change, fault.every_s)

    def _noisy_neighbour(self, fault: Fault, stream: RandomStream) -> ActiveFault:
        def change(node: Node, on: bool) -> None:
            available, factor = 1.0 - node.noisy_neighbour, 1.0 - fault.size
            node.noisy_neighbour = 1.0 - (available * factor if on else available / factor)

        return self._change_nodes(self._target_nodes(fault, stream), change, fault.every_s)

    def _lose_responses(self, fault: Fault, stream: RandomStream) -> ActiveFault:
        def change(node: Node, on: bool) -> None:
            node.response_loss += fault.size if on else -fault.size

        return self._change_nodes(self._target_nodes(fault, stream), change, fault.every_s)

    def _reset_connections(self, fault: Fault, stream: RandomStream) -> ActiveFault:
        def change(node: Node, on: bool) -> None:
            node.reset_rate += fault.size if on else -fault.size

        return self._change_nodes(self._target_nodes(fault, stream), change, fault.every_s)

    def _silence(self, fault: Fault, stream: RandomStream) -> ActiveFault:
        def change(node: Node, on: bool) -> None:
            node.silent += 1 if on else -1

        return self._change_nodes(self._target_nodes(fault, stream), change)

    def _pause(self, fault: Fault, stream: RandomStream) -> ActiveFault:
        nodes = self._target_nodes(fault, stream)
        for node in nodes:
            self.cluster.fleet.pause(node, fault.for_s * SECOND_MS)
        return ActiveFault([node.name for node in nodes], lambda: None)  # the pause ends by itself

    def _crash(self, fault: Fault, stream: RandomStream) -> ActiveFault:
        """Kill the nodes' processes, and restart them at the same address after `after_s` if it is set."""

        def crash(node: Node) -> None:
            self.cluster.kill(node)
            if fault.after_s:
                restarts = self.events.now + fault.after_s * SECOND_MS
                self.events.schedule(restarts, self.cluster.restart, node, fault.cold_start)
            else:
                self.cluster.report_removed(node)

        return self._one_by_one(fault, self._target_nodes(fault, stream), crash)

    def _drain(self, fault: Fault, stream: RandomStream) -> ActiveFault:
        """Drain nodes, and end their processes after `after_s`."""

        def drain(node: Node) -> None:
            self.cluster.drain(node, fault.after_s * SECOND_MS)

        return self._one_by_one(fault, self._target_nodes(fault, stream), drain)

    def _replace(self, fault: Fault, stream: RandomStream) -> ActiveFault:
        """Add new machines and drain the old ones, or with `same_address` restart processes in place."""

        def replace(node: Node) -> None:
            if node.down:
                return
            if fault.same_address:
                self.cluster.kill(node)
                self.cluster.restart(node, fault.cold_start)
                return
            self.cluster.add(node.kind, node.zone, node.rack, fault.cold_start)
            self.cluster.drain(node, fault.after_s * SECOND_MS)

        return self._one_by_one(fault, self._target_nodes(fault, stream), replace)

    def _grow(self, fault: Fault, stream: RandomStream) -> ActiveFault:
        """Add new machines, each with the kind, zone and rack of an existing one."""
        existing = self.cluster.fleet.in_service()
        count = fault.count or round(fault.share * len(existing))
        templates = [existing[index % len(existing)] for index in range(count)] if existing else []

        def add(template: Node) -> None:
            self.cluster.add(template.kind, template.zone, template.rack, fault.cold_start)

        self._one_by_one(fault, templates, add)
        return ActiveFault([f"{count} new"])

    # Zone faults.

    def _lose_zone(self, fault: Fault, stream: RandomStream) -> ActiveFault:
        nodes = self._target_nodes(fault, stream)
        for node in nodes:
            self.cluster.kill(node)

        def restart_all() -> None:
            for node in nodes:
                self.cluster.restart(node, fault.cold_start)

        return ActiveFault([node.name for node in nodes], restart_all)

    def _partition_zone(self, fault: Fault, stream: RandomStream) -> ActiveFault:
        network, zone = self.context.network, fault.zone
        others = [other for other in self.context.rehearsal.fleet.zones if other != zone]
        for other in others:
            network.cut(zone, other)

        def heal() -> None:
            for other in others:
                network.heal(zone, other)

        return ActiveFault([zone], heal)

    # Traffic faults.

    def _burst(self, fault: Fault, stream: RandomStream) -> ActiveFault:
        traffic = self.traffic
        traffic.rate_factor *= fault.size

        def undo() -> None:
            traffic.rate_factor /= fault.size

        return ActiveFault([], undo)

    def _heavy_requests(self, fault: Fault, stream: RandomStream) -> ActiveFault:
        """Multiply the work of a share of the requests by `size`."""
        heavy_work, entry = self.traffic.heavy_work, (fault.share, fault.size)
        heavy_work.append(entry)
        return ActiveFault([], lambda: heavy_work.remove(entry))

    def _shift_zone_traffic(self, fault: Fault, stream: RandomStream) -> ActiveFault:
        """Multiply one zone's weight in the traffic by `size`."""
        return self._scale_weight(self.traffic.zone_weights, fault.zone, fault.size)

    def _increase_tenant(self, fault: Fault, stream: RandomStream) -> ActiveFault:
        """Multiply one tenant's weight in the traffic by `size`."""
        factors = self.traffic.tenant_factors
        factors.setdefault(fault.tenant, 1.0)
        return self._scale_weight(factors, fault.tenant, fault.size)

    def _scale_weight(self, weights: dict[str, float], name: str, factor: float) -> ActiveFault:
        weights[name] *= factor
        self.traffic.weights_changed()

        def undo() -> None:
            weights[name] /= factor
            self.traffic.weights_changed()

        return ActiveFault([name], undo)

    # List service faults.

    def _slow_list(self, fault: Fault, stream: RandomStream) -> ActiveFault:
        service = self.context.endpoint_list
        service.slowdown *= fault.size

        def undo() -> None:
            service.slowdown /= fault.size

        return ActiveFault(LIST_TARGET, undo)

    def _delay_list(self, fault: Fault, stream: RandomStream) -> ActiveFault:
        service, delay = self.context.endpoint_list, fault.size * SECOND_MS
        service.extra_delay_ms += delay

        def undo() -> None:
            service.extra_delay_ms -= delay

        return ActiveFault(LIST_TARGET, undo)

    def _toggle_list(self, fault: Fault, stream: RandomStream) -> ActiveFault:
        toggle = self._list_toggles[fault.fault_kind]
        toggle.acquire()
        self._note_list_reachability()

        def undo() -> None:
            toggle.release()
            self._note_list_reachability()

        return ActiveFault(LIST_TARGET, undo)

    def _note_list_reachability(self) -> None:
        service = self.context.endpoint_list
        reachable = not (service.refusing or service.silent or service.corrupting)
        self.context.invariants.list_reachable(reachable, self.events.now)

    def _reset_watches(self, fault: Fault, stream: RandomStream) -> ActiveFault:
        """End all watches and waiting calls, after `after_s` or instead of sending the next change."""
        after_ms, spread_ms = fault.after_s * SECOND_MS, fault.within_s * SECOND_MS
        reset = WatchReset(self.events, self.context.endpoint_list, stream, after_ms, spread_ms)
        if fault.instead_of_change:
            reset.begin_with_next_change()
        else:
            reset.begin()
        return ActiveFault(LIST_TARGET)

    def _make_list_toggles(self) -> dict[str, Toggle]:
        service = self.context.endpoint_list

        def refuse(on: bool) -> None:
            service.refusing = on

        def break_streams(on: bool) -> None:
            service.breaking_streams = on

        def corrupt(on: bool) -> None:
            service.corrupting = on

        def silence(on: bool) -> None:
            if on:
                service.go_silent()
            else:
                service.silent = False

        return {
            "list_refuses": Toggle(refuse),
            "list_breaks": Toggle(break_streams),
            "list_garbled": Toggle(corrupt),
            "list_silent": Toggle(silence),
        }

    # Proxy faults.

    def _kill_proxies(self, fault: Fault, stream: RandomStream) -> ActiveFault:
        return self._one_by_one(fault, self._target_proxies(fault, stream), lambda proxy: proxy.kill())

    def _restart_proxies(self, fault: Fault, stream: RandomStream) -> ActiveFault:
        return self._one_by_one(fault, self._target_proxies(fault, stream), self.supervisor.terminate)

    def _reload_proxies(self, fault: Fault, stream: RandomStream) -> ActiveFault:
        proxies = self._target_proxies(fault, stream)
        for proxy in proxies:
            proxy.reload()
        self.reloads += len(proxies)
        return ActiveFault([proxy.name for proxy in proxies])


class _NodeSwitch:
    """A change of several nodes that can be switched on and off."""

    def __init__(self, cluster: Cluster, nodes: list[Node], change: NodeChange) -> None:
        self.cluster, self.nodes, self.change = cluster, nodes, change
        self.is_on = self.ended = False

    def set(self, on: bool) -> None:
        if self.is_on == on:
            return
        self.is_on = on
        for node in self.nodes:
            self.cluster.fleet.update(node, lambda node=node: self.change(node, on))  # type: ignore[misc]

    def end(self) -> None:
        self.ended = True
        self.set(False)


def _node_load(node: Node) -> float:
    return len(node.running) + len(node.waiting) + node.open_connections / CONNECTIONS_PER_REQUEST
