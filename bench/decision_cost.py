"""Measures the cost of a request's decisions by fleet size, as ratios of processor time within one run.

    .venv-cli/bin/python bench/decision_cost.py [--requests 4000] [--proxies 40]

Runs the balancer of one proxy in process, alternating between 30, 60 and 150 backends.  Requests arrive every
40 ms and timers run between them.  Four of five requests are served by the first attempt; in every fifth one
the first attempt is rejected.  The lowest cost of several rounds is used.
"""

from __future__ import annotations

import argparse
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from heronreel.balancer import Balancer
from heronreel.balancer import interface as api

SIZES = (30, 60, 150)
ROUNDS = 5


def settings(proxies: int) -> api.Settings:
    save = api.RequestClass("save", 340.0, 1700.0, 1.0, 0.5, api.Effect.KEYED, api.DedupScope.CELL, 5000.0)
    return api.Settings(
        (save,),
        zone="z0",
        zones=("z0", "z1"),
        proxies=proxies,
        proxy_index=0,
        max_attempts=4,
        key_affinity=True,
        slow_start_from=0.13,
        slow_start_ms=23_000.0,
        overload_window_ms=2000.0,
        price_cross_zone=0.03,
    )


def play(backends: int, proxies: int, requests: int) -> float:
    """Return the processor time per request in microseconds."""
    generator = random.Random(backends)
    balancer, now = Balancer(settings(proxies), seed=1), 0.0
    due: list[tuple[float, int]] = []
    infos = [
        api.BackendInfo(generator.getrandbits(53), zone=f"z{n % 2}", kind="abc"[n % 3], cell=n // 5)
        for n in range(backends)
    ]
    balancer.handle(now, api.BackendList(api.ListKind.CACHED, infos))
    due.append((200.0, 0))
    start_s = time.process_time()
    for ident in range(requests):
        now += 40.0
        while due and due[0][0] <= now:
            at, token = due.pop(0)
            for action in balancer.handle(at, api.TimerFired(token)):
                if isinstance(action, api.SetTimer):
                    due.append((at + action.delay_ms, action.token))
        key = int(1000 * generator.random() ** 3)
        actions = balancer.handle(now, api.Arrival(ident, "save", 1700.0, key=key, hint_ms=75.0))
        number = 0
        while actions and isinstance(actions[0], api.StartAttempt):
            rejected = number == 0 and ident % 5 == 0
            outcome = api.Outcome.REJECTED if rejected else api.Outcome.SERVED
            ended = api.AttemptEnded(ident, number, actions[0].backend, outcome, 80.0, not rejected)
            actions, number = balancer.handle(now, ended), number + 1
    return (time.process_time() - start_s) * 1e6 / requests


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--requests", type=int, default=4000)
    parser.add_argument("--proxies", type=int, default=40)
    options = parser.parse_args()
    lowest = {size: float("inf") for size in SIZES}
    for _ in range(ROUNDS):
        for size in SIZES:
            lowest[size] = min(lowest[size], play(size, options.proxies, options.requests))
    for size in SIZES:
        print(
            f"{size:4d} backends  {lowest[size] / lowest[SIZES[0]]:.2f} of the cost with {SIZES[0]} backends"
        )


if __name__ == "__main__":
    main()
