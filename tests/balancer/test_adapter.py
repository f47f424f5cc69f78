"""Tests the adapter over its standard input and output, started by the command in deploy/balancer.toml."""

import os
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
SETTINGS = (
    "Balancers=2 Categories.count=1 Categories.0.Name=work Categories.0.Effect=idempotent"
    " Categories.0.OnTimeMs=500.0 Categories.0.HardLimitMs=2000.0 Limits.MostTries=3 Discovery=push"
    " FailureDomains=a,b Zone=a Some.New.Key=1"
)


def born(who: int) -> str:
    return f"born Who={who} Nonce64={77 + who} {SETTINGS}\n" + announce(who)


def announce(who: int, count: int = 6) -> str:
    entries = "".join(f"entry Backend={n} Hall=a Readiness=in_service Group=0 New=x\n" for n in range(count))
    return f"announce Who={who} Gen=1 Kind=C Elements={count}\n{entries}"


def batch(now: float, *parts: str) -> str:
    return f"begin_batch NowMs={now}\n{''.join(parts)}over_to_you\n"


def submit(who: int, call: int) -> str:
    return f"submit Who={who} Call={call} Lane=work TimeLeftMs=1500.0 HintMs={10.0 + call % 7}\n"


def run_adapter(text: str, command: str | None = None, **env: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        ["/bin/sh", "-c", command or f"exec {sys.executable} -m heronreel.balancer.adapter"],
        input=text,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, **env},
        timeout=60,
        check=False,
    )


def batches_for(instances: list[int]) -> str:
    parts = [batch(100.0, *[born(who) for who in instances])]
    for n in range(30):
        parts.append(batch(200.0 + 7 * n, *[submit(who, n) for who in instances]))
    parts.append(batch(500.0, *[f"ring Who={who} KeyBack=0\n" for who in instances]))
    return "".join(parts)


def lines_for(who: int, output: str) -> list[str]:
    return [line for line in output.splitlines() if f" Who={who} " in line]


@pytest.mark.skipif(
    not (ROOT / ".venv").exists(), reason="the build command of deploy/balancer.toml has not been run"
)
def test_the_deploy_command_starts_and_responds() -> None:
    result = run_adapter(batch(1.0) + batch(2.0, born(3)) + batch(3.0, submit(3, 1)), DEPLOY["sim"])
    assert result.returncode == 0, result.stderr
    replies = result.stdout.splitlines()
    assert replies[0] == "ok"
    assert replies[1].startswith("timer Who=3 ")
    assert replies[3].startswith("deliver Who=3 Call=1 Backend=")
    assert DEPLOY["policy"][0] == "heronreel/balancer/choice.py"


def test_actions_do_not_depend_on_hash_seed_process_or_order_of_instances() -> None:
    together = run_adapter(batches_for([1, 2, 3]), PYTHONHASHSEED="1")
    assert together.returncode == 0, together.stderr
    assert run_adapter(batches_for([1, 2, 3]), PYTHONHASHSEED="99").stdout == together.stdout
    reordered = run_adapter(batches_for([3, 1, 2]))
    for who in (1, 2, 3):
        alone = run_adapter(batches_for([who]))
        assert (
            lines_for(who, together.stdout)
            == lines_for(who, alone.stdout)
            == lines_for(who, reordered.stdout)
        )
    assert "deliver Who=2" in together.stdout


@pytest.mark.parametrize(
    ("text", "names"),
    [
        ("hello\n", ["line 1", "begin_batch"]),
        ("begin_batch\n", ["line 1", "NowMs"]),
        ("begin_batch NowMs=soon\n", ["line 1", "NowMs"]),
        ("begin_batch NowMs=1.0\n", ["ended inside"]),
        (batch(1.0, "submit Who=1 Call=1 Lane=x TimeLeftMs=5\n"), ["line 2", "Who"]),
        (batch(1.0, born(1), "jump Who=1\n"), ["line 10", "jump"]),
        (batch(1.0, born(1), "submit Who=1 Call=x Lane=w TimeLeftMs=5\n"), ["line 10", "Call"]),
        (batch(1.0, born(1), "submit Who=1 Call=1 Lane=w\n"), ["line 10", "TimeLeftMs"]),
        (batch(1.0, born(1), "submit Who=1 Call=1 Lane=w TimeLeftMs=nan\n"), ["line 10", "TimeLeftMs"]),
        (batch(1.0, born(1), "announce Who=1 Gen=2 Kind=Q Elements=0\n"), ["line 10", "Kind"]),
        (batch(1.0, born(1), "announce Who=1 Gen=2 Kind=F Elements=1\n"), ["Elements"]),
        (batch(1.0, f"born Who=1 Nonce64=1 {SETTINGS} Limits.MostTries=0\n"), ["line 2", "max_attempts"]),
        (batch(1.0, f"born Who=1 Nonce64=1 {SETTINGS} Categories.0.Effect=odd\n"), ["Categories.0.Effect"]),
        (batch(1.0, born(1), "report_back Who=1 Call=1 Leg=0 Backend=1 Verdict=fine\n"), ["Verdict"]),
    ],
)  # fmt: skip
def test_malformed_input_prints_one_line_and_exits_with_an_error(text: str, names: list[str]) -> None:
    result = run_adapter(text)
    assert result.returncode != 0
    (line,) = result.stderr.splitlines()
    assert all(name in line for name in names), line


def test_end_of_input_exits_without_an_error() -> None:
    result = run_adapter("")
    assert (result.returncode, result.stdout, result.stderr) == (0, "", "")


def test_an_exception_in_the_decision_code_is_reported_as_give_in() -> None:
    # The outcome of an attempt that was never started is a fault of the host and raises an exception.
    result = run_adapter(
        batch(1.0, born(4), "report_back Who=4 Call=9 Leg=0 Backend=1 Verdict=served LagMs=3\n")
    )
    assert "give_in Who=4 Words=" in result.stdout


def test_a_killed_instance_is_removed_and_its_number_can_be_used_again() -> None:
    text = batch(1.0, born(1)) + batch(2.0, submit(1, 5)) + batch(3.0, "kill Who=1\n", born(1))
    result = run_adapter(text + batch(4.0, submit(1, 6)))
    assert result.returncode == 0, result.stderr
    assert "Call=6" in result.stdout
