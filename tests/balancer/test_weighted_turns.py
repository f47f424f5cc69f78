"""DESIGN 3 to 5: compressed weights, turns, learned speed."""

from collections import Counter

from heronreel.balancer import Balancer
from heronreel.balancer.interface import (
    Arrival,
    BackendList,
    Effect,
    ListKind,
    Outcome,
    RequestClass,
    Settings,
    StartAttempt,
)
from heronreel.balancer.rates import UPDATE_PERIOD_MS
from tests.balancer.strict_host import Host, fleet

WORK = RequestClass("work", 500.0, 20000.0, effect=Effect.IDEMPOTENT)


def host_of(backends: int, seed: int = 1) -> Host:
    host = Host(Settings((WORK,)), seed)
    host.listed(ListKind.CACHED, *fleet(backends))
    return host


def firsts(host: Host) -> list[int]:
    return [request.attempts[0].backend for request in host.requests.values() if request.attempts]


def test_equal_backends_take_even_turns() -> None:
    host = host_of(6)
    for _ in range(60):
        host.arrive()
    assert set(Counter(firsts(host)).values()) == {10}


def test_many_proxies_begin_on_different_backends() -> None:
    begun = set()
    for seed in range(30):
        host = host_of(12, seed)
        host.arrive()
        begun.add(firsts(host)[0])
    assert len(begun) > 6


def test_a_heavily_booked_backend_waits_while_others_take_turns() -> None:
    host = host_of(3)
    host.arrive(hint=3000.0)
    loaded = firsts(host)[0]
    host.run_to(host.now + 2 * UPDATE_PERIOD_MS)
    later = [host.requests[host.arrive(hint=50.0)].attempts[0].backend for _ in range(2)]
    assert loaded not in later


def test_a_slow_backend_gets_less() -> None:
    host = host_of(4)
    slow = 102
    for _ in range(1500):
        for ident, attempt in host.in_flight():
            sent = host.requests[ident].attempts[attempt]
            if host.now >= sent.at + (480.0 if sent.backend == slow else 60.0):
                host.end(ident, attempt, Outcome.SERVED)
        host.arrive(hint=50.0, left=20000.0)
        host.run_to(host.now + 20.0)
    late = Counter(firsts(host)[-600:])
    assert late[slow] * 3 < min(late[b] for b in (100, 101, 103))


def test_errors_and_timeouts_change_no_learned_speed() -> None:
    host = host_of(2)
    before = [b.cost_factor for b in host.balancer.endpoints.backends.values()]
    for outcome in (Outcome.ERROR, Outcome.TIMEOUT, Outcome.REJECTED, Outcome.RESET):
        ident = host.arrive()
        host.now += 900.0
        host.end(ident, 0, outcome)
    assert [b.cost_factor for b in host.balancer.endpoints.backends.values()] == before


def test_the_same_events_give_the_same_actions() -> None:
    def play() -> list[int]:
        balancer = Balancer(Settings((WORK,)), 7)
        balancer.handle(0.0, BackendList(ListKind.CACHED, fleet(9)))
        chosen = []
        for n in range(50):
            for action in balancer.handle(n * 3.0, Arrival(n, "work", 500.0, hint_ms=n % 7 * 10.0)):
                if isinstance(action, StartAttempt):
                    chosen.append(action.backend)
        return chosen

    assert play() == play()


def weights(host: Host) -> list[float]:
    return sorted(backend.weight for backend in host.balancer.endpoints.backends.values())


def loaded(bookings: list[float], sends: float) -> Host:
    """A fleet with these bookings on its boards and `sends` requests a period, nothing out."""
    host = host_of(len(bookings))
    balancer = host.balancer
    host.run_to(host.now + 250.0)
    balancer.turns.sends.biased_mean, balancer.turns.sends.correction = sends, 1.0
    balancer.turns.booked_work.biased_mean, balancer.turns.booked_work.correction = sends * 100.0, 1.0
    for backend, cost in zip(balancer.endpoints.backends.values(), bookings, strict=True):
        backend.board.queue.append((host.now + UPDATE_PERIOD_MS, cost))
        balancer.endpoints.booked[backend.info.backend] = None
    return host


def test_a_spread_within_tdiff_is_not_compressed() -> None:
    host = loaded([0.0, 50.0, 100.0, 150.0], sends=40.0)
    host.run_to(host.now + UPDATE_PERIOD_MS)
    lowered = weights(host)
    assert max(lowered) == 0.0
    loads = sorted(-backend.load for backend in host.balancer.endpoints.backends.values())
    assert lowered == [load - max(loads) for load in loads]


def test_a_spread_beyond_tdiff_is_compressed_to_it_in_proportion() -> None:
    host = loaded([0.0, 4000.0, 8000.0], sends=3.0)
    host.run_to(host.now + UPDATE_PERIOD_MS)
    tdiff = host.balancer.turns.sends.mean / 3
    lowest, middle, highest = weights(host)
    assert highest == 0.0
    assert abs(lowest + tdiff) < 1e-9
    assert tdiff * 0.4 < -middle < tdiff * 0.6


def served(host: Host, requests: int, took: float, pause: float) -> list[int]:
    """Who served so many requests, one after the other."""
    host.run_to(host.now + 500.0)
    used = []
    for _ in range(requests):
        ident = host.arrive()
        used.append(host.requests[ident].attempts[0].backend)
        host.run_to(host.now + took)
        host.end(ident, 0, Outcome.SERVED, 20.0)
        host.run_to(host.now + pause)
    return used


def test_of_near_equals_the_one_with_an_open_connection_takes_the_turn() -> None:
    """Its connection is open; one more to another backend would stand in a table that all proxies share."""
    host = Host(Settings((WORK,), max_attempts=3))
    host.listed(ListKind.CACHED, *fleet(6))
    used = served(host, 6, took=20.0, pause=400.0)  # in which the board is worked off
    assert len(set(used)) < 6  # without, they would take turns
    host.run_to(host.now + 5000.0)
    last = used[-1]
    ident = host.arrive()
    host.end(ident, 0, Outcome.REJECTED, 1.0)
    first, second = host.requests[ident].attempts
    assert first.backend != last and second.backend != first.backend  # it is long ago: the turns go on


def test_an_open_connection_loses_to_a_much_less_booked_backend() -> None:
    used = served(host_of(6), 12, took=0.0, pause=0.0)
    assert len(set(used)) == 6, used
