"""Tests of the `heronreel rehearse` commands and of the HTML pages that they write."""

from __future__ import annotations

import json
import re
from pathlib import Path

import pytest
from click.testing import CliRunner

from heronreel.cli.__main__ import main
from heronreel.emulator.model import Fault
from tests.experiments.scripts import script_file


def test_the_page_is_self_contained_and_links_breaches_to_their_traces(tmp_path: Path) -> None:
    faults = (Fault(fault_kind="drain", at_s=0.5, share=0.5, after_s=3.0),)
    path = script_file(tmp_path, seconds=4.0, faults=faults, name="<b>odd & name</b>")
    page = tmp_path / "page.html"
    invocation = CliRunner().invoke(
        main, ["rehearse", str(path), "--seed", "2", "--policy", "careless-drain", "--page", str(page)]
    )
    assert invocation.exit_code == 1 and "drain" in invocation.output, invocation.output
    text = page.read_text()
    assert not re.search(r"<script|<link|src=|@import|url\(h|href=\"http", text), (
        "the page must not load external resources"
    )
    assert "&lt;b&gt;odd &amp; name" in text and text.count("<svg") == 5
    assert 'href="#trace-' in text and 'id="trace-' in text
    for name in ("careless-drain", "random", "least-of-two-retry", "sees-all"):
        assert name in text, "the page must compare the policy with the reference policies"


def test_sweep_compare_report_and_trace_commands_work_together(tmp_path: Path) -> None:
    runner, path, out = CliRunner(), script_file(tmp_path), tmp_path / "out"
    sweep_arguments = [
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
    assert (
        runner.invoke(main, [*sweep_arguments, "--workers", "1", "--set", "clients.retries=0"]).exit_code == 0
    )
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
    ("arguments", "message"),
    [
        (["missing.toml"], "No such file"),
        (["SCRIPT", "--policy", "best"], "there is no 'best'"),
        (["sweep", "SCRIPT", "--seeds", "9..1"], "runs backwards"),
        (["sweep", "SCRIPT", "--set", "proxies.none=1"], "no such key: 'none'"),
        (["compare", "nowhere", "nowhere"], "no such file or folder"),
        (["shrink", "SCRIPT"], "breaks no rule"),
        (["replay", "SCRIPT", "--on", "SCRIPT"], "is not valid JSON"),
    ],
)
def test_invalid_input_is_reported_and_no_play_runs(
    tmp_path: Path, arguments: list[str], message: str
) -> None:
    path = script_file(tmp_path)
    invocation = CliRunner().invoke(
        main, ["rehearse", *(str(path) if argument == "SCRIPT" else argument for argument in arguments)]
    )
    assert invocation.exit_code in (1, 2) and message in invocation.output, invocation.output
    assert not (tmp_path / "out").exists()
