#!/bin/sh
# Builds what the cases 6 to 10 start beside the deploy file's proxy: the environment of `bin/heronreel` for the
# group, the agent and the operators' commands.  The stand-ins are Python and need no build; they are compiled
# once to find errors early.
set -eu
cd "$(CDPATH='' cd -- "$(dirname -- "$0")" && pwd)/.."
bin/heronreel fleet --help > /dev/null
.venv/bin/python - review/harness2/standins/*.py review/[6-9]/case.py review/10/case.py <<'CHECK'
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
CHECK
