"""Scenarios of a fleet at 5, 40 and 200 proxies: invariants, no scores."""

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

SIZES = [(5, 12, 0), (40, 36, 0), (200, 36, 0), (40, 36, 1)]  # proxies, nodes, and the change of seed
BORNE = 1.5  # calls that the list service bears, over one of each proxy in the time in which it must ask


def fleet(proxies: int, nodes: int, seconds: float, *faults: Fault, **changes: object) -> Rehearsal:
    """Large work and few requests: these scenarios do not need many."""
    request_class = RequestClass(work_ms=400.0, latency_objective_ms=2000.0, deadline_ms=4000.0)
    return rehearsal(nodes, proxies, 0.45, seconds, request_class=request_class, faults=faults, **changes)  # type: ignore[arg-type]


class ListTraffic:
    """When proxies call the list service, and when each last received a snapshot."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.called_at: list[float] = []
        self.snapshot_at: dict[str, float] = {}
        call = simulation.context.endpoint_list.call

        def watched(subscriber: ListSubscriber) -> None:
            self.called_at.append(simulation.events.now)
            call(subscriber)

        simulation.context.endpoint_list.call = watched  # type: ignore[method-assign]
        for proxy in simulation.proxies:
            self._watch(proxy)

    def _watch(self, proxy: Proxy) -> None:
        receive_snapshot = proxy.receive_snapshot

        def watched(endpoints: list[Endpoint]) -> None:
            self.snapshot_at[proxy.name] = self.simulation.events.now
            receive_snapshot(endpoints)

        proxy.receive_snapshot = watched  # type: ignore[method-assign]

    def between(self, low_s: float, high_s: float) -> int:
        return sum(low_s * 1000.0 <= at < high_s * 1000.0 for at in self.called_at)


@pytest.mark.parametrize(("proxies", "nodes", "shift"), SIZES)
def test_a_thundering_herd_on_an_overloaded_list_service_settles_and_gets_its_list(
    proxies: int, nodes: int, shift: int
) -> None:
    """Seven in ten are killed at once while the service is three times slower, and nodes drain meanwhile."""
    seed, killed = 21 + shift, 4.0
    bears = BORNE * proxies / 10.0  # a second
    script = fleet(
        proxies,
        nodes,
        26.0,
        Fault(fault_kind="kill", at_s=killed, share=0.7),
        Fault(fault_kind="list_slow", at_s=killed, for_s=8.0, size=3.0),
        Fault(fault_kind="drain", at_s=6.0, share=0.1, after_s=10.0),
        endpoint_list=EndpointListConfig(entries_per_s=bears * (EndpointListConfig().call_cost + nodes)),
    )
    simulation = Simulation(script, seed)
    list_traffic = ListTraffic(simulation)
    result = simulation.run()
    assert result.rules_kept, (seed, result.breaches[:3])
    herd = [row["names"][0] for row in result.timeline if row["event"] == "ended"]
    assert len(herd) == round(0.7 * proxies)
    late = list_traffic.between(killed + 14.0, killed + 22.0) / 8.0
    assert late <= bears, f"seed {seed}: {late:.1f} calls a second, {bears:.1f} are borne"
    within = (killed + script.proxies.restart_ms / 1000.0) * 1000.0 + 2.0 * script.rules.poll_within_ms
    without_snapshot = [
        name for name in herd if not killed * 1000.0 < list_traffic.snapshot_at[name] < within
    ]
    assert not without_snapshot, f"seed {seed}: {without_snapshot}"


@pytest.mark.parametrize("what", ["list_refuses", "list_silent", "list_breaks", "list_garbled"])
@pytest.mark.parametrize(("proxies", "nodes", "shift"), SIZES[:2])
def test_a_failing_list_service_leaves_the_old_list_and_no_retry_wave(
    what: str, proxies: int, nodes: int, shift: int
) -> None:
    seed, until = 31 + shift, 14.0
    script = fleet(proxies, nodes, 26.0, Fault(fault_kind=what, at_s=4.0, for_s=until - 4.0))  # type: ignore[arg-type]
    script = msgspec.structs.replace(script, endpoint_list=EndpointListConfig(entries_per_s=10_000.0))
    simulation = Simulation(script, seed)
    list_traffic = ListTraffic(simulation)
    result = simulation.run()
    assert result.rules_kept, (seed, result.breaches[:3])
    assert result.service["worst_window"] > 0.9, "the old list stays in force"
    rates = [list_traffic.between(second, second + 1.0) / proxies for second in range(4, 25)]
    assert max(rates) <= 2.0, f"seed {seed}: {rates}"
    received = [list_traffic.snapshot_at[proxy.name] for proxy in simulation.proxies]
    if what != "list_breaks":  # there they receive it before it breaks off
        assert all(at > until * 1000.0 or at < 4000.0 + 5000.0 for at in received)
    assert all(proxy in simulation.context.endpoint_list.watchers for proxy in simulation.proxies), (
        "all watch again"
    )


def test_polls_back_off_to_a_bounded_interval_while_the_service_refuses() -> None:
    """Beyond 1,024 tries of one proxy: the module alone, an hour and a half of refusals."""
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
@pytest.mark.parametrize(("proxies", "nodes", "shift"), [SIZES[0], SIZES[1]])
def test_warming_nodes_survive_and_are_used_in_any_order_of_faults(
    order: str, proxies: int, nodes: int, shift: int
) -> None:
    """The budget of cold nodes holds over the sum of all proxies, and a stated part of it is used."""
    seed = 41 + shift
    made = {
        "zone": lambda at: Fault(fault_kind="zone_lost", at_s=at, for_s=3.0, zone="b"),
        "replaced": lambda at: Fault(fault_kind="replace", at_s=at, share=0.6, within_s=5.0, after_s=4.0),
        "herd": lambda at: Fault(fault_kind="kill", at_s=at, share=0.7),
    }
    faults = [made[what](at) for what, at in ORDERS[order]]
    faults.append(Fault(fault_kind="errors", at_s=3.0, for_s=14.0, share=0.2, size=0.5))
    request_class = RequestClass(work_ms=100.0, latency_objective_ms=1000.0, deadline_ms=4000.0)
    script = rehearsal(nodes, proxies, 0.5, 24.0, request_class=request_class, faults=tuple(faults))
    simulation = Simulation(script, seed)
    taken: dict[str, float] = defaultdict(float)
    offered = simulation.context.invariants.cold_work_arrived

    def watched(node: str, proxy: str, work: float, now: float) -> None:
        taken[node] += work
        offered(node, proxy, work, now)

    simulation.context.invariants.cold_work_arrived = watched  # type: ignore[method-assign]
    result = simulation.run()
    assert result.rules_kept, (seed, result.breaches[:3])
    # what the cold nodes could have done while they warmed up, and what they were given
    could = given = 0.0
    for node in simulation.fleet.nodes:
        cold_for = simulation.events.now - node.started_at
        if node.started_at and cold_for > 4000.0 and not node.down:
            share = (
                COLD.warm_up_floor + (1.0 - COLD.warm_up_floor) * min(1.0, cold_for / COLD.warm_up_ms) / 2.0
            )
            could += node.nominal_capacity * share * min(cold_for, COLD.warm_up_ms)
            given += taken[node.name]
    assert could and given > 0.15 * could, f"seed {seed}: {given / could:.2f} of what cold nodes could do"


@pytest.mark.parametrize(("proxies", "nodes"), [(5, 12), (40, 24)])
def test_open_connections_at_a_node_stay_under_its_limit(proxies: int, nodes: int) -> None:
    kind = msgspec.structs.replace(KIND, connections=30, handshake_ms=1.5, full_tax=0.3)
    script = rehearsal(
        nodes, proxies, 0.8, 12.0, kind, faults=(Fault(fault_kind="burst", at_s=4.0, for_s=4.0, size=2.0),)
    )
    simulation = Simulation(script, 51)
    most: Counter[str] = Counter()
    ended = simulation.fleet.on_job_ended

    def watch(node: Node, job: Job) -> None:
        most[node.name] = max(most[node.name], node.open_connections)
        ended(node, job)

    simulation.fleet.on_job_ended = watch
    result = simulation.run()
    assert result.rules_kept and max(most.values()) <= 30, most
    for node in simulation.fleet.nodes:  # every open connection is some proxy's
        owned = sum(proxy.connections.idle_count(node) for proxy in simulation.proxies)
        assert node.open_connections == owned, node.name


def test_shared_ranks_equal_those_of_each_proxy() -> None:
    for proxies in (5, PROXIES_PER_BACKEND + 1, 40, 200):
        for backend in (1, 77, 2**40 - 3):
            for slot in range(0, proxies, 7):
                assert SharedRanks(slot, proxies).rank(backend) == Subset(slot, proxies).rank(backend)


def test_the_hosted_balancer_decides_as_the_balancer() -> None:
    """The same events, the same actions: a play with `HostedBalancer` against one with the module itself."""
    script = fleet(40, 24, 6.0, Fault(fault_kind="replace", at_s=2.0, share=0.3, within_s=1.0, after_s=1.0))
    plays = [Simulation(script, 61, deciders=made).run() for made in (HostedBalancer, Balancer)]
    assert plays[0].json_lines() == plays[1].json_lines()


def test_a_change_of_the_endpoint_list_moves_only_the_keys_of_changed_nodes() -> None:
    lines = [api.BackendInfo(1000 + n, zone="a", cell=n // 6) for n in range(30)]
    settings = api.Settings((api.RequestClass("r"),), key_affinity=True, zone="a", zones=("a",))
    homes = []
    for listed in (lines, lines[:-1]):
        balancer = Balancer(settings, 3)
        balancer.handle(0.0, api.BackendList(api.ListKind.CACHED, listed))
        for key in range(300):
            balancer.handle(1.0, api.Arrival(key, "r", 1000.0, key=key, hint_ms=10.0))
        homes.append(dict(balancer.turns.key_owners))
    gone = lines[-1].backend
    moved = [key for key in homes[0] if set(homes[0][key]) != set(homes[1][key])]
    assert moved and all(gone in homes[0][key] for key in moved)


def test_no_table_grows_over_a_churn_of_ten_thousand_nodes() -> None:
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
        for part in (balancer.endpoints, balancer.turns, balancer.quotas, balancer.admission):
            inner = {name: len(value) for name, value in vars(part).items() if isinstance(value, dict | list)}
            found |= {f"{type(part).__name__}.{name}": size for name, size in inner.items()}
        upkeep = balancer.endpoints.maintenance
        held = len(upkeep.began) + len(upkeep.entries) + len(upkeep.ended)
        return found | {"held": held, "kinds": len(balancer.endpoints.speeds.kinds)}

    def life(first: int, last: int) -> dict[str, int]:
        for number in range(first, last):
            now = 100.0 * number
            news = [
                api.BackendInfo(
                    number + 20, zone="ab"[number % 2], kind=f"k{number}", cell=number, started_ms=now
                ),
                api.BackendInfo(number, api.BackendState.REMOVED),
            ]
            balancer.handle(now, api.BackendList(api.ListKind.CHANGES, news))
            actions = balancer.handle(now, api.Arrival(number, "r", 1000.0, key=number, hint_ms=10.0))
            for action in actions:
                if isinstance(action, api.StartAttempt):
                    balancer.handle(
                        now, api.AttemptEnded(number, 0, action.backend, api.Outcome.SERVED, 9.0, True)
                    )
            balancer.handle(now, api.TimerFired(0))
        return sizes()

    early = life(0, 5000)
    late = life(5000, 10_000)
    grown = {name: (early[name], late[name]) for name in late if late[name] > 1.2 * early[name] + 8}
    assert not grown, grown


def test_every_proxy_process_has_a_seed_of_its_own() -> None:
    """Instances share nothing, not even luck: seeds differ by proxy and by process."""
    seeds: list[int] = []

    def made(settings: api.Settings, seed: int) -> Balancer:
        seeds.append(seed)
        return Balancer(settings, seed)

    simulation = Simulation(
        fleet(4, 12, 4.0, Fault(fault_kind="kill", at_s=2.0, share=1.0)), 71, deciders=made
    )
    simulation.run()
    assert len(seeds) == 8 and len(set(seeds)) == 8


def test_a_restarted_proxy_begins_with_the_cached_list() -> None:
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
