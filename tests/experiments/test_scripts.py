"""Tests of scripts as TOML, and of scripts made from incidents."""

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


def test_a_script_as_toml_is_the_same_script() -> None:
    faults = (Fault(fault_kind="slow", at_s=0.5, for_s=1.0, size=3.0, names=["n1", "n2"]),)
    for script in (SMALL, msgspec.structs.replace(SMALL, faults=faults)):
        again = load_script(script_to_toml(script).encode())
        assert script_digest(again) == script_digest(script)
        assert play(again, 3).digest() == play(script, 3).digest()


def test_an_incident_becomes_a_script_and_a_timeline_is_replayed_on_the_same_targets() -> None:
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
    again, _ = script_from_incident(msgspec.structs.replace(SMALL, faults=faults), first.json_lines())
    drawn = next(row for row in first.timeline if row.get("kind") == "slow")
    assert again.faults[0].names == drawn["names"] and again.faults[0].for_s == 1.0
    second = play(msgspec.structs.replace(again, seconds=SMALL.seconds, name=SMALL.name), 4)
    assert second.digest() == first.digest(), "the same targets by name, the same day"
    for text, words in (
        (b"{", "line 1: is no JSON"), (b"[]", "expected an object"), (b'{"a": 1}', "holds no trouble"),
        (b'{"at_s": 1, "what": "slow", "who": 3}', "no such field of a trouble: who"),
        (b'{"at_s": "x", "what": "slow"}', "line 1"),
        (b'{"event": "begins", "trouble": 9}', "none of the script"),
    ):  # fmt: skip
        with pytest.raises(InvalidIncidentError, match=words):
            script_from_incident(SMALL, text)
