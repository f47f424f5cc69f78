"""Tests that a fleet of 5, 40 or 200 proxies keeps the invariants under faults; scores are not tested."""

from __future__ import annotations

from collections import Counter, defaultdict
from itertools import pairwise

import msgspec
import pytest

from heronreel.balancer import interface as api
from heronreel.balancer.choice import Balancer
from heronreel.balancer.subset import PROXIES_PER_BACKEND, Subset
from heronreel.emulator.endpoint_list import Endpoint, ListSubscriber
from heronreel.emulator.model import EndpointListConfig, Fault, ProxyConfig, Rehearsal, RequestClass
from heronreel.emulator.node import Job, Node
from heronreel.emulator.policies import HostedBalancer, SharedRanks
from heronreel.emulator.proxy import Proxy
from heronreel.emulator.simulation import Simulation, play
from tests.support.rehearsals import COLD, KIND, rehearsal

# Numbers of proxies and nodes, and the offset of the seed.
SIZES = [(5, 12, 0), (40, 36, 0), (200, 36, 0), (40, 36, 1)]

# The capacity of the list service, relative to one call of each proxy in the time within which it must call.
LIST_CAPACITY_RATIO = 1.5


def fleet(proxies: int, nodes: int, seconds: float, *faults: Fault, **changes: object) -> Rehearsal:
    """Return a script with few requests, each of much work, which suffices for these scenarios."""
    request_class = RequestClass(work_ms=400.0, latency_objective_ms=2000.0, deadline_ms=4000.0)
    return rehearsal(nodes, proxies, 0.45, seconds, request_class=request_class, faults=faults, **changes)  # type: ignore[arg-type]


