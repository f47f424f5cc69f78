"""Measures the processor time of a proxy's start with and without compiled bytecode, and its largest imports.

    .venv/bin/python bench/start_cost.py [--starts 8] [--other CHECKOUT]

Copies the two packages to a temporary folder, imports the program there in new interpreters, and prints the
ratio to the start of a bare interpreter in the same run.  Then it lists the modules with the longest import
times according to `-X importtime`.  With another checkout, its program starts alternately with this one, and
the ratio of both is printed.
"""

from __future__ import annotations

import argparse
import compileall
import os
import resource
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGES = ("heronreel/proxy", "heronreel/balancer")
PROGRAM = "import heronreel.proxy.__main__"
LISTED_MODULES = 8


def run_python(folder: Path, program: str, *options: str) -> tuple[float, str]:
    """Run one interpreter and return its processor seconds and standard error."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    environ = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1"}  # as with a read-only disk
    command = [sys.executable, *options, "-c", program]
    completed = subprocess.run(command, cwd=folder, env=environ, capture_output=True, text=True, check=True)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime, completed.stderr


def copy_program(checkout: Path, folder: Path) -> None:
    """Copy the packages that the program loads, without bytecode."""
    (folder / "heronreel").mkdir(parents=True)
    shutil.copy(checkout / "heronreel/__init__.py", folder / "heronreel")
    for package in PACKAGES:
        ignored = shutil.ignore_patterns("__pycache__")
        shutil.copytree(checkout / package, folder / package, ignore=ignored)


def compile_program(folder: Path) -> None:
    for package in PACKAGES:
        compileall.compile_dir(str(folder / package), quiet=1)


def start_costs(folders: list[Path], starts: int) -> list[float]:
    """Start the programs of the folders alternately and return the lowest processor seconds of each."""
    costs = [[run_python(folder, PROGRAM)[0] for folder in folders] for _ in range(starts)]
    return [min(column) for column in zip(*costs, strict=True)]


def print_costs(label: str, costs: list[float], bare: float) -> None:
    line = f"{label:17} {costs[0] / bare:5.1f} of the start of a bare interpreter"
    for other in costs[1:]:
        line += f", {costs[0] / other:.3f} of the cost of the other checkout"
    print(line)


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--starts", type=int, default=8)
    parser.add_argument("--other", type=Path)
    options = parser.parse_args()
    checkouts = [ROOT, options.other] if options.other else [ROOT]
    with tempfile.TemporaryDirectory() as name:
        folders = [Path(name) / str(number) for number in range(len(checkouts))]
        for checkout, folder in zip(checkouts, folders, strict=True):
            copy_program(checkout, folder)
        bare = min(run_python(folders[0], "pass")[0] for _ in range(options.starts))
        print_costs("without bytecode", start_costs(folders, options.starts), bare)
        for folder in folders:
            compile_program(folder)
        print_costs("with bytecode", start_costs(folders, options.starts), bare)
        _, log = run_python(folders[0], PROGRAM, "-X", "importtime")
    rows = [line.removeprefix("import time:").split("|") for line in log.splitlines()[1:]]
    self_times = sorted(
        ((int(row[0]), row[2].strip()) for row in rows if row[0].strip().isdigit()), reverse=True
    )
    total = sum(cost for cost, _ in self_times) or 1
    for cost, module in self_times[:LISTED_MODULES]:
        print(f"{100 * cost / total:5.1f} % of the imports  {module}")


if __name__ == "__main__":
    main()
