"""Tests of the rows for the roadmap's tables and of the summary lines."""

from __future__ import annotations

from datetime import date
from pathlib import Path

import pytest

from bench.duty.output import read_result
from bench.duty.plays import FIRST_SITE, OTHER_SITE, PLAY_BY_NAME, Run, Site
from bench.duty.report import row_of, short_day_name, summary_of
from bench.duty.runner import Outcome
from tests.standing_duty.samples import sample

TODAY = date(2026, 12, 3)
WHY = "after a change"


def outcome_of(play_name: str, text: str, seed: int | None = None, site: Path = FIRST_SITE) -> Outcome:
    play = PLAY_BY_NAME[play_name]
    run = Run(play, Site(site, in_kit=True), seed)
    return Outcome(run, Path(run.file_name), read_result(text, play.reading))


def row_text(outcome: Outcome) -> str:
    row = row_of(outcome, WHY, TODAY)
    assert row is not None
    assert len(row.cells) == len(row.table.columns)
    return row.text()


@pytest.mark.parametrize(
    ("play", "file", "expected"),
    [
        (
            "full", "full.txt",
            "| 2026-12-03 | passed | 0.902 | 0.94 | 0.99 | 0.85 | 0.96 | 0.92 | 0.95 | 0.79 "
            "| full, after a change |",
        ),
        (
            "quick", "quick.txt",
            "| 2026-12-03 | passed | 0.917 | | 0.91 | | 0.98 | | 0.87 | | quick, after a change |",
        ),
        ("size", "size.txt", "| 2026-12-03 | 0.847 (0.98, 0.92, 0.63) | quick, after a change |"),
        ("later", "later.txt", "| 2026-12-03 | 0.881 | earlier days, quick, after a change |"),
        (
            "harder", "harder_broken.txt",
            "| 2026-12-03 | 0.551 (0.97, 0.00, 0.68) | quick, after a change; "
            "**broken** (lost, fault, join+disco+huge; lost, 2 times) |",
        ),
        (
            "module", "module.txt",
            "| 2026-12-03 | 0.636 (0.79, 0.38, 0.88, 0.55) | module alone, quick, after a change |",
        ),
    ],
)  # fmt: skip
def test_a_row_has_the_format_of_its_table(play: str, file: str, expected: str) -> None:
    assert row_text(outcome_of(play, sample(file))) == expected


def test_a_brink_row_lists_its_days_in_one_cell() -> None:
    assert row_text(outcome_of("brink", sample("brink.txt"), seed=501)) == (
        "| 501 | passed | 0.781 | roll 0.90, calm+term 0.87, roll 0.84, herd+crowd 0.94, throng 0.86 "
        "| | | | | | | after a change |"
    )


def test_a_failed_gate_is_reported_with_rule_day_and_count() -> None:
    assert row_text(outcome_of("brink", sample("brink_failed.txt"), seed=502)) == (
        "| 502 | **failed** (drain, herd+crowd+brink+mass-13; drain, 6 times) | 0.640 "
        "| roll 0.93, herd+crowd 0.00 | | | | | | | after a change |"
    )


def test_a_broken_rule_is_reported_although_the_gate_passed() -> None:
    text = sample("brink_failed.txt").replace("failed: drain, herd+crowd+brink+mass-13", "passed")
    gate_cell = "| passed, **broken** (drain, herd+crowd+brink+mass-13; drain, 6 times) |"
    assert gate_cell in row_text(outcome_of("brink", text, seed=502))


def test_the_row_of_another_deployment_names_it() -> None:
    outcome = outcome_of("brink", sample("brink.txt"), seed=501, site=OTHER_SITE)
    assert row_text(outcome).endswith("| innkreving-oslo, after a change |")


def test_a_bar_in_the_gate_detail_does_not_end_a_cell() -> None:
    text = sample("brink_failed.txt").replace("GATE failed: drain,", "GATE failed: drain | lost,")
    assert "(drain / lost, herd" in row_text(outcome_of("brink", text, seed=502))


def test_a_run_without_result_has_no_row() -> None:
    run = Run(PLAY_BY_NAME["full"], Site(FIRST_SITE, in_kit=True))
    assert row_of(Outcome(run, Path("full.txt"), failure="failed to start"), WHY, TODAY) is None


def test_the_summary_distinguishes_passed_failed_and_missing_results() -> None:
    run = Run(PLAY_BY_NAME["full"], Site(FIRST_SITE, in_kit=True))
    lines = [
        summary_of(outcome_of("full", sample("full.txt"))),
        summary_of(outcome_of("size", sample("size.txt"))),
        summary_of(outcome_of("brink", sample("brink_failed.txt"), seed=502)),
        summary_of(Outcome(run, Path("full.txt"), failure="no score was printed, exit code 3")),
    ]
    assert [" ".join(line.split()) for line in lines] == [
        "full 0.902 GATE passed (full.txt)",
        "size 0.847 no rule broken (size.txt)",
        "brink-502 0.640 FAILED: drain, herd+crowd+brink+mass-13; drain, 6 times (brink-502.txt)",
        "full NO RESULT: no score was printed, exit code 3 (full.txt)",
    ]


def test_a_short_day_name_omits_number_size_and_panel() -> None:
    names = ("soak", "calm+mass", "roll+term+brink+mass-12", "herd+zone+huge", "join+vast", "reload")
    assert [short_day_name(name) for name in names] == [
        "soak", "calm", "roll+term", "herd+zone", "join", "reload"
    ]  # fmt: skip