class ListTraffic:
    """Records when proxies call the list service, and when each of them last received a snapshot."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.called_at: list[float] = []
        self.snapshot_at: dict[str, float] = {}
        call = simulation.context.endpoint_list.call

        def record_call(subscriber: ListSubscriber) -> None:
            self.called_at.append(simulation.events.now)
            call(subscriber)

        simulation.context.endpoint_list.call = record_call  # type: ignore[method-assign]
        for proxy in simulation.proxies:
            self._record_snapshots(proxy)

    def _record_snapshots(self, proxy: Proxy) -> None:
        receive_snapshot = proxy.receive_snapshot

        def record_snapshot(endpoints: list[Endpoint]) -> None:
            self.snapshot_at[proxy.name] = self.simulation.events.now
            receive_snapshot(endpoints)

        proxy.receive_snapshot = record_snapshot  # type: ignore[method-assign]

    def calls_between(self, low_s: float, high_s: float) -> int:
        return sum(low_s * 1000.0 <= at < high_s * 1000.0 for at in self.called_at)


@pytest.mark.parametrize(("proxies", "nodes", "seed_offset"), SIZES)
def test_proxies_restarted_at_once_get_a_list_from_an_overloaded_list_service(
    proxies: int, nodes: int, seed_offset: int
) -> None:
    """70 % of proxies are killed at once while the service is three times slower and nodes drain."""
    seed, killed_at_s = 21 + seed_offset, 4.0
    capacity_calls_per_s = LIST_CAPACITY_RATIO * proxies / 10.0
    script = fleet(
        proxies,
        nodes,
        26.0,
        Fault(fault_kind="kill", at_s=killed_at_s, share=0.7),
        Fault(fault_kind="list_slow", at_s=killed_at_s, for_s=8.0, size=3.0),
        Fault(fault_kind="drain", at_s=6.0, share=0.1, after_s=10.0),
        endpoint_list=EndpointListConfig(
            entries_per_s=capacity_calls_per_s * (EndpointListConfig().call_cost + nodes)
        ),
    )
    simulation = Simulation(script, seed)
    list_traffic = ListTraffic(simulation)
    result = simulation.run()
    assert result.rules_kept, (seed, result.breaches[:3])
    restarted = [row["names"][0] for row in result.timeline if row["event"] == "ended"]
    assert len(restarted) == round(0.7 * proxies)
    late_calls_per_s = list_traffic.calls_between(killed_at_s + 14.0, killed_at_s + 22.0) / 8.0
    assert late_calls_per_s <= capacity_calls_per_s, (
        f"seed {seed}: {late_calls_per_s:.1f} calls a second, the service handles {capacity_calls_per_s:.1f}"
    )
    deadline_ms = (
        killed_at_s + script.proxies.restart_ms / 1000.0
    ) * 1000.0 + 2.0 * script.rules.poll_within_ms
    without_snapshot = [
        name for name in restarted if not killed_at_s * 1000.0 < list_traffic.snapshot_at[name] < deadline_ms
    ]
    assert not without_snapshot, f"seed {seed}: {without_snapshot}"


@pytest.mark.parametrize("fault_kind", ["list_refuses", "list_silent", "list_breaks", "list_garbled"])
@pytest.mark.parametrize(("proxies", "nodes", "seed_offset"), SIZES[:2])
def test_proxies_keep_the_old_list_and_limit_their_retries_while_the_list_service_fails(
    fault_kind: str, proxies: int, nodes: int, seed_offset: int
) -> None:
    seed, fault_end_s = 31 + seed_offset, 14.0
    script = fleet(proxies, nodes, 26.0, Fault(fault_kind=fault_kind, at_s=4.0, for_s=fault_end_s - 4.0))  # type: ignore[arg-type]
    script = msgspec.structs.replace(script, endpoint_list=EndpointListConfig(entries_per_s=10_000.0))
    simulation = Simulation(script, seed)
    list_traffic = ListTraffic(simulation)
    result = simulation.run()
    assert result.rules_kept, (seed, result.breaches[:3])
    assert result.service["worst_window"] > 0.9, "proxies go on with the old list"
    rates = [list_traffic.calls_between(second, second + 1.0) / proxies for second in range(4, 25)]
    assert max(rates) <= 2.0, f"seed {seed}: {rates}"
    received = [list_traffic.snapshot_at[proxy.name] for proxy in simulation.proxies]
    # With `list_breaks` the proxies receive the list before the connection breaks.
    if fault_kind != "list_breaks":
        assert all(at > fault_end_s * 1000.0 or at < 4000.0 + 5000.0 for at in received)
    assert all(proxy in simulation.context.endpoint_list.watchers for proxy in simulation.proxies), (
        "all proxies have an open watch again"
    )


def test_polls_back_off_to_a_bounded_interval_while_the_service_refuses() -> None:
    """The balancer alone is refused more than 1,024 times, over an hour and a half."""
    balancer = Balancer(api.Settings((api.RequestClass("r"),), watch_list=True, watch_within_ms=10_000.0), 7)
    actions, now = balancer.handle(0.0, api.BackendList(api.ListKind.CACHED, [])), 0.0
    due: list[tuple[float, int]] = []
    polled_at: list[float] = []
    while len(polled_at) < 1100:
        for action in actions:
            if isinstance(action, api.SetTimer):
                due.append((now + action.delay_ms, action.token))
            elif isinstance(action, api.WatchList):
                polled_at.append(now)
                due.append((now, -1))
        due.sort()
        now, token = due.pop(0)
        event = api.TimerFired(token) if token >= 0 else api.BackendList(api.ListKind.FAILED)
        actions = balancer.handle(now, event)
    gaps = [after - before for before, after in pairwise(polled_at[10:])]
    assert min(gaps) >= 10_000.0 / 3.0 * 0.49 and max(gaps) <= 10_000.0, (min(gaps), max(gaps))


ORDERS = {
    "zone, replaced, herd": (("zone", 3.0), ("replaced", 8.0), ("herd", 12.0)),
    "herd, zone, replaced": (("herd", 3.0), ("zone", 6.0), ("replaced", 11.0)),
    "replaced, herd, zone": (("replaced", 3.0), ("herd", 6.0), ("zone", 11.0)),
}


@pytest.mark.parametrize("order", list(ORDERS))
@pytest.mark.parametrize(("proxies", "nodes", "seed_offset"), [SIZES[0], SIZES[1]])
def test_warming_nodes_survive_and_are_used_in_any_order_of_faults(
    order: str, proxies: int, nodes: int, seed_offset: int
) -> None:
    """All proxies together keep the budget of cold nodes, and use more than 15 % of their capacity."""
    seed = 41 + seed_offset
    make_fault = {
        "zone": lambda at: Fault(fault_kind="zone_lost", at_s=at, for_s=3.0, zone="b"),
        "replaced": lambda at: Fault(fault_kind="replace", at_s=at, share=0.6, within_s=5.0, after_s=4.0),
        "herd": lambda at: Fault(fault_kind="kill", at_s=at, share=0.7),
    }
    faults = [make_fault[fault_kind](at) for fault_kind, at in ORDERS[order]]
    faults.append(Fault(fault_kind="errors", at_s=3.0, for_s=14.0, share=0.2, size=0.5))
    request_class = RequestClass(work_ms=100.0, latency_objective_ms=1000.0, deadline_ms=4000.0)
    script = rehearsal(nodes, proxies, 0.5, 24.0, request_class=request_class, faults=tuple(faults))
    simulation = Simulation(script, seed)
    work_by_node: dict[str, float] = defaultdict(float)
    cold_work_arrived = simulation.context.invariants.cold_work_arrived

    def record_cold_work(node: str, proxy: str, work: float, now: float) -> None:
        work_by_node[node] += work
        cold_work_arrived(node, proxy, work, now)

    simulation.context.invariants.cold_work_arrived = record_cold_work  # type: ignore[method-assign]
    result = simulation.run()
    assert result.rules_kept, (seed, result.breaches[:3])
    # The work that the cold nodes could do while they warmed up, and the work that they received.
    capacity_ms = received_ms = 0.0
    for node in simulation.fleet.nodes:
        cold_for = simulation.events.now - node.started_at
        if node.started_at and cold_for > 4000.0 and not node.down:
            share = (
                COLD.warm_up_floor + (1.0 - COLD.warm_up_floor) * min(1.0, cold_for / COLD.warm_up_ms) / 2.0
            )
            capacity_ms += node.nominal_capacity * share * min(cold_for, COLD.warm_up_ms)
            received_ms += work_by_node[node.name]
    assert capacity_ms and received_ms > 0.15 * capacity_ms, (
        f"seed {seed}: {received_ms / capacity_ms:.2f} of the capacity of cold nodes"
    )


@pytest.mark.parametrize(("proxies", "nodes"), [(5, 12), (40, 24)])
def test_open_connections_at_a_node_stay_within_its_limit(proxies: int, nodes: int) -> None:
    kind = msgspec.structs.replace(KIND, connections=30, handshake_ms=1.5, full_tax=0.3)
    script = rehearsal(
        nodes, proxies, 0.8, 12.0, kind, faults=(Fault(fault_kind="burst", at_s=4.0, for_s=4.0, size=2.0),)
    )
    simulation = Simulation(script, 51)
    max_open: Counter[str] = Counter()
    on_job_ended = simulation.fleet.on_job_ended

    def record(node: Node, job: Job) -> None:
        max_open[node.name] = max(max_open[node.name], node.open_connections)
        on_job_ended(node, job)

    simulation.fleet.on_job_ended = record
    result = simulation.run()
    assert result.rules_kept and max(max_open.values()) <= 30, max_open
    # Each open connection is in the pool of a proxy.
    for node in simulation.fleet.nodes:
        owned = sum(proxy.connections.idle_count(node) for proxy in simulation.proxies)
        assert node.open_connections == owned, node.name


def test_shared_ranks_equal_those_of_each_proxy() -> None:
    for proxies in (5, PROXIES_PER_BACKEND + 1, 40, 200):
        for backend in (1, 77, 2**40 - 3):
            for slot in range(0, proxies, 7):
                assert SharedRanks(slot, proxies).rank(backend) == Subset(slot, proxies).rank(backend)


def test_the_hosted_balancer_makes_the_same_decisions_as_the_balancer() -> None:
    """Runs with `HostedBalancer` and with `Balancer` give the same result."""
    script = fleet(40, 24, 6.0, Fault(fault_kind="replace", at_s=2.0, share=0.3, within_s=1.0, after_s=1.0))
    results = [Simulation(script, 61, deciders=decider).run() for decider in (HostedBalancer, Balancer)]
    assert results[0].json_lines() == results[1].json_lines()


def test_a_change_of_the_endpoint_list_moves_only_the_keys_of_changed_nodes() -> None:
    backends = [api.BackendInfo(1000 + n, zone="a", cell=n // 6) for n in range(30)]
    settings = api.Settings((api.RequestClass("r"),), key_affinity=True, zone="a", zones=("a",))
    homes = []
    for listed_backends in (backends, backends[:-1]):
        balancer = Balancer(settings, 3)
        balancer.handle(0.0, api.BackendList(api.ListKind.CACHED, listed_backends))
        for key in range(300):
            balancer.handle(1.0, api.Arrival(key, "r", 1000.0, key=key, hint_ms=10.0))
        homes.append(dict(balancer.turns.key_owners))
    removed = backends[-1].backend
    moved = [key for key in homes[0] if set(homes[0][key]) != set(homes[1][key])]
    assert moved and all(removed in homes[0][key] for key in moved)


def test_no_table_grows_while_ten_thousand_nodes_are_replaced() -> None:
    settings = api.Settings(
        (api.RequestClass("r"),), key_affinity=True, proxies=40, proxy_index=3, zone="a", zones=("a", "b")
    )
    balancer = Balancer(settings, 4)
    balancer.handle(
        0.0, api.BackendList(api.ListKind.CACHED, [api.BackendInfo(n, zone="a") for n in range(20)])
    )

    def sizes() -> dict[str, int]:
        found = {name: len(value) for name, value in vars(balancer).items() if isinstance(value, dict | list)}
        found["turns"] = sum(map(len, balancer.turns.queues))
        for component in (balancer.endpoints, balancer.turns, balancer.quotas, balancer.admission):
            inner = {
                name: len(value) for name, value in vars(component).items() if isinstance(value, dict | list)
            }
            found |= {f"{type(component).__name__}.{name}": size for name, size in inner.items()}
        maintenance = balancer.endpoints.maintenance
        maintenance_entries = len(maintenance.began) + len(maintenance.entries) + len(maintenance.ended)
        return found | {
            "maintenance_entries": maintenance_entries,
            "kinds": len(balancer.endpoints.speeds.kinds),
        }

    def replace_nodes(first: int, last: int) -> dict[str, int]:
        for number in range(first, last):
            now = 100.0 * number
            changes = [
                api.BackendInfo(
                    number + 20, zone="ab"[number % 2], kind=f"k{number}", cell=number, started_ms=now
                ),
                api.BackendInfo(number, api.BackendState.REMOVED),
            ]
            balancer.handle(now, api.BackendList(api.ListKind.CHANGES, changes))
            actions = balancer.handle(now, api.Arrival(number, "r", 1000.0, key=number, hint_ms=10.0))
            for action in actions:
                if isinstance(action, api.StartAttempt):
                    balancer.handle(
                        now, api.AttemptEnded(number, 0, action.backend, api.Outcome.SERVED, 9.0, True)
                    )
            balancer.handle(now, api.TimerFired(0))
        return sizes()

    early = replace_nodes(0, 5000)
    late = replace_nodes(5000, 10_000)
    grown = {name: (early[name], late[name]) for name in late if late[name] > 1.2 * early[name] + 8}
    assert not grown, grown


def test_each_proxy_process_has_its_own_seed() -> None:
    """Seeds differ by proxy and by process, so that the random draws of processes are independent."""
    seeds: list[int] = []

    def make_decider(settings: api.Settings, seed: int) -> Balancer:
        seeds.append(seed)
        return Balancer(settings, seed)

    simulation = Simulation(
        fleet(4, 12, 4.0, Fault(fault_kind="kill", at_s=2.0, share=1.0)), 71, deciders=make_decider
    )
    simulation.run()
    assert len(seeds) == 8 and len(set(seeds)) == 8


def test_a_restarted_proxy_starts_with_the_cached_list() -> None:
    script = fleet(
        5,
        12,
        12.0,
        Fault(fault_kind="list_refuses", at_s=1.0, for_s=9.0),
        Fault(fault_kind="kill", at_s=3.0, share=1.0),
    )
    result = play(msgspec.structs.replace(script, proxies=ProxyConfig(count=5, restart_ms=300.0)), 81)
    assert (
        result.rules_kept and result.second_rows[8].get("served", 0) > 0.8 * result.second_rows[8]["requests"]
    )
