"""Tests of the commands `heronreel store ...`."""

from __future__ import annotations

import json
from pathlib import Path

from click.testing import CliRunner, Result

from heronreel.cli.__main__ import main
from heronreel.store import Store, StoreError
from tests.store.durability import SMALL_LIMITS


def run_command(*arguments: str) -> Result:
    return CliRunner().invoke(main, ["store", *arguments])


def test_commands_on_a_sound_and_a_damaged_store(tmp_path: Path) -> None:
    path, target = str(tmp_path / "store"), str(tmp_path / "saved")
    with Store.open(path, limits=SMALL_LIMITS) as store:
        for number in range(600):
            store.put(b"k%03d" % number, b"value %d" % number)
        store.put(b"k000", b"\xff")
        stat = json.loads(run_command("stat", "--json", path).output)  # While a writer has the store open.
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
        result = run_command(command, str(tmp_path / "none"))
        assert result.exit_code == 2 and "none" in result.output and not (tmp_path / "none").exists()


def test_error_codes_of_json(tmp_path: Path) -> None:
    """The error codes that --json prints are stable, because programs match on them."""

    def code(*arguments: str) -> object:
        return json.loads(run_command(*arguments).output)["error"]

    path, missing, other = str(tmp_path / "store"), str(tmp_path / "none"), tmp_path / "other"
    with Store.open(path) as store:
        store.put(b"key", b"value")
        assert code("compact", "--json", path) == "StoreLocked"
    other.mkdir()
    (other / "letter.txt").write_bytes(b"dear all")
    assert code("stat", "--json", str(other)) == "UnknownFormat"
    assert code("verify", "--json", missing) == "FileNotFoundError"
    assert code("repair", "--json", path, str(other)) == "InvalidArgument"
    (tmp_path / "store" / "MANIFEST").write_bytes(b"torn")
    corrupt = json.loads(run_command("stat", "--json", path).output)
    assert corrupt["error"] == "Damaged"
    assert set(corrupt["lost"][0]) == {"file", "offset", "length", "records", "why"}


def test_error_codes_are_stable() -> None:
    codes = {error.__name__: error.code for error in StoreError.__subclasses__()}
    assert codes == {
        "InvalidArgumentError": "InvalidArgument",
        "MalformedOperationsError": "MalformedOperations",
        "UnknownFormatError": "UnknownFormat",
        "StoreLockedError": "StoreLocked",
        "StoreClosedError": "StoreClosed",
        "ReadOnlyError": "ReadOnly",
        "WriteFailedError": "WriteFailed",
        "CorruptionError": "Damaged",
    }
