"""What a start costs a proxy in processor time, with and without bytecode of our own, and its largest parts.

    .venv/bin/python bench/start_cost.py [--starts 8]

Copies the two packages to a folder of its own, imports the program there in fresh interpreters, and gives the
ratios to a bare interpreter's start within one run; then the modules that take most, by `-X importtime`.
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
LARGEST = 8


def started(folder: Path, what: str, *options: str) -> tuple[float, str]:
    """Processor seconds of one interpreter, and what it said."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    environ = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1"}  # as on a read-only disk
    command = [sys.executable, *options, "-c", what]
    done = subprocess.run(command, cwd=folder, env=environ, capture_output=True, text=True, check=True)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime, done.stderr


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--starts", type=int, default=8)
    starts = parser.parse_args().starts
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "heronreel").mkdir()
        shutil.copy(ROOT / "heronreel/__init__.py", folder / "heronreel")
        for package in PACKAGES:
            shutil.copytree(ROOT / package, folder / package, ignore=shutil.ignore_patterns("__pycache__"))
        program = "import heronreel.proxy.__main__"
        bare = min(started(folder, "pass")[0] for _ in range(starts))
        without = min(started(folder, program)[0] for _ in range(starts))
        for package in PACKAGES:
            compileall.compile_dir(str(folder / package), quiet=1)
        compiled = min(started(folder, program)[0] for _ in range(starts))
        _, told = started(folder, program, "-X", "importtime")
    print(f"without bytecode  {without / bare:5.1f} of a bare interpreter's start")
    print(f"with bytecode     {compiled / bare:5.1f}")
    rows = [line.removeprefix("import time:").split("|") for line in told.splitlines()[1:]]
    own = sorted(((int(row[0]), row[2].strip()) for row in rows if row[0].strip().isdigit()), reverse=True)
    total = sum(cost for cost, _ in own) or 1
    for cost, module in own[:LARGEST]:
        print(f"{100 * cost / total:5.1f} % of the imports  {module}")


if __name__ == "__main__":
    main()
