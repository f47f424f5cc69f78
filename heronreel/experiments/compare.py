"""Paired comparison of two sets of plays: the same script and seed have the same arrivals and faults.

What differs between two plays of one seed is what was changed, not the random draw, so the differences vary
far less than the metrics do.  Computed are the mean difference, its confidence interval by Student's t and,
since few differences are normal, one by bootstrap.  A difference is significant only where both intervals
leave out zero, after Holm's correction for the metrics compared together.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

import numpy as np
from scipy import stats

from heronreel.experiments.errors import IncomparableResultsError

METRICS = ("score", "service", "whole", "worst_window", "worst_tenant", "attempts_each", "handshakes_each")
LESS_IS_BETTER = frozenset(
    ("attempts_each", "handshakes_each", "p50", "p90", "p95", "p99", "refused", "failed")
)
CONFIDENCE_LEVEL = 0.95
MIN_PAIRS = 5  # fewer allow no conclusion
BOOTSTRAP_RESAMPLES = 4000
BOOTSTRAP_SEED = 1
EPSILON = 1e-12

Row = Mapping[str, Any]
"""A play's row of the results table, by column."""
RowPair = tuple[Row, Row]
"""The plays of A and B with one script and seed."""


@dataclass(frozen=True, slots=True)
class Difference:
    """B less A for one metric.  The fields are those of `rehearse compare --json`."""

    metric: str
    pairs: int
    mean_a: float
    mean_b: float
    mean: float
    low: float  # confidence interval by Student's t
    high: float
    boot_low: float  # confidence interval by bootstrap
    boot_high: float
    p: float
    shown: bool = False  # significant, after the correction

    @property
    def words(self) -> str:
        """The verdict, as printed."""
        if self.pairs < MIN_PAIRS:
            return f"too few pairs ({self.pairs}; {MIN_PAIRS} at least)"
        if not self.shown:
            return "no difference shown"
        better = (self.mean < 0.0) == (self.metric in LESS_IS_BETTER)
        return f"B is {'better' if better else 'worse'}"

    @property
    def intervals_exclude_zero(self) -> bool:
        """Whether zero is outside of both confidence intervals."""
        by_t = self.low > 0.0 or self.high < 0.0
        by_bootstrap = self.boot_low > 0.0 or self.boot_high < 0.0
        return by_t and by_bootstrap


def script_and_seed(row: Row) -> object:
    """What two plays of a pair have in common."""
    return row["script"], row["seed"]


def pair_rows(
    a: Sequence[Row], b: Sequence[Row], key: Callable[[Row], object] | None = None
) -> list[RowPair]:
    """The plays of A and B that have the same key (script and seed by default), by seed.

    Raises:
        IncomparableResultsError: no play has a partner, or a seed has several plays on one side.
    """
    key = key or script_and_seed
    rows_a: dict[object, Row] = {}
    for row in a:
        if key(row) in rows_a and rows_a[key(row)] != row:
            raise _duplicate_seed("A", row)
        rows_a[key(row)] = row
    pairs = []
    seen = set()
    for row in b:
        if key(row) in seen:
            raise _duplicate_seed("B", row)
        seen.add(key(row))
        if key(row) in rows_a:
            pairs.append((rows_a[key(row)], row))
    if not pairs:
        common_scripts = {row["script"] for row in a} & {row["script"] for row in b}
        reason = "no seed in common" if common_scripts else "they are plays of different scripts"
        raise IncomparableResultsError(f"nothing to pair: {reason}")
    return sorted(pairs, key=lambda pair: pair[0]["seed"])


def _duplicate_seed(side: str, row: Row) -> IncomparableResultsError:
    return IncomparableResultsError(
        f"{side} has seed {row['seed']} twice: choose one policy and setting with --where"
    )


def paired_difference(metric: str, pairs: Sequence[RowPair]) -> Difference:
    """The mean difference of one metric with its confidence intervals, before any correction."""
    a = np.array([float(left[metric]) for left, _ in pairs])
    b = np.array([float(right[metric]) for _, right in pairs])
    differences = b - a
    mean = float(differences.mean())
    base = (metric, len(pairs), float(a.mean()), float(b.mean()), mean)
    if len(pairs) < MIN_PAIRS:
        return Difference(*base, -np.inf, np.inf, -np.inf, np.inf, 1.0)
    if float(differences.std()) < EPSILON:  # alike in every pair: no spread to test against
        equal = abs(mean) < EPSILON
        return Difference(*base, mean, mean, mean, mean, 1.0 if equal else 0.0)
    test = stats.ttest_rel(b, a)
    interval = test.confidence_interval(CONFIDENCE_LEVEL)
    # the percentile method: exact enough here, and defined for every sample
    bootstrap = stats.bootstrap(
        (differences,),
        np.mean,
        n_resamples=BOOTSTRAP_RESAMPLES,
        confidence_level=CONFIDENCE_LEVEL,
        method="percentile",
        rng=np.random.default_rng(BOOTSTRAP_SEED),
    ).confidence_interval
    return Difference(
        *base,
        float(interval.low),
        float(interval.high),
        float(bootstrap.low),
        float(bootstrap.high),
        float(test.pvalue),
    )


def compare_results(a: Sequence[Row], b: Sequence[Row], metrics: Sequence[str] = METRICS) -> list[Difference]:
    """The difference of each metric, with Holm's correction over all of them.

    Raises:
        IncomparableResultsError: the plays can't be paired.
    """
    pairs = pair_rows(a, b)
    first_a, first_b = pairs[0]
    present = [metric for metric in metrics if metric in first_a and metric in first_b]
    differences = [paired_difference(metric, pairs) for metric in present]
    significant = _significant_after_holm(differences)
    return [replace(one, shown=index in significant) for index, one in enumerate(differences)]


def _significant_after_holm(differences: Sequence[Difference]) -> set[int]:
    """Indices of the significant ones; the first p-value above its threshold rejects all that follow."""
    by_p = sorted(range(len(differences)), key=lambda index: differences[index].p)
    significant = set()
    for rank, index in enumerate(by_p):
        one = differences[index]
        if not one.p <= (1.0 - CONFIDENCE_LEVEL) / (len(differences) - rank):
            break
        if one.intervals_exclude_zero and one.pairs >= MIN_PAIRS:
            significant.add(index)
    return significant


def filter_rows(rows: Sequence[Row], conditions: Mapping[str, str]) -> list[Row]:
    """Rows whose columns have these values; a setting's column may be named by its key alone."""

    def matches(row: Row) -> bool:
        return all(str(row.get(key, row.get(f"set {key}"))) == value for key, value in conditions.items())

    return [row for row in rows if matches(row)]
