"""`heronreel store verify|stat|dump|compact|repair PATH`: inspect and repair a store's folder."""

from __future__ import annotations

import base64
import dataclasses
import json
import sys
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Any

import click

Progress = Callable[[int, int], None]

EXIT_RECORDS_LOST = 1
EXIT_STORE_UNUSABLE = 2


@click.group("store")
def store_group() -> None:
    """Inspect a store's folder, compact it, or salvage a damaged one.

    Exit codes: 0 success, 1 records are lost, 2 the store can't be used (in use, a newer format, or
    missing).
    """


@contextmanager
def _exit_on_error(as_json: bool) -> Iterator[None]:
    """Print an error of the store as text or JSON, and exit with its code."""
    from heronreel.store import CorruptionError, StoreError

    try:
        yield
    except CorruptionError as corruption:
        if as_json:
            lost = [dataclasses.asdict(loss) for loss in corruption.lost]
            click.echo(json.dumps({"error": corruption.code, "lost": lost}))
        else:
            _print_lost(corruption.lost)
            click.echo("damaged: `heronreel store repair` salvages into a new folder", err=True)
        sys.exit(EXIT_RECORDS_LOST)
    except (StoreError, OSError) as error:
        if as_json:
            code = error.code if isinstance(error, StoreError) else type(error).__name__
            click.echo(json.dumps({"error": code, "what": str(error)}))
        else:
            click.echo(f"heronreel store: {error}", err=True)
        sys.exit(EXIT_STORE_UNUSABLE)


def _print_lost(lost: Iterable[object]) -> None:
    for loss in lost:
        click.echo(f"lost: {loss}", err=True)


def _print_findings(*findings: tuple[str, Iterable[object]]) -> None:
    for label, details in findings:
        for detail in details:
            click.echo(f"{label}: {detail}")


@contextmanager
def _progress_bar(label: str) -> Iterator[Progress]:
    """Show a progress bar on standard error if that is a terminal, else nothing."""
    if not sys.stderr.isatty():
        yield lambda done, total: None
        return
    from rich.console import Console
    from rich.progress import BarColumn, DownloadColumn, TextColumn, TimeRemainingColumn
    from rich.progress import Progress as Bar

    columns = (TextColumn(label), BarColumn(), DownloadColumn(), TimeRemainingColumn())
    with Bar(*columns, console=Console(stderr=True), transient=True) as bar:
        task = bar.add_task(label)
        yield lambda done, total: bar.update(task, completed=done, total=total)


def _json_option(command: Callable[..., None]) -> Callable[..., None]:
    return click.option("--json", "as_json", is_flag=True, help="Print JSON to standard output.")(command)


@store_group.command("verify")
@click.argument("path")
@_json_option
def verify_command(path: str, as_json: bool) -> None:
    """Read and check every byte of a store that no process writes to. Changes nothing."""
    from heronreel.store.verify import verify

    with _exit_on_error(as_json), _progress_bar("verify") as progress:
        report = verify(path, progress)
    if as_json:
        click.echo(json.dumps({"sound": report.sound, **dataclasses.asdict(report)}, indent=2))
    else:
        _print_findings(("lost", report.lost), ("dropped", report.dropped), ("note", report.notes))
        state = "sound" if report.sound else "damaged"
        click.echo(f"{state}: {report.files} files, {report.bytes} bytes, {report.records} records")
    sys.exit(0 if report.sound else EXIT_RECORDS_LOST)


@store_group.command("stat")
@click.argument("path")
@_json_option
def stat_command(path: str, as_json: bool) -> None:
    """Print sizes and counts. May run while another process writes to the store."""
    from heronreel.store import Store

    with _exit_on_error(as_json), Store.open(path, read_only=True) as store:
        # without the counters, which only cover the time since this process opened the store
        stat = {name: value for name, value in store.stat().items() if name != "since_opening"}
    if as_json:
        click.echo(json.dumps(stat, indent=2))
    else:
        for name, value in stat.items():
            _print_stat(name, value)
    sys.exit(EXIT_RECORDS_LOST if stat["lost"] else 0)


def _print_stat(name: str, value: Any) -> None:
    if name == "runs":
        for run in value:
            click.echo("run            " + ", ".join(f"{key} {count}" for key, count in run.items()))
    elif isinstance(value, list):
        for line in value:
            click.echo(f"{name:14} {line}")
    elif value is not None:
        click.echo(f"{name:14} {value}")


def _as_json_text(name: str, data: bytes) -> dict[str, str]:
    try:
        return {name: data.decode()}
    except UnicodeDecodeError:
        return {f"{name}_base64": base64.b64encode(data).decode()}


def _dump_line(key: bytes, value: bytes, *, keys_only: bool, as_json: bool) -> str:
    if as_json:
        fields = _as_json_text("key", key)
        return json.dumps(fields if keys_only else {**fields, **_as_json_text("value", value)})
    key_text = repr(key)[1:]
    return key_text if keys_only else f"{key_text}\t{repr(value)[1:]}"


@store_group.command("dump")
@click.argument("path")
@click.option("--prefix", default="", help="Print only keys with this prefix.")
@click.option("--keys", is_flag=True, help="Print keys without values.")
@_json_option
def dump_command(path: str, prefix: str, keys: bool, as_json: bool) -> None:
    """Print keys and values in the order of the keys, one record per line.

    May run while another process writes to the store. With --json each line is one object; data that is not
    UTF-8 is encoded in base64, as key_base64 and value_base64.
    """
    from heronreel.store import Store

    with _exit_on_error(as_json), Store.open(path, read_only=True) as store:
        for key, value in store.scan(prefix.encode()):
            click.echo(_dump_line(key, value, keys_only=keys, as_json=as_json))
        lost = store.lost
    _print_lost(lost)
    sys.exit(EXIT_RECORDS_LOST if lost else 0)


@store_group.command("compact")
@click.argument("path")
@_json_option
def compact_command(path: str, as_json: bool) -> None:
    """Rewrite the store without outdated records. Temporarily needs space for a second copy."""
    from heronreel.store import Store
    from heronreel.store.repair import existing_store

    with (
        _exit_on_error(as_json),
        Store.open(existing_store(path)) as store,
        _progress_bar("compact") as progress,
    ):
        before = store.stat()["run_bytes"]
        store.compact(progress)
        after = store.stat()["run_bytes"]
    if as_json:
        click.echo(json.dumps({"before_bytes": before, "after_bytes": after}))
    else:
        click.echo(f"{before} bytes before, {after} after")


@store_group.command("repair")
@click.argument("path")
@click.argument("target")
@_json_option
def repair_command(path: str, target: str, as_json: bool) -> None:
    """Copy all readable records of PATH into a new store in TARGET; PATH is not changed.

    Exit 1 if anything was lost: the losses, and the keys that may have an older value, are listed.
    """
    from heronreel.store.repair import existing_store, repair

    with _exit_on_error(as_json), _progress_bar("repair") as progress:
        report = repair(existing_store(path), target, progress)
    if as_json:
        click.echo(json.dumps(dataclasses.asdict(report), indent=2))
    else:
        _print_findings(("lost", report.lost), ("in doubt", report.doubts), ("dropped", report.dropped))
        click.echo(f"saved: {report.records} records, {report.bytes} bytes of values")
    sys.exit(EXIT_RECORDS_LOST if report.lost else 0)
