"""Tests of the whole command with a fake kit: the plays run, stored outputs, printed rows and exit codes."""

from __future__ import annotations

from datetime import date
from pathlib import Path

import pytest

from bench import lay_sites
from bench.duty.plays import OTHER_SITE, PLAY_BY_NAME, Program
from bench.duty.request import Checkout
from bench.standing_duty import main
from tests.standing_duty.fake_kit import FakeKit, make_checkout
from tests.standing_duty.samples import sample

TODAY = date(2026, 12, 3)
SEEDS = ["--seeds", "501,502"]
WHY = "After a change."
SITE = "../given/kit/sites/profili-sicilia.toml"
MASS, FLEET, MODULE = (f"../given/kit/{program.value}" for program in Program)


@pytest.fixture
def checkout(tmp_path: Path) -> Checkout:
    return make_checkout(tmp_path / "checkout")


@pytest.fixture
def kit(tmp_path: Path) -> FakeKit:
    return FakeKit(tmp_path / "given" / "kit")


def play(kit: FakeKit, checkout: Checkout, *arguments: str) -> int:
    return main([str(kit.folder), *arguments], checkout, TODAY)


def assert_usage_error(kit: FakeKit, checkout: Checkout, *arguments: str) -> None:
    with pytest.raises(SystemExit) as raised:
        play(kit, checkout, *arguments)
    assert raised.value.code == 2
    assert kit.logged_lines() == []
    assert not (checkout.root / "logs").exists()


def test_the_full_test_and_the_brink_panel_run_by_default(kit: FakeKit, checkout: Checkout) -> None:
    kit.answer_all()
    assert play(kit, checkout, *SEEDS, "--why", WHY) == 0
    assert kit.started_commands() == [
        f"{MASS} score {SITE} --why {WHY}",
        f"{MASS} score {SITE} --panel brink --seed 501 --why {WHY}",
        f"{MASS} score {SITE} --panel brink --seed 502 --why {WHY}",
    ]


def test_each_play_runs_with_its_arguments(kit: FakeKit, checkout: Checkout) -> None:
    kit.answer_all()
    assert play(kit, checkout, "--play", "all", "--seeds", "501", "--why", WHY) == 0
    assert kit.started_commands() == [
        f"{MASS} score {SITE} --why {WHY}",
        f"{MASS} score {SITE} --quick --why {WHY}",
        f"{MASS} score {SITE} --panel brink --seed 501 --why {WHY}",
        f"{FLEET} score {SITE} --quick --panel size --why {WHY}",
        f"{FLEET} score {SITE} --quick --panel later --why {WHY}",
        f"{FLEET} score {SITE} --quick --why {WHY}",
        f"{MODULE} score {SITE} --quick --why {WHY}",
    ]


def test_chosen_plays_run_once_each_in_the_given_order(kit: FakeKit, checkout: Checkout) -> None:
    kit.answer_all()
    assert play(kit, checkout, "--play", "module", "size", "module") == 0
    assert [line.split()[0] for line in kit.started_commands()] == [MODULE, FLEET]


def test_plays_never_overlap(kit: FakeKit, checkout: Checkout) -> None:
    kit.answer_all()
    assert play(kit, checkout, "--play", "all", *SEEDS) == 0
    lines = kit.logged_lines()
    assert len(lines) == 2 * 8
    for started, ended in zip(lines[::2], lines[1::2], strict=True):
        assert ended == started.replace("start ", "end ", 1)


def test_the_brink_panel_runs_on_all_deployments_after_their_files_are_copied(
    kit: FakeKit, checkout: Checkout
) -> None:
    kit.answer_all()
    assert play(kit, checkout, "--play", "brink", *SEEDS, "--deployment", "all", "--why", WHY) == 0
    sites = [
        SITE, f"../given/kit/{OTHER_SITE}", "deploy/sites/billetter-lofoten.toml",
        "deploy/sites/stralci-garda.toml",
    ]  # fmt: skip
    assert kit.started_commands() == [
        f"{MASS} score {site} --panel brink --seed {seed} --why {WHY}"
        for site in sites
        for seed in (501, 502)
    ]
    for name in lay_sites.NAMES:
        assert (checkout.sites / name).read_text() == f"of the kit: {name}\n"
    stored = {file.name for file in (checkout.root / "logs" / "duty").iterdir()}
    assert {"brink-501.txt", "brink-innkreving-oslo-502.txt", "brink-stralci-garda-501.txt"} < stored
    assert len(stored) == 8


