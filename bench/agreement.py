"""Compares virtual time with real sockets on the same scripts: result shares, percentiles and attempts.

    .venv-rehearse/bin/python bench/agreement.py [--scale 2] [--seeds 2]

Plays the cases of `tests/realtime/test_realtime.py` one after another, with longer scripts.  Each case takes
one or two minutes.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

import msgspec

from heronreel.emulator.client_request import RequestResult
from heronreel.emulator.result import Result
from heronreel.emulator.simulation import play
from heronreel.realtime.engine import play_over_sockets
from tests.realtime.test_realtime import CASES, script


def summary(name: str, result: Result) -> str:
    counts, requests = result.counts, result.counts["requests"]
    shares = "  ".join(f"{kind} {counts[kind] / requests:6.1%}" for kind in RequestResult if kind != "left")
    latencies = "  ".join(f"{p} {result.percentiles[p]:6.0f}" for p in ("p50", "p90", "p99"))
    rules = "kept" if result.rules_kept else str(result.breach_counts)
    attempts_per_request = result.meter["attempts"] / requests
    return f"    {name:<8} {shares}  {latencies} ms  attempts {attempts_per_request:.2f}  rules {rules}"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--scale", type=float, default=2.0)
    parser.add_argument("--seeds", type=int, default=2)
    options = parser.parse_args()
    for case, faults in {"no fault": (), **CASES}.items():
        rehearsal = msgspec.structs.replace(script(*faults), seconds=8.0)
        for seed in range(1, options.seeds + 1):
            real, failures = play_over_sockets(rehearsal, seed, options.scale)
            print(f"{case}, seed {seed}, {real.counts['requests']} requests {failures or ''}")
            print(summary("real", real))
            print(summary("virtual", play(rehearsal, seed)), flush=True)


if __name__ == "__main__":
    main()
