"""One proxy with a list of 1,024 backends, all of which are cordoned (docs/fleet-design.md)."""

import json
from pathlib import Path
from typing import cast

from heronreel.balancer.interface import BeginMaintenance, Event, ListKind
from heronreel.proxy.backend_registry import BackendRegistry
from heronreel.proxy.config import resource_shares
from heronreel.proxy.connection_pool import ConnectionPool
from heronreel.proxy.endpoint_call import MAX_LINE_BYTES
from heronreel.proxy.endpoints import parse_endpoint_list
from heronreel.proxy.shared_state import MAX_CORDONS, Cordon, SharedState
from tests.proxy.test_made_up_names import EmptyConnectionPool
from tests.support.loopback import entry

BACKEND_COUNT = 1024
NAME_LENGTH = 200
NAMES = [f"{number:04}".ljust(NAME_LENGTH, "b") for number in range(BACKEND_COUNT)]


def test_a_list_of_1024_backends_with_long_names_is_accepted_and_all_can_be_cordoned() -> None:
    entries = [entry(name, f"127.0.0.1:{2000 + index}") for index, name in enumerate(NAMES)]
    line = json.dumps({"index": 1, "snapshot": True, "endpoints": entries})
    assert len(line) < MAX_LINE_BYTES
    events: list[Event] = []
    registry = BackendRegistry(cast(ConnectionPool, EmptyConnectionPool()), events.append, False)
    registry.update(parse_endpoint_list(json.loads(line)), ListKind.FULL)
    assert len(registry.backends) == len(registry.numbers) == BACKEND_COUNT <= MAX_CORDONS
    registry.apply_cordons({name: Cordon(name, 1.0) for name in NAMES})
    assert sum(isinstance(event, BeginMaintenance) for event in events) == BACKEND_COUNT


def test_the_processes_of_a_proxy_share_the_cordons_of_1024_backends(tmp_path: Path) -> None:
    writer, reader = SharedState(tmp_path), SharedState(tmp_path)
    for name in NAMES:
        writer.put(Cordon(name, 1.0))
    assert reader.read()[0].keys() == set(NAMES)


def test_a_large_descriptor_limit_leaves_many_descriptors_for_each_backend() -> None:
    shares = resource_shares(1 << 16)
    assert min(shares.client_sockets, shares.backend_sockets) > 20 * BACKEND_COUNT
