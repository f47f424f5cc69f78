"""Holds in the decision module: rules 3 and 4 around a backend that operators restart."""

import pytest

from heronreel.balancer.interface import (
    BackendInfo,
    BeginMaintenance,
    Effect,
    EndMaintenance,
    ListKind,
    Outcome,
    State,
)
from tests.balancer.strict_host import Host, fleet
from tests.balancer.test_request_lifecycle import host_of

HELD = 3


def held_host(now: float = 1e6) -> Host:
    host = host_of(Effect.IDEMPOTENT)
    host.run_to(now)
    host.balancer.handle(host.now, BeginMaintenance(HELD, host.now))
    return host


def targets(host: Host, asks: int = 60) -> set[int]:
    found = set()
    for _ in range(asks):
        ident = host.arrive()
        found.add(host.owed[ident].attempts[0].backend)
        host.now += 20.0
        host.end(ident, 0, Outcome.SERVED)
        host.run_to(host.now + 20.0)
    return found


@pytest.mark.parametrize("kind", [ListKind.FULL, ListKind.CHANGES])
def test_no_list_gives_a_held_backend_a_turn(kind: ListKind) -> None:
    host = held_host()
    for started in (0.0, 5.0):
        infos = [BackendInfo(info.backend, cell=info.cell, started_ms=started) for info in fleet(8)]
        host.listed(kind, *infos)
        assert HELD not in targets(host)
    host.listed(ListKind.CHANGES, BackendInfo(HELD, State.GONE))
    host.listed(ListKind.CHANGES, BackendInfo(HELD))
    assert HELD not in targets(host)


@pytest.mark.parametrize(
    ("listed", "counts_as"),
    [(0.0, "release"), (900e3, "release"), (1001e3, "list")],
    ids=["long ago", "before the hold", "since the hold"],
)
def test_what_comes_back_counts_as_started(listed: float, counts_as: str) -> None:
    """Guards rule 4: the list has not heard of the restart yet, now or in its next words."""
    host = held_host()
    line = BackendInfo(HELD, started_ms=listed)
    host.listed(ListKind.CHANGES, line)
    released = host.now + 3000.0
    host.run_to(released)
    host.balancer.handle(host.now, EndMaintenance(HELD, 1e6, released))
    for _ in range(2):
        counted = host.balancer.endpoints.backends[HELD].info.started_ms
        assert counted == (released if counts_as == "release" else listed)
        host.listed(ListKind.CHANGES, line)  # said again


def test_a_release_of_another_process_counts_too() -> None:
    """A successor that never saw the hold, only files of it, and the old list."""
    host = host_of(Effect.IDEMPOTENT)
    host.balancer.handle(host.now, EndMaintenance(HELD, host.now - 5000.0, host.now - 1000.0))
    host.listed(ListKind.CHANGES, BackendInfo(HELD))
    assert host.balancer.endpoints.backends[HELD].info.started_ms == host.now - 1000.0


def test_nothing_is_kept_of_backends_that_are_gone() -> None:
    host = held_host()
    host.listed(ListKind.FULL, *[info for info in fleet(8) if info.backend != HELD])
    books = host.balancer.endpoints.maintenance
    assert not books.lines
    host.balancer.handle(host.now, EndMaintenance(HELD, 1e6, host.now))
    assert HELD not in host.balancer.endpoints.backends  # the list has it no more
    host.listed(ListKind.FULL, *[info for info in fleet(8) if info.backend != HELD])
    assert not books.ended and not books.began
