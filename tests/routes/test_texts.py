"""Unusual texts: the loader parses each of them, or rejects it quickly with a line number."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronreel.routes.load import load_routes
from heronreel.routes.reader import MAX_FILE_BYTES, MAX_PROBLEMS, ConfigFileError
from heronreel.routes.source import key_lines

EXAMPLE = (Path(__file__).parents[2] / "examples/profili.toml").read_bytes()


def first_problem(data: bytes) -> tuple[int, str]:
    """Return the line and the text of the first problem of a file that must be rejected."""
    with pytest.raises(ConfigFileError) as caught:
        load_routes(data)
    problem = caught.value.problems[0]
    return problem.line, problem.wrong


def test_a_byte_order_mark_and_crlf_line_ends_are_ignored() -> None:
    plain = load_routes(EXAMPLE)
    other = load_routes(b"\xef\xbb\xbf" + EXAMPLE.replace(b"\n", b"\r\n"))
    assert plain.lines == other.lines
    assert [route.policy for route in plain.routes] == [route.policy for route in other.routes]


def test_files_over_the_size_limit_are_rejected_unparsed() -> None:
    assert first_problem(b"# \n" * (5 << 20)) == (0, f"has {15 << 20:,} bytes")
    assert first_problem(EXAMPLE + b"#" * (5 << 20))[0] == 0


def test_a_nul_byte_is_reported_with_its_line() -> None:
    assert first_problem(b"version = 1\n\nname = '\0'\n") == (3, "holds a NUL byte")


def test_invalid_utf8_is_reported_with_its_line() -> None:
    assert first_problem(b"version = 1\n# \xff\n") == (2, "byte 14 is not UTF-8")


@pytest.mark.parametrize("opening", ["[", "{a=", "[{a="])
def test_deep_nesting_is_rejected(opening: str) -> None:
    depth = 5000 // len(opening)
    assert "nested too deeply" in first_problem(f"x = {opening * depth}".encode())[1]


def test_a_long_line_and_a_key_of_many_parts_are_rejected() -> None:
    assert first_problem(b"x = 1\ny = [" + b"1," * 20_000 + b"]")[0] == 2
    assert first_problem(b".".join([b"a"] * 9000) + b" = 1")[0] == 1


@pytest.mark.parametrize(
    ("text", "line"),
    [("a = 1\nb = \n", 2), ("a = 1\na = 2\n", 2), ("x = 'a", 1), ("[a]\n[a]\n", 2), ("= 1", 1)],
)
def test_invalid_toml_is_reported_with_its_line(text: str, line: int) -> None:
    assert first_problem(text.encode())[0] == line


def test_a_number_of_too_many_digits_is_rejected() -> None:
    assert first_problem(b"x = " + b"9" * 5000)[1].startswith("is no TOML")


def test_the_number_of_reported_problems_is_limited() -> None:
    text = "".join(f"[[routes]]\nname = {n}\nwrong = 1\n" for n in range(2000))
    with pytest.raises(ConfigFileError) as caught:
        load_routes(text.encode())
    assert len(caught.value.problems) == MAX_PROBLEMS + 1
    assert "more problems" in caught.value.problems[0].wrong
    assert len(text) < MAX_FILE_BYTES


def test_every_form_of_key_has_the_right_line() -> None:
    text = '''\
# a comment = 1
top = """
not = "here"
"""
"quoted key" = 'x = 1'
a.b.c = 1
[table."x.y"]
k = [ # comment ] with "quotes"
  1,
  { in = 2, line = [3, 4] },
]
[[rows]]
n = 1
[rows.sub]
m = 2
[[rows]]
n = \'\'\'
]]
\'\'\'
last = 2026-12-01T10:00:00Z
'''
    lines = key_lines(text)
    assert tomllib.loads(text)["rows"][1]["last"]
    assert lines[("top",)] == 2
    assert lines[("quoted key",)] == 5
    assert lines[("a", "b", "c")] == 6
    assert lines[("table", "x.y", "k")] == 8
    assert lines[("table", "x.y", "k", 0)] == 9
    assert lines[("table", "x.y", "k", 1, "line", 1)] == 10
    assert lines[("rows", 0, "sub", "m")] == 15
    assert lines[("rows", 1)] == 16
    assert lines[("rows", 1, "last")] == 20


def key_paths(value: object, parent: tuple[str | int, ...] = ()) -> set[tuple[str | int, ...]]:
    """Return the paths of all keys and array elements in a value."""
    paths = {parent} if parent else set()
    rows = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, item in rows:
        paths |= key_paths(item, (*parent, key))
    return paths


def to_toml(value: object) -> str:
    """Return a value as inline TOML."""
    if isinstance(value, dict):
        return "{" + ", ".join(f"{to_toml(k)} = {to_toml(v)}" for k, v in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ",\n".join(map(to_toml, value)) + "]"
    if isinstance(value, str):
        return '"' + "".join(c if c.isalnum() and c.isascii() else f"\\U{ord(c):08x}" for c in value) + '"'
    return str(value).lower()


texts = st.text(st.characters(exclude_categories=["Cs"]), max_size=8)
values = st.recursive(
    st.booleans() | st.integers(-(2**63), 2**63 - 1) | texts,
    lambda element: st.lists(element, max_size=4) | st.dictionaries(texts, element, max_size=4),
    max_leaves=12,
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.dictionaries(texts, values, max_size=5))
def test_every_parsed_key_has_a_line(raw: dict[str, object]) -> None:
    text = "\n\n".join(f"{to_toml(key)} = {to_toml(value)}" for key, value in raw.items())
    assert tomllib.loads(text) == raw
    lines = key_lines(text)
    assert set(lines) == key_paths(raw)
    rows = text.split("\n")
    for key in raw:
        assert rows[lines[(key,)] - 1].startswith(to_toml(key))


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=200) | st.integers(0, len(EXAMPLE)).flatmap(
    lambda cut: st.binary(max_size=6).map(lambda noise: EXAMPLE[:cut] + noise + EXAMPLE[cut + len(noise):])
))  # fmt: skip
def test_the_loader_raises_only_config_file_errors(data: bytes) -> None:
    try:
        load_routes(data)
    except ConfigFileError as error:
        assert error.problems and all(problem.wrong for problem in error.problems)
