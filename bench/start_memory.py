"""Measures resident memory after imports: the platform's program, also of another checkout, and `serve`.

    .venv-cli/bin/python bench/start_memory.py [OTHER_CHECKOUT]

Prints medians of nine interleaved processes each; differences below 0.1 MB are noise.
"""

from __future__ import annotations

import statistics
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
ROUNDS = 9
PRINT_RSS = "\nimport gc; gc.collect()\nprint(open('/proc/self/status').read().split('VmRSS:')[1].split()[0])"


def resident_kb(folder: Path, module: str) -> int:
    """Return the resident kilobytes of a process that has imported the module."""
    completed = subprocess.run(
        [sys.executable, "-c", f"import {module}{PRINT_RSS}"],
        cwd=folder,
        capture_output=True,
        text=True,
        check=True,
    )
    return int(completed.stdout)


def main() -> None:
    rows = [("run, here", ROOT, "heronreel.proxy.__main__"), ("serve, here", ROOT, "heronreel.serve.program")]
    if len(sys.argv) > 1:
        rows.insert(0, ("run, other", Path(sys.argv[1]), "heronreel.proxy.__main__"))
    sizes: dict[str, list[int]] = {name: [] for name, _, _ in rows}
    for _ in range(ROUNDS):
        for name, folder, module in rows:
            sizes[name].append(resident_kb(folder, module))
    for name, values in sizes.items():
        print(f"{name:12} {statistics.median(values) / 1024:6.2f} MB")


if __name__ == "__main__":
    main()
