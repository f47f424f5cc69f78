"""The control plane's stored and sent forms: one case for each committed file in `stored/control`.

The committed files were written by the program as it was at commit 60fa931.  They must never be regenerated
for a refactoring: a file that no longer matches means that disks, groups or members of earlier versions are
no longer understood.  `write` makes the files of *new* forms; it leaves alone the ones that are there.

Each case has the value that a file stands for, a function that writes the bytes as the program does, and one
that reads them as the program does.  Values are built by position, so that a field may get another name while
its place, or its name in the encoded form, stays.
"""

from __future__ import annotations

import shutil
from collections.abc import Mapping
from enum import Enum
from typing import Any

from heronreel.coordination.consensus import CONFIRMED_VERSIONS_KEY, MEMBERSHIP_KEY, Role
from heronreel.coordination.gateway import PATHS, STREAMED, WATCH
from heronreel.coordination.keyspace import HEAD, KEY, LEASE, lease_key
from heronreel.coordination.kv_service import DESIRED_MEMBERS_KEY
from heronreel.coordination.model import CompareOperator, CompareTarget
from heronreel.coordinator.disk import NAMES, ROW
from heronreel.coordinator.server import VIA
from heronreel.fleet.agent import Stage, Want
from heronreel.fleet.controller import TASK as CONTROLLER
from heronreel.fleet.model import HALT as FLEET_HALT
from heronreel.fleet.model import INSTANCES as FLEET_INSTANCES
from heronreel.fleet.model import PARTS as FLEET_PARTS
from heronreel.fleet.model import REGISTER as FLEET_REGISTER
from heronreel.fleet.model import RULES as FLEET_RULES
from heronreel.fleet.model import WORK as FLEET_WORK
from heronreel.fleet.model import Condition, Kind, Scope, Verb
from heronreel.health.report import REPORTS, key_of, task_of
from heronreel.leases.fencing import FencedTable
from heronreel.leases.keys import BUDGET_PREFIX as BUDGETS
from heronreel.leases.keys import CLAIM_PREFIX, CURSOR_PREFIX, PRESENCE_PREFIX
from heronreel.leases.rate_limits import TOTAL_UNITS
from heronreel.leases.tasks import Priority, Task
from heronreel.metering.book import KINDS
from heronreel.metering.files import ASIDE, ENDING, FRESH
from heronreel.metering.records import BOOKS, CLOSED, GIVEN_UP, SUM, book_key, closed_key
from heronreel.metering.records import TASK as COUNTING
from tests.compatibility.stored_fleet import FORMS as FLEET_FORMS
from tests.compatibility.stored_fleet import INSTANCE, PART
from tests.compatibility.stored_forms import FOLDER, Form, as_text, with_store
from tests.compatibility.stored_group import FORMS as GROUP_FORMS
from tests.compatibility.stored_group import kept_disk

# -- constants that stand in keys, records and answers


def _texts(names: Mapping[str, bytes | str]) -> dict[str, str]:
    return {name: text if isinstance(text, str) else text.decode("latin-1") for name, text in names.items()}


NAMES_OF_KEYS = _texts(
    {
        "member: group": MEMBERSHIP_KEY,
        "member: confirmed": CONFIRMED_VERSIONS_KEY,
        "disk: names": NAMES,
        "disk: row": ROW,
        "state: head": HEAD,
        "state: key": KEY,
        "state: lease 258": lease_key(258),
        "state: lease": LEASE,
        "wish": DESIRED_MEMBERS_KEY,
        "held": CLAIM_PREFIX,
        "present": PRESENCE_PREFIX,
        "task": CURSOR_PREFIX,
        "task t": Task("t").cursor_key,
        "claim t": Task("t").claim_key,
        "budget": BUDGETS,
        "count books": BOOKS,
        "count book b1": book_key("b1"),
        "count sum": SUM,
        "count closed": CLOSED,
        "count closed 7": closed_key(7),
        "count task": COUNTING,
        "count file": ENDING,
        "count fresh file": FRESH,
        "count file aside": ASIDE,
        "fleet instances": FLEET_INSTANCES,
        "fleet instance": INSTANCE.key,
        "fleet parts": FLEET_PARTS,
        "fleet part": PART.key,
        "fleet rules": FLEET_RULES,
        "fleet register": FLEET_REGISTER,
        "fleet halt": FLEET_HALT,
        "fleet work": FLEET_WORK,
        "fleet task": CONTROLLER,
        "probe reports": REPORTS,
        "probe report": key_of("etna"),
        "probe task": task_of("etna"),
        "probe task, no zone": task_of(""),
        "fence: number": FencedTable.FENCE,
        "fence: step": FencedTable.STEP,
        "fence: row": FencedTable.ROW,
        "watch": WATCH,
        "forwarded by": VIA,
    }
)
ENUMS: dict[str, type[Enum]] = {
    "role": Role, "target": CompareTarget, "relation": CompareOperator, "kind": Kind, "condition": Condition,
    "scope": Scope, "verb": Verb, "want": Want, "stage": Stage,
}  # fmt: skip
WORDS: dict[str, Any] = {name: [each.value for each in kind] for name, kind in ENUMS.items()}
WORDS |= {
    "urgency": {each.stored_name: int(each) for each in Priority},  # the names stand in keys of budgets
    "paths": sorted(PATHS), "streamed": sorted(STREAMED), "kinds of counts": list(KINDS),
    "budget": TOTAL_UNITS, "book given up": GIVEN_UP,
}  # fmt: skip


FORMS: dict[str, Form] = {
    **GROUP_FORMS, **FLEET_FORMS, "keys.json": as_text(NAMES_OF_KEYS), "words.json": as_text(WORDS),
}  # fmt: skip
MEMBER = FOLDER / "member"  # the folder of a member's store, as it was written


def write() -> None:
    """Write the files of forms that have none yet."""
    for name, form in FORMS.items():
        if not (FOLDER / name).exists():
            (FOLDER / name).write_bytes(form.write())
    if not MEMBER.exists():
        with_store(lambda folder: (kept_disk(folder), shutil.copytree(folder / "member", MEMBER)))
