"""Many plays of a script over seeds, policies and settings, on all cores, resumed where they were stopped."""

from __future__ import annotations

import multiprocessing
import time
from collections.abc import Callable, Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from heronreel.emulator.model import Rehearsal
from heronreel.emulator.simulation import play
from heronreel.experiments.errors import InvalidSettingError
from heronreel.experiments.identity import (
    MAX_PLAYS,
    Setting,
    apply_settings,
    code_version,
    overridden_constants,
    play_key,
    script_digest,
    setting_combinations,
)
from heronreel.experiments.table import ResultsTable

QUEUED_PER_WORKER = 2  # plays handed out for each worker, so that none waits and none is far ahead


@dataclass(frozen=True, slots=True)
class PlannedPlay:
    """One to be played."""

    key: str
    script: str
    rehearsal: Rehearsal
    policy: str
    seed: int
    settings: tuple[Setting, ...]


def plan_sweep(
    rehearsal: Rehearsal, seeds: list[int], policies: list[str], sets: list[list[Setting]]
) -> list[PlannedPlay]:
    """Every combination, seeds innermost: what is compared pair by pair is done side by side."""
    count = len(seeds) * len(policies)
    for values in sets:
        count *= len(values)
    if count > MAX_PLAYS:
        raise InvalidSettingError(f"set: {count:,} plays; at most {MAX_PLAYS:,} are played in one sweep")
    script, code = script_digest(rehearsal), code_version()
    plays = []
    for settings in setting_combinations(sets):
        other = apply_settings(rehearsal, settings)
        told = {setting.key: setting.value for setting in settings}
        for seed in seeds:
            for policy in policies:
                key = play_key(script, code, policy, seed, told)
                plays.append(PlannedPlay(key, script, other, policy, seed, settings))
    return plays


def run_play(one: PlannedPlay) -> dict[str, Any]:
    """Play it; the row of the table."""
    began = time.process_time()
    with overridden_constants(one.settings):
        result = play(one.rehearsal, one.seed, one.policy)
    row: dict[str, Any] = {"script": one.script, "code": code_version(), "name": one.rehearsal.name}
    row |= {f"set {setting.key}": str(setting.value) for setting in one.settings}
    row |= result.table_row()
    row |= {"digest": result.digest(), "cpu_s": round(time.process_time() - began, 3)}
    return row


def run_sweep(
    plays: list[PlannedPlay],
    folder: Path,
    workers: int,
    told: Callable[[int, int], None] = lambda done, of: None,
) -> int:
    """Play what the folder has not yet; how many that were.  `told`: how many are there, of how many."""
    table = ResultsTable(folder)
    table.prepare()
    there = table.keys()
    left = [one for one in plays if one.key not in there]
    done = len(plays) - len(left)
    told(done, len(plays))
    for key, row in _results(left, workers):
        table.add(key, row)
        done += 1
        told(done, len(plays))
    table.gather()
    return len(left)


def _results(plays: list[PlannedPlay], workers: int) -> Iterator[tuple[str, dict[str, Any]]]:
    """In the order in which they end.  Processes start afresh: what one has loaded can't shift another."""
    if workers <= 1:
        for one in plays:
            yield one.key, run_play(one)
        return
    queue = iter(plays)
    with ProcessPoolExecutor(workers, mp_context=multiprocessing.get_context("spawn")) as pool:
        out: dict[Future[dict[str, Any]], str] = {}
        try:
            while True:
                for one in queue:
                    out[pool.submit(run_play, one)] = one.key
                    if len(out) >= QUEUED_PER_WORKER * workers:
                        break
                if not out:
                    return
                for future in wait(out, return_when=FIRST_COMPLETED).done:
                    yield out.pop(future), future.result()
        finally:
            for future in out:
                future.cancel()
