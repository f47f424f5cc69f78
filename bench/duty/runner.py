"""Runs plays and stores their outputs."""

from __future__ import annotations

import signal
import subprocess
from dataclasses import dataclass
from pathlib import Path

from bench.duty.output import OutputError, Result, read_result
from bench.duty.plays import Run


@dataclass(frozen=True)
class Outcome:
    """The outcome of a run: its result, or the reason why there is none."""

    run: Run
    output_file: Path
    result: Result | None = None
    failure: str = ""

    @property
    def good(self) -> bool:
        """Whether there is a result, with no rule broken and no gate failed."""
        return self.result is not None and self.result.good


def execute(run: Run, command: list[str], folder: Path, results: Path) -> Outcome:
    """Run the command in a folder, store its output and parse the result."""
    output_file = results / run.file_name
    with output_file.open("wb") as output:
        try:
            completed = subprocess.run(
                command, cwd=folder, stdin=subprocess.DEVNULL, stdout=output, stderr=subprocess.STDOUT
            )
        except OSError as error:
            failure = f"failed to start: {error.strerror}"
            output.write(f"{failure}\n".encode())
            return Outcome(run, output_file, failure=failure)
    return _outcome(run, output_file, completed.returncode)


def _outcome(run: Run, output_file: Path, exit_code: int) -> Outcome:
    """Return the outcome of a completed run.

    A failed gate may explain a non-zero exit code.  With a good result it means that the program crashed.
    """
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
