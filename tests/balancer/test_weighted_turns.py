"""Tests compressed weights, weighted turns and learned speeds (DESIGN 3 to 5)."""

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
from tests.balancer.strict_host import Host, backend_fleet

WORK = RequestClass("work", 500.0, 20000.0, effect=Effect.IDEMPOTENT)


def make_host(backends: int, seed: int = 1) -> Host:
    host = Host(Settings((WORK,)), seed)
    host.receive_list(ListKind.CACHED, *backend_fleet(backends))
    return host


def first_backends(host: Host) -> list[int]:
    """Return the backend of the first attempt of each request that was sent."""
    return [request.attempts[0].backend for request in host.requests.values() if request.attempts]


def test_equal_backends_take_even_turns() -> None:
    host = make_host(6)
    for _ in range(60):
        host.start_request()
    assert set(Counter(first_backends(host)).values()) == {10}


def test_proxies_start_with_different_backends() -> None:
    first_choices = set()
    for seed in range(30):
        host = make_host(12, seed)
        host.start_request()
        first_choices.add(first_backends(host)[0])
    assert len(first_choices) > 6


def test_a_heavily_booked_backend_gets_no_turn_before_the_others() -> None:
    host = make_host(3)
    host.start_request(hint_ms=3000.0)
    loaded = first_backends(host)[0]
    host.advance_to(host.now + 2 * UPDATE_PERIOD_MS)
    later = [host.requests[host.start_request(hint_ms=50.0)].attempts[0].backend for _ in range(2)]
    assert loaded not in later


def test_a_slow_backend_gets_fewer_requests() -> None:
    host = make_host(4)
    slow = 102
    for _ in range(1500):
        for ident, attempt in host.in_flight():
            sent = host.requests[ident].attempts[attempt]
            if host.now >= sent.at + (480.0 if sent.backend == slow else 60.0):
                host.end_attempt(ident, attempt, Outcome.SERVED)
        host.start_request(hint_ms=50.0, time_left_ms=20000.0)
        host.advance_to(host.now + 20.0)
    late = Counter(first_backends(host)[-600:])
    assert late[slow] * 3 < min(late[b] for b in (100, 101, 103))


def test_errors_and_timeouts_do_not_change_the_learned_speed() -> None:
    host = make_host(2)
    before = [b.cost_factor for b in host.balancer.endpoints.backends.values()]
    for outcome in (Outcome.ERROR, Outcome.TIMEOUT, Outcome.REJECTED, Outcome.RESET):
        ident = host.start_request()
        host.now += 900.0
        host.end_attempt(ident, 0, outcome)
    assert [b.cost_factor for b in host.balancer.endpoints.backends.values()] == before


def test_the_same_events_give_the_same_actions() -> None:
    def play() -> list[int]:
        balancer = Balancer(Settings((WORK,)), 7)
        balancer.handle(0.0, BackendList(ListKind.CACHED, backend_fleet(9)))
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
    """Return a host with these costs booked on its boards, `sends` attempts per period and none in flight."""
    host = make_host(len(bookings))
    balancer = host.balancer
    host.advance_to(host.now + 250.0)
    balancer.turns.sends.biased_mean, balancer.turns.sends.correction = sends, 1.0
    balancer.turns.booked_work.biased_mean, balancer.turns.booked_work.correction = sends * 100.0, 1.0
    for backend, cost in zip(balancer.endpoints.backends.values(), bookings, strict=True):
        backend.board.queue.append((host.now + UPDATE_PERIOD_MS, cost))
        balancer.endpoints.booked[backend.info.backend] = None
    return host


def test_weights_within_tdiff_are_not_compressed() -> None:
    host = loaded([0.0, 50.0, 100.0, 150.0], sends=40.0)
    host.advance_to(host.now + UPDATE_PERIOD_MS)
    lowered = weights(host)
    assert max(lowered) == 0.0
    loads = sorted(-backend.load for backend in host.balancer.endpoints.backends.values())
    assert lowered == [load - max(loads) for load in loads]


def test_weights_beyond_tdiff_are_compressed_in_proportion() -> None:
    host = loaded([0.0, 4000.0, 8000.0], sends=3.0)
    host.advance_to(host.now + UPDATE_PERIOD_MS)
    tdiff = host.balancer.turns.sends.mean / 3
    lowest, middle, highest = weights(host)
    assert highest == 0.0
    assert abs(lowest + tdiff) < 1e-9
    assert tdiff * 0.4 < -middle < tdiff * 0.6


def serve_in_sequence(host: Host, requests: int, latency_ms: float, pause_ms: float) -> list[int]:
    """Return the backends that served a number of requests, one after the other."""
    host.advance_to(host.now + 500.0)
    used = []
    for _ in range(requests):
        ident = host.start_request()
        used.append(host.requests[ident].attempts[0].backend)
        host.advance_to(host.now + latency_ms)
        host.end_attempt(ident, 0, Outcome.SERVED, 20.0)
        host.advance_to(host.now + pause_ms)
    return used


def test_a_backend_with_an_open_connection_is_preferred_among_almost_equal_ones() -> None:
    """Another connection would take a place in that backend's connection table, which all proxies share."""
    host = Host(Settings((WORK,), max_attempts=3))
    host.receive_list(ListKind.CACHED, *backend_fleet(6))
    # The booked work is done in each pause.
    used = serve_in_sequence(host, 6, latency_ms=20.0, pause_ms=400.0)
    assert len(set(used)) < 6  # Without the preference, all six would take turns.
    host.advance_to(host.now + 5000.0)
    last = used[-1]
    ident = host.start_request()
    host.end_attempt(ident, 0, Outcome.REJECTED, 1.0)
    first, second = host.requests[ident].attempts
    # The connection is no longer assumed to be open, so turns decide.
    assert first.backend != last and second.backend != first.backend


def test_a_much_less_booked_backend_is_preferred_to_an_open_connection() -> None:
    used = serve_in_sequence(make_host(6), 12, latency_ms=0.0, pause_ms=0.0)
    assert len(set(used)) == 6, used
