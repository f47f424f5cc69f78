"""A backend process that comes up at the address of one that has gone is not taken for it."""

from __future__ import annotations

import itertools
from typing import Any, cast

import pytest

from heronreel.balancer import interface as api
from heronreel.proxy.backend_registry import BackendRegistry
from heronreel.proxy.connection_pool import ConnectionPool
from heronreel.proxy.endpoints import parse_endpoint_list
from tests.proxy.test_made_up_names import EmptyConnectionPool
from tests.support.loopback import entry

ADDRESS, OTHER_ADDRESS = "127.0.0.1:7001", "127.0.0.1:7002"


def started_at(
    name: str, address: str, since_ms: int, status: str = "active", group: int = 0
) -> dict[str, Any]:
    return entry(name, address, status, group) | {"since_ms": since_ms}


class Registry:
    """A registry that is told lists, and the last state of each backend that the balancer was told."""

    def __init__(self) -> None:
        self.states: dict[int, api.BackendState] = {}
        self.registry = BackendRegistry(cast(ConnectionPool, EmptyConnectionPool()), self._dispatch, False)

    def _dispatch(self, event: api.Event) -> None:
        assert isinstance(event, api.BackendList)
        if event.kind is api.ListKind.FULL:
            self.states.clear()
        self.states |= {info.backend: info.state for info in event.backends}

    def tell(self, *entries: dict[str, Any], snapshot: bool = False) -> None:
        document = {"index": 1, "snapshot": snapshot, "endpoints": list(entries)}
        kind = api.ListKind.FULL if snapshot else api.ListKind.CHANGES
        self.registry.update(parse_endpoint_list(document), kind)

    def usable(self) -> set[str]:
        """Return the names of the backends that may get requests, as registry and balancer agree."""
        listed = {backend.name for backend in self.registry.backends.values() if backend.listed}
        told = {number for number, state in self.states.items() if state is api.BackendState.UP}
        assert told == {self.registry.numbers[name] for name in listed}
        return listed


@pytest.mark.parametrize("snapshot", [False, True])
def test_a_new_name_at_the_address_of_an_older_process_replaces_it(snapshot: bool) -> None:
    told = Registry()
    old, new = started_at("old", ADDRESS, 1000), started_at("new", ADDRESS, 2000)
    told.tell(old, started_at("other", OTHER_ADDRESS, 5000), snapshot=True)
    told.tell(*((old, started_at("other", OTHER_ADDRESS, 5000)) if snapshot else ()), new, snapshot=snapshot)
    assert told.usable() == {"new", "other"}
    told.tell(started_at("old", ADDRESS, 1000, "left"))
    assert told.usable() == {"new", "other"}


@pytest.mark.parametrize("order", itertools.permutations([1000, 2000, 3000]))
def test_of_several_names_at_one_address_the_process_that_started_last_is_used(
    order: tuple[int, ...],
) -> None:
    told = Registry()
    for since_ms in order:
        told.tell(started_at(f"s{since_ms}", ADDRESS, since_ms))
    assert told.usable() == {"s3000"}


def test_names_at_one_address_that_started_at_the_same_time_are_all_used() -> None:
    told = Registry()
    told.tell(started_at("a", ADDRESS, 0), started_at("b", ADDRESS, 0), snapshot=True)
    assert told.usable() == {"a", "b"}


def test_a_replaced_backend_that_moves_to_another_address_is_used_again() -> None:
    told = Registry()
    told.tell(started_at("old", ADDRESS, 1000), snapshot=True)
    told.tell(started_at("new", ADDRESS, 2000))
    told.tell(started_at("old", OTHER_ADDRESS, 3000))
    assert told.usable() == {"new", "old"}
