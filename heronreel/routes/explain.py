"""Which route takes a request, its policy in force, and where each value came from."""

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
    """One field of a policy, as the file names it, with its origin."""

    field: str
    value: Any
    origin: str  # route, defaults or built in
    line: int  # 0: in no file


@dataclass(slots=True, frozen=True)
class Explanation:
    """What a file does with one request."""

    route: Route | None
    line: int
    others: tuple[Route, ...]  # that would take the request too, but come later
    values: tuple[PolicyValue, ...]


def explain(file: RoutesFile, method: str, url: str, headers: Mapping[str, str]) -> Explanation:
    """What the file does with a request.  `url` may lack scheme and host; a Host header stands in.

    Raises ValueError for a URL that can't be read.
    """
    parts = urlsplit(url)
    lower = {name.lower(): value for name, value in headers.items()}
    host = (
        parts.hostname or lower.get("host", "").rpartition("]")[0].lstrip("[") or lower.get("host", "")
    ).lower()
    if not parts.hostname and ":" in host and host.count(":") == 1:
        host = host.partition(":")[0]
    path = (parts.path or "/").encode()
    seen = {name.encode(): value.encode() for name, value in lower.items()}
    found = RouteIndex(file.routes).find(host.encode(), path, method.encode(), seen)
    others = tuple(
        route
        for route in file.routes
        if route is not found and route_accepts(route, host.encode(), path, method.encode(), seen)
    )
    if found is None:
        return Explanation(None, 0, (), ())
    return Explanation(found, file.line("routes", found.index), others, tuple(_values(file, found)))


def _values(file: RoutesFile, route: Route) -> list[PolicyValue]:
    made = []
    for field, attribute in POLICY_ATTRIBUTES.items():
        value = getattr(route.policy, attribute)
        origin = route.origins.get(field, "built in")
        line = 0
        if origin == "route":
            line = file.line("routes", route.index, field)
        elif origin == "defaults":
            line = file.line("defaults", field)
        made.append(PolicyValue(field, file_value(value), origin, line))
    return made


def file_value(value: Any) -> Any:
    """A value as the file would have it."""
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
