"""Tests that sweeps resume after an interruption and that results do not depend on the number of workers."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from heronreel.emulator.simulation import play
from heronreel.experiments.errors import UnreadableResultsError
from heronreel.experiments.identity import parse_settings
from heronreel.experiments.sweep import plan_sweep, run_play, run_sweep
from heronreel.experiments.table import MERGED_FILE, ResultsTable, read_results
from tests.experiments.scripts import SMALL, script_file

ROOT = Path(__file__).parents[2]


def test_a_stopped_sweep_is_resumed_and_runs_no_play_twice(tmp_path: Path) -> None:
    plays = plan_sweep(SMALL, [1, 2, 3], ["heronreel", "random"], [])
    assert run_sweep(plays[:2], tmp_path, 1) == 2
    assert run_sweep(plays, tmp_path, 1) == 4
    assert run_sweep(plays, tmp_path, 1) == 0
    rows = read_results(tmp_path)
    assert len(rows) == 6 and {row["seed"] for row in rows} == {1, 2, 3}
    assert [path.name for path in tmp_path.iterdir()] == [MERGED_FILE]
    assert {row["digest"] for row in rows if row["seed"] == 1 and row["policy"] == "random"} == {
        play(SMALL, 1, "random").digest()
    }
    assert all(len(row["script"]) == 16 and len(row["code"]) == 16 for row in rows)


SWEEP = """
import sys
from pathlib import Path
from heronreel.emulator.script_loader import load_script
from heronreel.experiments.sweep import plan_sweep, run_sweep
plays = plan_sweep(load_script(Path(sys.argv[1]).read_bytes()), list(range(1, 13)), ["heronreel"], [])
print("played", run_sweep(plays, Path(sys.argv[2]), 1, lambda completed, total: print(completed, flush=True)))
"""


def test_a_sweep_killed_during_a_write_loses_only_unfinished_plays(tmp_path: Path) -> None:
    """The sweep is killed twice with SIGKILL, and a partially written file is left each time."""
    path, out = script_file(tmp_path), tmp_path / "out"
    command = [sys.executable, "-c", SWEEP, str(path), str(out)]
    environment = {**os.environ, "PYTHONPATH": str(ROOT)}
    previous_keys: set[str] = set()
    for min_plays in (2, 5):
        with subprocess.Popen(command, env=environment, stdout=subprocess.PIPE, text=True) as process:
            assert process.stdout
            while int(process.stdout.readline()) < min_plays:
                pass
            process.send_signal(signal.SIGKILL)
        (out / f"part-torn{min_plays}.parquet.1.unfinished").write_bytes(b"PAR1 and a partial row")
        stored_keys = ResultsTable(out).keys()
        assert previous_keys <= stored_keys and min_plays <= len(stored_keys) < 12
        previous_keys = stored_keys
    completed = subprocess.run(command, env=environment, capture_output=True, check=True, text=True)
    assert completed.stdout.splitlines()[-1] == f"played {12 - len(previous_keys)}"
    assert len(read_results(out)) == 12 and not list(out.glob("*.unfinished"))


def test_an_unreadable_results_file_is_renamed_and_its_play_run_again(tmp_path: Path) -> None:
    plays = plan_sweep(SMALL, [1, 2], ["random"], [])
    run_sweep(plays[:1], tmp_path, 1)
    (tmp_path / f"part-{plays[1].key}.parquet").write_bytes(b"not a Parquet file")
    with pytest.raises(UnreadableResultsError, match=plays[1].key):
        read_results(tmp_path)
    assert run_sweep(plays, tmp_path, 1) == 1
    assert len(read_results(tmp_path)) == 2 and len(list(tmp_path.glob("*.unreadable"))) == 1


def test_repeated_merging_keeps_one_row_for_each_play(tmp_path: Path) -> None:
    """A sweep killed after writing the merged file and before deleting the others leaves rows in both."""
    table = ResultsTable(tmp_path)
    table.prepare()
    for number in range(4):
        table.add(f"k{number}", {"seed": number, "score": 0.5})
    parts = {path: path.read_bytes() for path in tmp_path.glob("part-*")}
    assert table.merge_files() == 4
    for path, data in parts.items():
        path.write_bytes(data)
    assert len(table.rows()) == 4 and table.merge_files() == 4


def test_results_with_several_workers_equal_those_of_one_process(tmp_path: Path) -> None:
    plays = plan_sweep(SMALL, [1, 2], ["heronreel"], [parse_settings("flintplank.subset.KEPT_BY=1,13")])
    run_sweep(plays, tmp_path / "parallel", 2)
    run_sweep(plays, tmp_path / "serial", 1)
    parallel, serial = (
        {row["key"]: row["digest"] for row in read_results(tmp_path / name)}
        for name in ("parallel", "serial")
    )
    assert parallel == serial and len(parallel) == 4


def test_a_row_holds_the_metrics_of_its_play() -> None:
    row = run_play(plan_sweep(SMALL, [5], ["heronreel"], [])[0])
    result = play(SMALL, 5)
    assert row["score"] == result.score and row["requests"] == result.counts["requests"] and row["p99"] > 0.0