def test_other_plays_run_only_on_the_first_deployment(kit: FakeKit, checkout: Checkout) -> None:
    kit.answer_all()
    assert play(kit, checkout, "--play", "full", "--deployment", "all", "--why", WHY) == 0
    assert kit.started_commands() == [f"{MASS} score {SITE} --why {WHY}"]
    assert not (checkout.sites / "real.json").exists()


def test_complete_outputs_are_stored(kit: FakeKit, checkout: Checkout, tmp_path: Path) -> None:
    kit.answer_all()
    results = tmp_path / "results"
    assert play(kit, checkout, *SEEDS, "--results", str(results)) == 0
    assert (results / "full.txt").read_text() == sample("full.txt")
    assert (results / "brink-502.txt").read_text() == sample("brink.txt")


def test_rows_and_summary_are_printed_and_the_page_is_unchanged(
    kit: FakeKit, checkout: Checkout, capsys: pytest.CaptureFixture[str]
) -> None:
    kit.answer_all()
    assert play(kit, checkout, "--play", "later", "size", "module", "--why", WHY) == 0
    printed = capsys.readouterr().out
    today = TODAY.isoformat()
    rows = [line for line in printed.splitlines() if line.startswith(("|", "#"))]
    assert rows == [
        "### The earlier days and the module alone",
        f"| {today} | 0.881 | earlier days, quick, {WHY} |",
        f"| {today} | 0.636 (0.79, 0.38, 0.88, 0.55) | module alone, quick, {WHY} |",
        "### The size panel: herd, zone, join",
        f"| {today} | 0.847 (0.98, 0.92, 0.63) | quick, {WHY} |",
    ]
    assert [line.split()[:2] for line in printed.splitlines()[-3:]] == [
        ["later", "0.881"], ["size", "0.847"], ["module", "0.636"]
    ]  # fmt: skip
    assert checkout.roadmap.read_text() == sample("page.md")


@pytest.mark.parametrize(
    ("ending", "text", "message"),
    [
        ("exit 3", "", "NO RESULT: no score was printed, exit code 3"),
        ("exit 0", "building\n", "NO RESULT: no score was printed"),
        ("kill -SEGV $$", sample("full.txt"), "NO RESULT: crashed: ended by SIGSEGV"),
        ("exit 4", sample("full.txt"), "NO RESULT: crashed after its score, exit code 4"),
    ],
    ids=["crashes before its score", "prints no score", "killed by a signal", "crashes after its score"],
)
def test_a_play_without_result_is_stored_and_reported_and_the_next_play_runs(
    kit: FakeKit, checkout: Checkout, capsys: pytest.CaptureFixture[str], ending: str, text: str, message: str
) -> None:
    kit.answer(Program.MASS, "--panel brink", sample("brink.txt"))
    kit.answer(Program.MASS, "", text, ending)
    assert play(kit, checkout, *SEEDS) == 1
    printed = capsys.readouterr().out
    assert message in printed
    assert "### The standing test" not in printed
    assert printed.count("GATE passed") == 2
    assert (checkout.root / "logs" / "duty" / "full.txt").read_text() == text


def test_a_program_that_cannot_start_is_reported_and_the_next_play_runs(
    kit: FakeKit, checkout: Checkout, capsys: pytest.CaptureFixture[str]
) -> None:
    kit.answer_all()
    (kit.folder / Program.FLEET.value).write_bytes(b"\x7fELF, and no program\n")
    assert play(kit, checkout, "--play", "size", "module") == 1
    assert "NO RESULT: failed to start: Exec format error" in capsys.readouterr().out
    stored = checkout.root / "logs" / "duty" / "size.txt"
    assert stored.read_text() == "failed to start: Exec format error\n"
    assert [line.split()[0] for line in kit.started_commands()] == [MODULE]


@pytest.mark.parametrize("ending", ["exit 0", "exit 1"])
def test_a_failed_gate_returns_exit_code_1_and_a_row(
    kit: FakeKit, checkout: Checkout, capsys: pytest.CaptureFixture[str], ending: str
) -> None:
    kit.answer(Program.MASS, "--seed 502", sample("brink_failed.txt"), ending)
    kit.answer(Program.MASS, "--seed 501", sample("brink.txt"))
    assert play(kit, checkout, "--play", "brink", *SEEDS) == 1
    printed = capsys.readouterr().out
    assert "| 502 | **failed** (drain, herd+crowd+brink+mass-13; drain, 6 times) | 0.640 |" in printed
    assert "| 501 | passed | 0.781 |" in printed


