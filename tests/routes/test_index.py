"""Route lookups: precedence, agreement with a linear search, and the cost with many routes."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronreel.routes.index import RouteIndex, path_segments, route_accepts
from heronreel.routes.model import Match, Policy, Route


def make_route(position: int, priority: int = 0, **match: object) -> Route:
    if methods := match.get("methods"):
        match["methods"] = frozenset(str(methods).split())
    return Route(f"r{position}", position, Match(**match), Policy(f"r{position}"), (), priority)  # type: ignore[arg-type]


def find_name(index: RouteIndex, request: str, **headers: str) -> str:
    """Return the name of the route for "METHOD HOST PATH", or "none"."""
    method, host, path = request.split()
    fields = {name.replace("_", "-").encode(): value.encode() for name, value in headers.items()}
    found = index.find(host.encode(), path.encode(), method.encode(), fields)
    return found.name if found else "none"


def test_more_specific_routes_have_precedence() -> None:
    index = RouteIndex((
        make_route(0, path_prefix="/"),
        make_route(1, path_prefix="/a"),
        make_route(2, path_pattern="/a/{x}"),
        make_route(3, path="/a/b"),
        make_route(4, path="/a/b", methods="GET"),
        make_route(5, path="/a/b", headers=(("x-a", "1"),)),
        make_route(6, host="*.example.org", path_prefix="/a"),
        make_route(7, host="*.b.example.org", path_prefix="/a"),
        make_route(8, host="c.b.example.org", path="/a"),
        make_route(9, 1, path="/urgent"),
    ))  # fmt: skip
    assert not index.conflicts
    for request, headers, expected in (
        ("PUT h /", {}, "r0"),
        ("PUT h /ab", {}, "r0"),
        ("PUT h /a", {}, "r1"),
        ("PUT h /a/", {}, "r1"),
        ("PUT h /a/c", {}, "r2"),
        ("PUT h /a/c/d", {}, "r1"),
        ("PUT h /a/b", {}, "r3"),
        ("GET h /a/b", {}, "r4"),
        ("GET h /a/b", {"x_a": "1"}, "r5"),
        ("GET h /a/b", {"x_a": "2"}, "r4"),
        ("GET x.example.org /a/b", {}, "r6"),
        ("GET example.org /a/b", {}, "r4"),
        ("GET x.b.example.org /a/b", {}, "r7"),
        ("GET c.b.example.org /a", {}, "r8"),
        ("GET c.b.example.org /a/b", {}, "r7"),
        ("GET c.b.example.org /z", {}, "r0"),
        ("GET h /urgent", {}, "r9"),
    ):
        assert find_name(index, request, **headers) == expected, request


@pytest.mark.parametrize(
    ("path", "segments"),
    [
        ("/", ("",)), ("/a/b", ("a", "b")), ("/%61", ("a",)), ("/a%2fb", ("a%2Fb",)),
        ("/a//b", ("a", "", "b")),
        ("/a/../b", None), ("/%2e%2E/b", None), ("/a/.", None), ("/..a", ("..a",)), ("", None), ("a", None),
        ("*", None), ("/%zz", ("%zz",)),
    ],
)  # fmt: skip
def test_paths_are_normalized_as_by_a_backend(path: str, segments: tuple[str, ...] | None) -> None:
    found = path_segments(path.encode())
    assert found == (tuple(part.encode() for part in segments) if segments is not None else None)


def test_percent_encoding_does_not_evade_a_route() -> None:
    index = RouteIndex((make_route(0, path_prefix="/"), make_route(1, path_prefix="/save")))
    assert find_name(index, "GET h /%73av%65/x") == "r1"
    assert find_name(index, "GET h /open/../save") == "none"


@pytest.mark.parametrize("count", [10_000])
def test_lookups_do_not_scan_ten_thousand_routes(count: int) -> None:
    """No lookup scans the routes, even if they share a prefix or differ only in a header's value."""
    index = RouteIndex(
        [make_route(n, path_pattern=f"/api/v1/{{org}}/{n}") for n in range(count)]
        + [make_route(count + n, path="/one", headers=(("x-n", str(n)),)) for n in range(count)]
    )
    assert not index.conflicts

    class CountingHeaders(dict[bytes, bytes]):
        accesses = 0

        def get(self, key: bytes, default: bytes | None = None) -> bytes:  # type: ignore[override]
            CountingHeaders.accesses += 1
            return super().get(key, default or b"")

    for n in (0, 77, count - 1):
        assert find_name(index, f"GET h /api/v1/etna/{n}") == f"r{n}"
        found = index.find(b"h", b"/one", b"GET", CountingHeaders({b"x-n": b"%d" % n}))
        assert found and found.index == count + n
    assert CountingHeaders.accesses == 3  # Each of the three lookups reads one header.


