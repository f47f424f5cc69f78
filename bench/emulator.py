"""Measures the emulator: simulated seconds per second, memory, growth with requests, sweeps over cores.

    .venv-rehearse/bin/python bench/emulator.py [--speed] [--growth] [--sweep] [--queues] [--profile]

Without an option, speed and growth are measured.  Each size runs in a separate process, so that its peak
memory can be measured.  Times are processor seconds; compare ratios within one run.  `--queues` compares the
event queue with SimPy (4.1, which has to be installed by hand).
"""

from __future__ import annotations

import argparse
import cProfile
import os
import pstats
import resource
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from heronreel.emulator.events import EventQueue
from heronreel.emulator.model import (
    Fault,
    FleetConfig,
    NodeKind,
    Prices,
    ProxyConfig,
    Rehearsal,
    RequestClass,
    Tenant,
    TrafficConfig,
)
from heronreel.emulator.simulation import play

# Numbers of proxies and nodes, and requests per second.
SIZES = ((12, 30, 640), (60, 150, 3200), (200, 200, 640), (200, 200, 3200))
LOAD_RATIO = 0.6
DURATION_S = 10.0
MAX_WORK_MS = 150.0
NODE_SETTINGS = {
    "cores": 2, "speed_cv": 0.15, "queue": 4, "thrash": 0.3, "connections": 104, "full_tax": 0.3,
    "handshake_ms": 1.5, "handshake_rtts": 2.5, "warm_gain": 0.5, "warm_ms": 6000.0, "warm_up_floor": 0.15,
    "warm_up_ms": 20_000.0, "error_rate": 0.001, "pause_every_ms": 6000.0, "pause_ms": 60.0,
}  # fmt: skip
KINDS = tuple(
    NodeKind(name=name, share=share, speed=speed, **NODE_SETTINGS)  # type: ignore[arg-type]
    for name, share, speed in (("veloce", 0.33, 1.6), ("medio", 0.5, 1.0), ("lento", 0.17, 0.6))
)


def script(proxies: int, nodes: int, rate: float, seconds: float) -> Rehearsal:
    """Return a script with a fleet like the site's, one slow node in eight and a load of `LOAD_RATIO`."""
    fleet = FleetConfig(nodes=nodes, zones=["a", "b"], limited_racks=0.3, kinds=KINDS)
    base = Rehearsal(seconds=seconds, fleet=fleet)
    work = min(MAX_WORK_MS, LOAD_RATIO * base.capacity() * 1000.0 / rate)
    return Rehearsal(
        seconds=seconds,
        fleet=fleet,
        proxies=ProxyConfig(count=proxies, skew=0.3),
        traffic=TrafficConfig(requests_per_s=rate),
        classes=(RequestClass(work_ms=work, attempt_noise=0.2),),
        tenants=(Tenant("x", 0.55), Tenant("y", 0.45)),
        prices=Prices(handshake=0.03, connection=0.03, cross_zone=0.03, late_failure=0.03, waste=0.02),
        faults=(Fault(fault_kind="slow", at_s=seconds / 4, for_s=seconds / 2, share=0.125, size=4.0),),
    )


def measure_play(proxies: int, nodes: int, rate: float, seconds: float, policy: str) -> str:
    start_s = time.process_time()
    result = play(script(proxies, nodes, rate, seconds), 1, policy)
    elapsed_s = time.process_time() - start_s
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
    requests = result.counts["requests"]
    return (
        f"{proxies:>4} x {nodes:<4} {rate:>6.0f}/s {policy:<14} {seconds / elapsed_s:>7.2f} simulated s/s "
        f"{elapsed_s * 1e6 / requests:>7.0f} us/request {result.events / requests:>6.1f} events "
        f"{peak:>6.0f} MB"
    )


def measure_in_process(*arguments: object) -> None:
    command = [sys.executable, __file__, "--one", ",".join(map(str, arguments))]
    print(subprocess.run(command, capture_output=True, check=True, text=True).stdout, end="", flush=True)


def compare_queues(attempts: int = 50_000) -> None:
    """Compare callbacks with SimPy processes on attempts that end by a response or a timeout."""
    queue = EventQueue()
    ended = [0]

    def end(state: list[bool]) -> None:
        if not state[0]:
            state[0] = True
            ended[0] += 1

    def begin(left: int) -> None:
        state = [False]
        queue.schedule(queue.now + 80.0, end, state)
        queue.schedule(queue.now + 500.0, end, state)
        if left:
            queue.schedule(queue.now + 1.0, begin, left - 1)

    start_s = time.process_time()
    begin(attempts - 1)
    queue.run_until(1e12)
    heap = (time.process_time() - start_s) * 1e6 / attempts
    assert ended[0] == attempts
    try:
        import simpy
    except ImportError:
        print(f"callbacks on a heap {heap:.1f} us per attempt; SimPy is not installed")
        return
    environment = simpy.Environment()

    def attempt():  # type: ignore[no-untyped-def]
        yield environment.timeout(80.0) | environment.timeout(500.0)

    def source():  # type: ignore[no-untyped-def]
        for _ in range(attempts):
            environment.process(attempt())
            yield environment.timeout(1.0)

    start_s = time.process_time()
    environment.process(source())
    environment.run()
    library = (time.process_time() - start_s) * 1e6 / attempts
    print(f"heap {heap:.1f} us per attempt, SimPy {library:.1f}: {library / heap:.1f} times")


def measure_sweeps(plays: int = 16) -> None:
    """Measure the parallel efficiency of a sweep over all cores, compared with one process."""
    from heronreel.experiments.sweep import plan_sweep, run_sweep

    cores = len(os.sched_getaffinity(0))
    base = script(12, 30, 640, 5.0)
    elapsed_s = {}
    for workers in (1, cores):
        with tempfile.TemporaryDirectory() as folder:
            start_s = time.monotonic()
            seeds = list(range(plays * (1 if workers == 1 else cores) // 2))
            run_sweep(plan_sweep(base, seeds, ["heronreel"], []),
                  Path(folder), workers)  # fmt: skip
            elapsed_s[workers] = (time.monotonic() - start_s) / (plays * (1 if workers == 1 else cores) // 2)
    print(f"one worker {elapsed_s[1]:.2f} s per play, {cores} workers {elapsed_s[cores]:.3f}: "
          f"efficiency {elapsed_s[1] / elapsed_s[cores] / cores:.2f}")  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    for name in ("speed", "growth", "sweep", "queues", "profile"):
        parser.add_argument(f"--{name}", action="store_true")
    parser.add_argument("--one", default="")
    options = parser.parse_args()
    if options.one:
        proxies, nodes, rate, seconds, policy = options.one.split(",")
        print(measure_play(int(proxies), int(nodes), float(rate), float(seconds), policy))
        return
    no_option = not (options.speed or options.growth or options.sweep or options.queues or options.profile)
    if options.speed or no_option:
        for size in SIZES:
            for policy in ("heronreel", "random"):
                measure_in_process(*size, DURATION_S, policy)
    if options.growth or no_option:
        for rate in (400, 800, 1600, 3200, 6400):
            measure_in_process(60, 150, rate, DURATION_S, "heronreel")
    if options.sweep:
        measure_sweeps()
    if options.queues:
        compare_queues()
    if options.profile:
        profile = cProfile.Profile()
        profile.runcall(play, script(60, 150, 3200, 5.0), 1)
        pstats.Stats(profile).sort_stats("tottime").print_stats(30)


if __name__ == "__main__":
    main()