def test_a_broken_rule_without_a_gate_returns_exit_code_1(kit: FakeKit, checkout: Checkout) -> None:
    kit.answer(Program.FLEET, "", sample("harder_broken.txt"))
    assert play(kit, checkout, "--play", "harder") == 1


def test_write_inserts_the_rows(kit: FakeKit, checkout: Checkout) -> None:
    kit.answer_all()
    assert play(kit, checkout, *SEEDS, "--why", WHY, "--write") == 0
    before, after = sample("page.md").splitlines(), checkout.roadmap.read_text().splitlines()
    added = [line for line in after if line not in before]
    assert [line for line in after if line in before] == before
    assert [line.split("|")[1].strip() for line in added] == [TODAY.isoformat(), "501", "502"]
    assert after[after.index(added[0]) - 1].endswith("| full, first |")
    assert after[after.index(added[1]) - 1].endswith("| first |")


def test_write_leaves_a_page_without_the_table_unchanged(
    kit: FakeKit, checkout: Checkout, capsys: pytest.CaptureFixture[str]
) -> None:
    kit.answer_all()
    page = sample("page.md").replace("### The brink panel, by seed", "### Something else")
    checkout.roadmap.write_text(page)
    assert play(kit, checkout, *SEEDS, "--write") == 1
    printed = capsys.readouterr()
    assert "### The brink panel, by seed" in printed.err
    assert "| 501 | passed |" in printed.out
    assert checkout.roadmap.read_text() == page


def test_the_brink_panel_requires_seeds(
    kit: FakeKit, checkout: Checkout, capsys: pytest.CaptureFixture[str]
) -> None:
    assert_usage_error(kit, checkout)
    assert "--seeds" in capsys.readouterr().err
    assert_usage_error(kit, checkout, "--play", "all")


@pytest.mark.parametrize("seeds", ["501,", "501;502", "-1", "501,501", "five"])
def test_seeds_must_be_a_list_of_distinct_numbers(kit: FakeKit, checkout: Checkout, seeds: str) -> None:
    assert_usage_error(kit, checkout, f"--seeds={seeds}")


@pytest.mark.parametrize("why", ["x" * 120, "", "two\nlines", "a | bar"])
def test_an_invalid_reason_is_rejected_before_any_play(kit: FakeKit, checkout: Checkout, why: str) -> None:
    assert_usage_error(kit, checkout, *SEEDS, "--why", why)


def test_a_reason_just_below_the_limit_is_accepted(kit: FakeKit, checkout: Checkout) -> None:
    kit.answer_all()
    assert play(kit, checkout, "--play", "module", "--why", "x" * 119) == 0


def test_an_unknown_play_is_rejected(kit: FakeKit, checkout: Checkout) -> None:
    assert_usage_error(kit, checkout, "--play", "fuller", *SEEDS)


@pytest.mark.parametrize(
    ("missing", "arguments"),
    [
        ("more/mass/bin/lbreal", ["--play", "full"]),
        ("more/bin/lbreal", ["--play", "full", "harder"]),
        ("bin/lbsim", ["--play", "full", "module"]),
        ("sites/profili-sicilia.toml", ["--play", "full"]),
        ("more/mass/other/innkreving-oslo.toml", [*SEEDS, "--deployment", "all"]),
        ("more/mass/other/wire.json", [*SEEDS, "--deployment", "all"]),
    ],
)
def test_a_missing_file_of_the_kit_is_named_before_any_play(
    kit: FakeKit, checkout: Checkout, capsys: pytest.CaptureFixture[str], missing: str, arguments: list[str]
) -> None:
    kit.answer_all()
    (kit.folder / missing).unlink()
    assert play(kit, checkout, *arguments) == 2
    assert f"{missing} is missing" in capsys.readouterr().err
    assert kit.logged_lines() == []


def test_without_a_kit_the_first_missing_file_is_named(
    tmp_path: Path, checkout: Checkout, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main([str(tmp_path / "nowhere"), *SEEDS], checkout) == 2
    assert "more/mass/bin/lbreal is missing" in capsys.readouterr().err


def test_the_names_of_the_plays_are_complete_and_ordered() -> None:
    assert list(PLAY_BY_NAME) == ["full", "quick", "brink", "size", "later", "harder", "module"]
