"""The configuration, read and checked at start and at each reload from the environment and a JSON file.

`LB_NAME` and `LB_LISTEN` are the proxy's name and address.  `LB_CONFIG` is the path of a file with `seed`,
`limits`, `known`, `settings` and `discovery`; `LB_DISCOVERY` is used if the file has no `discovery`.
Anything missing or malformed raises a `ConfigError` whose one-line message names the field.
"""

from __future__ import annotations

import json
import resource
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, NamedTuple

from heronreel.balancer.errors import WireError
from heronreel.balancer.interface import Settings
from heronreel.balancer.wire import Fields, settings_from_fields
from heronreel.proxy.endpoints import EndpointList, parse_endpoint_list
from heronreel.proxy.errors import ConfigError, MalformedEndpointListError

MB = 1 << 20
# For standard streams, event loop, listener, discovery, admin API, and a few to spare.
RESERVED_DESCRIPTORS = 32
# Part of the other descriptors that is reserved for backends, so that clients can't use up all of them.
BACKEND_DESCRIPTOR_RATIO = 0.45
# Part of them for connections beyond the clients' limit, which are only accepted to get an error response.
REJECTED_DESCRIPTOR_RATIO = 0.1
DEFAULT_BACKEND_IDLE_MS = 15_000.0
DEFAULT_DRAIN_GRACE_MS = 1000.0


class ResourceShares(NamedTuple):
    """How a process divides its descriptors."""

    client_sockets: int
    rejected_sockets: int  # for clients beyond `client_sockets`, which get a 503
    backend_sockets: int


@dataclass(slots=True, frozen=True)
class Config:
    """A checked configuration of the proxy."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int] | None  # None: only `endpoints` are used
    seed: int
    settings: Settings
    endpoints: EndpointList  # used until discovery has sent a list
    backend_idle_ms: float  # backends close connections that have been idle for this long
    drain_grace_ms: float  # requests may be sent to a backend for this long after it was reported draining
    memory_bytes: int  # limit on the memory for all processes of this proxy together
    # These three are described at `ResourceShares`.
    client_sockets: int
    rejected_sockets: int
    backend_sockets: int
    endpoints_from_file: bool = False  # a reload replaces the endpoint list with `endpoints`
    admin_address: tuple[str, int] | None = None  # None: there is no admin API
    sockets: int = 0  # limit on descriptors for all processes of this proxy together
    # Responses other than 200 count as served too, unless they are server errors.
    accepts_any_status: bool = False


def load(environ: Mapping[str, str]) -> Config:
    """Read the configuration that the environment describes.

    Raises:
        ConfigError: A variable or a field is missing or malformed, or the file can't be read.
    """
    name = _variable(environ, "LB_NAME")
    listen = _address(environ, "LB_LISTEN")
    path = _variable(environ, "LB_CONFIG")
    document = _read_document(path)
    try:
        return _config_of(environ, name, listen, document)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None


def _config_of(
    environ: Mapping[str, str], name: str, listen: tuple[str, int], document: dict[str, Any]
) -> Config:
    # A reload can only change the file, so its address of discovery takes precedence over the variable.
    discovery_text = document.get("discovery", environ.get("LB_DISCOVERY"))
    discovery = _host_port("discovery" if "discovery" in document else "LB_DISCOVERY", discovery_text)
    admin_text = document.get("mgmt", environ.get("LB_MGMT") or None)
    admin = (
        _host_port("mgmt" if "mgmt" in document else "LB_MGMT", admin_text)
        if admin_text is not None
        else None
    )
    memory_mb, sockets = _limits(document)
    settings, backend_idle_ms, drain_grace_ms = _settings(document)
    try:
        endpoints = parse_endpoint_list(_object(document, "known"))
    except MalformedEndpointListError as error:
        raise ConfigError(f"known: {error}") from None
    return Config(
        name,
        listen,
        discovery,
        _seed(document),
        settings,
        endpoints,
        backend_idle_ms,
        drain_grace_ms,
        int(memory_mb * MB),
        *resource_shares(sockets),
        admin_address=admin,
        sockets=sockets,
    )


def with_descriptors_in_use(config: Config, in_use: int) -> Config:
    """Return the configuration without the descriptors that the proxy's other processes use.

    The limit on descriptors is for all processes of one proxy together.
    """
    available = max(2 * RESERVED_DESCRIPTORS, config.sockets - in_use)
    shares = resource_shares(available)
    return replace(
        config,
        client_sockets=shares.client_sockets,
        rejected_sockets=shares.rejected_sockets,
        backend_sockets=shares.backend_sockets,
    )


def resource_shares(sockets: int) -> ResourceShares:
    """Divide descriptors between clients and backends."""
    shared = sockets - RESERVED_DESCRIPTORS
    backend, rejected = int(shared * BACKEND_DESCRIPTOR_RATIO), int(shared * REJECTED_DESCRIPTOR_RATIO)
    return ResourceShares(shared - backend - rejected, rejected, backend)


def _read_document(path: str) -> dict[str, Any]:
    try:
        document = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"LB_CONFIG: {error.strerror or error}: {path}") from None
    except (ValueError, RecursionError):
        raise ConfigError(f"LB_CONFIG: not JSON: {path}") from None
    if not isinstance(document, dict):
        raise ConfigError("LB_CONFIG: not a JSON object")
    return document


def _limits(document: dict[str, Any]) -> tuple[float, int]:
    """Return the memory in MB, and the limit on descriptors, which the kernel's limit may reduce."""
    limits = _object(document, "limits")
    memory_mb = _positive(limits, "limits.memory_mb")
    sockets = int(_positive(limits, "limits.sockets"))
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY:
        sockets = min(sockets, soft)
    if sockets < 2 * RESERVED_DESCRIPTORS:
        raise ConfigError(f"limits.sockets: at least {2 * RESERVED_DESCRIPTORS} are needed, not {sockets}")
    return memory_mb, sockets


