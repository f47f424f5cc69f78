"""An index that finds the route of a request by its host, path, method and headers.

The index is compiled once for each file.  A lookup needs a few dictionary accesses for each segment of the
path, however many routes there are.  Routes are tried in this order:

1. by priority, the highest first;
2. by host: the exact name, then the longest wildcard, then routes for any host;
3. by path in a trie of segments: a literal before a parameter in braces, an exact path before a prefix, a
   longer prefix before a shorter one;
4. by headers: the route that requires the most headers first;
5. by method: a named method before any method.

Routes that this order doesn't separate are ambiguous, which is reported when the file is loaded.

The cost of a lookup grows with the number of priorities in use and with the number of different sets of
header names at one path.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from itertools import combinations

from heronreel.routes.model import Route

ANY = b""  # Stands for any method, and for a header that the request does not have.
METHODS = (b"GET", b"POST", b"PUT", b"PATCH", b"DELETE", b"OPTIONS")
PARAMETER = b"{}"  # The trie's key for a segment that is a parameter in braces.
_ESCAPED = re.compile(rb"%([0-9A-Fa-f]{2})")
_UNRESERVED = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")

Segments = tuple[bytes, ...]
RoutesByMethod = dict[bytes, Route]
RoutesByHeaderValues = dict[tuple[bytes, ...], RoutesByMethod]
RoutesByHeaders = dict[tuple[bytes, ...], RoutesByHeaderValues]
"""Routes by the names of the headers that they require, then by the headers' values, then by method."""


@dataclass(slots=True, frozen=True)
class Example:
    """An example request that proves a conflict between routes."""

    method: str
    host: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()

    def __str__(self) -> str:
        headers = "".join(f" {name}: {value}" for name, value in self.headers)
        return f"{self.method} {self.path} Host: {self.host or 'any'}{headers}"


@dataclass(slots=True, frozen=True)
class RouteConflict:
    """A conflict between routes.

    Its kind is `ambiguous` if two routes match the same request and neither has precedence, and
    `never-matches` if a route is shadowed by others.
    """

    kind: str
    route: Route
    others: tuple[Route, ...]
    example: Example


def path_segments(path: bytes) -> Segments | None:
    """Split a request's path, without its query, into segments.

    Returns None for a path that a backend could read in another way.  Otherwise a client could evade a
    route's policy: `/salva%2Dprofilo` is `/salva-profilo` to a backend (RFC 3986, 6.2.2.2), so it is matched
    in its decoded form; `/open/../salva-profilo` may be the same path (6.2.2.3), so it is not matched.
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
    """The routes that end at one node of the trie, which differ in headers and method."""

    by_headers: RoutesByHeaders = field(default_factory=dict)
    order: list[tuple[tuple[bytes, ...], RoutesByHeaderValues]] = field(default_factory=list)
    """The entries of `by_headers`, those with the most headers first."""

    def find(self, method: bytes, headers: Mapping[bytes, bytes]) -> Route | None:
        for names, by_values in self.order:
            by_method = by_values.get(tuple([headers.get(name, ANY) for name in names]) if names else ())
            if by_method:
                route = by_method.get(method) or by_method.get(ANY)
                if route:
                    return route
        return None


@dataclass(slots=True, eq=False)
class _Node:
    """A node of the trie of path segments."""

    children: dict[bytes, _Node] = field(default_factory=dict)
    end: _Leaf | None = None
    prefix: _Leaf | None = None


class _Level:
    """The routes of one priority, by host."""

    def __init__(self) -> None:
        self.exact_hosts: dict[bytes, _Node] = {}
        self.wildcard_hosts: dict[bytes, _Node] = {}  # The key of "*.example.org" is "example.org".
        self.any_host: _Node | None = None

    def roots(self, host: bytes) -> Iterator[_Node]:
        """Yield the tries that may hold a host's routes, the most specific first."""
        if self.exact_hosts and (node := self.exact_hosts.get(host)):
            yield node
        yield from self.wildcard_roots(host)

    def wildcard_roots(self, host: bytes) -> Iterator[_Node]:
        """Yield the tries of the wildcards that match a host, the longest first, then that of any host."""
        if self.wildcard_hosts:
            domain = host
            while dot := domain.find(b".") + 1:
                domain = domain[dot:]
                if node := self.wildcard_hosts.get(domain):
                    yield node
        if self.any_host:
            yield self.any_host

    def add_root(self, host: bytes) -> _Node:
        """Return the trie of a match's host, which is created if there is none."""
        if not host:
            self.any_host = self.any_host or _Node()
            return self.any_host
        if host.startswith(b"*."):
            return self.wildcard_hosts.setdefault(host[2:], _Node())
        return self.exact_hosts.setdefault(host, _Node())


