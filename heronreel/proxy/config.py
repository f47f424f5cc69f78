"""What a proxy is told at start and at each reload: variables and one JSON file, checked and frozen.

`LB_NAME` and `LB_LISTEN` say who and where; the file that `LB_CONFIG` names holds `seed`, `limits`, `known`,
`settings` and `discovery`, which `LB_DISCOVERY` stands in for.  Anything missing or malformed is a
`ConfigError` whose one line names the field.
"""

from __future__ import annotations

import json
import resource
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from heronreel.balancer.errors import WireError
from heronreel.balancer.interface import Settings
from heronreel.balancer.wire import Fields, settings_of
from heronreel.proxy.discovery import BadList, Members, members_of

MB = 1 << 20
BASE_MB = 28  # of memory for the interpreter, the module and the connections' own books
BODY_SHARE = 0.4  # of the rest for bodies and held answers; parsing and garbage take their part too
BODY_LEAST_MB = 1.0  # under which too few requests could be held to be of use
OWN_DESCRIPTORS = 32  # standard streams, event loop, listener, discovery, and some to spare
BACKEND_SHARE = 0.45  # of the other descriptors; so no crowd of clients can take what backends need
CROWD_SHARE = 0.1  # over what clients may hold, only to tell the newest that it is refused


class ConfigError(Exception):
    """One line for the operator."""


@dataclass(slots=True, frozen=True)
class Config:
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int] | None  # None: `known` is all there is
    seed: int
    settings: Settings
    known: Members
    conn_idle_ms: float  # a backend closes a connection that stood idle for so long
    drain_grace_ms: float  # and nothing new may be written to it so long after its leave was told
    body_bytes: int  # of bodies and held answers together
    client_sockets: int
    crowd_sockets: int
    backend_sockets: int
    listed: bool = False  # a reload takes `known` as the whole list
    mgmt: tuple[str, int] | None = None  # where operators call; None: nowhere
    sockets: int = 0  # of all processes of this proxy together
    any_status: bool = False  # answers other than 200 are served too, unless they are of the server's failing


def load(environ: Mapping[str, str]) -> Config:
    name = _variable(environ, "LB_NAME")
    listen = _address(environ, "LB_LISTEN")
    path = _variable(environ, "LB_CONFIG")
    try:
        told = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"LB_CONFIG: {error.strerror or error}: {path}") from None
    except (ValueError, RecursionError):
        raise ConfigError(f"LB_CONFIG: not JSON: {path}") from None
    if not isinstance(told, dict):
        raise ConfigError("LB_CONFIG: not a JSON object")
    # the file is what a reload replaces, so where it names discovery the variable may be old
    where = told.get("discovery", environ.get("LB_DISCOVERY"))
    discovery = _host_port("discovery" if "discovery" in told else "LB_DISCOVERY", where)
    calls = told.get("mgmt", environ.get("LB_MGMT") or None)
    mgmt = _host_port("mgmt" if "mgmt" in told else "LB_MGMT", calls) if calls is not None else None
    limits = _object(told, "limits")
    memory, sockets = _positive(limits, "limits.memory_mb"), int(_positive(limits, "limits.sockets"))
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY:
        sockets = min(sockets, soft)
    if sockets < 2 * OWN_DESCRIPTORS:
        raise ConfigError(f"limits.sockets: at least {2 * OWN_DESCRIPTORS} are needed, not {sockets}")
    fields = Fields(0, dict(_flat("", _object(told, "settings"))))
    try:
        settings = settings_of(fields)
        conn_idle = fields.number("Limits.ConnIdleMs", 15000.0)
        grace = fields.number("Rules.DrainGraceMs", 1000.0)
    except WireError as error:
        raise ConfigError(f"settings: {error}") from None
    try:
        known = members_of(_object(told, "known"))
    except BadList as error:
        raise ConfigError(f"known: {error}") from None
    return Config(
        name,
        listen,
        discovery,
        _seed(told),
        settings,
        known,
        conn_idle,
        grace,
        *shares_of(memory, sockets),
        mgmt=mgmt,
        sockets=sockets,
    )


def beside(config: Config, taken: int) -> Config:
    """The same where other processes of this proxy hold that many descriptors: they count together."""
    left = max(2 * OWN_DESCRIPTORS, config.sockets - taken)
    _, client, crowd, backend = shares_of(0.0, left)
    return replace(config, client_sockets=client, crowd_sockets=crowd, backend_sockets=backend)


def shares_of(memory_mb: float, sockets: int) -> tuple[int, int, int, int]:
    """Bytes of bodies, then sockets of clients, of a crowd beyond them, and of backends."""
    shared = sockets - OWN_DESCRIPTORS
    backend, crowd = int(shared * BACKEND_SHARE), int(shared * CROWD_SHARE)
    body = int(max(BODY_LEAST_MB, (memory_mb - BASE_MB) * BODY_SHARE) * MB)
    return body, shared - backend - crowd, crowd, backend


def _variable(environ: Mapping[str, str], name: str) -> str:
    value = environ.get(name, "")
    if not value:
        raise ConfigError(f"{name}: missing")
    return value


def _address(environ: Mapping[str, str], name: str) -> tuple[str, int]:
    return _host_port(name, _variable(environ, name))


def _host_port(name: str, text: object) -> tuple[str, int]:
    if not isinstance(text, str):
        raise ConfigError(f"{name}: missing or no text")
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 <= int(port) < 65536:
        raise ConfigError(f"{name}: not HOST:PORT: {text[:80]!r}")
    return host.strip("[]"), int(port)


def _object(told: dict[str, Any], name: str) -> dict[str, Any]:
    value = told.get(name)
    if not isinstance(value, dict):
        raise ConfigError(f"{name}: {'missing' if value is None else 'not an object'}")
    return value


def _positive(limits: dict[str, Any], path: str) -> float:
    value = limits.get(path.rpartition(".")[2])
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < 1e9:
        what = "missing" if value is None else f"not a positive number: {value!r:.40}"
        raise ConfigError(f"{path}: {what}")
    return value


def _seed(told: dict[str, Any]) -> int:
    try:
        return int(told.get("seed", ""), 16)
    except (TypeError, ValueError):
        raise ConfigError(f"seed: not a hexadecimal number: {told.get('seed')!r:.40}") from None


def _flat(path: str, value: object) -> Iterator[tuple[str, str]]:
    """The settings' JSON as the path=value pairs that the simulator's wire carries."""
    if isinstance(value, dict):
        for name, part in value.items():
            yield from _flat(f"{path}.{name}" if path else name, part)
    elif isinstance(value, list) and any(isinstance(part, dict) for part in value):
        yield f"{path}.count", str(len(value))
        for place, part in enumerate(value):
            yield from _flat(f"{path}.{place}", part)
    elif isinstance(value, list):
        yield path, ",".join(str(part) for part in value)
        if not value:
            yield f"{path}.count", "0"
    elif isinstance(value, bool):
        yield path, "true" if value else "false"
    elif isinstance(value, float) and value.is_integer():
        yield path, str(int(value))
    elif value is not None:
        yield path, str(value)
