"""`python -m heronreel.soak --seeds 1-50`: run the soak for a range of seeds and print each verdict.

With `--fleet`, each seed is a fleet of 12 or 40 proxies with one list service that has faults.  Exits with 0
if no rule was broken, otherwise with 1.  `--json FILE` writes the verdicts; `--verbose` prints the process
logs of each run with a breach.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

import uvloop

from heronreel.soak.fleet_plan import Step, draw_fleet_plan
from heronreel.soak.fleet_run import FleetOutcome, play_fleet
from heronreel.soak.judge import Breach, Verdict, judge
from heronreel.soak.plan import Plan, draw_plan
from heronreel.soak.records import RunRecord
from heronreel.soak.run import play

MAX_SHOWN_BREACHES = 5  # per run
MAX_LOG_LINES = 40  # per process


class Outcome(NamedTuple):
    """The plan, records and verdict of one seed's run."""

    plan: Plan
    records: RunRecord
    verdict: Verdict


def play_seed(seed: int) -> Outcome:
    """Run the plan of one seed and judge its records."""
    plan = draw_plan(seed)
    records = uvloop.run(play(plan))
    return Outcome(plan, records, judge(records))


def main(arguments: list[str]) -> int:
    """Run the seeds that the command-line arguments select, and return the exit status."""
    parser = argparse.ArgumentParser(prog="python -m heronreel.soak", description="Soak tests of shutdowns.")
    parser.add_argument("--seeds", default="1-10", help="one seed, or FIRST-LAST")
    parser.add_argument("--fleet", action="store_true", help="run fleets whose list service has faults")
    parser.add_argument("--jobs", type=int, default=2, help="concurrent runs")
    parser.add_argument("--json", metavar="FILE", help="write the verdicts to FILE")
    parser.add_argument("--verbose", action="store_true", help="print the process logs of runs with breaches")
    options = parser.parse_args(arguments)
    first, _, last = options.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    if options.fleet:
        return play_fleets(seeds, options.jobs, options.verbose)
    outcomes = []
    with ProcessPoolExecutor(options.jobs) as pool:
        for outcome in pool.map(play_seed, seeds):
            outcomes.append(outcome)
            _print(outcome, options.verbose)
    broken = sum(1 for outcome in outcomes if outcome.verdict.breaches)
    requests = sum(outcome.verdict.requests for outcome in outcomes)
    crossed = sum(outcome.verdict.crossed for outcome in outcomes)
    lives = sum(len(outcome.records.lives) for outcome in outcomes)
    print(f"{len(outcomes)} seeds, {lives} shutdowns, {requests} requests, {crossed} crossed an orderly end")
    print(f"{broken} of {len(outcomes)} seeds broke a rule")
    if options.json:
        with open(options.json, "w") as file:
            json.dump([_summary(outcome) for outcome in outcomes], file, indent=1)
    return 1 if broken else 0


def play_fleet_seed(seed: int) -> FleetOutcome:
    """Run the fleet plan of one seed."""
    return uvloop.run(play_fleet(draw_fleet_plan(seed)))


def play_fleets(seeds: Sequence[int], jobs: int, verbose: bool) -> int:
    """Run fleet plans, print each verdict, and return the exit status."""
    broken = 0
    with ProcessPoolExecutor(jobs) as pool:
        for outcome in pool.map(play_fleet_seed, seeds):
            verdict, records = outcome.verdict, outcome.records
            broken += bool(verdict.breaches)
            word = "broken" if verdict.breaches else "held"
            steps = ", ".join(describe_step(step) for step in outcome.plan.steps)
            print(
                f"seed {outcome.plan.seed}: {word}, {len(records.lives)} proxies, {steps}; "
                f"{verdict.requests} requests, {verdict.statuses}, {outcome.refused_calls} list calls "
                f"refused, {verdict.crossed} crossed, lag {records.harness_lag_s:.3f} s",
                flush=True,
            )
            for breach in verdict.breaches[:MAX_SHOWN_BREACHES]:
                print(f"  {describe(breach, records)}", flush=True)
            if verbose and verdict.breaches:
                _print_logs(records)
    print(f"{broken} of {len(seeds)} seeds broke a rule")
    return 1 if broken else 0


def describe_step(step: Step) -> str:
    """Return the name of a step's fault and its time in seconds."""
    return f"{step.trouble.name.lower()} {step.at_s:.1f}"


def _print_logs(records: RunRecord) -> None:
    for life in records.lives:
        print(f"  log of {life.proxy}, SIGTERM at {life.signalled_at:.3f}, held {life.held_s:.3f} s")
        print("".join(f"    {line}\n" for line in life.log[-MAX_LOG_LINES:]), flush=True)


def _print(outcome: Outcome, verbose: bool) -> None:
    verdict, records = outcome.verdict, outcome.records
    word = "broken" if verdict.breaches else "held"
    print(
        f"seed {outcome.plan.seed}: {word}, deadline {outcome.plan.longest_deadline_s} s, "
        f"{verdict.requests} requests, {verdict.forwarded} forwarded, {verdict.statuses}, "
        f"{verdict.crossed} crossed, lag {records.harness_lag_s:.3f} s",
        flush=True,
    )
    for breach in verdict.breaches[:MAX_SHOWN_BREACHES]:
        print(f"  {describe(breach, records)}", flush=True)
    if verbose and verdict.breaches:
        _print_logs(records)


def describe(breach: Breach, records: RunRecord) -> str:
    """Describe a breach with its timeline, in seconds relative to the SIGTERM of its process."""
    text = f"{breach.rule.value}: {breach.detail}"
    request = breach.request
    if request is None:
        return text
    lives = [
        life
        for life in records.lives
        if life.proxy == request.proxy and life.started_at <= request.begun_at <= life.ended_at
    ]
    zero_at = lives[0].signalled_at if lives else request.begun_at

    def offset(at: float | None) -> str:
        return "never" if at is None else f"{at - zero_at:.3f}"

    text += (
        f" | {request.request_id} {request.class_name} {request.kind.value}, "
        f"connection {request.connection}, place {request.place}, deadline {request.deadline_s} s, "
        f"begun {offset(request.begun_at)}, sent {offset(request.sent_at)}, ended {offset(request.ended_at)}"
    )
    for attempt in records.attempts:
        if attempt.request_id == request.request_id:
            text += (
                f" | {attempt.backend} began {offset(attempt.began_at)}, told {attempt.deadline_ms} ms, "
                f"{'complete' if attempt.complete else 'incomplete'}, ended {offset(attempt.ended_at)}"
            )
    if lives:
        text += f" | process ended {offset(lives[0].ended_at)}, held {lives[0].held_s:.3f} s"
    return text


def _summary(outcome: Outcome) -> dict[str, object]:
    verdict = outcome.verdict
    return {
        "seed": outcome.plan.seed,
        "requests": verdict.requests,
        "forwarded": verdict.forwarded,
        "statuses": verdict.statuses,
        "crossed": verdict.crossed,
        "breaches": [describe(breach, outcome.records) for breach in verdict.breaches],
    }


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
