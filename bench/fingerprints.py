"""Compares fingerprints of the program's behaviour with the committed ones, which a refactoring must keep.

    .venv-ci/bin/python bench/fingerprints.py [--all] [--kit ../given/kit] [--write]

Prints each fingerprint of `tests/compatibility/fingerprints.py`, the scores of a quick estimate by the kit,
and the number of tests.  Each difference from `bench/fingerprints.json` is printed with both values, and the
exit code is then 1.  A larger number of tests is not a difference.  `--all` includes the large searches.
Without the kit, its scores are omitted and a message says so.  A run with the kit leaves a snapshot in
`journal/`, which has to be committed.  `--write` writes the file with all searches; without the kit, the
file keeps its scores of the kit.
"""

from __future__ import annotations

import argparse
import json
import re
import subprocess
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from tests.compatibility.fingerprints import (
    ARCHITECTURE_FILE,
    EXPLORED,
    FILE,
    REHEARSALS,
    ROOT,
    SMALL,
    Fingerprint,
    compute_fingerprints,
    differences,
    load_committed,
)

SITE = "profili-sicilia"
WHY = "A check that the figures of the quick plays are what they were before names changed."
KIT = f"kit: {SITE}"
TESTS = "tests"
ESTIMATE = re.compile(r"^quick estimate on the standard days of \S+ .*?: (\d\.\d+), ", re.MULTILINE)
# The name of a day, its faults, its size, its G and its score.
PLAY = re.compile(r"^(\S+) +\S+ +\d+x\d+ +(\d\.\d+) +(-?\d\.\d+) ", re.MULTILINE)


def parse_kit_output(printed: str) -> Fingerprint:
    """Return the estimate of the site, and the G and score of each play, as printed by the kit."""
    estimate = ESTIMATE.search(printed)
    plays = PLAY.findall(printed)
    if estimate is None or not plays:
        raise SystemExit(f"the kit printed no estimate:\n{printed}")
    values: Fingerprint = {"site": estimate[1]}
    for day, g_value, score in plays:
        values |= {f"{day} G": g_value, f"{day} score": score}
    return values


def run_kit(kit: Path) -> Fingerprint:
    """Run the kit's quick estimate of one site."""
    site = kit / "sites" / f"{SITE}.toml"
    command = [str(kit / "bin" / "lbsim"), "score", str(site), "--quick", "--why", WHY]
    completed = subprocess.run(command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
    return parse_kit_output(completed.stdout)


def count_tests() -> int:
    """Return the number of tests that pytest collects."""
    command = [sys.executable, "-m", "pytest", "--collect-only", "-q", "-p", "no:cacheprovider"]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    return sum(int(count) for count in re.findall(r"^tests/\S+: (\d+)$", completed.stdout, re.MULTILINE))


def main() -> int:
    """Compute the fingerprints and print them, then compare them with the file or write the file."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--all", action="store_true", help="include the large searches")
    parser.add_argument("--kit", type=Path, default=Path("../given/kit"), help="omitted if it does not exist")
    parser.add_argument("--write", action="store_true", help="write the file instead of comparing with it")
    options = parser.parse_args()
    if options.write and ARCHITECTURE_FILE.exists():
        parser.error(f"--write: {FILE.name} is written on x86-64; this machine has {ARCHITECTURE_FILE.name}")
    names = [f"rehearsal: {name}" for name in reversed(REHEARSALS)]  # the longest one first
    now = compute_fingerprints([*names, *(EXPLORED if options.all or options.write else SMALL)])
    now[TESTS] = {"collected": count_tests()}
    kit = (ROOT / options.kit).resolve()
    if (kit / "bin" / "lbsim").exists():
        now[KIT] = run_kit(kit)
    for name, value in now.items():
        print(f"{name:<40} {'  '.join(f'{key} {field}' for key, field in value.items())}")
    if KIT not in now:
        print(f"no kit at {options.kit}: its scores are omitted")
    before = load_committed() if FILE.exists() else {}
    if options.write:
        if KIT not in now and KIT in before:
            now[KIT] = before[KIT]
        FILE.write_text(json.dumps(now, indent=1) + "\n")
        return 0
    min_tests = before.get(TESTS, {}).get("collected")
    if isinstance(min_tests, int) and now[TESTS]["collected"] >= min_tests:  # type: ignore[operator]
        del now[TESTS]  # a larger number of tests is not a difference
    changed = differences(before, now)
    print("\n".join(changed) if changed else f"{len(now)} fingerprints are equal")
    return 1 if changed else 0


if __name__ == "__main__":
    sys.exit(main())