def _settings(document: dict[str, Any]) -> tuple[Settings, float, float]:
    """Return the balancer's settings, and the backends' idle timeout and drain grace period in ms."""
    fields = Fields(0, dict(_flatten("", _object(document, "settings"))))
    try:
        settings = settings_from_fields(fields)
        backend_idle_ms = fields.number("Limits.ConnIdleMs", DEFAULT_BACKEND_IDLE_MS)
        drain_grace_ms = fields.number("Rules.DrainGraceMs", DEFAULT_DRAIN_GRACE_MS)
    except WireError as error:
        raise ConfigError(f"settings: {error}") from None
    return settings, backend_idle_ms, drain_grace_ms


def _variable(environ: Mapping[str, str], name: str) -> str:
    value = environ.get(name, "")
    if not value:
        raise ConfigError(f"{name}: missing")
    return value


def _address(environ: Mapping[str, str], name: str) -> tuple[str, int]:
    return _host_port(name, _variable(environ, name))


def _host_port(name: str, text: object) -> tuple[str, int]:
    if not isinstance(text, str):
        raise ConfigError(f"{name}: missing or not a string")
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 <= int(port) < 65536:
        raise ConfigError(f"{name}: not HOST:PORT: {text[:80]!r}")
    return host.strip("[]"), int(port)


def _object(document: dict[str, Any], name: str) -> dict[str, Any]:
    value = document.get(name)
    if not isinstance(value, dict):
        raise ConfigError(f"{name}: {'missing' if value is None else 'not an object'}")
    return value


def _positive(limits: dict[str, Any], path: str) -> float:
    value = limits.get(path.rpartition(".")[2])
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < 1e9:
        problem = "missing" if value is None else f"not a positive number: {value!r:.40}"
        raise ConfigError(f"{path}: {problem}")
    return value


def _seed(document: dict[str, Any]) -> int:
    try:
        return int(document.get("seed", ""), 16)
    except (TypeError, ValueError):
        raise ConfigError(f"seed: not a hexadecimal number: {document.get('seed')!r:.40}") from None


def _flatten(path: str, value: object) -> Iterator[tuple[str, str]]:
    """Yield the settings' JSON as path and value, the form that the simulator's wire protocol carries."""
    if isinstance(value, dict):
        for name, part in value.items():
            yield from _flatten(f"{path}.{name}" if path else name, part)
    elif isinstance(value, list) and any(isinstance(part, dict) for part in value):
        yield f"{path}.count", str(len(value))
        for index, part in enumerate(value):
            yield from _flatten(f"{path}.{index}", part)
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
