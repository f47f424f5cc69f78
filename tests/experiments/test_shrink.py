"""Tests of reducing failing scripts."""

from __future__ import annotations

import pytest

from heronreel.emulator.model import Fault
from heronreel.emulator.script_loader import load_script
from heronreel.emulator.simulation import play
from heronreel.experiments.errors import NoBreachError
from heronreel.experiments.scripts import script_to_toml
from heronreel.experiments.shrink import shrink
from tests.experiments.scripts import SMALL
from tests.support.rehearsals import rehearsal


def test_a_failing_script_is_shrunk_to_the_fault_that_breaks_the_rule() -> None:
    """Only one of the seven faults makes the policy that ignores drains break the rule."""
    faults = (
        Fault(fault_kind="slow", at_s=0.5, for_s=2.0, share=0.3, size=4.0),
        Fault(fault_kind="errors", at_s=1.0, for_s=2.0, share=0.3, size=0.3),
        Fault(fault_kind="burst", at_s=1.0, for_s=2.0, size=1.3),
        Fault(fault_kind="drain", at_s=1.0, share=0.3, after_s=6.0),
        Fault(fault_kind="heavy", at_s=1.0, for_s=2.0, share=0.01, size=5.0),
        Fault(fault_kind="list_late", at_s=2.0, for_s=1.0, size=0.2),
        Fault(fault_kind="neighbour", at_s=2.0, for_s=1.0, share=0.3, size=0.3),
    )
    script = rehearsal(12, 4, 0.5, 8.0, faults=faults)
    shrunk = shrink(script, 3, "careless-drain")
    assert shrunk.rule == "drain" and [fault.fault_kind for fault in shrunk.rehearsal.faults] == ["drain"]
    smallest = shrunk.rehearsal
    assert smallest.fleet.nodes < 12 and smallest.proxies.count < 4 and smallest.seconds < 8.0
    replayed = play(load_script(script_to_toml(smallest).encode()), 3, "careless-drain")
    assert replayed.breach_counts["drain"] and replayed.breaches[0]["at_ms"] == shrunk.at_ms
    with pytest.raises(NoBreachError, match="breaks no rule"):
        shrink(SMALL, 1)