HOSTS = ("", "a.org", "*.org", "b.a.org", "*.a.org")
SEGMENTS = ("x", "y", "{p}")


@st.composite
def route_lists(draw: st.DrawFn) -> list[Route]:
    """Draw one to six routes, some of which overlap."""
    drawn = []
    for position in range(draw(st.integers(1, 6))):
        parts = draw(st.lists(st.sampled_from(SEGMENTS), min_size=1, max_size=3))
        parts = [f"{{p{n}}}" if part == "{p}" else part for n, part in enumerate(parts)]
        text = "/" + "/".join(parts)
        pattern = any(part.startswith("{") for part in parts)
        kind = "path_pattern" if pattern else draw(st.sampled_from(("path", "path_prefix")))
        headers = draw(st.dictionaries(st.sampled_from(("x-a", "x-b")), st.sampled_from("12"), max_size=2))
        drawn.append(
            Route(
                f"r{position}", position,
                Match(
                    draw(st.sampled_from(HOSTS)), **{kind: text},
                    methods=frozenset(draw(st.sets(st.sampled_from(("GET", "PUT")), max_size=2))),
                    headers=tuple(sorted(headers.items())),
                ),
                Policy(f"r{position}"), (), draw(st.sampled_from((0, 0, 1))),
            )
        )  # fmt: skip
    return drawn


def requests() -> Iterator[tuple[bytes, bytes, bytes, dict[bytes, bytes]]]:
    for host in (b"a.org", b"b.a.org", b"c.a.org", b"org"):
        for path in (b"/x", b"/y", b"/x/y", b"/x/z", b"/z/x/y", b"/x/y/x/x"):
            for method in (b"GET", b"PUT", b"POST"):
                for headers in ({}, {b"x-a": b"1"}, {b"x-a": b"2", b"x-b": b"1"}):
                    yield host, path, method, headers


@settings(max_examples=150, deadline=None, derandomize=True)
@given(route_lists())
def test_the_index_agrees_with_a_linear_search(routes: list[Route]) -> None:
    index = RouteIndex(routes)
    shadowed = {conflict.route.name for conflict in index.conflicts if conflict.kind == "never-matches"}
    is_ambiguous = any(conflict.kind == "ambiguous" for conflict in index.conflicts)
    found_names = set()
    for host, path, method, headers in requests():
        found = index.find(host, path, method, headers)
        matching = [route for route in routes if route_accepts(route, host, path, method, headers)]
        assert (found is None) == (not matching)
        if found:
            assert found in matching
            assert found.priority == max(route.priority for route in matching)
            found_names.add(found.name)
            if not is_ambiguous:
                # No other matching route has precedence over the one that was found.
                assert not any(_has_precedence(other, found) for other in matching if other is not found)
    if not is_ambiguous:
        assert not found_names & shadowed


def _has_precedence(first: Route, second: Route) -> bool:
    """Return whether the first of two routes of equal priority, host and path is more specific.

    It has more headers, or as many headers and a named method where the second matches any method.
    """
    a, b = first.match, second.match
    if first.priority != second.priority or (a.host, a.path, a.path_prefix) != (
        b.host,
        b.path,
        b.path_prefix,
    ):
        return False
    if a.path_pattern or b.path_pattern:
        return False
    if len(a.headers) != len(b.headers):
        return len(a.headers) > len(b.headers)
    return bool(a.methods) and not b.methods
