"""Plays a script over seeds, policies and settings on all cores; an interrupted sweep can be resumed."""

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

# Plays submitted for each worker: two keep every worker busy without a long queue.
QUEUED_PER_WORKER = 2


@dataclass(frozen=True, slots=True)
class PlannedPlay:
    """One play of a sweep, with the key of its row in the results table."""

    key: str
    script: str  # digest of the script before the settings are applied
    rehearsal: Rehearsal
    policy: str
    seed: int
    settings: tuple[Setting, ...]


def plan_sweep(
    rehearsal: Rehearsal, seeds: list[int], policies: list[str], settings: list[list[Setting]]
) -> list[PlannedPlay]:
    """Return the plays of all combinations of settings, seeds and policies.

    Seeds and policies vary fastest, so that plays that will be compared run one after another.  `settings`
    has a list for each key, with one setting for each value of the key.

    Raises:
        InvalidSettingError: A setting does not fit the script, or there are too many plays.
    """
    count = len(seeds) * len(policies)
    for values in settings:
        count *= len(values)
    if count > MAX_PLAYS:
        raise InvalidSettingError(f"set: {count:,} plays; the limit of a sweep is {MAX_PLAYS:,}")
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
    """Run one play in this process and return its row of the results table."""
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
    on_progress: Callable[[int, int], None] = lambda completed, total: None,
) -> int:
    """Run the plays that have no row in the folder, and return how many were run.

    `on_progress` is called with the number of completed plays, including those of earlier
    sweeps, and the total.
    """
    table = ResultsTable(folder)
    table.prepare()
    done_keys = table.keys()
    remaining = [planned for planned in plays if planned.key not in done_keys]
    completed = len(plays) - len(remaining)
    on_progress(completed, len(plays))
    for key, row in _run_all(remaining, workers):
        table.add(key, row)
        completed += 1
        on_progress(completed, len(plays))
    table.merge_files()
    return len(remaining)


def _run_all(plays: list[PlannedPlay], workers: int) -> Iterator[tuple[str, ResultRow]]:
    """Run the plays and yield their keys and rows in order of completion."""
    if workers <= 1:
        for planned in plays:
            yield planned.key, run_play(planned)
    else:
        yield from _run_in_processes(plays, workers)


def _run_in_processes(plays: list[PlannedPlay], workers: int) -> Iterator[tuple[str, ResultRow]]:
    queue = iter(plays)
    # Workers are spawned: a forked worker would inherit state of this process that could change results.
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
