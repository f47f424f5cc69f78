"""Tests that changes of the backend list leave a proxy's tables bounded and move few owners of keys."""

import random
from typing import Any

import pytest

from heronreel.balancer.interface import BackendInfo, BackendState, ListKind, Outcome
from tests.balancer.strict_host import Host, large_fleet_settings

SETTINGS = large_fleet_settings(proxies=40, proxy_index=7, key_affinity=True, slow_start_ms=5_000.0)


def list_entry(number: int, started: float = 0.0, state: BackendState = BackendState.UP) -> BackendInfo:
    return BackendInfo(7919 * number + 1, state, kind="abc"[number % 3], cell=number // 5, started_ms=started)


def sizes(owner: Any, prefix: str = "") -> dict[str, int]:
    """Return the lengths of all containers that an object and the objects it holds keep."""
    found: dict[str, int] = {}
    for name, value in vars(owner).items():
        if hasattr(value, "__len__"):
            parts = (
                [part for part in value if hasattr(part, "__len__")] if isinstance(value, tuple) else [value]
            )
            found[prefix + name] = sum(len(part) for part in parts if hasattr(part, "__len__"))
        elif name != "endpoints" or not prefix:
            # Several objects refer to the endpoints, which are counted once.
            found |= sizes(value, f"{prefix}{name}.") if hasattr(value, "__dict__") else {}
    return found


@pytest.mark.parametrize("seed", [1, 2])
def test_no_table_grows_while_ten_thousand_backends_are_added_and_removed(seed: int) -> None:
    rng, host, up = random.Random(seed), Host(SETTINGS, seed), list(range(30))
    host.receive_list(ListKind.CACHED, *map(list_entry, up))
    early: dict[str, int] = {}
    for number in range(30, 10_030):
        removed = up.pop(rng.randrange(len(up)))
        up.append(number)
        removal = list_entry(removed, state=rng.choice((BackendState.REMOVED, BackendState.DRAINING)))
        host.receive_list(ListKind.CHANGES, list_entry(number, host.now), removal)
        host.advance_to(host.now + 20.0)
        ident = host.start_request(key=rng.randrange(50))
        if host.requests[ident].attempts:
            outcome = rng.choice((Outcome.SERVED, Outcome.SERVED, Outcome.TIMEOUT))
            host.end_attempt(ident, 0, outcome, 30.0)
            if outcome is Outcome.TIMEOUT and not host.requests[ident].has_ended:
                host.disconnect_client(ident)
                for which, attempt in host.in_flight():
                    host.end_attempt(which, attempt, Outcome.CANCELLED, 1.0)
        host.log.clear()
        if number == 1_030:
            early = sizes(host.balancer)
    late = sizes(host.balancer)
    assert len(host.balancer.endpoints.backends) == 30
    grown = {name: (early[name], size) for name, size in late.items() if size > early.get(name, 0) + 150}
    assert not grown, (grown, "seed", seed)


def test_a_change_of_the_list_changes_the_owners_of_affected_keys_only() -> None:
    host = Host(SETTINGS)
    host.receive_list(ListKind.CACHED, *map(list_entry, range(40)))

    def owners() -> dict[int, list[int]]:
        for key in range(200):
            host.end_attempt(host.start_request(key=key), 0, Outcome.SERVED, 30.0)
            host.advance_to(host.now + 50.0)
        return {key: list(host.balancer.turns.key_owners[key]) for key in range(200)}

    before = owners()
    host.receive_list(ListKind.CHANGES, list_entry(3, state=BackendState.REMOVED), list_entry(40))
    after, removed, added = owners(), list_entry(3).backend, list_entry(40).backend
    moved = [key for key in before if before[key] != after[key]]
    assert moved and all(removed in before[key] or added in after[key] for key in moved)
    for key in moved:  # The owners that remain keep their order.
        old, new = before[key], after[key]
        assert [owner for owner in old if owner in new] == [owner for owner in new if owner in old]
    assert len(moved) < 60
