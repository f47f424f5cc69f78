"""All watches end in place of telling that backends drain: the checker finds the fault that was mended.

The schedule as it was backed off before it opened a watch again that had ended after its response; the
present one opens it at once, and keeps the rule on the same seeds.
"""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

import msgspec

from heronreel.balancer.interface import Settings, WatchFailure
from heronreel.balancer.watch_schedule import WatchSchedule
from heronreel.emulator.endpoint_list import CallEnd, Endpoint
from heronreel.emulator.model import Rehearsal
from heronreel.emulator.policies import HostedBalancer
from heronreel.emulator.result import Result
from heronreel.emulator.script_loader import load_script
from heronreel.emulator.simulation import Simulation, play

EXAMPLE = Path(__file__).parents[2] / "examples" / "rehearsals" / "watches-end.toml"
SEEDS = range(1, 31)
MIN_FOUND = 20  # of those seeds, on which the schedule as it was has to break the rule


class BackoffSchedule(WatchSchedule):
    """Waits 0.5 to 1 s after a watch that ended, and twice that the second time, before it calls again."""

    ended = 0

    def call_failed(self, now: float, draw: random.Random, failure: WatchFailure) -> float | None:
        answered = self.received_at >= self.called_at
        delay = super().call_failed(now, draw, failure)
        if delay is None or failure is not WatchFailure.ENDED or not answered or self.saved_resumes < 0.0:
            return delay
        self.ended += 1
        return min(self.ended, 2) * draw.uniform(500.0, 1000.0)


def balancer_as_it_was(settings: Settings, seed: int) -> HostedBalancer:
    balancer = HostedBalancer(settings, seed)
    balancer.watch = BackoffSchedule(settings.watch_within_ms, settings.proxies)
    return balancer


def example(**rules: float) -> Rehearsal:
    script = load_script(EXAMPLE.read_bytes())
    return msgspec.structs.replace(script, rules=msgspec.structs.replace(script.rules, **rules))


def played_as_it_was(script: Rehearsal, seed: int) -> Result:
    return Simulation(script, seed, deciders=balancer_as_it_was).run()


def test_watches_that_end_in_place_of_a_change_are_resumed_in_time() -> None:
    for seed in SEEDS:
        result = play(example(), seed)
        assert result.rules_kept, (seed, result.breaches[:3])
        assert result.service["whole"] > 0.9 and result.meter["list_calls"] <= 18, (seed, result.meter)


def test_the_checker_finds_the_backoff_after_watches_that_ended() -> None:
    found = {seed: played_as_it_was(example(), seed).breach_counts for seed in SEEDS}
    broken = [seed for seed, counts in found.items() if counts["drain"]]
    print(
        f"broken on {len(broken)} of {len(SEEDS)} seeds, {sum(one['drain'] for one in found.values())} times"
    )
    assert len(broken) >= MIN_FOUND, broken
    assert not any(counts[rule] for counts in found.values() for rule in ("lost", "twice", "cold"))


def test_only_the_term_for_ended_watches_finds_it() -> None:
    """Without it the same plays seem to keep the rule."""
    for seed in SEEDS:
        assert played_as_it_was(example(untold_ms=0.0), seed).rules_kept, seed


def test_all_six_proxies_lose_their_connections_in_place_of_the_change() -> None:
    """Within 0.2 s of it; those whose calls still waited, too."""
    simulation = Simulation(example(), 1)
    closed = dict[
        str, tuple[float, int]
    ]()  # by proxy, the last time: when, and how many changes were not told
    for proxy in simulation.proxies:

        def watch_closed(
            untold: list[Endpoint], name: str = proxy.name, inner: Any = proxy.watch_closed
        ) -> None:
            closed[name] = simulation.events.now, len(untold)
            inner(untold)

        def call_failed(end: CallEnd, name: str = proxy.name, inner: Any = proxy.call_failed) -> None:
            if end is CallEnd.FAILED:
                closed[name] = simulation.events.now, 0
            inner(end)

        proxy.watch_closed, proxy.call_failed = watch_closed, call_failed  # type: ignore[method-assign]
    simulation.run()
    changed_at = 4530.0
    assert len(closed) == 6
    assert all(150.0 <= at - changed_at <= 201.0 for at, _ in closed.values()), closed
    assert sorted(untold for _, untold in closed.values())[-3:] == [3, 3, 3], closed
