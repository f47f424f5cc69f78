"""The endpoint list, as discovery sends it, and its parser.  Each endpoint is a backend."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from heronreel.balancer.interface import BackendState
from heronreel.proxy.errors import MalformedEndpointListError

STATE_BY_STATUS = {"active": BackendState.UP, "leaving": BackendState.DRAINING, "left": BackendState.REMOVED}


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of the endpoint list.

    Attributes:
        address: Host and port.  The entry of an endpoint that has left may lack it.
        since_ms: When the backend's process started, in ms since the epoch.
        pool: The endpoint's pool, if the proxy's host configures pools.
    """

    name: str
    address: tuple[str, int] | None
    zone: str
    kind: str
    cell: int
    state: BackendState
    weight: float
    since_ms: float
    pool: str = ""


@dataclass(slots=True, frozen=True)
class EndpointList:
    """One message from discovery: a snapshot of the whole list, or only the entries that changed."""

    index: int
    is_snapshot: bool
    endpoints: list[Endpoint]


def parse_endpoint_list(message: object) -> EndpointList:
    """Parse an endpoint list from a decoded JSON message.

    Raises:
        MalformedEndpointListError: A field is missing, has the wrong type or is out of range.
    """
    if not isinstance(message, dict):
        raise MalformedEndpointListError("the message is not a JSON object")
    index, is_snapshot, entries = message.get("index"), message.get("snapshot"), message.get("endpoints")
    if isinstance(index, bool) or not isinstance(index, int):
        raise MalformedEndpointListError(f"index: not an integer: {index!r:.40}")
    if not isinstance(is_snapshot, bool):
        raise MalformedEndpointListError(f"snapshot: not a boolean: {is_snapshot!r:.40}")
    if not isinstance(entries, list):
        raise MalformedEndpointListError("endpoints: not an array")
    return EndpointList(index, is_snapshot, [_parse_endpoint(entry) for entry in entries])


def _parse_endpoint(entry: object) -> Endpoint:
    if not isinstance(entry, dict):
        raise MalformedEndpointListError(f"endpoints: an entry is not an object: {entry!r:.40}")
    name = _parse_string(entry, "name", None)
    state = STATE_BY_STATUS.get(_parse_string(entry, "status", None))
    if state is None:
        raise MalformedEndpointListError(f"status: unknown status {entry.get('status')!r:.40}")
    return Endpoint(
        name,
        _parse_address(entry, state),
        _parse_string(entry, "zone", ""),
        _parse_string(entry, "type", ""),
        int(_parse_number(entry, "group", 0.0)),
        state,
        _parse_number(entry, "weight", 1.0),
        _parse_number(entry, "since_ms", 0.0),
    )


def _parse_string(entry: dict[str, Any], field: str, default: str | None) -> str:
    """Return a string field.  Without a default the field is required and must not be empty."""
    value = entry.get(field, default)
    if not isinstance(value, str) or (default is None and not value):
        raise MalformedEndpointListError(f"{field}: not a valid string: {value!r:.40}")
    return value


def _parse_number(entry: dict[str, Any], field: str, default: float) -> float:
    value = entry.get(field, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise MalformedEndpointListError(f"{field}: not a finite number: {value!r:.40}")
    return value


def _parse_address(entry: dict[str, Any], state: BackendState) -> tuple[str, int] | None:
    if "address" not in entry and state is BackendState.REMOVED:
        return None
    text = _parse_string(entry, "address", None)
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
        raise MalformedEndpointListError(f"address: not HOST:PORT: {text[:40]!r}")
    return host.strip("[]"), int(port)
