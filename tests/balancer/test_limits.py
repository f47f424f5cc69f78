"""The module's limits, the settings' checks and the README's example."""

import re
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import cast

import pytest

from heronreel.balancer.interface import Effect, RequestClass, Settings, Tenant

ROOT = Path(__file__).parents[2]
LINES = (ROOT / "heronreel/balancer/choice.py").read_text().splitlines()
POLICY = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
WORK = RequestClass("work")


def test_the_decision_module_keeps_its_size() -> None:
    assert len([line for line in LINES if line.strip()]) <= 600  # with a reload, overloads and routes
    texts = [(ROOT / name).read_text().splitlines() for name in POLICY]
    assert sum(bool(line.strip()) for lines in texts for line in lines) <= 1200
    assert max(len(line) for line in LINES) <= 110
    assert "heronreel/balancer/interface.py" in LINES[0]


@pytest.mark.parametrize(
    ("names", "build"),
    [
        ("deadline_ms", lambda: RequestClass("x", deadline_ms=-1.0)),
        ("late_worth", lambda: RequestClass("x", late_worth=1.5)),
        ("effect", lambda: RequestClass("x", effect=cast(Effect, "odd"))),
        ("share", lambda: Tenant("x", share=2.0)),
        ("quota_per_s", lambda: Tenant("x", quota_per_s=-1.0)),
        ("classes", lambda: Settings(())),
        ("max_attempts", lambda: Settings((WORK,), max_attempts=0)),
        ("proxies", lambda: Settings((WORK,), proxies=0)),
        ("fall_ms", lambda: Settings((WORK,), fall_ms=-1.0)),
        ("cold_from", lambda: Settings((WORK,), cold_from=-0.1)),
        ("cold_ms", lambda: Settings((WORK,), cold_ms=float("nan"))),
    ],
)
def test_impossible_settings_name_the_field(names: str, build: Callable[[], object]) -> None:
    with pytest.raises(ValueError, match=f"^{names}:"):
        build()


def test_an_unsafe_class_is_the_default() -> None:
    assert WORK.effect is Effect.UNSAFE


def test_the_readme_example_runs() -> None:
    (code,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.DOTALL)
    assert "Refuse" in code and "StartAttempt" in code
    exec(compile(code, "README.md", "exec"), {})
