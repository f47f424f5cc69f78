"""The lookup against the plain meaning of the routes, and at size."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronreel.routes.index import RouteIndex, path_segments, route_accepts
from heronreel.routes.model import Match, Policy, Route


def route(place: int, priority: int = 0, **match: object) -> Route:
    if methods := match.get("methods"):
        match["methods"] = frozenset(str(methods).split())
    return Route(f"r{place}", place, Match(**match), Policy(f"r{place}"), (), priority)  # type: ignore[arg-type]


def named(index: RouteIndex, text: str, **headers: str) -> str:
    method, host, path = text.split()
    fields = {name.replace("_", "-").encode(): value.encode() for name, value in headers.items()}
    found = index.find(host.encode(), path.encode(), method.encode(), fields)
    return found.name if found else "none"


def test_what_is_more_specific_comes_first() -> None:
    index = RouteIndex((
        route(0, path_prefix="/"),
        route(1, path_prefix="/a"),
        route(2, path_pattern="/a/{x}"),
        route(3, path="/a/b"),
        route(4, path="/a/b", methods="GET"),
        route(5, path="/a/b", headers=(("x-a", "1"),)),
        route(6, host="*.example.org", path_prefix="/a"),
        route(7, host="*.b.example.org", path_prefix="/a"),
        route(8, host="c.b.example.org", path="/a"),
        route(9, 1, path="/urgent"),
    ))  # fmt: skip
    assert not index.conflicts
    for text, headers, wanted in (
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
        assert named(index, text, **headers) == wanted, text


@pytest.mark.parametrize(
    ("path", "segments"),
    [
        ("/", ("",)), ("/a/b", ("a", "b")), ("/%61", ("a",)), ("/a%2fb", ("a%2Fb",)),
        ("/a//b", ("a", "", "b")),
        ("/a/../b", None), ("/%2e%2E/b", None), ("/a/.", None), ("/..a", ("..a",)), ("", None), ("a", None),
        ("*", None), ("/%zz", ("%zz",)),
    ],
)  # fmt: skip
def test_paths_are_read_as_a_backend_would(path: str, segments: tuple[str, ...] | None) -> None:
    found = path_segments(path.encode())
    assert found == (tuple(part.encode() for part in segments) if segments is not None else None)


def test_an_escape_does_not_evade_a_route() -> None:
    index = RouteIndex((route(0, path_prefix="/"), route(1, path_prefix="/save")))
    assert named(index, "GET h /%73av%65/x") == "r1"
    assert named(index, "GET h /open/../save") == "none"


@pytest.mark.parametrize("count", [10_000])
def test_ten_thousand_routes_with_one_prefix(count: int) -> None:
    """Also with one path for all and a header apart: no lookup walks through them."""
    index = RouteIndex(
        [route(n, path_pattern=f"/api/v1/{{org}}/{n}") for n in range(count)]
        + [route(count + n, path="/one", headers=(("x-n", str(n)),)) for n in range(count)]
    )
    assert not index.conflicts

    class Counted(dict[bytes, bytes]):
        asked = 0

        def get(self, key: bytes, default: bytes | None = None) -> bytes:  # type: ignore[override]
            Counted.asked += 1
            return super().get(key, default or b"")

    for n in (0, 77, count - 1):
        assert named(index, f"GET h /api/v1/etna/{n}") == f"r{n}"
        found = index.find(b"h", b"/one", b"GET", Counted({b"x-n": b"%d" % n}))
        assert found and found.index == count + n
    assert Counted.asked == 3  # one header asked for, each time


HOSTS = ("", "a.org", "*.org", "b.a.org", "*.a.org")
SEGMENTS = ("x", "y", "{p}")


@st.composite
def routes(draw: st.DrawFn) -> list[Route]:
    made = []
    for place in range(draw(st.integers(1, 6))):
        parts = draw(st.lists(st.sampled_from(SEGMENTS), min_size=1, max_size=3))
        parts = [f"{{p{n}}}" if part == "{p}" else part for n, part in enumerate(parts)]
        text = "/" + "/".join(parts)
        pattern = any(part.startswith("{") for part in parts)
        kind = "path_pattern" if pattern else draw(st.sampled_from(("path", "path_prefix")))
        headers = draw(st.dictionaries(st.sampled_from(("x-a", "x-b")), st.sampled_from("12"), max_size=2))
        made.append(
            Route(
                f"r{place}", place,
                Match(
                    draw(st.sampled_from(HOSTS)), **{kind: text},
                    methods=frozenset(draw(st.sets(st.sampled_from(("GET", "PUT")), max_size=2))),
                    headers=tuple(sorted(headers.items())),
                ),
                Policy(f"r{place}"), (), draw(st.sampled_from((0, 0, 1))),
            )
        )  # fmt: skip
    return made


def requests() -> Iterator[tuple[bytes, bytes, bytes, dict[bytes, bytes]]]:
    for host in (b"a.org", b"b.a.org", b"c.a.org", b"org"):
        for path in (b"/x", b"/y", b"/x/y", b"/x/z", b"/z/x/y", b"/x/y/x/x"):
            for method in (b"GET", b"PUT", b"POST"):
                for headers in ({}, {b"x-a": b"1"}, {b"x-a": b"2", b"x-b": b"1"}):
                    yield host, path, method, headers


@settings(max_examples=150, deadline=None, derandomize=True)
@given(routes())
def test_the_index_finds_what_a_plain_search_would(made: list[Route]) -> None:
    index = RouteIndex(made)
    unfound = {clash.route.name for clash in index.conflicts if clash.kind == "never-matches"}
    unclear = any(clash.kind == "ambiguous" for clash in index.conflicts)
    seen = set()
    for host, path, method, headers in requests():
        found = index.find(host, path, method, headers)
        taking = [one for one in made if route_accepts(one, host, path, method, headers)]
        assert (found is None) == (not taking)
        if found:
            assert found in taking
            assert found.priority == max(one.priority for one in taking)
            seen.add(found.name)
            if not unclear:
                # nothing is as specific as what was found, or more so in every way
                assert not any(_beats(other, found) for other in taking if other is not found)
    if not unclear:
        assert not seen & unfound


def _beats(one: Route, two: Route) -> bool:
    """Same priority, host and path; more headers, or as many and a named method against any."""
    a, b = one.match, two.match
    if one.priority != two.priority or (a.host, a.path, a.path_prefix) != (b.host, b.path, b.path_prefix):
        return False
    if a.path_pattern or b.path_pattern:
        return False
    if len(a.headers) != len(b.headers):
        return len(a.headers) > len(b.headers)
    return bool(a.methods) and not b.methods
