"""Tests that proxy processes keep the invariants with each kind of list response and with refusals."""

from __future__ import annotations

import pytest

from heronreel.emulator.model import EndpointListConfig, Fault, InvariantLimits
from heronreel.realtime.engine import play_over_sockets
from tests.support.rehearsals import KIND, rehearsal

SCALE = 2.0
FAULTS = (
    Fault(fault_kind="list_resets", at_s=1.5, within_s=0.05),
    Fault(fault_kind="list_resets", at_s=2.5, after_s=0.15, within_s=0.05, instead_of_change=True),
    Fault(fault_kind="drain", at_s=2.6, count=2),
)


@pytest.mark.parametrize(
    ("endpoint_list", "expects_refusals"),
    [
        (EndpointListConfig(call_ms=100.0, snapshot_share=0.0, addition_delay_ms=20.0), False),
        (
            EndpointListConfig(
                call_ms=400.0, timeout_ms=500.0, snapshot_omits_draining=True, addition_delay_ms=20.0
            ),
            True,
        ),
    ],
    ids=["changes only", "snapshots and refusals"],
)
def test_a_proxy_process_handles_changes_snapshots_and_refused_calls(
    endpoint_list: EndpointListConfig, expects_refusals: bool
) -> None:
    rules = InvariantLimits(failed_call_ms=6000.0)
    script = rehearsal(6, 4, 0.2, 6.0, kind=KIND, faults=FAULTS, endpoint_list=endpoint_list, rules=rules)
    result, failures = play_over_sockets(script, 3, SCALE)
    print(result.counts, result.meter)
    assert not failures
    assert result.rules_kept, result.breaches[:3]
    assert result.meter["list_calls"] >= 12, "each proxy calls at the start and after each reset"
    assert (result.meter["list_failed"] > 0) == expects_refusals
