"""What a start costs a proxy in processor time, with and without bytecode of our own, and its largest parts.

    .venv/bin/python bench/start_cost.py [--starts 8] [--other CHECKOUT]

Copies the two packages to a folder of its own, imports the program there in fresh interpreters, and gives the
ratios to a bare interpreter's start within one run; then the modules that take most, by `-X importtime`.
With another checkout, its program is started in turns with this one, and the ratio of both is printed.
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
LARGEST = 8  # modules that are listed


def run_python(folder: Path, program: str, *options: str) -> tuple[float, str]:
    """Processor seconds of one interpreter, and its standard error."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    environ = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1"}  # as on a read-only disk
    command = [sys.executable, *options, "-c", program]
    done = subprocess.run(command, cwd=folder, env=environ, capture_output=True, text=True, check=True)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime, done.stderr


def copy_program(checkout: Path, folder: Path) -> None:
    """The packages that the program loads, without bytecode."""
    (folder / "heronreel").mkdir(parents=True)
    shutil.copy(checkout / "heronreel/__init__.py", folder / "heronreel")
    for package in PACKAGES:
        ignored = shutil.ignore_patterns("__pycache__")
        shutil.copytree(checkout / package, folder / package, ignore=ignored)


def compile_program(folder: Path) -> None:
    for package in PACKAGES:
        compileall.compile_dir(str(folder / package), quiet=1)


def start_costs(folders: list[Path], starts: int) -> list[float]:
    """The least processor seconds of each folder's program, started in turns."""
    costs = [[run_python(folder, PROGRAM)[0] for folder in folders] for _ in range(starts)]
    return [min(column) for column in zip(*costs, strict=True)]


def print_costs(label: str, costs: list[float], bare: float) -> None:
    line = f"{label:17} {costs[0] / bare:5.1f} of a bare interpreter's start"
    for other in costs[1:]:
        line += f", {costs[0] / other:.3f} of the other checkout's"
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
    own = sorted(((int(row[0]), row[2].strip()) for row in rows if row[0].strip().isdigit()), reverse=True)
    total = sum(cost for cost, _ in own) or 1
    for cost, module in own[:LARGEST]:
        print(f"{100 * cost / total:5.1f} % of the imports  {module}")


if __name__ == "__main__":
    main()
