"""What a growing and changing list does to one proxy's tables and to keys' owners."""

import random
from typing import Any

import pytest

from heronreel.balancer.interface import BackendInfo, BackendState, ListKind, Outcome
from tests.balancer.strict_host import Host, large

SETTINGS = large(proxies=40, proxy_index=7, key_affinity=True, slow_start_ms=5_000.0)


def line(number: int, started: float = 0.0, state: BackendState = BackendState.UP) -> BackendInfo:
    return BackendInfo(7919 * number + 1, state, kind="abc"[number % 3], cell=number // 5, started_ms=started)


def sizes(owner: Any, prefix: str = "") -> dict[str, int]:
    """Of everything a balancer and its parts keep that has a length."""
    found: dict[str, int] = {}
    for name, value in vars(owner).items():
        if hasattr(value, "__len__"):
            parts = (
                [part for part in value if hasattr(part, "__len__")] if isinstance(value, tuple) else [value]
            )
            found[prefix + name] = sum(len(part) for part in parts if hasattr(part, "__len__"))
        elif name != "endpoints" or not prefix:  # parts refer to the endpoints, which are counted once
            found |= sizes(value, f"{prefix}{name}.") if hasattr(value, "__dict__") else {}
    return found


@pytest.mark.parametrize("seed", [1, 2])
def test_ten_thousand_backends_come_and_go_and_no_table_grows(seed: int) -> None:
    draw, host, up = random.Random(seed), Host(SETTINGS, seed), list(range(30))
    host.listed(ListKind.CACHED, *map(line, up))
    early: dict[str, int] = {}
    for number in range(30, 10_030):
        gone = up.pop(draw.randrange(len(up)))
        up.append(number)
        left = line(gone, state=draw.choice((BackendState.REMOVED, BackendState.DRAINING)))
        host.listed(ListKind.CHANGES, line(number, host.now), left)
        host.run_to(host.now + 20.0)
        ident = host.arrive(key=draw.randrange(50))
        if host.requests[ident].attempts:
            outcome = draw.choice((Outcome.SERVED, Outcome.SERVED, Outcome.TIMEOUT))
            host.end(ident, 0, outcome, 30.0)
            if outcome is Outcome.TIMEOUT and not host.requests[ident].over:
                host.disconnect(ident)
                for which, attempt in host.in_flight():
                    host.end(which, attempt, Outcome.CANCELLED, 1.0)
        host.log.clear()
        if number == 1_030:
            early = sizes(host.balancer)
    late = sizes(host.balancer)
    assert len(host.balancer.endpoints.backends) == 30
    grown = {name: (early[name], size) for name, size in late.items() if size > early.get(name, 0) + 150}
    assert not grown, (grown, "seed", seed)


def test_a_change_of_the_list_moves_the_owners_of_the_affected_keys_alone() -> None:
    host = Host(SETTINGS)
    host.listed(ListKind.CACHED, *map(line, range(40)))

    def owners() -> dict[int, list[int]]:
        for key in range(200):
            host.end(host.arrive(key=key), 0, Outcome.SERVED, 30.0)
            host.run_to(host.now + 50.0)
        return {key: list(host.balancer.turns.key_owners[key]) for key in range(200)}

    before = owners()
    host.listed(ListKind.CHANGES, line(3, state=BackendState.REMOVED), line(40))
    after, left, came = owners(), line(3).backend, line(40).backend
    moved = [key for key in before if before[key] != after[key]]
    assert moved and all(left in before[key] or came in after[key] for key in moved)
    for key in moved:  # and of these only the place that had to change
        old, new = before[key], after[key]
        assert [owner for owner in old if owner in new] == [owner for owner in new if owner in old]
    assert len(moved) < 60