def _trie_path(route: Route) -> tuple[Segments, bool]:
    """Return the route's path in the trie, and whether the path is a prefix."""
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
    """Return the names and the values of the headers that a route requires."""
    pairs = route.match.headers
    return tuple(n.encode() for n, _ in pairs), tuple(v.encode() for _, v in pairs)


def _methods_of(route: Route) -> tuple[bytes, ...]:
    return tuple(sorted(m.encode() for m in route.match.methods)) or (ANY,)


class RouteIndex:
    """An index of routes.  A file whose index has `conflicts` is rejected."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self.levels: list[tuple[int, _Level]] = []
        self.conflicts: list[RouteConflict] = []
        self.routes = tuple(routes)
        levels: dict[int, _Level] = {}
        leaves: list[_Leaf] = []
        for route in self.routes:
            level = levels.setdefault(route.priority, _Level())
            self._insert(level.add_root(route.match.host.encode()), route, leaves)
        self.levels = sorted(levels.items(), key=lambda pair: -pair[0])
        for leaf in leaves:
            leaf.order = sorted(leaf.by_headers.items(), key=lambda entry: -len(entry[0]))
            self._check_leaf(leaf)
        self._check_shadowing()

    def find(self, host: bytes, path: bytes, method: bytes, headers: Mapping[bytes, bytes]) -> Route | None:
        """Return the route of a request; None if no route matches or the path can be read in two ways.

        `host` is in lower case and has no port, `path` has no query, and header names are in lower case.
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
        segments, prefix = _trie_path(route)
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
        by_method = leaf.by_headers.setdefault(names, {}).setdefault(values, {})
        for method in _methods_of(route):
            if method in by_method:
                self._add_ambiguous(route, by_method[method], method)
            else:
                by_method[method] = route

    def _add_ambiguous(self, route: Route, other: Route, method: bytes) -> None:
        first, second = sorted((route, other), key=lambda conflicting: conflicting.index)
        headers = tuple(sorted({*first.match.headers, *second.match.headers}))
        example = Example(method.decode() or "GET", _host_of(first), _path_of(first), headers)
        self.conflicts.append(RouteConflict("ambiguous", second, (first,), example))

    def _check_leaf(self, leaf: _Leaf) -> None:
        """Report routes of one leaf that are ambiguous, and routes for any method that are shadowed.

        Two routes that require the same number of different headers must not match the same request.
        """
        for (names, routes), (other_names, other_routes) in combinations(leaf.order, 2):
            if len(names) == len(other_names):
                self._check_header_sets(names, routes, other_names, other_routes)
        for by_values in leaf.by_headers.values():
            for by_method in by_values.values():
                if ANY in by_method and all(method in by_method for method in METHODS):
                    shadowing = tuple(dict.fromkeys(by_method[method] for method in METHODS))
                    self._add_never_matching(by_method[ANY], shadowing)

    def _check_header_sets(
        self,
        names: tuple[bytes, ...],
        routes: RoutesByHeaderValues,
        other_names: tuple[bytes, ...],
        other_routes: RoutesByHeaderValues,
    ) -> None:
        """Report routes of two sets of header names that agree on the values of the common headers."""
        common = [name for name in names if name in other_names]
        by_common_values: dict[tuple[bytes, ...], RoutesByMethod] = {}
        for values, by_method in routes.items():
            headers = dict(zip(names, values, strict=True))
            by_common_values.setdefault(tuple(headers[name] for name in common), {}).update(by_method)
        reported: set[int] = set()
        for values, by_method in other_routes.items():
            headers = dict(zip(other_names, values, strict=True))
            candidates = by_common_values.get(tuple(headers[name] for name in common), {})
            for method, route in by_method.items():
                other = (
                    candidates.get(method)
                    or candidates.get(ANY)
                    or (next(iter(candidates.values()), None) if not method else None)
                )
                if other and route.index not in reported:
                    reported.add(route.index)
                    shared_method = method or next(m for m, r in candidates.items() if r is other)
                    self._add_ambiguous(route, other, shared_method)

    def _check_shadowing(self) -> None:
        """Report each route whose requests are all taken by routes of higher priority."""
        levels_above: dict[int, list[_Level]] = {}
        for index, (priority, _) in enumerate(self.levels):
            levels_above[priority] = [level for _, level in self.levels[:index]]
        for route in self.routes:
            if levels_above[route.priority]:
                self._check_shadowed(route, levels_above[route.priority])

    def _check_shadowed(self, route: Route, levels_above: list[_Level]) -> None:
        uncovered = set(_methods_of(route)) if route.match.methods else set(METHODS)
        segments, prefix = _trie_path(route)
        required_headers = {name.encode(): value.encode() for name, value in route.match.headers}
        shadowing: dict[Route, None] = {}
        for level in levels_above:
            for root in _covering_roots(level, route.match.host.encode()):
                for leaf in _covering_leaves(root, segments, 0, prefix):
                    for names, by_values in leaf.order:
                        if not all(name in required_headers for name in names):
                            continue
                        by_method = by_values.get(tuple(required_headers[name] for name in names), {})
                        for method in list(uncovered):
                            if shadowing_route := by_method.get(method) or by_method.get(ANY):
                                uncovered.discard(method)
                                shadowing[shadowing_route] = None
        if not uncovered:
            self._add_never_matching(route, tuple(shadowing))

    def _add_never_matching(self, route: Route, shadowing: tuple[Route, ...]) -> None:
        method = min(route.match.methods, default="GET")
        example = Example(method, _host_of(route), _path_of(route), route.match.headers)
        self.conflicts.append(RouteConflict("never-matches", route, shadowing, example))


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
    """Yield the tries whose hosts include every host that a route for `host` matches."""
    if host.startswith(b"*."):
        yield from level.wildcard_roots(host)  # The first is the trie of the wildcard itself.
    else:
        yield from level.roots(host)


