"""The services that all parts of a rehearsal share."""

from __future__ import annotations

from dataclasses import dataclass

from heronreel.emulator.endpoint_list import EndpointListService
from heronreel.emulator.events import EventQueue
from heronreel.emulator.invariants import InvariantChecker
from heronreel.emulator.model import Rehearsal
from heronreel.emulator.network import Network
from heronreel.emulator.random_streams import RandomStream, RandomStreams
from heronreel.emulator.scoring import Scoring
from heronreel.emulator.timeline import Timeline
from heronreel.emulator.trace import Tracer
from heronreel.emulator.work import WorkModel


@dataclass(slots=True)
class SimulationContext:
    """Events, random streams, the network, and the recorders of one rehearsal."""

    rehearsal: Rehearsal
    events: EventQueue
    streams: RandomStreams
    network: Network
    fault_stream: RandomStream  # decides which requests a fault affects
    invariants: InvariantChecker
    scoring: Scoring
    endpoint_list: EndpointListService
    timeline: Timeline
    work: WorkModel
    tracer: Tracer | None = None


def make_context(rehearsal: Rehearsal, seed: int, events: EventQueue) -> SimulationContext:
    """Create the shared services of a rehearsal.  Raises InvalidSeedError."""
    streams = RandomStreams(seed)
    network = Network(rehearsal.network, streams)
    rules = rehearsal.rules
    return SimulationContext(
        rehearsal=rehearsal,
        events=events,
        streams=streams,
        network=network,
        fault_stream=streams.stream("faults"),
        invariants=InvariantChecker(
            rules.response_grace_ms,
            rules.drain_grace_ms,
            rules.delivered_after_ms,
            rules.poll_within_ms,
            rules.collapse_window_ms,
            rules.untold_ms,
            rules.failed_call_ms,
        ),
        scoring=Scoring(
            rehearsal.score, rehearsal.prices, rehearsal.tenant_quotas(), rehearsal.proxies.count
        ),
        endpoint_list=EndpointListService(
            events,
            rehearsal.endpoint_list,
            lambda: network.latency("list", "list"),
            streams.stream("list responses"),
        ),
        timeline=Timeline(),
        work=WorkModel(rehearsal.classes, seed),
    )
