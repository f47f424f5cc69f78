"""Tests of parsing the outputs of the kit's programs."""

from __future__ import annotations

import pytest

from bench.duty.output import BrokenRule, Day, Gate, OutputError, read_result
from bench.duty.plays import Reading
from tests.standing_duty.samples import sample


def test_a_full_play_that_passed_is_parsed() -> None:
    result = read_result(sample("full.txt"), Reading.GATED_SCORE)
    assert result.score == 0.902
    assert [day.name for day in result.days] == [
        "soak", "calm+mass", "roll+mass", "herd+mass", "zone+mass", "split+mass", "join+mass"
    ]  # fmt: skip
    assert result.days[1] == Day("calm+mass", 0.99)
    assert result.gate == Gate(passed=True)
    assert result.good and not result.broken


def test_the_gate_of_a_quick_play_reports_half_of_the_days() -> None:
    result = read_result(sample("quick.txt"), Reading.GATED_SCORE)
    assert result.gate == Gate(passed=True, detail="(three of the six days)")
    assert result.good


def test_a_failed_gate_is_parsed_with_its_rule_and_day() -> None:
    result = read_result(sample("brink_failed.txt"), Reading.GATED_SCORE)
    assert result.gate == Gate(passed=False, detail="drain, herd+crowd+brink+mass-13")
    assert result.days[-1] == Day("herd+crowd+brink+mass-13", 0.0, "drain")
    assert result.broken_rules == (BrokenRule("drain", "6 times"),)
    assert result.broken and not result.good


def test_days_without_a_gate_and_a_separate_broken_rule_line_are_parsed() -> None:
    result = read_result(sample("harder_broken.txt"), Reading.SCORE)
    assert result.gate is None
    assert result.days[1] == Day("join+disco+huge", 0.0, "lost, fault")
    assert result.broken_rules == (BrokenRule("lost", "2 times"),)
    assert not result.good


def test_a_broken_rule_line_alone_fails_a_play() -> None:
    line = "RULE BROKEN (the day counts as zero): drain, 6 times, first at 3.1 s: a request went there\n"
    result = read_result(sample("size.txt") + line, Reading.SCORE)
    assert result.broken_rules == (BrokenRule("drain", "6 times"),)
    assert not result.good


def test_a_broken_day_alone_fails_a_play() -> None:
    marked = sample("size.txt").replace("score 0.92", "score 0.00  BROKEN: fault")
    result = read_result(marked, Reading.SCORE)
    assert result.days[1] == Day("zone+vast", 0.0, "fault")
    assert not result.good


def test_an_unknown_remark_after_a_score_fails_a_play() -> None:
    result = read_result(sample("size.txt").replace("score 0.92", "score 0.92  NOT READY"), Reading.SCORE)
    assert result.days[1] == Day("zone+vast", 0.92, "NOT READY")
    assert not result.good


def test_a_failed_gate_without_a_broken_rule_fails_a_play() -> None:
    text = sample("quick.txt").replace("passed (three of the six days)", "failed: served, calm+mass")
    result = read_result(text, Reading.GATED_SCORE)
    assert result.gate == Gate(passed=False, detail="served, calm+mass")
    assert not result.broken and not result.good


def test_the_last_gate_line_is_used() -> None:
    result = read_result("GATE failed: drain, soak\n" + sample("full.txt"), Reading.GATED_SCORE)
    assert result.gate == Gate(passed=True)


def test_a_module_estimate_is_parsed() -> None:
    result = read_result(sample("module.txt"), Reading.ESTIMATE)
    assert result.score == 0.636
    assert result.days == (
        Day("rough-1", 0.79), Day("overload", 0.38), Day("big-1", 0.88), Day("big-2", 0.55)
    )  # fmt: skip
    assert result.good


def test_an_estimate_without_an_earlier_one_is_parsed() -> None:
    text = "quick estimate on the standard days of x (set 1f): 0.397; rough-1 0.42, overload 0.10; others\n"
    result = read_result(text, Reading.ESTIMATE)
    assert result.score == 0.397
    assert result.days == (Day("rough-1", 0.42), Day("overload", 0.10))


def test_an_estimate_without_days_is_rejected() -> None:
    text = "quick estimate on the standard days of oslo (set 1f): 0.397; the days have no figure yet\n"
    with pytest.raises(OutputError, match="no day"):
        read_result(text, Reading.ESTIMATE)


@pytest.mark.parametrize("reading", Reading)
def test_an_output_without_score_is_rejected(reading: Reading) -> None:
    with pytest.raises(OutputError, match="was printed"):
        read_result("building\nsoak  G 0.9 and then it stopped\n", reading)


def test_a_score_without_days_is_rejected() -> None:
    with pytest.raises(OutputError, match="no day"):
        read_result("score of the real nodes 0.900 (the weighted mean)\nGATE passed\n", Reading.GATED_SCORE)


def test_a_gated_score_without_a_gate_line_is_rejected() -> None:
    text = sample("full.txt").replace("GATE passed\n", "")
    with pytest.raises(OutputError, match="gate"):
        read_result(text, Reading.GATED_SCORE)
    assert read_result(text, Reading.SCORE).score == 0.902
