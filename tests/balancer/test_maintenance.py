"""Maintenance: rules 3 and 4 around a backend that operators restart."""

import pytest

from heronreel.balancer.interface import (
    BackendInfo,
    BackendState,
    BeginMaintenance,
    Effect,
    EndMaintenance,
    ListKind,
    Outcome,
)
from tests.balancer.strict_host import Host, fleet
from tests.balancer.test_request_lifecycle import host_of

RESTARTED = 3


def host_in_maintenance(now: float = 1e6) -> Host:
    host = host_of(Effect.IDEMPOTENT)
    host.run_to(now)
    host.balancer.handle(host.now, BeginMaintenance(RESTARTED, host.now))
    return host


def targets(host: Host, requests: int = 60) -> set[int]:
    found = set()
    for _ in range(requests):
        ident = host.arrive()
        found.add(host.requests[ident].attempts[0].backend)
        host.now += 20.0
        host.end(ident, 0, Outcome.SERVED)
        host.run_to(host.now + 20.0)
    return found


@pytest.mark.parametrize("kind", [ListKind.FULL, ListKind.CHANGES])
def test_no_list_gives_a_backend_in_maintenance_a_turn(kind: ListKind) -> None:
    host = host_in_maintenance()
    for started in (0.0, 5.0):
        infos = [BackendInfo(info.backend, cell=info.cell, started_ms=started) for info in fleet(8)]
        host.listed(kind, *infos)
        assert RESTARTED not in targets(host)
    host.listed(ListKind.CHANGES, BackendInfo(RESTARTED, BackendState.REMOVED))
    host.listed(ListKind.CHANGES, BackendInfo(RESTARTED))
    assert RESTARTED not in targets(host)


@pytest.mark.parametrize(
    ("listed", "counts_as"),
    [(0.0, "end"), (900e3, "end"), (1001e3, "list")],
    ids=["long ago", "before the maintenance", "since its beginning"],
)
def test_what_comes_back_counts_as_started(listed: float, counts_as: str) -> None:
    """Guards rule 4: the list has not heard of the restart yet, now or in its next message."""
    host = host_in_maintenance()
    line = BackendInfo(RESTARTED, started_ms=listed)
    host.listed(ListKind.CHANGES, line)
    ended_at = host.now + 3000.0
    host.run_to(ended_at)
    host.balancer.handle(host.now, EndMaintenance(RESTARTED, 1e6, ended_at))
    for _ in range(2):
        counted = host.balancer.endpoints.backends[RESTARTED].info.started_ms
        assert counted == (ended_at if counts_as == "end" else listed)
        host.listed(ListKind.CHANGES, line)  # said again


def test_an_end_of_maintenance_in_another_process_counts_too() -> None:
    """A successor that never saw the beginning, only files of it, and the old list."""
    host = host_of(Effect.IDEMPOTENT)
    host.balancer.handle(host.now, EndMaintenance(RESTARTED, host.now - 5000.0, host.now - 1000.0))
    host.listed(ListKind.CHANGES, BackendInfo(RESTARTED))
    assert host.balancer.endpoints.backends[RESTARTED].info.started_ms == host.now - 1000.0


def test_nothing_is_kept_of_backends_that_are_gone() -> None:
    host = host_in_maintenance()
    host.listed(ListKind.FULL, *[info for info in fleet(8) if info.backend != RESTARTED])
    maintenance = host.balancer.endpoints.maintenance
    assert not maintenance.entries
    host.balancer.handle(host.now, EndMaintenance(RESTARTED, 1e6, host.now))
    assert RESTARTED not in host.balancer.endpoints.backends  # the list has it no more
    host.listed(ListKind.FULL, *[info for info in fleet(8) if info.backend != RESTARTED])
    assert not maintenance.ended and not maintenance.began
