"""Samples the state of the fleet once a second, and the costs that accrue over time."""

from __future__ import annotations

from collections.abc import Sequence

from heronreel.emulator.context import SimulationContext
from heronreel.emulator.fleet import Fleet
from heronreel.emulator.proxy import Proxy
from heronreel.emulator.scoring import SECOND_MS


class FleetSampler:
    """Adds a row to the timeline every second."""

    def __init__(self, context: SimulationContext, fleet: Fleet, proxies: Sequence[Proxy]) -> None:
        self.context, self.fleet, self.proxies = context, fleet, proxies
        self.attempts, self.busy_ms, self.load_ms = 0, 0.0, 0.0  # totals at the last sample

    def start(self) -> None:
        """Schedule the first sample."""
        self.context.events.schedule(SECOND_MS, self._sample)

    def _sample(self) -> None:
        context, fleet = self.context, self.fleet
        now, meter = context.events.now, context.scoring.meter
        up = [node for node in fleet.nodes if not node.down]
        meter.conn_ms += sum(node.open_connections for node in up) * SECOND_MS
        meter.node_ms += len(up) * SECOND_MS
        attempts, busy, load = meter.attempts, 0.0, 0.0
        states = {}
        for node in fleet.nodes:
            node.settle(now)
            busy += node.busy_ms
            load += node.load_ms
            if not node.down:
                states[node.name] = [len(node.running), len(node.waiting), node.open_connections]
        cores = sum(node.slots() for node in up) or 1
        context.timeline.rows.append(
            {
                "at_ms": round(now, 3),
                "event": "second",
                "nodes": len(up),
                "proxies": sum(proxy.alive for proxy in self.proxies),
                "attempts": attempts - self.attempts,
                "utilisation": round((busy - self.busy_ms) / SECOND_MS / cores, 4),
                "requests_at_nodes": round((load - self.load_ms) / SECOND_MS, 3),
                "list_queue": context.endpoint_list.queued_calls,
                "breaches": sum(context.invariants.counts.values()),
                "states": states,
            }
        )
        self.attempts, self.busy_ms, self.load_ms = attempts, busy, load
        context.events.schedule(now + SECOND_MS, self._sample)
