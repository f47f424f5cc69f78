"""A short soak of shutdowns; `python -m heronreel.soak` runs more seeds."""

import pytest
import uvloop

from heronreel.soak.__main__ import describe
from heronreel.soak.judge import judge
from heronreel.soak.plan import draw_plan
from heronreel.soak.run import play

SEEDS = range(1, 17)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken_in_a_run_of_shutdowns(seed: int) -> None:
    plan = draw_plan(seed)
    records = uvloop.run(play(plan))
    verdict = judge(records)
    assert [describe(breach, records) for breach in verdict.breaches] == []
    assert len(records.lives) == sum(map(len, plan.proxies))
    assert verdict.forwarded and verdict.statuses.get(200)
