"""Tests of paired comparisons."""

from __future__ import annotations

import math
import random

import pytest

from heronreel.experiments.compare import Difference, compare_results, pair_rows, paired_difference
from heronreel.experiments.errors import IncomparableResultsError


def rows(scores: list[float], policy: str = "a", script: str = "s") -> list[dict[str, object]]:
    return [
        {"script": script, "seed": seed, "policy": policy, "score": score, "attempts_each": 1.0, "kept": True}
        for seed, score in enumerate(scores)
    ]


def test_a_difference_is_significant_only_if_it_exists() -> None:
    """At most 20 of 200 comparisons of equal policies are significant; a difference of 0.02 is found."""
    draw = random.Random(5)
    false_positives = true_positives = 0
    for _ in range(200):
        baseline = [draw.gauss(0.8, 0.1) for _ in range(20)]
        noise = [score + draw.gauss(0.0, 0.01) for score in baseline]
        better = [score + 0.02 + draw.gauss(0.0, 0.01) for score in baseline]
        false_positives += compare_results(rows(baseline), rows(noise), ("score",))[0].shown
        true_positives += compare_results(rows(baseline), rows(better), ("score",))[0].shown
    assert false_positives <= 20 and true_positives >= 195, (false_positives, true_positives)


def test_few_pairs_and_equal_pairs_are_not_significant() -> None:
    few = compare_results(rows([0.1, 0.2]), rows([0.9, 0.95]))[0]
    assert not few.shown and "too few" in few.words and math.isinf(few.low)
    same = compare_results(rows([0.5] * 9), rows([0.5] * 9))[0]
    assert not same.shown and same.words == "no difference shown" and same.mean == 0.0
    constant_gain = compare_results(rows([0.5] * 9), rows([0.6] * 9))[0]
    assert constant_gain.shown and constant_gain.words == "B is better"
    unchanged = paired_difference("attempts_each", pair_rows(rows([0.5] * 9), rows([0.5] * 9)))
    assert (
        Difference(*[getattr(unchanged, field) for field in Difference.__slots__]).words
        == "no difference shown"
    )


def test_plays_that_cannot_be_paired_are_rejected() -> None:
    with pytest.raises(IncomparableResultsError, match="different scripts"):
        compare_results(rows([0.5] * 6), rows([0.5] * 6, script="t"))
    with pytest.raises(IncomparableResultsError, match="no seed in common"):
        pair_rows(rows([0.5])[:1], [row | {"seed": 99} for row in rows([0.5])])
    with pytest.raises(IncomparableResultsError, match="twice"):
        compare_results(rows([0.5, 0.6]) + rows([0.7], "b"), rows([0.5] * 2))


def test_a_chance_difference_of_one_metric_among_many_is_not_significant() -> None:
    """Holm's correction keeps the false positives of seven metrics together near those of a single one."""
    draw = random.Random(8)
    names = [f"m{number}" for number in range(7)]
    separate = corrected = 0
    for _ in range(150):
        a, b = (
            [{"script": "s", "seed": s, **{n: draw.gauss(0.0, 1.0) for n in names}} for s in range(20)]
            for _ in "ab"
        )
        separate += sum(compare_results(a, b, (name,))[0].shown for name in names)
        corrected += any(difference.shown for difference in compare_results(a, b, names))
    assert corrected <= 15 and separate > 2 * corrected, (separate, corrected)
