"""Compares two sets of plays in pairs: plays of the same script and seed have the same arrivals and faults.

Two plays of one seed differ because of the change under test and not because of the random draw, so their
differences vary far less than the metrics themselves.  The comparison computes the mean difference, its
confidence interval by Student's t and a second interval by bootstrap, because few differences are normally
distributed.  A difference is significant only if both intervals exclude zero, after Holm's correction for all
metrics that are compared together.
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
MIN_PAIRS = 5  # fewer pairs do not support a conclusion
BOOTSTRAP_RESAMPLES = 4000
BOOTSTRAP_SEED = 1
EPSILON = 1e-12

Row = Mapping[str, Any]
"""The row of one play in the results table, by column name."""
RowPair = tuple[Row, Row]
"""The plays of A and of B that have the same script and seed."""


@dataclass(frozen=True, slots=True)
class Difference:
    """The difference B minus A for one metric.  `rehearse compare --json` prints these fields by name."""

    metric: str
    pairs: int
    mean_a: float
    mean_b: float
    mean: float
    # confidence interval by Student's t
    low: float
    high: float
    # confidence interval by bootstrap
    boot_low: float
    boot_high: float
    p: float
    shown: bool = False  # whether the difference is significant after Holm's correction

    @property
    def words(self) -> str:
        """The verdict that is printed for this difference."""
        if self.pairs < MIN_PAIRS:
            return f"too few pairs ({self.pairs}; {MIN_PAIRS} at least)"
        if not self.shown:
            return "no difference shown"
        better = (self.mean < 0.0) == (self.metric in LESS_IS_BETTER)
        return f"B is {'better' if better else 'worse'}"

    @property
    def intervals_exclude_zero(self) -> bool:
        """Whether zero lies outside of both confidence intervals."""
        by_t = self.low > 0.0 or self.high < 0.0
        by_bootstrap = self.boot_low > 0.0 or self.boot_high < 0.0
        return by_t and by_bootstrap


def script_and_seed(row: Row) -> object:
    """Return the default pairing key: the script digest and the seed of a play."""
    return row["script"], row["seed"]


def pair_rows(
    a: Sequence[Row], b: Sequence[Row], key: Callable[[Row], object] | None = None
) -> list[RowPair]:
    """Pair the plays of A and B that have the same key (script and seed by default), ordered by seed.

    Raises:
        IncomparableResultsError: No play of A has the key of a play of B, or one side has several plays of
            a seed.
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
    """Return the mean difference of one metric with its confidence intervals, before Holm's correction."""
    a = np.array([float(left[metric]) for left, _ in pairs])
    b = np.array([float(right[metric]) for _, right in pairs])
    differences = b - a
    mean = float(differences.mean())
    summary = (metric, len(pairs), float(a.mean()), float(b.mean()), mean)
    if len(pairs) < MIN_PAIRS:
        return Difference(*summary, -np.inf, np.inf, -np.inf, np.inf, 1.0)
    # Equal differences in all pairs have no variance, so neither test is defined.
    if float(differences.std()) < EPSILON:
        equal = abs(mean) < EPSILON
        return Difference(*summary, mean, mean, mean, mean, 1.0 if equal else 0.0)
    test = stats.ttest_rel(b, a)
    interval = test.confidence_interval(CONFIDENCE_LEVEL)
    # The percentile method is accurate enough here and, unlike BCa, is defined for every sample.
    bootstrap = stats.bootstrap(
        (differences,),
        np.mean,
        n_resamples=BOOTSTRAP_RESAMPLES,
        confidence_level=CONFIDENCE_LEVEL,
        method="percentile",
        rng=np.random.default_rng(BOOTSTRAP_SEED),
    ).confidence_interval
    return Difference(
        *summary,
        float(interval.low),
        float(interval.high),
        float(bootstrap.low),
        float(bootstrap.high),
        float(test.pvalue),
    )


def compare_results(a: Sequence[Row], b: Sequence[Row], metrics: Sequence[str] = METRICS) -> list[Difference]:
    """Return the difference of each metric, with Holm's correction over all metrics.

    Raises:
        IncomparableResultsError: The plays cannot be paired.
    """
    pairs = pair_rows(a, b)
    first_a, first_b = pairs[0]
    present = [metric for metric in metrics if metric in first_a and metric in first_b]
    differences = [paired_difference(metric, pairs) for metric in present]
    significant = _significant_after_holm(differences)
    return [replace(difference, shown=index in significant) for index, difference in enumerate(differences)]


def _significant_after_holm(differences: Sequence[Difference]) -> set[int]:
    """Return the indices of the significant differences by Holm's step-down method.

    In order of p-value, the first one above its threshold ends the search: it and all larger ones are not
    significant.
    """
    by_p = sorted(range(len(differences)), key=lambda index: differences[index].p)
    significant = set()
    for rank, index in enumerate(by_p):
        difference = differences[index]
        if not difference.p <= (1.0 - CONFIDENCE_LEVEL) / (len(differences) - rank):
            break
        if difference.intervals_exclude_zero and difference.pairs >= MIN_PAIRS:
            significant.add(index)
    return significant


def filter_rows(rows: Sequence[Row], conditions: Mapping[str, str]) -> list[Row]:
    """Return the rows whose columns have these values.

    The column of a setting may be named by its key, without the prefix "set ".
    """

    def matches(row: Row) -> bool:
        return all(str(row.get(key, row.get(f"set {key}"))) == value for key, value in conditions.items())

    return [row for row in rows if matches(row)]
