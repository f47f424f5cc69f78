"""Two sets of plays compared pair by pair: the same script and seed meet the same arrivals and troubles.

What differs between two plays of one seed is what was changed, not the luck of the draw, so the differences
vary far less than the figures do.  Of them: the mean, its confidence interval by Student's t and, since few
differences are normal, one by bootstrap; a difference is shown only where both leave out zero, after Holm's
correction for the figures looked at together.  Everything else is "no difference shown".
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
MIN_PAIRS = 5  # fewer say nothing
BOOTSTRAP_RESAMPLES = 4000
EPSILON = 1e-12


@dataclass(frozen=True, slots=True)
class Difference:
    """Of one figure: B less A."""

    metric: str
    pairs: int
    mean_a: float
    mean_b: float
    mean: float
    low: float
    high: float
    boot_low: float
    boot_high: float
    p: float
    shown: bool = False

    @property
    def words(self) -> str:
        if self.pairs < MIN_PAIRS:
            return f"too few pairs ({self.pairs}; {MIN_PAIRS} at least)"
        if not self.shown:
            return "no difference shown"
        better = (self.mean < 0.0) == (self.metric in LESS_IS_BETTER)
        return f"B is {'better' if better else 'worse'}"


Row = Mapping[str, Any]


def pair_rows(
    a: Sequence[Row], b: Sequence[Row], by: Callable[[Row], object] | None = None
) -> list[tuple[Row, Row]]:
    """Plays of one script and seed.  Raises NotComparable where there is none."""
    key = by or (lambda row: (row["script"], row["seed"]))
    here: dict[object, Row] = {}
    for row in a:
        if key(row) in here and here[key(row)] != row:
            raise IncomparableResultsError(
                f"A has seed {row['seed']} twice: choose one policy and setting with --where"
            )
        here[key(row)] = row
    found, seen = [], set()
    for row in b:
        if key(row) in seen:
            raise IncomparableResultsError(
                f"B has seed {row['seed']} twice: choose one policy and setting with --where"
            )
        seen.add(key(row))
        if key(row) in here:
            found.append((here[key(row)], row))
    if not found:
        scripts = {row["script"] for row in a} & {row["script"] for row in b}
        why = "no seed in common" if scripts else "they are plays of different scripts"
        raise IncomparableResultsError(f"nothing to pair: {why}")
    return sorted(found, key=lambda pair: pair[0]["seed"])


def paired_difference(metric: str, of: Sequence[tuple[Row, Row]]) -> Difference:
    a = np.array([float(left[metric]) for left, _ in of])
    b = np.array([float(right[metric]) for _, right in of])
    apart = b - a
    mean = float(apart.mean())
    base = (metric, len(of), float(a.mean()), float(b.mean()), mean)
    if len(of) < MIN_PAIRS:
        return Difference(*base, -np.inf, np.inf, -np.inf, np.inf, 1.0)
    if float(apart.std()) < EPSILON:  # alike in every pair: no spread to test against
        same = abs(mean) < EPSILON
        return Difference(*base, mean, mean, mean, mean, 1.0 if same else 0.0)
    test = stats.ttest_rel(b, a)
    interval = test.confidence_interval(CONFIDENCE_LEVEL)
    # the percentile method: exact enough here, and defined for every sample
    boot = stats.bootstrap(
        (apart,),
        np.mean,
        n_resamples=BOOTSTRAP_RESAMPLES,
        confidence_level=CONFIDENCE_LEVEL,
        method="percentile",
        rng=np.random.default_rng(1),
    ).confidence_interval
    return Difference(
        *base,
        float(interval.low),
        float(interval.high),
        float(boot.low),
        float(boot.high),
        float(test.pvalue),
    )


def compare_results(a: Sequence[Row], b: Sequence[Row], metrics: Sequence[str] = METRICS) -> list[Difference]:
    """Each figure's difference; shown or not, after Holm's correction over all of them."""
    of = pair_rows(a, b)
    found = [paired_difference(metric, of) for metric in metrics if metric in of[0][0] and metric in of[0][1]]
    order = sorted(range(len(found)), key=lambda place: found[place].p)
    open_ = True
    shown = set()
    for rank, place in enumerate(order):
        one = found[place]
        open_ = open_ and one.p <= (1.0 - CONFIDENCE_LEVEL) / (len(found) - rank)
        apart = one.low > 0.0 or one.high < 0.0
        boot = one.boot_low > 0.0 or one.boot_high < 0.0
        if open_ and apart and boot and one.pairs >= MIN_PAIRS:
            shown.add(place)
    return [replace(one, shown=place in shown) for place, one in enumerate(found)]


def filter_rows(rows: Sequence[Row], wanted: Mapping[str, str]) -> list[Row]:
    """Rows whose columns have these values; a setting's column may be named by its key alone."""

    def fits(row: Row) -> bool:
        return all(str(row.get(key, row.get(f"set {key}"))) == value for key, value in wanted.items())

    return [row for row in rows if fits(row)]
