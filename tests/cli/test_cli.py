"""The command line: exit codes, text and JSON."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from heronreel.cli.__main__ import main
from tests.support.route_files import UNSAFE

ROOT = Path(__file__).parents[2]
SAFE = str(ROOT / "examples/profili.toml")


@pytest.fixture
def unsafe(tmp_path: Path) -> str:
    """A path to a file that would be repeated in another rack."""
    path = tmp_path / "retry-to-pool.toml"
    path.write_text(UNSAFE["retry-to-pool"])
    return str(path)


def heronreel(*words: str) -> Result:
    return CliRunner().invoke(main, words)


def test_check_tells_of_each_file_and_fails_if_one_is_unsafe(tmp_path: Path, unsafe: str) -> None:
    assert heronreel("check", SAFE).exit_code == 0
    found = heronreel("check", SAFE, unsafe, str(tmp_path / "none.toml"))
    assert found.exit_code == 1
    assert f"{SAFE}: safe: 3 routes, 2 pools" in found.output
    assert (
        f"{unsafe}:42: routes.save.retry_to:" in found.output
        and "shown by: 0 ms sent to rack r1" in found.output
    )
    assert "none.toml:0: file: can't be read" in found.output


def test_check_as_json_has_the_witness(unsafe: str) -> None:
    found = heronreel("check", "--json", unsafe)
    assert found.exit_code == 1
    (output,) = json.loads(found.output)["files"]
    (finding,) = output["findings"]
    assert not output["safe"] and finding["rule"] == "retry-leaves-group" and finding["breaks"] == "twice"
    assert [step["at_ms"] for step in finding["witness"]][:2] == [0.0, 0.0]


def test_explain_says_where_each_value_came_from() -> None:
    output = json.loads(heronreel("explain", "--json", SAFE, "post", "/salva-profilo/r1").output)
    assert output["route"] == "salva-profilo" and output["pools"] == {"profiles": 95.0, "canary": 5.0}
    assert output["policy"]["attempts"] == {"value": 2, "from": "route", "line": 68}
    assert output["policy"]["deadline_ms"]["from"] == "defaults"
    assert output["policy"]["concurrency"] == {"value": 0, "from": "built in", "line": 0}
    text = heronreel("explain", SAFE, "GET", "http://any:80/profiles/7?x=1", "-H", "X-A: 1").output
    assert "route read-profile" in text and "second_copy_percentile" in text


def test_explain_without_a_route_or_with_bad_words(tmp_path: Path) -> None:
    found = heronreel("explain", SAFE, "GET", "/nowhere")
    assert found.exit_code == 1 and "404" in found.output
    assert heronreel("explain", SAFE, "GET", "/x", "-H", "nonsense").exit_code == 2
    assert heronreel("explain", SAFE, "GET", "http://[/x").exit_code == 2
    path = tmp_path / "no-match.toml"
    path.write_text(UNSAFE["no-match"])
    broken = heronreel("explain", str(path), "GET", "/x")
    assert broken.exit_code == 1 and "match is missing" in broken.output


@pytest.mark.parametrize(
    ("header", "route"), [("a.org", "one"), ("A.org:8080", "one"), ("[::1]:80", "other")]
)
def test_a_host_header_stands_in_for_the_host(tmp_path: Path, header: str, route: str) -> None:
    file = tmp_path / "f.toml"
    file.write_text(
        '[[pools]]\nname = "p"\ndiscovery = "platform"\n[defaults]\ndeadline_ms = 2500\n'
        '[[routes]]\nname = "one"\nmatch = { host = "a.org", path_prefix = "/" }\npool = "p"\n'
        '[[routes]]\nname = "other"\nmatch = { path_prefix = "/" }\npool = "p"\n'
    )
    output = json.loads(heronreel("explain", "--json", str(file), "GET", "/", "-H", f"Host: {header}").output)
    assert output["route"] == route
