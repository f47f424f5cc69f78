"""Data that the control plane stores and sends: one case for each committed file in `stored/control`.

The committed files were written by the program at commit 60fa931.  They must never be regenerated for a
refactoring: a file that no longer matches means that disks, groups or members of earlier versions cannot be
read any more.  `write` creates the files of *new* cases and does not touch existing files.

Each case has the value that a file represents, a function that writes the bytes as the program does, and one
that reads them as the program does.  Values are constructed with positional arguments, so that a field may be
renamed as long as its position, or its name in the encoded form, does not change.
"""

from __future__ import annotations

import shutil
from collections.abc import Mapping
from enum import Enum
from typing import Any

from heronreel.coordination.gateway import REQUEST_PATHS, STREAMED_PATHS, WATCH_PATH
from heronreel.coordination.group_records import CONFIRMED_VERSIONS_KEY, MEMBERSHIP_KEY
from heronreel.coordination.keyspace import HEADER_KEY, KEY_PREFIX, LEASE_PREFIX, lease_key
from heronreel.coordination.kv_service import DESIRED_MEMBERS_KEY
from heronreel.coordination.member_state import Role
from heronreel.coordination.model import CompareOperator, CompareTarget
from heronreel.coordinator.disk import CONTENT_PREFIX, MEMBER_KEY
from heronreel.coordinator.forwarding import FORWARDED_BY_HEADER
from heronreel.fleet import model as fleet
from heronreel.fleet.leadership import LEADERSHIP_NAME
from heronreel.fleet.lifecycle_messages import DesiredState, ProcessStage
from heronreel.health.report import REPORT_PREFIX, probe_task_name, report_key
from heronreel.leases.fencing import FencedTable
from heronreel.leases.keys import BUDGET_PREFIX as BUDGETS
from heronreel.leases.keys import CLAIM_PREFIX, CURSOR_PREFIX, PRESENCE_PREFIX
from heronreel.leases.rate_limits import TOTAL_UNITS
from heronreel.leases.tasks import Priority, Task
from heronreel.metering.counts import KIND_NAMES
from heronreel.metering.ledger_files import LEDGER_SUFFIX, QUARANTINE_SUFFIX, TEMPORARY_SUFFIX
from heronreel.metering.records import (
    ABANDONED_PAGE,
    CLOSED_PREFIX,
    LEDGER_PREFIX,
    TOTALS_KEY,
    closed_period_key,
    ledger_key,
)
from heronreel.metering.records import TASK_NAME as COUNTING
from tests.compatibility.stored_fleet import CLAIM, INSTANCE
from tests.compatibility.stored_fleet import FORMS as FLEET_FORMS
from tests.compatibility.stored_forms import FOLDER, Form, as_constants, with_store
from tests.compatibility.stored_group import FORMS as GROUP_FORMS
from tests.compatibility.stored_group import persisted_disk

# -- constants that are part of keys, records and responses


def _texts(names: Mapping[str, bytes | str]) -> dict[str, str]:
    return {name: text if isinstance(text, str) else text.decode("latin-1") for name, text in names.items()}


KEY_CONSTANTS = _texts(
    {
        "member: group": MEMBERSHIP_KEY,
        "member: confirmed": CONFIRMED_VERSIONS_KEY,
        "disk: names": MEMBER_KEY,
        "disk: row": CONTENT_PREFIX,
        "state: head": HEADER_KEY,
        "state: key": KEY_PREFIX,
        "state: lease 258": lease_key(258),
        "state: lease": LEASE_PREFIX,
        "wish": DESIRED_MEMBERS_KEY,
        "held": CLAIM_PREFIX,
        "present": PRESENCE_PREFIX,
        "task": CURSOR_PREFIX,
        "task t": Task("t").cursor_key,
        "claim t": Task("t").claim_key,
        "budget": BUDGETS,
        "count books": LEDGER_PREFIX,
        "count book b1": ledger_key("b1"),
        "count sum": TOTALS_KEY,
        "count closed": CLOSED_PREFIX,
        "count closed 7": closed_period_key(7),
        "count task": COUNTING,
        "count file": LEDGER_SUFFIX,
        "count fresh file": TEMPORARY_SUFFIX,
        "count file aside": QUARANTINE_SUFFIX,
        "fleet instances": fleet.INSTANCE_PREFIX,
        "fleet instance": INSTANCE.key,
        "fleet parts": fleet.DISRUPTION_CLAIM_PREFIX,
        "fleet part": CLAIM.key,
        "fleet rules": fleet.RULES_KEY,
        "fleet register": fleet.REVISION_KEY,
        "fleet halt": fleet.HALT_KEY,
        "fleet work": fleet.OPERATION_KEY,
        "fleet task": LEADERSHIP_NAME,
        "probe reports": REPORT_PREFIX,
        "probe report": report_key("etna"),
        "probe task": probe_task_name("etna"),
        "probe task, no zone": probe_task_name(""),
        "fence: number": FencedTable.FENCE_PREFIX,
        "fence: step": FencedTable.STEP_PREFIX,
        "fence: row": FencedTable.ROW_PREFIX,
        "watch": WATCH_PATH,
        "forwarded by": FORWARDED_BY_HEADER,
    }
)
ENUMS: dict[str, type[Enum]] = {
    "role": Role, "target": CompareTarget, "relation": CompareOperator, "kind": fleet.InstanceKind,
    "condition": fleet.Condition, "scope": fleet.Scope, "verb": fleet.OperationKind,
    "want": DesiredState, "stage": ProcessStage,
}  # fmt: skip
ENUM_VALUES: dict[str, Any] = {name: [member.value for member in kind] for name, kind in ENUMS.items()}
ENUM_VALUES |= {
    # The names of priorities are part of the keys of budgets.
    "urgency": {priority.stored_name: int(priority) for priority in Priority},
    "paths": sorted(REQUEST_PATHS.values()), "streamed": sorted(STREAMED_PATHS),
    "kinds of counts": list(KIND_NAMES),
    "budget": TOTAL_UNITS, "book given up": ABANDONED_PAGE,
}  # fmt: skip


FORMS: dict[str, Form] = {
    **GROUP_FORMS, **FLEET_FORMS,
    "keys.json": as_constants(KEY_CONSTANTS), "words.json": as_constants(ENUM_VALUES),
}  # fmt: skip
# The folder of a member's store as the program wrote it.
MEMBER = FOLDER / "member"


def write() -> None:
    """Write the files of cases that have no file yet."""
    for name, form in FORMS.items():
        if not (FOLDER / name).exists():
            (FOLDER / name).write_bytes(form.write())
    if not MEMBER.exists():
        with_store(lambda folder: (persisted_disk(folder), shutil.copytree(folder / "member", MEMBER)))
