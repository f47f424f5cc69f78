"""Tests of writing scripts as TOML and of creating scripts from incident records."""

from __future__ import annotations

import msgspec
import pytest

from heronreel.emulator.model import Fault
from heronreel.emulator.script_loader import load_script
from heronreel.emulator.simulation import play
from heronreel.experiments.errors import InvalidIncidentError
from heronreel.experiments.identity import script_digest
from heronreel.experiments.scripts import script_from_incident, script_to_toml
from tests.experiments.scripts import SMALL


def test_a_script_written_as_toml_is_loaded_unchanged() -> None:
    faults = (Fault(fault_kind="slow", at_s=0.5, for_s=1.0, size=3.0, names=["n1", "n2"]),)
    for script in (SMALL, msgspec.structs.replace(SMALL, faults=faults)):
        loaded = load_script(script_to_toml(script).encode())
        assert script_digest(loaded) == script_digest(script)
        assert play(loaded, 3).digest() == play(script, 3).digest()


def test_incidents_become_scripts_and_timelines_are_replayed_on_the_same_targets() -> None:
    record = (
        b'{"at_s": 0.5, "what": "slow", "names": ["n1"], "for_s": 1.0, "size": 4.0}\n\n{"note": "pager"}\n'
    )
    script, skipped_lines = script_from_incident(SMALL, record)
    assert skipped_lines == 1 and script.faults[0].names == ["n1"] and script.seconds == 6.5
    faults = (
        Fault(fault_kind="slow", at_s=0.5, for_s=1.0, share=0.5, size=6.0),
        Fault(fault_kind="kill", at_s=1.0, count=1),
    )
    first = play(msgspec.structs.replace(SMALL, faults=faults), 4)
    replayed, _ = script_from_incident(msgspec.structs.replace(SMALL, faults=faults), first.json_lines())
    begin_row = next(row for row in first.timeline if row.get("kind") == "slow")
    assert replayed.faults[0].names == begin_row["names"] and replayed.faults[0].for_s == 1.0
    second = play(msgspec.structs.replace(replayed, seconds=SMALL.seconds, name=SMALL.name), 4)
    assert second.digest() == first.digest(), "a replay on the same targets must have the same result"
    for text, message in (
        (b"{", "line 1: is not valid JSON"), (b"[]", "expected an object"),
        (b'{"a": 1}', "contains no trouble"),
        (b'{"at_s": 1, "what": "slow", "who": 3}', "a trouble has no such field: who"),
        (b'{"at_s": "x", "what": "slow"}', "line 1"),
        (b'{"event": "begins", "trouble": 9}', "does not exist in the script"),
    ):  # fmt: skip
        with pytest.raises(InvalidIncidentError, match=message):
            script_from_incident(SMALL, text)
