"""The adapter through its real standard input and output, started as deploy/balancer.toml says."""

import os
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
CONF = (
    "Balancers=2 Categories.count=1 Categories.0.Name=work Categories.0.Effect=idempotent"
    " Categories.0.OnTimeMs=500.0 Categories.0.HardLimitMs=2000.0 Limits.MostTries=3 Discovery=push"
    " FailureDomains=a,b Zone=a Some.New.Key=1"
)


def born(who: int) -> str:
    return f"born Who={who} Nonce64={77 + who} {CONF}\n" + announce(who)


def announce(who: int, count: int = 6) -> str:
    entries = "".join(f"entry Backend={n} Hall=a Readiness=in_service Group=0 New=x\n" for n in range(count))
    return f"announce Who={who} Gen=1 Kind=C Elements={count}\n{entries}"


def batch(now: float, *parts: str) -> str:
    return f"begin_batch NowMs={now}\n{''.join(parts)}over_to_you\n"


def submit(who: int, call: int) -> str:
    return f"submit Who={who} Call={call} Lane=work TimeLeftMs=1500.0 HintMs={10.0 + call % 7}\n"


def talk(text: str, command: str | None = None, **env: str) -> subprocess.CompletedProcess[str]:
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


def script(instances: list[int]) -> str:
    parts = [batch(100.0, *[born(who) for who in instances])]
    for n in range(30):
        parts.append(batch(200.0 + 7 * n, *[submit(who, n) for who in instances]))
    parts.append(batch(500.0, *[f"ring Who={who} KeyBack=0\n" for who in instances]))
    return "".join(parts)


def lines_of(who: int, output: str) -> list[str]:
    return [line for line in output.splitlines() if f" Who={who} " in line]


@pytest.mark.skipif(not (ROOT / ".venv").exists(), reason="the build line of the deploy file has not run")
def test_the_deploy_command_starts_and_answers() -> None:
    done = talk(batch(1.0) + batch(2.0, born(3)) + batch(3.0, submit(3, 1)), DEPLOY["sim"])
    assert done.returncode == 0, done.stderr
    replies = done.stdout.splitlines()
    assert replies[0] == "ok"
    assert replies[1].startswith("timer Who=3 ")
    assert replies[3].startswith("deliver Who=3 Call=1 Backend=")
    assert DEPLOY["policy"][0] == "heronreel/balancer/choice.py"


def test_same_actions_whatever_hash_seed_process_split_or_order() -> None:
    together = talk(script([1, 2, 3]), PYTHONHASHSEED="1")
    assert together.returncode == 0, together.stderr
    assert talk(script([1, 2, 3]), PYTHONHASHSEED="99").stdout == together.stdout
    turned = talk(script([3, 1, 2]))
    for who in (1, 2, 3):
        alone = talk(script([who]))
        assert lines_of(who, together.stdout) == lines_of(who, alone.stdout) == lines_of(who, turned.stdout)
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
        (batch(1.0, f"born Who=1 Nonce64=1 {CONF} Limits.MostTries=0\n"), ["line 2", "max_attempts"]),
        (batch(1.0, f"born Who=1 Nonce64=1 {CONF} Categories.0.Effect=odd\n"), ["Categories.0.Effect"]),
        (batch(1.0, born(1), "report_back Who=1 Call=1 Leg=0 Backend=1 Verdict=fine\n"), ["Verdict"]),
    ],
)  # fmt: skip
def test_malformed_input_gets_one_plain_line_and_a_non_zero_exit(text: str, names: list[str]) -> None:
    done = talk(text)
    assert done.returncode != 0
    (line,) = done.stderr.splitlines()
    assert all(name in line for name in names), line


def test_end_of_input_is_a_clean_exit() -> None:
    done = talk("")
    assert (done.returncode, done.stdout, done.stderr) == (0, "", "")


def test_an_exception_in_the_decision_code_becomes_give_in() -> None:
    # an outcome for an attempt that was never made is the host's own bug
    done = talk(batch(1.0, born(4), "report_back Who=4 Call=9 Leg=0 Backend=1 Verdict=served LagMs=3\n"))
    assert "give_in Who=4 Words=" in done.stdout


def test_a_killed_instance_is_removed_and_may_be_born_again() -> None:
    text = batch(1.0, born(1)) + batch(2.0, submit(1, 5)) + batch(3.0, "kill Who=1\n", born(1))
    done = talk(text + batch(4.0, submit(1, 6)))
    assert done.returncode == 0, done.stderr
    assert "Call=6" in done.stdout
