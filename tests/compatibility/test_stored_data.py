"""Tests that the program reads and writes disks, group records and command output as before.

The files in `stored/data` were written at commit 60fa931 and define the formats.  A refactoring that needs
other files has changed a format.
"""

from __future__ import annotations

import json
import os
import shutil
from pathlib import Path
from typing import Any

import msgspec
import pyarrow.parquet as pq
import pytest
from immutables import Map

from heronreel.coordination.keyspace import Keyspace
from heronreel.coordination.model import Record
from heronreel.emulator.model import Rehearsal
from heronreel.emulator.script_loader import load_script
from heronreel.experiments.identity import play_key, script_digest
from heronreel.experiments.scripts import script_from_incident
from heronreel.experiments.table import read_results
from heronreel.fleet import model as fleet
from heronreel.leases.keys import CURSOR_PREFIX
from heronreel.leases.tasks import decode_cursor
from heronreel.metering.records import (
    TOTALS_KEY,
    ClosedPeriod,
    LedgerRecord,
    Totals,
    closed_period_key,
    ledger_key,
)
from heronreel.proxy.__main__ import inherited_descriptor, open_shared_state
from heronreel.proxy.config import load as config_of
from heronreel.proxy.shared_state import SharedState
from heronreel.store import Store
from heronreel.store.checksum import verified_body
from heronreel.store.durable_note import decode_durable_note
from heronreel.store.log_format import (
    HEADER_BYTES,
    SegmentHeader,
    decode_frame,
)
from heronreel.store.manifest import decode_manifest
from heronreel.store.operations import decode_operations
from heronreel.store.sstable_format import (
    HEADER_BYTES as TABLE_HEADER_BYTES,
)
from heronreel.store.sstable_format import (
    Footer,
    Index,
    TableHeader,
    decode_block,
    encode_block,
    find_in_block,
)
from tests.compatibility import stored_data
from tests.compatibility.stored_data import DATA, SALT, STORE_ID
from tests.support.loopback import configuration, entry

ENCODERS = DATA / "encoders"
FILES = sorted(
    str(path.relative_to(DATA)) for path in DATA.rglob("*") if path.is_file() and path.parent.name != "input"
)