def _covering_leaves(node: _Node, segments: Segments, depth: int, prefix: bool) -> Iterator[_Leaf]:
    """Yield the leaves that match every path that a route with these segments matches."""
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
    """Return a host that the route matches, for an example request."""
    host = route.match.host
    return f"www{host[1:]}" if host.startswith("*") else host


def _path_of(route: Route) -> str:
    """Return a path that the route matches, for an example request."""
    match = route.match
    return match.path or re.sub(r"\{\w+\}", "1", match.path_pattern) or match.path_prefix


def route_accepts(
    route: Route, host: bytes, path: bytes, method: bytes, headers: Mapping[bytes, bytes]
) -> bool:
    """Return whether a route matches a request: the definition that the index implements.

    Precedence among several routes is left out.
    """
    match = route.match
    segments = path_segments(path)
    match_host = match.host.encode()
    if segments is None or (match.methods and method.decode("latin-1") not in match.methods):
        return False
    if match_host.startswith(b"*."):
        if not host.endswith(match_host[1:]) or len(host) < len(match_host):
            return False
    elif match_host and match_host != host:
        return False
    if any(headers.get(name.encode()) != value.encode() for name, value in match.headers):
        return False
    route_segments, prefix = _trie_path(route)
    if len(segments) < len(route_segments) or (not prefix and len(segments) > len(route_segments)):
        return False
    return all(
        expected == segment or (expected == PARAMETER and segment != b"" and bool(match.path_pattern))
        for expected, segment in zip(route_segments, segments, strict=False)
    )
