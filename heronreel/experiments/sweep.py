"""Sweeps: plays of a script over seeds, policies and settings, on all cores; a stopped sweep is resumed."""

from __future__ import annotations

import multiprocessing
import time
from collections.abc import Callable, Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from dataclasses import dataclass
from pathlib import Path

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
from heronreel.experiments.table import SETTING_PREFIX, ResultRow, ResultsTable

QUEUED_PER_WORKER = 2  # plays submitted for each worker, so that none waits and none is far ahead


@dataclass(frozen=True, slots=True)
class PlannedPlay:
    """One play of a sweep, with the key of its row."""

    key: str
    script: str  # digest of the script before the settings
    rehearsal: Rehearsal
    policy: str
    seed: int
    settings: tuple[Setting, ...]


def plan_sweep(
    rehearsal: Rehearsal, seeds: list[int], policies: list[str], settings: list[list[Setting]]
) -> list[PlannedPlay]:
    """Every combination, seeds and policies innermost: plays that are compared run one after another.

    `settings` has a list for each key, with a setting for each of its values.

    Raises:
        InvalidSettingError: a setting does not fit the script, or the plays are too many.
    """
    count = len(seeds) * len(policies)
    for values in settings:
        count *= len(values)
    if count > MAX_PLAYS:
        raise InvalidSettingError(f"set: {count:,} plays; at most {MAX_PLAYS:,} are played in one sweep")
    script = script_digest(rehearsal)
    code = code_version()
    plays = []
    for combination in setting_combinations(settings):
        changed = apply_settings(rehearsal, combination)
        values_by_key = {setting.key: setting.value for setting in combination}
        for seed in seeds:
            for policy in policies:
                key = play_key(script, code, policy, seed, values_by_key)
                plays.append(PlannedPlay(key, script, changed, policy, seed, combination))
    return plays


def run_play(planned: PlannedPlay) -> ResultRow:
    """Run one play in this process; returns its row of the table."""
    start_s = time.process_time()
    with overridden_constants(planned.settings):
        result = play(planned.rehearsal, planned.seed, planned.policy)
    row: ResultRow = {"script": planned.script, "code": code_version(), "name": planned.rehearsal.name}
    row |= {f"{SETTING_PREFIX}{setting.key}": str(setting.value) for setting in planned.settings}
    row |= result.table_row()
    row |= {"digest": result.digest(), "cpu_s": round(time.process_time() - start_s, 3)}
    return row


def run_sweep(
    plays: list[PlannedPlay],
    folder: Path,
    workers: int,
    on_progress: Callable[[int, int], None] = lambda done, total: None,
) -> int:
    """Run the plays that the folder has no row of; returns how many were run.

    `on_progress` is called with the number of plays done, those of earlier sweeps included, and of all.
    """
    table = ResultsTable(folder)
    table.prepare()
    done_keys = table.keys()
    remaining = [planned for planned in plays if planned.key not in done_keys]
    done = len(plays) - len(remaining)
    on_progress(done, len(plays))
    for key, row in _run_all(remaining, workers):
        table.add(key, row)
        done += 1
        on_progress(done, len(plays))
    table.merge_files()
    return len(remaining)


def _run_all(plays: list[PlannedPlay], workers: int) -> Iterator[tuple[str, ResultRow]]:
    """Keys and rows in the order in which the plays end."""
    if workers <= 1:
        for planned in plays:
            yield planned.key, run_play(planned)
    else:
        yield from _run_in_processes(plays, workers)


def _run_in_processes(plays: list[PlannedPlay], workers: int) -> Iterator[tuple[str, ResultRow]]:
    queue = iter(plays)
    # spawned, not forked: what this process has loaded can't change a result
    with ProcessPoolExecutor(workers, mp_context=multiprocessing.get_context("spawn")) as pool:
        pending: dict[Future[ResultRow], str] = {}
        try:
            while True:
                for planned in queue:
                    pending[pool.submit(run_play, planned)] = planned.key
                    if len(pending) >= QUEUED_PER_WORKER * workers:
                        break
                if not pending:
                    return
                for future in wait(pending, return_when=FIRST_COMPLETED).done:
                    yield pending.pop(future), future.result()
        finally:
            for future in pending:
                future.cancel()
