"""Tests of the commands of `heronreel rehearse`, and of their pages."""

from __future__ import annotations

import json
import re
from pathlib import Path

import pytest
from click.testing import CliRunner

from heronreel.cli.__main__ import main
from heronreel.emulator.model import Fault
from tests.experiments.scripts import script_file


def test_the_page_is_complete_in_itself_and_links_breaches_to_their_traces(tmp_path: Path) -> None:
    faults = (Fault(fault_kind="drain", at_s=0.5, share=0.5, after_s=3.0),)
    path = script_file(tmp_path, seconds=4.0, faults=faults, name="<b>odd & name</b>")
    page = tmp_path / "page.html"
    invocation = CliRunner().invoke(
        main, ["rehearse", str(path), "--seed", "2", "--policy", "careless-drain", "--page", str(page)]
    )
    assert invocation.exit_code == 1 and "drain" in invocation.output, invocation.output
    text = page.read_text()
    assert not re.search(r"<script|<link|src=|@import|url\(h|href=\"http", text), "nothing is fetched"
    assert "&lt;b&gt;odd &amp; name" in text and text.count("<svg") == 5
    assert 'href="#trace-' in text and 'id="trace-' in text
    for name in ("careless-drain", "random", "least-of-two-retry", "sees-all"):
        assert name in text, "never shown without the others"


def test_the_commands_from_an_empty_file_to_a_decision(tmp_path: Path) -> None:
    runner, path, out = CliRunner(), script_file(tmp_path), tmp_path / "out"
    sweep_ = [
        "rehearse",
        "sweep",
        str(path),
        "--seeds",
        "1..6",
        "--policies",
        "heronreel,random",
        "--out",
        str(out),
    ]
    assert runner.invoke(main, [*sweep_, "--workers", "1", "--set", "clients.retries=0"]).exit_code == 0
    sides = ["--where-a", "policy=random", "--where-b", "policy=heronreel"]
    invocation = runner.invoke(main, ["rehearse", "compare", str(out), str(out), *sides, "--json"])
    differences = {row["metric"]: row for row in json.loads(invocation.output)}
    assert differences["score"]["pairs"] == 6 and differences["score"]["words"]
    page = tmp_path / "sweep.html"
    assert runner.invoke(main, ["rehearse", "report", str(out), "--page", str(page)]).exit_code == 0
    assert "random, clients.retries=0" in page.read_text()
    invocation = runner.invoke(main, ["rehearse", str(path), "--alone", "--json", "--trace", "3"])
    assert invocation.exit_code == 0 and json.loads(invocation.output)["plays"][0]["traces"]["3"]


@pytest.mark.parametrize(
    ("arguments", "words"),
    [
        (["missing.toml"], "No such file"),
        (["SCRIPT", "--policy", "best"], "there is no 'best'"),
        (["sweep", "SCRIPT", "--seeds", "9..1"], "runs backwards"),
        (["sweep", "SCRIPT", "--set", "proxies.none=1"], "lost at 'none'"),
        (["compare", "nowhere", "nowhere"], "no such file or folder"),
        (["shrink", "SCRIPT"], "breaks no rule"),
        (["replay", "SCRIPT", "--on", "SCRIPT"], "is no JSON"),
    ],
)
def test_bad_input_is_reported_and_nothing_is_played(
    tmp_path: Path, arguments: list[str], words: str
) -> None:
    path = script_file(tmp_path)
    invocation = CliRunner().invoke(
        main, ["rehearse", *(str(path) if a == "SCRIPT" else a for a in arguments)]
    )
    assert invocation.exit_code in (1, 2) and words in invocation.output, invocation.output
    assert not (tmp_path / "out").exists()
