"""Run the plays one after the other, and keep what each of them prints."""

from __future__ import annotations

import signal
import subprocess
from dataclasses import dataclass
from pathlib import Path

from bench.duty.output import OutputError, Result, read_result
from bench.duty.plays import Run


@dataclass(frozen=True)
class Outcome:
    """What became of a run: its result, or why there is none."""

    run: Run
    output_file: Path
    result: Result | None = None
    failure: str = ""

    @property
    def good(self) -> bool:
        """Whether there is a result, with no rule broken and no gate failed."""
        return self.result is not None and self.result.good


def carry_out(run: Run, command: list[str], folder: Path, results: Path) -> Outcome:
    """Start the command in a folder, wait for its end, and read what it printed."""
    output_file = results / run.file_name
    with output_file.open("wb") as output:
        try:
            ended = subprocess.run(
                command, cwd=folder, stdin=subprocess.DEVNULL, stdout=output, stderr=subprocess.STDOUT
            )
        except OSError as error:
            failure = f"failed to start: {error.strerror}"
            output.write(f"{failure}\n".encode())
            return Outcome(run, output_file, failure=failure)
    return _outcome(run, output_file, ended.returncode)


def _outcome(run: Run, output_file: Path, exit_code: int) -> Outcome:
    """Judge a run that has ended; a failed gate may explain an exit code, a good result does not."""
    if exit_code < 0:
        return Outcome(run, output_file, failure=f"crashed: ended by {_signal_name(-exit_code)}")
    printed = output_file.read_text(encoding="utf-8", errors="replace")
    ending = f", exit code {exit_code}" if exit_code else ""
    try:
        result = read_result(printed, run.play.reading)
    except OutputError as error:
        return Outcome(run, output_file, failure=f"{error}{ending}")
    if exit_code and result.good:
        return Outcome(run, output_file, failure=f"crashed after its score{ending}")
    return Outcome(run, output_file, result)


def _signal_name(number: int) -> str:
    try:
        return signal.Signals(number).name
    except ValueError:
        return f"signal {number}"
