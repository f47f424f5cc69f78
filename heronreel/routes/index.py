"""From host, path, method and headers to the route, compiled once.

A lookup costs a few dictionary look-ups for each segment of the path, whatever the number of routes: by
priority, then the host (exact, the longest wildcard, any), then a trie of path segments (a literal before a
name in braces, an end before a prefix, a longer prefix before a shorter), then the most headers, then a
named method before any.  What this order leaves open is ambiguous and found at load.

Where it would grow: with the number of priorities in use, and of different sets of header names at one path.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from itertools import combinations

from heronreel.routes.model import Route

ANY = b""
METHODS = (b"GET", b"POST", b"PUT", b"PATCH", b"DELETE", b"OPTIONS")
PARAMETER = b"{}"
_ESCAPED = re.compile(rb"%([0-9A-Fa-f]{2})")
_UNRESERVED = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")

Segments = tuple[bytes, ...]
Methods = dict[bytes, Route]
Shapes = dict[tuple[bytes, ...], dict[tuple[bytes, ...], Methods]]  # header names to values to method


@dataclass(slots=True, frozen=True)
class Example:
    """A request that shows what is wrong with the lookup."""

    method: str
    host: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()

    def __str__(self) -> str:
        words = "".join(f" {name}: {value}" for name, value in self.headers)
        return f"{self.method} {self.path} Host: {self.host or 'any'}{words}"


@dataclass(slots=True, frozen=True)
class RouteConflict:
    """Two routes that leave open which one is meant (`ambiguous`), or one that never is (`never-matches`)."""

    kind: str
    route: Route
    others: tuple[Route, ...]
    example: Example


def path_segments(path: bytes) -> Segments | None:
    """The segments of a request's path without its query; None for one that peers could read in two ways.

    Guards the policies: `/salva%2Dprofilo` is `/salva-profilo` to a backend (RFC 3986, 6.2.2.2), and
    `/open/../salva-profilo` may be (6.2.2.3), so the first is matched decoded and the second not at all.
    """
    if b"%" in path:
        path = _ESCAPED.sub(_decoded, path)
    parts = path.split(b"/")
    if parts[0] or len(parts) < 2:
        return None
    if b"/." in path and (b"." in parts or b".." in parts):
        return None
    return tuple(parts[1:])


def _decoded(found: re.Match[bytes]) -> bytes:
    number = int(found[1], 16)
    return bytes((number,)) if number in _UNRESERVED else found[0].upper()


@dataclass(slots=True, eq=False)
class _Leaf:
    """The routes of one place in the trie, told apart by headers and method."""

    shapes: Shapes = field(default_factory=dict)
    order: list[tuple[tuple[bytes, ...], dict[tuple[bytes, ...], Methods]]] = field(default_factory=list)

    def find(self, method: bytes, headers: Mapping[bytes, bytes]) -> Route | None:
        for names, by_values in self.order:
            methods = by_values.get(tuple([headers.get(name, ANY) for name in names]) if names else ())
            if methods:
                route = methods.get(method) or methods.get(ANY)
                if route:
                    return route
        return None


@dataclass(slots=True, eq=False)
class _Node:
    children: dict[bytes, _Node] = field(default_factory=dict)
    end: _Leaf | None = None
    prefix: _Leaf | None = None


class _Level:
    """All routes of one priority."""

    def __init__(self) -> None:
        self.hosts: dict[bytes, _Node] = {}  # exact names
        self.below: dict[bytes, _Node] = {}  # "*.example.org" under "example.org"
        self.any: _Node | None = None

    def roots(self, host: bytes) -> Iterator[_Node]:
        """The tries that a host's requests may be found in, the most specific first."""
        if self.hosts and (node := self.hosts.get(host)):
            yield node
        yield from self.wider(host)

    def wider(self, host: bytes) -> Iterator[_Node]:
        """The tries of wildcards above a host, the longest first, and that of any host."""
        if self.below:
            rest = host
            while dot := rest.find(b".") + 1:
                rest = rest[dot:]
                if node := self.below.get(rest):
                    yield node
        if self.any:
            yield self.any

    def root(self, host: bytes) -> _Node:
        if not host:
            self.any = self.any or _Node()
            return self.any
        if host.startswith(b"*."):
            return self.below.setdefault(host[2:], _Node())
        return self.hosts.setdefault(host, _Node())


