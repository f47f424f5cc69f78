"""Fingerprints of the behaviour, compared with the committed ones: what a change of names must leave alike.

    .venv-ci/bin/python bench/fingerprints.py [--all] [--kit ../given/kit] [--write]

Prints each fingerprint of `tests/compatibility/fingerprints.py`, the scores of a quick estimate by the kit,
and how many tests there are; prints what differs from `bench/fingerprints.json` with both values, and exits
1 if anything does.  More tests than there were are no difference.  `--all` takes the large searches too.
Without the kit its part is left out, and that is said.  A run with the kit leaves a snapshot in `journal/`,
to be committed. `--write` writes the file, of all searches; without the kit it keeps the kit's scores that
the file has.
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
    EXPLORED,
    FILE,
    REHEARSALS,
    ROOT,
    SMALL,
    Fingerprint,
    committed,
    differences,
    taken,
)

SITE = "profili-sicilia"
WHY = "A check that the figures of the quick plays are what they were before names changed."
KIT = f"kit: {SITE}"
TESTS = "tests"
ESTIMATE = re.compile(r"^quick estimate on the standard days of \S+ .*?: (\d\.\d+), ", re.MULTILINE)
# a day, its troubles, its size, its G and its score
PLAY = re.compile(r"^(\S+) +\S+ +\d+x\d+ +(\d\.\d+) +(-?\d\.\d+) ", re.MULTILINE)


def of_kit(printed: str) -> Fingerprint:
    """The site's figure and each play's G and score, as the kit prints them."""
    estimate = ESTIMATE.search(printed)
    plays = PLAY.findall(printed)
    if estimate is None or not plays:
        raise SystemExit(f"the kit printed no estimate:\n{printed}")
    values: Fingerprint = {"site": estimate[1]}
    for day, judged, score in plays:
        values |= {f"{day} G": judged, f"{day} score": score}
    return values


def played(kit: Path) -> Fingerprint:
    """Run the kit's quick estimate of one site."""
    site = kit / "sites" / f"{SITE}.toml"
    command = [str(kit / "bin" / "lbsim"), "score", str(site), "--quick", "--why", WHY]
    done = subprocess.run(command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
    return of_kit(done.stdout)


def collected() -> int:
    """How many tests pytest finds."""
    command = [sys.executable, "-m", "pytest", "--collect-only", "-q", "-p", "no:cacheprovider"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    return sum(int(count) for count in re.findall(r"^tests/\S+: (\d+)$", done.stdout, re.MULTILINE))


def main() -> int:
    """Take the fingerprints, then print and compare them, or write them."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--all", action="store_true", help="the large searches also")
    parser.add_argument("--kit", type=Path, default=Path("../given/kit"), help="left out where it is absent")
    parser.add_argument("--write", action="store_true", help="write the file instead of comparing with it")
    options = parser.parse_args()
    names = [f"rehearsal: {name}" for name in reversed(REHEARSALS)]  # the longest first
    now = taken([*names, *(EXPLORED if options.all or options.write else SMALL)])
    now[TESTS] = {"collected": collected()}
    kit = (ROOT / options.kit).resolve()
    if (kit / "bin" / "lbsim").exists():
        now[KIT] = played(kit)
    for name, value in now.items():
        print(f"{name:<40} {'  '.join(f'{key} {each}' for key, each in value.items())}")
    if KIT not in now:
        print(f"no kit at {options.kit}: its part is left out")
    before = committed() if FILE.exists() else {}
    if options.write:
        if KIT not in now and KIT in before:
            now[KIT] = before[KIT]
        FILE.write_text(json.dumps(now, indent=1) + "\n")
        return 0
    fewest = before.get(TESTS, {}).get("collected")
    if isinstance(fewest, int) and now[TESTS]["collected"] >= fewest:  # type: ignore[operator]
        del now[TESTS]  # more tests are no difference
    wrong = differences(before, now)
    print("\n".join(wrong) if wrong else f"{len(now)} fingerprints are alike")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
