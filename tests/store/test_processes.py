"""Tests with several processes: the lock, readers during writes, and killed writers."""

from __future__ import annotations

import os
import random
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from heronreel.store import Store, StoreClosedError, StoreLockedError
from heronreel.store.fault_injecting_disk import FaultInjectingDisk
from tests.store.durability import content

ROOT = Path(__file__).parents[2]


def test_one_writer_many_readers_and_a_killed_lock_holder(tmp_path: Path) -> None:
    child_code = (
        "import sys, time; from heronreel.store import Store; s = Store.open(sys.argv[1]);"
        "s.put(b'by', b'child'); print('locked', flush=True); time.sleep(60)"
    )
    child = subprocess.Popen(
        [sys.executable, "-c", child_code, str(tmp_path)], stdout=subprocess.PIPE, cwd=ROOT
    )
    assert child.stdout and child.stdout.readline() == b"locked\n"
    try:
        with pytest.raises(StoreLockedError):
            Store.open(tmp_path)
        readers = [Store.open(tmp_path, read_only=True) for _ in range(3)]
        assert all(reader.get(b"by") == b"child" for reader in readers)
    finally:
        child.kill()
        child.wait()
        child.stdout.close()
    with Store.open(tmp_path) as store:
        assert store.get(b"by") == b"child"
        with pytest.raises(StoreLockedError):  # The lock also excludes a second writer in the same process.
            Store.open(tmp_path)
        forked_pid = os.fork()
        if not forked_pid:
            try:
                store.put(b"from", b"fork")
            except StoreClosedError:
                os._exit(7)
            os._exit(0)
        assert os.waitstatus_to_exitcode(os.waitpid(forked_pid, 0)[1]) == 7
        store.put(b"still", b"ours")


def test_a_reader_of_an_open_store_sees_only_durable_writes() -> None:
    disk = FaultInjectingDisk()
    store = Store.open(disk)
    store.put(b"a", b"1")
    seen: list[dict[bytes, bytes]] = []

    def watch(moment: str, operation: str, name: str) -> None:
        if operation == "sync":
            seen.append(content(Store.open(disk, read_only=True)))

    disk.watch = watch
    store.put(b"b", b"2")
    # Before, during and right after the fsync, because the durable position is published later.
    assert seen == [{b"a": b"1"}] * 3
    assert content(Store.open(disk, read_only=True)) == {b"a": b"1", b"b": b"2"}


KILLED_WRITER = """
import os, sys
from heronreel.store import Limits, Store
limits = Limits(memtable_bytes=6000, segment_bytes=3000, log_bytes=9000, table_bytes=4000, step_bytes=512)
store = Store.open(sys.argv[1], limits=limits)
number = int(store.get(b"last") or b"0")
while True:
    number += 1
    with store.batch() as batch:
        batch.put(b"last", b"%d" % number)
        batch.put(b"key%d" % (number % 50), b"%d" % number * (1 + number % 9))
        if number % 7 == 0:
            batch.delete(b"key%d" % ((number + 25) % 50))
    os.write(1, b"%d\\n" % number)
    if number % 40 == 0:
        store.compact()
"""


def test_a_killed_writer_loses_no_acknowledged_write(tmp_path: Path) -> None:
    """Writers are killed 200 times at random moments; every write they reported as done must exist."""
    rng = random.Random(11)
    acknowledged = kills = 0
    store_count = 4
    stores = [tmp_path / str(index) for index in range(store_count)]
    reported = [0] * store_count
    while kills < 200:
        children = [
            subprocess.Popen(
                [sys.executable, "-c", KILLED_WRITER, str(store)], stdout=subprocess.PIPE, cwd=ROOT, bufsize=0
            )
            for store in stores
        ]
        for index, child in enumerate(children):
            assert child.stdout
            assert child.stdout.readline().strip(), "the child could not open its store"
            time.sleep(rng.random() * 0.02)  # Any random moment will do.
            child.send_signal(signal.SIGKILL)
            rest = child.stdout.read().split(b"\n")[:-1]
            child.wait()
            child.stdout.close()
            reported[index] = (
                max(reported[index], *(int(line) for line in rest), 0) if rest else reported[index]
            )
            kills += 1
            with Store.open(stores[index], read_only=True) as store:
                assert not store.lost
                last = int(store.get(b"last") or b"0")
                assert last in (reported[index], reported[index] + 1) or (
                    not rest and last > reported[index]
                ), f"kill {kills}"
                expected: dict[bytes, bytes] = {b"last": b"%d" % last}
                for number in range(max(1, last - 400), last + 1):
                    expected[b"key%d" % (number % 50)] = b"%d" % number * (1 + number % 9)
                    if number % 7 == 0:
                        expected.pop(b"key%d" % ((number + 25) % 50), None)
                assert content(store) == expected, f"kill {kills}"
            reported[index] = last
            acknowledged += len(rest)
    assert acknowledged > 1000