def _place_of(route: Route) -> tuple[Segments, bool]:
    """The trie's path of a route, and whether it is a prefix."""
    match = route.match
    if match.path_prefix:
        text = match.path_prefix.rstrip("/")
        return tuple(path_segments(text.encode()) or ()) if text else (), True
    text = match.path or match.path_pattern
    segments = path_segments(text.encode()) or ()
    if match.path_pattern:
        segments = tuple(PARAMETER if s.startswith(b"{") and s.endswith(b"}") else s for s in segments)
    return segments, False


def _headers_of(route: Route) -> tuple[tuple[bytes, ...], tuple[bytes, ...]]:
    pairs = route.match.headers
    return tuple(n.encode() for n, _ in pairs), tuple(v.encode() for _, v in pairs)


def _methods_of(route: Route) -> tuple[bytes, ...]:
    return tuple(sorted(m.encode() for m in route.match.methods)) or (ANY,)


class RouteIndex:
    """Routes compiled for lookup.  `conflicts` lists what is wrong with them; a file with any is refused."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self.levels: list[tuple[int, _Level]] = []
        self.conflicts: list[RouteConflict] = []
        self.routes = tuple(routes)
        levels: dict[int, _Level] = {}
        leaves: list[_Leaf] = []
        for route in self.routes:
            level = levels.setdefault(route.priority, _Level())
            self._insert(level.root(route.match.host.encode()), route, leaves)
        self.levels = sorted(levels.items(), key=lambda pair: -pair[0])
        for leaf in leaves:
            leaf.order = sorted(leaf.shapes.items(), key=lambda shape: -len(shape[0]))
            self._check_leaf(leaf)
        self._check_cover()

    def find(self, host: bytes, path: bytes, method: bytes, headers: Mapping[bytes, bytes]) -> Route | None:
        """The route of a request; None if there is none, or if its path can be read in two ways.

        `host` is in lower case and without a port, `path` without its query, header names in lower case.
        """
        segments = path_segments(path)
        if segments is None:
            return None
        for _, level in self.levels:
            for root in level.roots(host):
                if route := _search(root, segments, 0, method, headers):
                    return route
        return None

    def _insert(self, node: _Node, route: Route, leaves: list[_Leaf]) -> None:
        segments, prefix = _place_of(route)
        for segment in segments:
            node = node.children.setdefault(segment, _Node())
        leaf = node.prefix if prefix else node.end
        if leaf is None:
            leaf = _Leaf()
            leaves.append(leaf)
            if prefix:
                node.prefix = leaf
            else:
                node.end = leaf
        names, values = _headers_of(route)
        methods = leaf.shapes.setdefault(names, {}).setdefault(values, {})
        for method in _methods_of(route):
            if method in methods:
                self._ambiguous(route, methods[method], method)
            else:
                methods[method] = route

    def _ambiguous(self, one: Route, two: Route, method: bytes) -> None:
        first, second = sorted((one, two), key=lambda route: route.index)
        headers = tuple(sorted({*first.match.headers, *second.match.headers}))
        example = Example(method.decode() or "GET", _host_of(first), _path_of(first), headers)
        self.conflicts.append(RouteConflict("ambiguous", second, (first,), example))

    def _check_leaf(self, leaf: _Leaf) -> None:
        """Entries of one place with as many headers must not both take a request."""
        for (names, one), (others, two) in combinations(leaf.order, 2):
            if len(names) == len(others):
                self._check_shapes(names, one, others, two)
        for by_values in leaf.shapes.values():
            for methods in by_values.values():
                if ANY in methods and all(method in methods for method in METHODS):
                    takers = tuple(dict.fromkeys(methods[method] for method in METHODS))
                    self._never(methods[ANY], takers)

    def _check_shapes(
        self,
        names: tuple[bytes, ...],
        one: dict[tuple[bytes, ...], Methods],
        others: tuple[bytes, ...],
        two: dict[tuple[bytes, ...], Methods],
    ) -> None:
        common = [name for name in names if name in others]
        seen: dict[tuple[bytes, ...], Methods] = {}
        for values, methods in one.items():
            row = dict(zip(names, values, strict=True))
            seen.setdefault(tuple(row[name] for name in common), {}).update(methods)
        reported: set[int] = set()
        for values, methods in two.items():
            row = dict(zip(others, values, strict=True))
            here = seen.get(tuple(row[name] for name in common), {})
            for method, route in methods.items():
                other = (
                    here.get(method)
                    or here.get(ANY)
                    or (next(iter(here.values()), None) if not method else None)
                )
                if other and route.index not in reported:
                    reported.add(route.index)
                    known = method or next(m for m, r in here.items() if r is other)
                    self._ambiguous(route, other, known)

    def _check_cover(self) -> None:
        """A route is never found if routes of higher priority take all that it would."""
        above: dict[int, list[_Level]] = {}
        for index, (priority, _) in enumerate(self.levels):
            above[priority] = [level for _, level in self.levels[:index]]
        for route in self.routes:
            if above[route.priority]:
                self._check_covered(route, above[route.priority])

    def _check_covered(self, route: Route, above: list[_Level]) -> None:
        wanted = set(_methods_of(route)) if route.match.methods else set(METHODS)
        segments, prefix = _place_of(route)
        own = {name.encode(): value.encode() for name, value in route.match.headers}
        takers: dict[Route, None] = {}
        for level in above:
            for root in _covering_roots(level, route.match.host.encode()):
                for leaf in _covering_leaves(root, segments, 0, prefix):
                    for names, by_values in leaf.order:
                        if not all(name in own for name in names):
                            continue
                        methods = by_values.get(tuple(own[name] for name in names), {})
                        for method in list(wanted):
                            if taker := methods.get(method) or methods.get(ANY):
                                wanted.discard(method)
                                takers[taker] = None
        if not wanted:
            self._never(route, tuple(takers))

    def _never(self, route: Route, takers: tuple[Route, ...]) -> None:
        method = min(route.match.methods, default="GET")
        example = Example(method, _host_of(route), _path_of(route), route.match.headers)
        self.conflicts.append(RouteConflict("never-matches", route, takers, example))


def _search(
    node: _Node, segments: Segments, depth: int, method: bytes, headers: Mapping[bytes, bytes]
) -> Route | None:
    if depth == len(segments):
        if node.end and (route := node.end.find(method, headers)):
            return route
    else:
        if (child := node.children.get(segments[depth])) and (
            route := _search(child, segments, depth + 1, method, headers)
        ):
            return route
        if (
            (child := node.children.get(PARAMETER))
            and segments[depth]
            and (route := _search(child, segments, depth + 1, method, headers))
        ):
            return route
    return node.prefix.find(method, headers) if node.prefix else None


def _covering_roots(level: _Level, host: bytes) -> Iterator[_Node]:
    """The tries that take every host which a route of this host takes."""
    if host.startswith(b"*."):
        yield from level.wider(host)  # its own wildcard is the first above it
    else:
        yield from level.roots(host)


def _covering_leaves(node: _Node, segments: Segments, depth: int, prefix: bool) -> Iterator[_Leaf]:
    """The leaves that take every path which a route with these segments takes."""
    if node.prefix:
        yield node.prefix
    if depth == len(segments):
        if node.end and not prefix:
            yield node.end
        return
    segment = segments[depth]
    if child := node.children.get(segment):
        yield from _covering_leaves(child, segments, depth + 1, prefix)
    if segment and segment != PARAMETER and (child := node.children.get(PARAMETER)):
        yield from _covering_leaves(child, segments, depth + 1, prefix)


def _host_of(route: Route) -> str:
    host = route.match.host
    return f"www{host[1:]}" if host.startswith("*") else host


def _path_of(route: Route) -> str:
    match = route.match
    return match.path or re.sub(r"\{\w+\}", "1", match.path_pattern) or match.path_prefix


def route_accepts(
    route: Route, host: bytes, path: bytes, method: bytes, headers: Mapping[bytes, bytes]
) -> bool:
    """Whether a route alone would take a request: the plain meaning, without an index."""
    match = route.match
    segments = path_segments(path)
    wanted = match.host.encode()
    if segments is None or (match.methods and method.decode("latin-1") not in match.methods):
        return False
    if wanted.startswith(b"*."):
        if not host.endswith(wanted[1:]) or len(host) < len(wanted):
            return False
    elif wanted and wanted != host:
        return False
    if any(headers.get(name.encode()) != value.encode() for name, value in match.headers):
        return False
    own, prefix = _place_of(route)
    if len(segments) < len(own) or (not prefix and len(segments) > len(own)):
        return False
    return all(
        mine == theirs or (mine == PARAMETER and theirs != b"" and bool(match.path_pattern))
        for mine, theirs in zip(own, segments, strict=False)
    )
