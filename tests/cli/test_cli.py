"""Tests of the `check` and `explain` commands: exit codes, text output and JSON output."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from heronreel.cli.__main__ import main
from tests.support.route_files import UNSAFE

ROOT = Path(__file__).parents[2]
SAFE_PATH = str(ROOT / "examples/profili.toml")


@pytest.fixture
def unsafe_path(tmp_path: Path) -> str:
    """The path of a file of routes that would retry requests in another rack."""
    path = tmp_path / "retry-to-pool.toml"
    path.write_text(UNSAFE["retry-to-pool"])
    return str(path)


def heronreel(*arguments: str) -> Result:
    return CliRunner().invoke(main, arguments)


def test_check_reports_every_file_and_fails_if_one_is_unsafe(tmp_path: Path, unsafe_path: str) -> None:
    assert heronreel("check", SAFE_PATH).exit_code == 0
    result = heronreel("check", SAFE_PATH, unsafe_path, str(tmp_path / "none.toml"))
    assert result.exit_code == 1
    assert f"{SAFE_PATH}: safe: 3 routes, 2 pools" in result.output
    assert (
        f"{unsafe_path}:42: routes.save.retry_to:" in result.output
        and "shown by: 0 ms sent to rack r1" in result.output
    )
    assert "none.toml:0: file: can't be read" in result.output


def test_check_as_json_contains_the_witness(unsafe_path: str) -> None:
    result = heronreel("check", "--json", unsafe_path)
    assert result.exit_code == 1
    (output,) = json.loads(result.output)["files"]
    (finding,) = output["findings"]
    assert not output["safe"] and finding["rule"] == "retry-leaves-group" and finding["breaks"] == "twice"
    assert [step["at_ms"] for step in finding["witness"]][:2] == [0.0, 0.0]


def test_explain_reports_the_origin_of_each_value() -> None:
    output = json.loads(heronreel("explain", "--json", SAFE_PATH, "post", "/salva-profilo/r1").output)
    assert output["route"] == "salva-profilo" and output["pools"] == {"profiles": 95.0, "canary": 5.0}
    assert output["policy"]["attempts"] == {"value": 2, "from": "route", "line": 68}
    assert output["policy"]["deadline_ms"]["from"] == "defaults"
    assert output["policy"]["concurrency"] == {"value": 0, "from": "built in", "line": 0}
    text = heronreel("explain", SAFE_PATH, "GET", "http://any:80/profiles/7?x=1", "-H", "X-A: 1").output
    assert "route read-profile" in text and "second_copy_percentile" in text


def test_explain_without_a_matching_route_or_with_invalid_arguments(tmp_path: Path) -> None:
    result = heronreel("explain", SAFE_PATH, "GET", "/nowhere")
    assert result.exit_code == 1 and "404" in result.output
    assert heronreel("explain", SAFE_PATH, "GET", "/x", "-H", "nonsense").exit_code == 2
    assert heronreel("explain", SAFE_PATH, "GET", "http://[/x").exit_code == 2
    path = tmp_path / "no-match.toml"
    path.write_text(UNSAFE["no-match"])
    unsafe_file = heronreel("explain", str(path), "GET", "/x")
    assert unsafe_file.exit_code == 1 and "match is missing" in unsafe_file.output


@pytest.mark.parametrize(
    ("header", "route"), [("a.org", "one"), ("A.org:8080", "one"), ("[::1]:80", "other")]
)
def test_the_host_header_selects_the_route_if_the_url_has_no_host(
    tmp_path: Path, header: str, route: str
) -> None:
    file = tmp_path / "f.toml"
    file.write_text(
        '[[pools]]\nname = "p"\ndiscovery = "platform"\n[defaults]\ndeadline_ms = 2500\n'
        '[[routes]]\nname = "one"\nmatch = { host = "a.org", path_prefix = "/" }\npool = "p"\n'
        '[[routes]]\nname = "other"\nmatch = { path_prefix = "/" }\npool = "p"\n'
    )
    output = json.loads(heronreel("explain", "--json", str(file), "GET", "/", "-H", f"Host: {header}").output)
    assert output["route"] == route
