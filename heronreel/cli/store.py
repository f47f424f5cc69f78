"""`heronreel store verify|stat|dump|compact|repair PATH`."""

from __future__ import annotations

import base64
import dataclasses
import json
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import click

Progress = Callable[[int, int], None]


@click.group("store")
def store_group() -> None:
    """Look into a store's folder, tidy it, or salvage a damaged one.

    Exit codes: 0 all is well, 1 records are lost, 2 the store can't be used (in use, a newer format, none
    there).
    """


@contextmanager
def _told(as_json: bool) -> Iterator[None]:
    """Errors of the store as one line, or as JSON, with the right exit code."""
    from heronreel.store import CorruptionError, StoreError

    try:
        yield
    except CorruptionError as damaged:
        if as_json:
            lost = [dataclasses.asdict(each) for each in damaged.lost]
            click.echo(json.dumps({"error": damaged.code, "lost": lost}))
        else:
            for each in damaged.lost:
                click.echo(f"lost: {each}", err=True)
            click.echo("damaged: `heronreel store repair` salvages into a new folder", err=True)
        sys.exit(1)
    except (StoreError, OSError) as error:
        if as_json:
            code = error.code if isinstance(error, StoreError) else type(error).__name__
            click.echo(json.dumps({"error": code, "what": str(error)}))
        else:
            click.echo(f"heronreel store: {error}", err=True)
        sys.exit(2)


@contextmanager
def _progress(words: str) -> Iterator[Progress]:
    """A bar on a terminal's standard error, and nothing elsewhere."""
    if not sys.stderr.isatty():
        yield lambda done, whole: None
        return
    from rich.console import Console
    from rich.progress import BarColumn, DownloadColumn, TextColumn, TimeRemainingColumn
    from rich.progress import Progress as Bar

    columns = (TextColumn(words), BarColumn(), DownloadColumn(), TimeRemainingColumn())
    with Bar(*columns, console=Console(stderr=True), transient=True) as bar:
        task = bar.add_task(words)
        yield lambda done, whole: bar.update(task, completed=done, total=whole)


def _json_option(command: Callable[..., None]) -> Callable[..., None]:
    return click.option("--json", "as_json", is_flag=True, help="JSON on standard output.")(command)


@store_group.command("verify")
@click.argument("path")
@_json_option
def verify_command(path: str, as_json: bool) -> None:
    """Read every byte and check it; for a store that nobody writes to. Changes nothing."""
    from heronreel.store.verify import verify

    with _told(as_json), _progress("verify") as progress:
        found = verify(path, progress)
    if as_json:
        click.echo(json.dumps({"sound": found.sound, **dataclasses.asdict(found)}, indent=2))
    else:
        for words, things in (("lost", found.lost), ("dropped", found.dropped), ("note", found.notes)):
            for thing in things:
                click.echo(f"{words}: {thing}")
        state = "sound" if found.sound else "damaged"
        click.echo(f"{state}: {found.files} files, {found.bytes} bytes, {found.records} records")
    sys.exit(0 if found.sound else 1)


@store_group.command("stat")
@click.argument("path")
@_json_option
def stat_command(path: str, as_json: bool) -> None:
    """Sizes and counts. Works beside a live writer."""
    from heronreel.store import Store

    with _told(as_json), Store.open(path, read_only=True) as store:
        told = store.stat()
    del told["since_opening"]  # of this reading
    if as_json:
        click.echo(json.dumps(told, indent=2))
    else:
        for name, value in told.items():
            if name == "runs":
                for run in value:
                    click.echo("run            " + ", ".join(f"{k} {v}" for k, v in run.items()))
            elif isinstance(value, list):
                for line in value:
                    click.echo(f"{name:14} {line}")
            elif value is not None:
                click.echo(f"{name:14} {value}")
    sys.exit(1 if told["lost"] else 0)


def _text(name: str, data: bytes) -> dict[str, str]:
    try:
        return {name: data.decode()}
    except UnicodeDecodeError:
        return {f"{name}_base64": base64.b64encode(data).decode()}


@store_group.command("dump")
@click.argument("path")
@click.option("--prefix", default="", help="Only keys that begin so.")
@click.option("--keys", is_flag=True, help="Keys without values.")
@_json_option
def dump_command(path: str, prefix: str, keys: bool, as_json: bool) -> None:
    """Keys and values in the order of keys, one a line. Works beside a live writer.

    With --json one object a line; what is no UTF-8 stands there in base64, as key_base64 and value_base64.
    """
    from heronreel.store import Store

    lost: list[Any] = []
    with _told(as_json), Store.open(path, read_only=True) as store:
        for key, value in store.scan(prefix.encode()):
            if as_json:
                click.echo(json.dumps({**_text("key", key), **({} if keys else _text("value", value))}))
            else:
                click.echo(repr(key)[1:] if keys else f"{repr(key)[1:]}\t{repr(value)[1:]}")
        lost = [*store.lost]
    for each in lost:
        click.echo(f"lost: {each}", err=True)
    sys.exit(1 if lost else 0)


@store_group.command("compact")
@click.argument("path")
@_json_option
def compact_command(path: str, as_json: bool) -> None:
    """Rewrite the store without what is out of date. Needs the room of a second one meanwhile."""
    from heronreel.store import Store
    from heronreel.store.verify import folder_of

    with _told(as_json), Store.open(folder_of(path)) as store, _progress("compact") as progress:
        before = store.stat()["run_bytes"]
        store.compact(progress)
        after = store.stat()["run_bytes"]
    told = {"before_bytes": before, "after_bytes": after}
    click.echo(json.dumps(told) if as_json else f"{before} bytes before, {after} after")


@store_group.command("repair")
@click.argument("path")
@click.argument("target")
@_json_option
def repair_command(path: str, target: str, as_json: bool) -> None:
    """Salvage what can be read of PATH into a new store in TARGET; PATH is left as it is.

    Exit 1 if anything was lost: what, and which keys may show an older value, is listed.
    """
    from heronreel.store.verify import folder_of, repair

    with _told(as_json), _progress("repair") as progress:
        found = repair(folder_of(path), target, progress)
    if as_json:
        click.echo(json.dumps(dataclasses.asdict(found), indent=2))
    else:
        for words, things in (("lost", found.lost), ("in doubt", found.doubts), ("dropped", found.dropped)):
            for thing in things:
                click.echo(f"{words}: {thing}")
        click.echo(f"saved: {found.records} records, {found.bytes} bytes of values")
    sys.exit(1 if found.lost else 0)
