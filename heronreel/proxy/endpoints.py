"""The list of endpoints (backends) as discovery sends it, and its parser."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from heronreel.balancer.interface import BackendState
from heronreel.proxy.errors import MalformedEndpointListError

STATES = {"active": BackendState.UP, "leaving": BackendState.DRAINING, "left": BackendState.REMOVED}


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of the list."""

    name: str
    address: tuple[str, int] | None  # None: the entry of one that has left may lack it
    zone: str
    kind: str
    cell: int
    state: BackendState
    weight: float
    since_ms: float  # when its process started, since the epoch
    pool: str = ""  # where the host has pools of its own


@dataclass(slots=True, frozen=True)
class EndpointList:
    """One message of discovery: a snapshot of the whole list, or the entries that changed."""

    index: int
    is_snapshot: bool
    endpoints: list[Endpoint]


def parse_endpoint_list(message: object) -> EndpointList:
    """The list that a decoded JSON message holds.

    Raises:
        MalformedEndpointListError: A field is missing, of a wrong type or out of range.
    """
    if not isinstance(message, dict):
        raise MalformedEndpointListError("not an object")
    index, is_snapshot, entries = message.get("index"), message.get("snapshot"), message.get("endpoints")
    if isinstance(index, bool) or not isinstance(index, int):
        raise MalformedEndpointListError(f"index: not a whole number: {index!r:.40}")
    if not isinstance(is_snapshot, bool):
        raise MalformedEndpointListError(f"snapshot: neither true nor false: {is_snapshot!r:.40}")
    if not isinstance(entries, list):
        raise MalformedEndpointListError("endpoints: not a list")
    return EndpointList(index, is_snapshot, [_parse_endpoint(entry) for entry in entries])


def _parse_endpoint(entry: object) -> Endpoint:
    if not isinstance(entry, dict):
        raise MalformedEndpointListError(f"endpoints: not an object: {entry!r:.40}")
    name = _text(entry, "name", None)
    state = STATES.get(_text(entry, "status", None))
    if state is None:
        raise MalformedEndpointListError(f"status: unknown: {entry.get('status')!r:.40}")
    return Endpoint(
        name,
        _address(entry, state),
        _text(entry, "zone", ""),
        _text(entry, "type", ""),
        int(_number(entry, "group", 0.0)),
        state,
        _number(entry, "weight", 1.0),
        _number(entry, "since_ms", 0.0),
    )


def _text(entry: dict[str, Any], field: str, default: str | None) -> str:
    value = entry.get(field, default)
    if not isinstance(value, str) or (default is None and not value):
        raise MalformedEndpointListError(f"{field}: not a name: {value!r:.40}")
    return value


def _number(entry: dict[str, Any], field: str, default: float) -> float:
    value = entry.get(field, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise MalformedEndpointListError(f"{field}: not a number: {value!r:.40}")
    return value


def _address(entry: dict[str, Any], state: BackendState) -> tuple[str, int] | None:
    if "address" not in entry and state is BackendState.REMOVED:
        return None
    text = _text(entry, "address", None)
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
        raise MalformedEndpointListError(f"address: not HOST:PORT: {text[:40]!r}")
    return host.strip("[]"), int(port)
