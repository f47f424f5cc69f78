"""Tests of the real-time engine: agreement with virtual time, and limits on the size of a script.

Scripts run stretched, so that delays of a busy machine are small against the times in the script.  The
margins allow for such a machine; `bench/agreement.py` measures the agreement on an idle one.
"""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from heronreel.emulator.model import Fault, ProxyConfig, Rehearsal, RequestClass
from heronreel.emulator.result import Result
from heronreel.emulator.simulation import play
from heronreel.realtime import runtime
from heronreel.realtime.engine import play_over_sockets
from heronreel.realtime.errors import UnplayableScriptError
from tests.support.rehearsals import rehearsal

SCALE = 2.0

# The largest difference between the engines in a share of all requests: answered (in time or late), and
# refused or failed.
MAX_SHARE_DIFFERENCE = 0.08

CASES: dict[str, tuple[Fault, ...]] = {
    "slow and failing nodes": (
        Fault(fault_kind="slow", at_s=1.0, for_s=3.0, names=["n1", "n2"], size=5.0),
        Fault(fault_kind="errors", at_s=2.0, for_s=2.0, names=["n4"], size=0.5),
    ),
    "nodes replaced by cold ones": (
        Fault(fault_kind="replace", at_s=1.0, share=0.5, within_s=1.0, after_s=1.5),
    ),
    "proxies restarted, reloaded and killed": (
        Fault(fault_kind="restart", at_s=1.0, names=["p0"]),
        Fault(fault_kind="reload", at_s=2.0),
        Fault(fault_kind="kill", at_s=3.0, names=["p1"]),
    ),
    "faults of the list and the network": (
        Fault(fault_kind="list_breaks", at_s=0.5, for_s=1.5),
        Fault(fault_kind="crash", at_s=1.0, names=["n3"], after_s=1.0),
        Fault(fault_kind="lose_answers", at_s=2.0, for_s=2.0, share=0.5, size=0.2),
        Fault(fault_kind="pause", at_s=3.0, for_s=0.4, names=["n5"]),
    ),
}


def script(*faults: Fault) -> Rehearsal:
    request_class = RequestClass(work_ms=60.0, attempt_noise=0.2)
    return rehearsal(6, 3, 0.4, 5.0, request_class=request_class, faults=faults)


def outcome_shares(result: Result) -> tuple[float, float]:
    counts = result.counts
    answered = counts["served"] + counts["late"]
    return answered / counts["requests"], (counts["refused"] + counts["failed"]) / counts["requests"]


@pytest.mark.parametrize("case", list(CASES))
def test_the_engines_agree_and_proxy_processes_keep_the_invariants(case: str) -> None:
    seed = 5
    case_script = script(*CASES[case])
    real, failures = play_over_sockets(case_script, seed, SCALE)
    virtual = play(case_script, seed)
    print(f"seed {seed}, {case}: real {real.counts}, virtual {virtual.counts}")
    assert not failures
    assert real.rules_kept and virtual.rules_kept, (real.breaches[:3], virtual.breaches[:3])
    assert real.counts["requests"] == virtual.counts["requests"], "both engines generate the same arrivals"
    for real_share, virtual_share in zip(outcome_shares(real), outcome_shares(virtual), strict=True):
        assert abs(real_share - virtual_share) <= MAX_SHARE_DIFFERENCE, (real.counts, virtual.counts)
    assert 0.5 < real.percentiles["p50"] / virtual.percentiles["p50"] < 2.5
    assert real.meter["attempts"] == pytest.approx(virtual.meter["attempts"], rel=0.2)


def test_a_script_too_large_for_loopback_is_rejected() -> None:
    large = rehearsal(6, 3, 0.4, 5.0)
    cases: list[tuple[dict[str, Any], str]] = [
        ({"proxies": ProxyConfig(count=99)}, "99 proxies"),
        ({"seconds": 9000.0}, "requests: at most"),
    ]
    for changes, message in cases:
        with pytest.raises(UnplayableScriptError, match=message):
            play_over_sockets(msgspec.structs.replace(large, **changes), 1)


def test_bursts_do_not_exceed_the_request_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(runtime, "MAX_REQUESTS", 120)
    burst = rehearsal(4, 2, 0.1, 4.0, faults=(Fault(fault_kind="burst", at_s=0.1, for_s=3.5, size=6.0),))
    result, failures = play_over_sockets(burst, 6)
    assert failures == ["stopped sending at 120 requests"] and result.counts["requests"] <= 130
    assert result.rules_kept and result.counts["lost"] == 0
