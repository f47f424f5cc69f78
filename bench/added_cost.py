"""Measures the processor time that a routes file adds to a request, as a ratio within one run.

    .venv-cli/bin/python bench/added_cost.py [--seconds 4] [--routes 1000]

Runs the decisions and the lookup of a request in process, alternating between the platform's program (request
class from the path, one Balancer) and the routes file (lookup, policy, Pools).  Both have the same backends,
which serve every request immediately.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from heronreel.balancer import interface as api
from heronreel.balancer.choice import Balancer
from heronreel.balancer.pools import Pools
from heronreel.routes.load import load_routes
from heronreel.serve.policies import Router, members_of, settings_of

BATCH_REQUESTS = 2000


def routes_file(routes: int) -> str:
    members = "".join(
        f'[[pools.members]]\nname = "n{n}"\naddress = "127.0.0.1:{9000 + n}"\nrack = "r{n % 4}"\n'
        for n in range(24)
    )
    body = "window_ms = 5000\nattempts = 2\nattempt_timeout_ms = 900\n"
    body += 'retry_on = ["not-run", "timeout"]\npool = "p"\n'
    tables = "".join(
        f'[[routes]]\nname = "r{n}"\nmatch = {{ path_prefix = "/r{n}", methods = ["POST"] }}\n'
        f'effect = "keyed"\n{body}'
        for n in range(routes)
    )
    return f'[[pools]]\nname = "p"\n{members}[defaults]\ndeadline_ms = 2500\naim_ms = 500\n{tables}'


class Variant:
    """One of the two measured variants; `run_batch` runs a batch of requests until they are served."""

    def __init__(self, decisions: Balancer | Pools, arrival: Callable[[int], api.Arrival], pool: str) -> None:
        self.decisions, self.arrival = decisions, arrival
        self.number, self.now, self.spent_s = 0, 1000.0, 0.0
        infos = [api.BackendInfo(n, cell=n % 4, pool=pool) for n in range(24)]
        decisions.handle(self.now, api.BackendList(api.ListKind.CACHED, infos))

    def run_batch(self) -> None:
        start_s = time.process_time()
        for _ in range(BATCH_REQUESTS):
            self.number += 1
            self.now += 3.0
            if not self.number % 67:
                self.tick()
            for action in self.decisions.handle(self.now, self.arrival(self.number)):
                if isinstance(action, api.StartAttempt):
                    ended = api.AttemptEnded(
                        action.request, 0, action.backend, api.Outcome.SERVED, 60.0, True
                    )
                    self.decisions.handle(self.now, ended)
        self.spent_s += time.process_time() - start_s

    def tick(self) -> None:
        token = max(self.decisions.timers, default=0) if isinstance(self.decisions, Pools) else 0
        self.decisions.handle(self.now, api.TimerFired(token))


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--routes", type=int, default=1000)
    options = parser.parse_args()
    file = load_routes(routes_file(options.routes).encode())
    settings, router = settings_of(file), Router(file)
    assert len(members_of(file).endpoints) == 24
    names = [f"r{n}".encode() for n in range(options.routes)]
    classes = {klass.name: klass for klass in settings.classes}
    klass = next(iter(classes))

    def platform_arrival(number: int) -> api.Arrival:
        path = b"/%b/x" % names[number % len(names)]
        classes.get(path.split(b"/")[1].decode())
        return api.Arrival(number, klass, 2500.0, hint_ms=60.0)

    def routes_arrival(number: int) -> api.Arrival:
        path = b"/%b/x" % names[number % len(names)]
        policy = router.find(b"h", path, b"POST", {b"idempotency-key": b"k"})
        assert policy
        return api.Arrival(
            number, policy.request_class.name, 2500.0, hint_ms=60.0, policy=policy, idempotency_key=number
        )

    variants = (
        Variant(Balancer(settings, 1), platform_arrival, ""),
        Variant(Pools(settings, 1), routes_arrival, "p"),
    )
    end_s = time.monotonic() + options.seconds
    while time.monotonic() < end_s:
        for variant in variants:
            variant.run_batch()
    costs = [variant.spent_s / variant.number * 1e6 for variant in variants]
    print(
        f"decisions and lookup of a request, {options.routes:,} routes, "
        f"{variants[0].number:,} requests per variant"
    )
    print(f"platform {costs[0]:6.1f} us, routes {costs[1]:6.1f} us, ratio {costs[1] / costs[0]:.2f}")


if __name__ == "__main__":
    main()