@pytest.fixture(scope="module")
def rewritten(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """All files, written by the current program."""
    folder = tmp_path_factory.mktemp("stored")
    stored_data.write(folder)
    return folder


def test_the_same_set_of_files_is_written(rewritten: Path) -> None:
    assert (
        sorted(str(path.relative_to(rewritten)) for path in rewritten.rglob("*") if path.is_file()) == FILES
    )
    assert len(FILES) > 50


@pytest.mark.parametrize("name", FILES)
def test_each_file_is_written_identically(name: str, rewritten: Path) -> None:
    """Files are compared by their bytes; Parquet files name the library version, so by columns and rows."""
    if name.endswith(".parquet"):
        old, new = pq.read_table(DATA / name), pq.read_table(rewritten / name)
        assert new.schema.equals(old.schema, check_metadata=True) and new.to_pylist() == old.to_pylist()
        assert old.schema.metadata == {b"heronreel.format": b"1"}
    else:
        assert (rewritten / name).read_bytes() == (DATA / name).read_bytes()


# -- the store


def test_the_log_is_decoded() -> None:
    data = (ENCODERS / "segment.log").read_bytes()
    assert SegmentHeader.decode(data, "segment.log") == stored_data.SEGMENT
    at = HEADER_BYTES
    for kind, sequence, durable, payload in stored_data.FRAMES:
        frame = decode_frame(data, at, len(data), SALT)
        assert frame is not None
        assert (frame.kind, frame.sequence, frame.durable, frame.payload) == (
            kind,
            sequence,
            durable,
            payload,
        )
        at = frame.end
    assert at == len(data)
    assert decode_operations(stored_data.FRAMES[0][3]) == stored_data.OPERATIONS
    assert decode_durable_note((ENCODERS / "note").read_bytes()) == (7, 4096)
    assert verified_body((ENCODERS / "sealed").read_bytes(), 6, 5) == b"a body"


def test_tables_are_decoded() -> None:
    data = (ENCODERS / "header-and-block.table").read_bytes()
    assert TableHeader.decode(data, "a table") == stored_data.TABLE
    block = data[TABLE_HEADER_BYTES:]
    assert decode_block(block) == stored_data.OPERATIONS
    assert encode_block(decode_block(block), SALT, TABLE_HEADER_BYTES) == block
    for key, value in stored_data.OPERATIONS:
        assert find_in_block(block, key) == (True, value)
    assert find_in_block(block, b"c") == (False, None)
    assert Footer.decode((ENCODERS / "footer.table").read_bytes(), SALT) == stored_data.FOOTER
    index = Index.decode((ENCODERS / "table.index").read_bytes(), 3, SALT)
    assert index is not None and index.encode(3, SALT) == (ENCODERS / "table.index").read_bytes()
    assert (index.offsets, index.first_keys) == (stored_data.INDEX.offsets, stored_data.INDEX.first_keys)
    assert all(index.bloom_filter.may_contain(hashed) for hashed in stored_data.HASHES)
    assert not any(index.bloom_filter.may_contain(hashed) for hashed in (2, 3, 4))
    assert decode_manifest((ENCODERS / "MANIFEST").read_bytes()) == stored_data.MANIFEST


@pytest.mark.parametrize("read_only", [True, False])
def test_a_complete_store_is_read(read_only: bool, tmp_path: Path) -> None:
    folder = tmp_path / "store"
    shutil.copytree(DATA / "store", folder)
    before = {path.name: path.read_bytes() for path in folder.iterdir()}
    expected = stored_data.store_content()
    assert len(expected) == 14 and STORE_ID.hex().encode() in before["MANIFEST"]
    with Store.open(folder, read_only=read_only, limits=stored_data.LIMITS) as store:
        assert dict(store.scan()) == expected
        assert all(store.get(key) == value for key, value in expected.items())
        assert [store.get(key) for key in (b"key00", b"key05", b"key20", b"none")] == [None] * 4
        assert not store.lost and not store.dropped
        if not read_only:
            store.put(b"more", b"of it")
    after = {path.name: path.read_bytes() for path in folder.iterdir()}
    assert (after == before) is read_only
    if not read_only:
        with Store.open(folder, read_only=True) as store:
            assert dict(store.scan()) == expected | {b"more": b"of it"}


# -- a proxy's processes


def test_operator_commands_to_an_earlier_process_are_loaded(tmp_path: Path) -> None:
    folder = tmp_path / "shared"
    shutil.copytree(DATA / "shared", folder)
    holds, emptying = SharedState(folder).read()
    assert holds == {hold.name: hold for hold in stored_data.HOLDS} and emptying
    (folder / "emptying").unlink()
    assert SharedState(folder).read() == (holds, False)


def test_a_process_uses_the_shared_folder_and_inherited_socket(tmp_path: Path) -> None:
    """The environment variables and file names are those of all versions of the program."""
    backend = entry("b1", "127.0.0.1:2")
    file_settings = configuration("127.0.0.1:3", backend) | {"mgmt": "127.0.0.1:4"}
    (tmp_path / "config").write_text(json.dumps(file_settings))
    environ = {"LB_NAME": "p1", "LB_LISTEN": "127.0.0.1:1", "LB_CONFIG": str(tmp_path / "config")}
    shared = open_shared_state(environ | {"TMPDIR": str(tmp_path)}, config_of(environ))
    assert shared is not None and shared.folder == tmp_path / "heronreel-p1"
    own = tmp_path / "heronreel-p1" / f"process-{os.getpid()}"
    assert own.read_bytes() == b""
    (own.parent / f"process-{os.getppid()}").write_bytes(b"")
    assert shared.other_processes() == [os.getppid()]
    shared.unregister_process()
    assert not own.exists()
    assert (inherited_descriptor({"LB_ACCEPT_FD": "7"}), inherited_descriptor({})) == (7, None)


# -- the group's records, and all commands


def test_group_records_are_decoded() -> None:
    state = Keyspace.from_content(Map(stored_data.content_of((DATA / "group.state").read_bytes())))
    assert state.revision == 1 + len(stored_data.RECORDS)
    assert dict(state.leases) == {lease: 30 for lease in stored_data.LEFT}
    assert dict(state.keys) == {
        key: Record(value, place, place, 1, lease)
        for place, (key, value, lease) in enumerate(stored_data.RECORDS, 2)
    }
    values = {key: record.value for key, record in state.keys.items()}
    expected: list[tuple[bytes, Any, Any]] = [
        (ledger_key("book1"), LedgerRecord, stored_data.POSTED),
        (TOTALS_KEY, Totals, stored_data.SUMMED),
        (closed_period_key(6), ClosedPeriod, stored_data.CLOSED),
        (fleet.RULES_KEY, tuple[fleet.BudgetRule, ...], stored_data.RULES),
        (stored_data.PART.key, fleet.DisruptionClaim, stored_data.PART),
        (fleet.HALT_KEY, fleet.Halt, stored_data.HALT),
        (fleet.OPERATION_KEY, fleet.FleetOperation, stored_data.WORK),
        *((instance.key, fleet.Instance, instance) for instance in stored_data.INSTANCES),
    ]
    for key, kind, value in expected:
        assert msgspec.json.decode(values[key], type=kind) == value
    for name, cursor in stored_data.CURSORS.items():
        assert decode_cursor(values[CURSOR_PREFIX + name]) == cursor


def test_commands_print_the_same_output_for_the_old_files() -> None:
    """Compares the `--json` output and exit codes on the committed store, plays, script and group."""
    content = stored_data.content_of((DATA / "group.state").read_bytes())
    outputs = stored_data.commands(DATA, content)
    assert outputs == {path.stem: path.read_bytes() for path in (DATA / "commands").iterdir()}


# -- experiments


def test_scripts_are_loaded_and_have_the_same_digests() -> None:
    script = load_script((DATA / "script.toml").read_bytes())
    assert script_digest(script) == script_digest(stored_data.SCRIPT) == "9751dab712d71513"
    assert script_digest(Rehearsal()) == "cd0403b9cd317132"
    replayed, skipped_lines = script_from_incident(script, stored_data.INCIDENT)
    assert skipped_lines == 1
    assert script_digest(load_script((DATA / "incident.toml").read_bytes())) == script_digest(replayed)


def test_results_are_loaded_and_play_keys_are_unchanged() -> None:
    settings = {"proxies.idle_ms": 500, "flintplank.subset.KEPT_BY": 0.5, "a": True}
    assert play_key("s" * 16, "c" * 16, "random", 7, settings) == "d404a695fbc4eaafb8b4a974"
    row = stored_data.ROW
    assert read_results(DATA / "plays") == [
        {"key": "k1", **row, "p99": None},
        {"key": "k2", **row, "seed": 2, "p99": 12.5},
        {"key": "k3", **row, "seed": 3},
    ]
    assert stored_data.RESULT.digest() == "a52c31b6b9dc6d2980f705be8a1742b0b5dfd52c2173dd7a25b43e09b15705cf"
