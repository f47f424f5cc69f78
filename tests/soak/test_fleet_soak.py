"""A short soak of fleets whose list service has faults; `python -m heronreel.soak --fleet` runs more."""

import pytest
import uvloop

from heronreel.soak.__main__ import describe, describe_step
from heronreel.soak.fleet_plan import draw_fleet_plan
from heronreel.soak.fleet_run import play_fleet
from heronreel.soak.judge import judge_drains
from heronreel.soak.list_service import SERVICE
from heronreel.soak.notification_judge import AFTER_END_S, Departed, History, WatchEnded
from heronreel.soak.plan import ClientKind
from heronreel.soak.records import AttemptRecord, RequestRecord, RunRecord

GRACE_S = 0.5
MARGIN_S = 0.1  # distance from the time limit


@pytest.mark.parametrize(("seed", "proxies"), [(24, 12), (2, 12), (16, 40)])
def test_no_rule_is_broken_in_a_fleet_whose_list_service_has_faults(seed: int, proxies: int) -> None:
    plan = draw_fleet_plan(seed, proxies)
    outcome = uvloop.run(play_fleet(plan))
    steps = [describe_step(step) for step in plan.steps]
    assert [describe(breach, outcome.records) for breach in outcome.verdict.breaches] == [], (seed, steps)
    assert len(outcome.records.lives) == proxies
    assert outcome.refused_calls, (seed, steps)  # the service was overloaded
    assert outcome.verdict.statuses[200] >= 0.2 * outcome.verdict.requests, (seed, outcome.verdict.statuses)


@pytest.mark.parametrize("late_s", [-MARGIN_S, MARGIN_S])
def test_the_judge_reports_an_attempt_at_a_drained_backend(late_s: float) -> None:
    history = History(SERVICE, [Departed(10.0, SERVICE, "b0"), WatchEnded(10.1, SERVICE, True)])
    began_at = 10.1 + AFTER_END_S + GRACE_S + 0.05 + late_s
    request = RequestRecord("n0-1", "read", ClientKind.STEADY, "n0", 1.0, 1, 0, began_at)
    records = RunRecord({"n0-1": request}, [AttemptRecord("n0-1", "b0", began_at, None)])
    assert len(judge_drains(records, {"n0": history}, GRACE_S)) == (late_s > 0.0)
