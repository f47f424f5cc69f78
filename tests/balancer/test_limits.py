"""Tests the size limits of the decision modules, the validation of settings and the example in README.md."""

import re
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import cast

import pytest

from heronreel.balancer.interface import Effect, RequestClass, Settings, Tenant

ROOT = Path(__file__).parents[2]
PACKAGE_FOLDER = ROOT / "heronreel/balancer"
DECISION_MODULES = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
OTHER_MODULES = {"__init__.py", "adapter.py", "errors.py", "interface.py", "wire.py"}
# The limits keep each module small; their total size has no limit.
MAX_FILE_LINES = 250
MAX_COLUMNS = 110
WORK_CLASS = RequestClass("work")


def test_each_decision_module_is_within_the_size_limits() -> None:
    files = {name: (ROOT / name).read_text().splitlines() for name in DECISION_MODULES}
    sizes = {name: sum(bool(line.strip()) for line in lines) for name, lines in files.items()}
    assert max(sizes.values()) <= MAX_FILE_LINES, sizes
    assert max(len(line) for lines in files.values() for line in lines) <= MAX_COLUMNS
    assert "heronreel/balancer/interface.py" in files["heronreel/balancer/choice.py"][0]


def test_the_deploy_file_lists_every_decision_module() -> None:
    decision_files = {path.name for path in PACKAGE_FOLDER.glob("*.py")} - OTHER_MODULES
    assert set(DECISION_MODULES) == {f"heronreel/balancer/{name}" for name in decision_files}
    assert len(DECISION_MODULES) == len(decision_files)


@pytest.mark.parametrize(
    ("field_name", "build"),
    [
        ("deadline_ms", lambda: RequestClass("x", deadline_ms=-1.0)),
        ("late_weight", lambda: RequestClass("x", late_weight=1.5)),
        ("effect", lambda: RequestClass("x", effect=cast(Effect, "odd"))),
        ("share", lambda: Tenant("x", share=2.0)),
        ("quota_per_s", lambda: Tenant("x", quota_per_s=-1.0)),
        ("classes", lambda: Settings(())),
        ("max_attempts", lambda: Settings((WORK_CLASS,), max_attempts=0)),
        ("proxies", lambda: Settings((WORK_CLASS,), proxies=0)),
        ("overload_window_ms", lambda: Settings((WORK_CLASS,), overload_window_ms=-1.0)),
        ("slow_start_from", lambda: Settings((WORK_CLASS,), slow_start_from=-0.1)),
        ("slow_start_ms", lambda: Settings((WORK_CLASS,), slow_start_ms=float("nan"))),
    ],
)
def test_the_error_for_an_invalid_setting_names_the_field(
    field_name: str, build: Callable[[], object]
) -> None:
    with pytest.raises(ValueError, match=f"^{field_name}:"):
        build()


def test_an_unsafe_class_is_the_default() -> None:
    assert WORK_CLASS.effect is Effect.UNSAFE


def test_the_readme_example_runs() -> None:
    (code,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.DOTALL)
    assert "Reject" in code and "StartAttempt" in code
    exec(compile(code, "README.md", "exec"), {})
