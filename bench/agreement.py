"""Virtual time beside real sockets on the same scripts: shares by end, percentiles, attempts, by trouble.

    .venv-rehearse/bin/python bench/agreement.py [--scale 2] [--seeds 2]

Plays the cases of `tests/realtime/test_realtime.py`, longer, one after the other; a minute or two each.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

import msgspec

from heronreel.emulator.result import Result
from heronreel.emulator.scoring import REQUEST_RESULTS
from heronreel.emulator.simulation import play
from heronreel.realtime.engine import play_over_sockets
from tests.realtime.test_realtime import CASES, script


def told(name: str, result: Result) -> str:
    counts, requests = result.counts, result.counts["requests"]
    ends = "  ".join(f"{end} {counts[end] / requests:6.1%}" for end in REQUEST_RESULTS if end != "left")
    spans = "  ".join(f"{p} {result.percentiles[p]:6.0f}" for p in ("p50", "p90", "p99"))
    rules = "kept" if result.kept else str(result.rules)
    each = result.meter["attempts"] / requests
    return f"    {name:<8} {ends}  {spans} ms  attempts {each:.2f}  rules {rules}"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--scale", type=float, default=2.0)
    parser.add_argument("--seeds", type=int, default=2)
    options = parser.parse_args()
    for case, troubles in {"nothing wrong": (), **CASES}.items():
        one = msgspec.structs.replace(script(*troubles), seconds=8.0)
        for seed in range(1, options.seeds + 1):
            real, crashes = play_over_sockets(one, seed, options.scale)
            print(f"{case}, seed {seed}, {real.counts['requests']} requests {crashes or ''}")
            print(told("real", real))
            print(told("virtual", play(one, seed)), flush=True)


if __name__ == "__main__":
    main()
