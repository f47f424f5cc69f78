"""The commands `heronreel store ...`."""

from __future__ import annotations

import json
from pathlib import Path

from click.testing import CliRunner, Result

from heronreel.cli.__main__ import main
from heronreel.store import (
    Store,
)
from tests.store.durability import (
    SMALL_LIMITS,
)


def run_command(*arguments: str) -> Result:
    return CliRunner().invoke(main, ["store", *arguments])


def test_commands(tmp_path: Path) -> None:
    path, target = str(tmp_path / "store"), str(tmp_path / "saved")
    with Store.open(path, limits=SMALL_LIMITS) as store:
        for number in range(600):
            store.put(b"k%03d" % number, b"value %d" % number)
        store.put(b"k000", b"\xff")
        stat = json.loads(run_command("stat", "--json", path).output)  # beside the writer
        assert stat["next_sequence"] == 602 and stat["runs"]
        assert run_command("compact", path).exit_code == 2
    assert "sound: " in run_command("verify", path).output
    lines = run_command("dump", "--json", "--prefix", "k00", path).output.splitlines()
    assert json.loads(lines[0]) == {"key": "k000", "value_base64": "/w=="} and len(lines) == 10
    assert run_command("dump", path).output.splitlines()[1] == "'k001'\t'value 1'"
    assert json.loads(run_command("compact", "--json", path).output)["after_bytes"] > 0
    assert "run  " in run_command("stat", path).output
    table = min(Path(path).glob("*.table"))
    data = bytearray(table.read_bytes())
    data[150] ^= 1
    table.write_bytes(data)
    found = run_command("verify", "--json", path)
    assert found.exit_code == 1 and json.loads(found.output)["lost"][0]["file"] == table.name
    assert run_command("dump", path).exit_code == 1
    saved = run_command("repair", "--json", path, target)
    assert saved.exit_code == 1 and 300 < json.loads(saved.output)["records"] < 600
    assert run_command("verify", target).exit_code == 0
    assert run_command("repair", path, target).exit_code == 2
    for command in ("verify", "stat", "compact", "dump"):
        gone = run_command(command, str(tmp_path / "none"))
        assert gone.exit_code == 2 and "none" in gone.output and not (tmp_path / "none").exists()
