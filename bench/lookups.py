"""Measures route lookups per second with 10, 1,000 and 10,000 routes, and the time to compile the routes.

    .venv-cli/bin/python bench/lookups.py

There are four kinds of route tables.  Each rate is the best of five rounds; the ratio compares it with the
same kind of table with 10 routes.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from heronreel.routes.index import RouteIndex
from heronreel.routes.model import Match, Policy, Route

Case = tuple[Match, bytes, bytes, dict[bytes, bytes]]
ROUNDS = 5
LOOKUPS = 20_000


def exact(n: int) -> Case:
    return Match(path=f"/api/v1/thing{n}"), b"h", b"/api/v1/thing%d" % n, {}


def patterns(n: int) -> Case:
    return Match(path_pattern=f"/api/v1/{{club}}/thing{n}"), b"h", b"/api/v1/etna/thing%d" % n, {}


def hosts(n: int) -> Case:
    return Match(host=f"club{n}.example.org", path_prefix="/"), b"club%d.example.org" % n, b"/a/b/c", {}


def headers(n: int) -> Case:
    return Match(path="/one", headers=(("x-club", str(n)),)), b"h", b"/one", {b"x-club": b"%d" % n}


def measure(make: Callable[[int], Case], count: int) -> tuple[float, float]:
    cases = [make(n) for n in range(count)]
    routes = [Route(f"r{n}", n, case[0], Policy(f"r{n}"), ()) for n, case in enumerate(cases)]
    start_s = time.perf_counter()
    index = RouteIndex(routes)
    compile_s = time.perf_counter() - start_s
    lookups = [cases[n * 7919 % count] for n in range(LOOKUPS)]
    best = 0.0
    for _ in range(ROUNDS):
        start_s = time.perf_counter()
        for _, host, path, fields in lookups:
            index.find(host, path, b"GET", fields)
        best = max(best, LOOKUPS / (time.perf_counter() - start_s))
    return best, compile_s


def main() -> None:
    print(f"{'kind':10} {'routes':>7} {'lookups/s':>11} {'ratio':>6} {'compiled in':>12}")
    for make in (exact, patterns, hosts, headers):
        base_rate = 0.0
        for count in (10, 1000, 10_000):
            rate, compile_s = measure(make, count)
            base_rate = base_rate or rate
            print(
                f"{make.__name__:10} {count:7,} {rate:11,.0f} {rate / base_rate:6.2f} "
                f"{compile_s * 1000:9.0f} ms"
            )


if __name__ == "__main__":
    main()
