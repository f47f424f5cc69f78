"""The known backends, according to the endpoint list and the operators' cordons."""

from __future__ import annotations

import hashlib
import logging
import math
import time
from collections.abc import Callable, Iterable

from heronreel.balancer import interface as api
from heronreel.proxy.backend_connection import Backend, Place
from heronreel.proxy.connection_pool import ConnectionPool
from heronreel.proxy.endpoints import Endpoint, EndpointList
from heronreel.proxy.shared_state import Cordon

log = logging.getLogger(__name__)


def stable_number(name: bytes) -> int:
    """Return a number for a name that is the same at all proxies.

    It has 53 bits, like the keys of the simulator.
    """
    return int.from_bytes(hashlib.blake2b(name, digest_size=8).digest()) >> 11


class BackendRegistry:
    """The known backends, by number.  Each change is dispatched to the balancer as an event."""

    def __init__(
        self, pool: ConnectionPool, dispatch: Callable[[api.Event], None], merges_file: bool
    ) -> None:
        self.pool = pool
        self.dispatch = dispatch
        self.merges_file = merges_file  # Endpoints from a file are used in addition to discovery's.
        self.backends: dict[int, Backend] = {}
        self.numbers: dict[str, int] = {}  # The numbers of the backends by name.
        self.cordons: dict[str, Cordon] = {}  # Cordons by backend name, including released ones.

    def is_serving(self) -> bool:
        """Return whether any backend may get requests."""
        return any(backend.listed for backend in self.backends.values())

    def is_known(self, name: str) -> bool:
        """Return whether a backend with this name is known or has a cordon."""
        return name in self.numbers or name in self.cordons

    def remove_if_unused(self, backend: Backend) -> None:
        """Drop a backend that is no longer listed, unless attempts to it are in flight."""
        if not backend.listed and not backend.in_flight and self.backends.get(backend.number) is backend:
            del self.backends[backend.number], self.numbers[backend.name]

    def _number_for(self, name: str) -> int:
        number = self.numbers.get(name)
        if number is not None:
            return number
        number = stable_number(name.encode())
        while number in self.backends:  # The number is in use for another name.
            number = stable_number(b"%d" % number)
        return number

    # Cordons.

    def apply_cordons(self, cordons: dict[str, Cordon]) -> None:
        """Apply the cordons that operators have set or released since the last call, through any process."""
        for name, cordon in cordons.items():
            if cordon != self.cordons.get(name):
                self._apply_cordon(cordon)
        for name in [name for name, old in self.cordons.items() if old.released_ms and name not in cordons]:
            # A released cordon disappears from the shared state after a while.  A cordon in force is never
            # dropped: it ends only by its release.
            del self.cordons[name]

    def _apply_cordon(self, cordon: Cordon) -> None:
        number, in_force = self._number_for(cordon.name), not cordon.released_ms
        self.cordons[cordon.name] = cordon
        log.info("%s %s", "cordoned" if in_force else "uncordoned", cordon.name)
        backend = self.backends.get(number)
        if backend:
            backend.cordoned = in_force
            self.pool.close_idle(backend)  # The backend is cordoned, or may have been restarted meanwhile.
        if in_force:
            self.dispatch(api.BeginMaintenance(number, cordon.since_ms))
            return
        self.dispatch(api.EndMaintenance(number, cordon.since_ms, cordon.released_ms))
        if backend:
            self.remove_if_unused(backend)

    # The endpoint list.

    def update(self, endpoints: EndpointList, kind: api.ListKind, from_file: bool = False) -> None:
        """Apply an endpoint list, or changes of the list."""
        infos = [self._update_endpoint(endpoint) for endpoint in endpoints.endpoints]
        infos += self._supersede_by_address(infos)
        if endpoints.is_snapshot:
            listed = {info.backend for info in infos}
            missing = [backend for backend in self.backends.values() if backend.number not in listed]
            for backend in missing:
                if not self.merges_file:
                    self._start_draining(backend)
                # The file does not list discovery's endpoints, and discovery does not list the file's.
                elif (backend.pool != "") == from_file:
                    infos.append(api.BackendInfo(backend.number, api.BackendState.REMOVED, pool=backend.pool))
                    self._start_draining(backend)
        if self.merges_file and kind is api.ListKind.FULL:
            kind = api.ListKind.CHANGES
        self.dispatch(api.BackendList(kind, infos))

    def _supersede_by_address(self, updated: list[api.BackendInfo]) -> list[api.BackendInfo]:
        """Take out the backends at whose address a process that started later is listed under another name.

        Their processes have ended, though no list says so yet; what is sent to them would reach the other.
        """
        places = {backend.place for backend in self._listed(info.backend for info in updated)}
        candidates = [backend for backend in self._listed(self.backends) if backend.place in places]
        started_ms: dict[Place, float] = {}
        for backend in candidates:
            started_ms[backend.place] = max(backend.since_ms, started_ms.get(backend.place, 0.0))
        superseded = [backend for backend in candidates if backend.since_ms < started_ms[backend.place]]
        for backend in superseded:
            self._start_draining(backend)
            backend.draining_since = -math.inf  # without the grace of a process that still runs
        return [
            api.BackendInfo(backend.number, api.BackendState.REMOVED, pool=backend.pool)
            for backend in superseded
        ]

    def _listed(self, numbers: Iterable[int]) -> list[Backend]:
        known = [self.backends[number] for number in numbers if number in self.backends]
        return [backend for backend in known if backend.listed]

    def _update_endpoint(self, endpoint: Endpoint) -> api.BackendInfo:
        number = self._number_for(endpoint.name)
        backend = self.backends.get(number)
        if endpoint.state is not api.BackendState.UP or endpoint.address is None:
            if backend:
                self._start_draining(backend)
        elif backend is None:
            self._add(number, endpoint, endpoint.address)
        else:
            backend.listed = True
            if (backend.address, backend.since_ms) != (endpoint.address, endpoint.since_ms):
                backend.address, backend.since_ms = endpoint.address, endpoint.since_ms
                self.pool.close_idle(backend)  # Its connections lead to the earlier address or process.
        return api.BackendInfo(
            number,
            endpoint.state,
            endpoint.zone,
            endpoint.kind,
            endpoint.cell,
            endpoint.weight,
            endpoint.since_ms,
            endpoint.pool,
        )

    def _add(self, number: int, endpoint: Endpoint, address: tuple[str, int]) -> None:
        self.numbers[endpoint.name] = number
        backend = Backend(number, endpoint.name, address, endpoint.since_ms, endpoint.pool)
        cordon = self.cordons.get(endpoint.name)
        backend.cordoned = cordon is not None and not cordon.released_ms
        self.backends[number] = backend

    def _start_draining(self, backend: Backend) -> None:
        if backend.listed:
            backend.listed, backend.draining_since = False, time.monotonic()
            self.pool.close_idle(backend)
            self.remove_if_unused(backend)
