"""Explains which route takes a request, its policy in force, and the origin of each value."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any
from urllib.parse import urlsplit

from heronreel.routes.index import RouteIndex, route_accepts
from heronreel.routes.model import DEDUP_SCOPE_NAMES, EFFECT_NAMES, Route, RoutesFile
from heronreel.routes.schema import POLICY_ATTRIBUTES

FIELD_UNITS = {"requests_per_s": "/s", "retry_budget": " per first try", "second_copy_percentile": " %"}


@dataclass(slots=True, frozen=True)
class PolicyValue:
    """One field of a policy, under its name in the file, with its origin."""

    field: str
    value: Any
    origin: str  # "route", "defaults" or "built in"
    line: int  # 0 if the value is not set in the file


@dataclass(slots=True, frozen=True)
class Explanation:
    """The route that takes a request, and the policy that applies to it."""

    route: Route | None
    line: int
    others: tuple[Route, ...]  # other routes that match the request but have a lower precedence
    values: tuple[PolicyValue, ...]


def explain(file: RoutesFile, method: str, url: str, headers: Mapping[str, str]) -> Explanation:
    """Return the route that takes a request, its policy, and the origin of each value.

    If `url` has no scheme and host, the host is read from the Host header.

    Raises:
        ValueError: the URL can't be parsed.
    """
    parts = urlsplit(url)
    headers_by_name = {name.lower(): value for name, value in headers.items()}
    host = (
        parts.hostname
        or headers_by_name.get("host", "").rpartition("]")[0].lstrip("[")
        or headers_by_name.get("host", "")
    ).lower()
    if not parts.hostname and ":" in host and host.count(":") == 1:
        host = host.partition(":")[0]
    path = (parts.path or "/").encode()
    encoded_headers = {name.encode(): value.encode() for name, value in headers_by_name.items()}
    found = RouteIndex(file.routes).find(host.encode(), path, method.encode(), encoded_headers)
    others = tuple(
        route
        for route in file.routes
        if route is not found and route_accepts(route, host.encode(), path, method.encode(), encoded_headers)
    )
    if found is None:
        return Explanation(None, 0, (), ())
    return Explanation(found, file.line("routes", found.index), others, tuple(_policy_values(file, found)))


def _policy_values(file: RoutesFile, route: Route) -> list[PolicyValue]:
    values = []
    for field, attribute in POLICY_ATTRIBUTES.items():
        value = getattr(route.policy, attribute)
        origin = route.origins.get(field, "built in")
        line = 0
        if origin == "route":
            line = file.line("routes", route.index, field)
        elif origin == "defaults":
            line = file.line("defaults", field)
        values.append(PolicyValue(field, file_value(value), origin, line))
    return values


def file_value(value: Any) -> Any:
    """Return a value in the form that it has in the file."""
    if value in EFFECT_NAMES:
        return EFFECT_NAMES[value]
    if value in DEDUP_SCOPE_NAMES:
        return DEDUP_SCOPE_NAMES[value]
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, frozenset):
        return sorted(value)
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value
