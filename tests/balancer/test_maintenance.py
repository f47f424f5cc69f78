"""Tests rules 3 and 4 for a backend that operators take out of service and restart."""

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
from tests.balancer.strict_host import Host, backend_fleet
from tests.balancer.test_request_lifecycle import make_host

RESTARTED = 3


def host_in_maintenance(now: float = 1e6) -> Host:
    host = make_host(Effect.IDEMPOTENT)
    host.advance_to(now)
    host.balancer.handle(host.now, BeginMaintenance(RESTARTED, host.now))
    return host


def targets(host: Host, requests: int = 60) -> set[int]:
    backends = set()
    for _ in range(requests):
        ident = host.start_request()
        backends.add(host.requests[ident].attempts[0].backend)
        host.now += 20.0
        host.end_attempt(ident, 0, Outcome.SERVED)
        host.advance_to(host.now + 20.0)
    return backends


@pytest.mark.parametrize("kind", [ListKind.FULL, ListKind.CHANGES])
def test_a_backend_in_maintenance_gets_no_attempts_whatever_the_list_says(kind: ListKind) -> None:
    host = host_in_maintenance()
    for started in (0.0, 5.0):
        infos = [BackendInfo(info.backend, cell=info.cell, started_ms=started) for info in backend_fleet(8)]
        host.receive_list(kind, *infos)
        assert RESTARTED not in targets(host)
    host.receive_list(ListKind.CHANGES, BackendInfo(RESTARTED, BackendState.REMOVED))
    host.receive_list(ListKind.CHANGES, BackendInfo(RESTARTED))
    assert RESTARTED not in targets(host)


@pytest.mark.parametrize(
    ("listed", "counts_as"),
    [(0.0, "end"), (900e3, "end"), (1001e3, "list")],
    ids=["long ago", "before the maintenance", "since its beginning"],
)
def test_a_start_listed_before_the_maintenance_is_replaced_by_its_end(listed: float, counts_as: str) -> None:
    """A list that does not show the restart yet must not make the backend count as warm (rule 4)."""
    host = host_in_maintenance()
    entry = BackendInfo(RESTARTED, started_ms=listed)
    host.receive_list(ListKind.CHANGES, entry)
    ended_at = host.now + 3000.0
    host.advance_to(ended_at)
    host.balancer.handle(host.now, EndMaintenance(RESTARTED, 1e6, ended_at))
    for _ in range(2):
        counted = host.balancer.endpoints.backends[RESTARTED].info.started_ms
        assert counted == (ended_at if counts_as == "end" else listed)
        host.receive_list(ListKind.CHANGES, entry)  # The list repeats its entry.


def test_a_maintenance_that_began_in_another_process_is_ended() -> None:
    """A new process of the proxy has only the recorded beginning of the maintenance and an old list."""
    host = make_host(Effect.IDEMPOTENT)
    host.balancer.handle(host.now, EndMaintenance(RESTARTED, host.now - 5000.0, host.now - 1000.0))
    host.receive_list(ListKind.CHANGES, BackendInfo(RESTARTED))
    assert host.balancer.endpoints.backends[RESTARTED].info.started_ms == host.now - 1000.0


def test_records_of_removed_backends_are_dropped() -> None:
    host = host_in_maintenance()
    host.receive_list(ListKind.FULL, *[info for info in backend_fleet(8) if info.backend != RESTARTED])
    maintenance = host.balancer.endpoints.maintenance
    assert not maintenance.entries
    host.balancer.handle(host.now, EndMaintenance(RESTARTED, 1e6, host.now))
    assert RESTARTED not in host.balancer.endpoints.backends  # It is no longer on the list.
    host.receive_list(ListKind.FULL, *[info for info in backend_fleet(8) if info.backend != RESTARTED])
    assert not maintenance.ended and not maintenance.began
