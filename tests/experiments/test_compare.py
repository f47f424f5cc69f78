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


def test_a_difference_is_significant_only_where_there_is_one() -> None:
    """Of 200 drawn pairs of equals one in ten at most is called different; a small true one is found."""
    draw = random.Random(5)
    false_positives = true_positives = 0
    for _ in range(200):
        luck = [draw.gauss(0.8, 0.1) for _ in range(20)]
        noise = [one + draw.gauss(0.0, 0.01) for one in luck]
        better = [one + 0.02 + draw.gauss(0.0, 0.01) for one in luck]
        false_positives += compare_results(rows(luck), rows(noise), ("score",))[0].shown
        true_positives += compare_results(rows(luck), rows(better), ("score",))[0].shown
    assert false_positives <= 20 and true_positives >= 195, (false_positives, true_positives)


def test_few_pairs_and_equal_pairs_are_not_significant() -> None:
    few = compare_results(rows([0.1, 0.2]), rows([0.9, 0.95]))[0]
    assert not few.shown and "too few" in few.words and math.isinf(few.low)
    same = compare_results(rows([0.5] * 9), rows([0.5] * 9))[0]
    assert not same.shown and same.words == "no difference shown" and same.mean == 0.0
    always = compare_results(rows([0.5] * 9), rows([0.6] * 9))[0]
    assert always.shown and always.words == "B is better"
    less = paired_difference("attempts_each", pair_rows(rows([0.5] * 9), rows([0.5] * 9)))
    assert Difference(*[getattr(less, f) for f in Difference.__slots__]).words == "no difference shown"


def test_plays_that_cannot_be_paired_are_rejected() -> None:
    with pytest.raises(IncomparableResultsError, match="different scripts"):
        compare_results(rows([0.5] * 6), rows([0.5] * 6, script="t"))
    with pytest.raises(IncomparableResultsError, match="no seed in common"):
        pair_rows(rows([0.5])[:1], [row | {"seed": 99} for row in rows([0.5])])
    with pytest.raises(IncomparableResultsError, match="twice"):
        compare_results(rows([0.5, 0.6]) + rows([0.7], "b"), rows([0.5] * 2))


def test_one_metric_of_many_that_differs_by_chance_is_not_significant() -> None:
    """Holm's correction: what five in a hundred would show alone is not shown among seven figures."""
    draw = random.Random(8)
    names = [f"m{number}" for number in range(7)]
    alone = together = 0
    for _ in range(150):
        a, b = (
            [{"script": "s", "seed": s, **{n: draw.gauss(0.0, 1.0) for n in names}} for s in range(20)]
            for _ in "ab"
        )
        alone += sum(compare_results(a, b, (name,))[0].shown for name in names)
        together += any(one.shown for one in compare_results(a, b, names))
    assert together <= 15 and alone > 2 * together, (alone, together)
