"""The store on a real disk: its face, threads and processes, limits, locks, kills, and the command line."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from heronreel.cli.__main__ import main
from heronreel.store import (
    MAX_BATCH_BYTES,
    MAX_KEY_BYTES,
    MAX_VALUE_BYTES,
    AsyncStore,
    InvalidArgumentError,
    Limits,
    ReadOnlyError,
    Store,
    StoreClosedError,
    StoreLockedError,
    WriteFailedError,
    compaction_policy,
)
from heronreel.store.disk import RealDisk
from heronreel.store.fault_injecting_disk import Fault, FaultInjectingDisk
from tests.store.recovery_checks import TINY, content

ROOT = Path(__file__).parents[2]


def test_the_face(tmp_path: Path) -> None:
    path = tmp_path / "deep" / "er"
    with Store.open(path) as store:
        assert store.get(b"a") is None
        store.put(b"b", b"2")
        store.put(b"a", b"1")
        store.put(b"ab", b"")
        store.delete(b"none")
        with store.batch() as batch:
            batch.delete(b"b")
            batch.put(b"c", b"3")
        with pytest.raises(RuntimeError), store.batch() as batch:
            batch.put(b"never", b"")
            raise RuntimeError
        assert list(store.scan()) == [(b"a", b"1"), (b"ab", b""), (b"c", b"3")]
        assert list(store.scan(b"a")) == [(b"a", b"1"), (b"ab", b"")]
        store.sync()
    store.close()
    for use in (lambda: store.get(b"a"), lambda: store.put(b"a", b""), store.snapshot, store.batch):
        with pytest.raises(StoreClosedError):
            use()
    with Store.open(path, read_only=True) as reader:
        assert reader.get(b"c") == b"3"
        with pytest.raises(ReadOnlyError):
            reader.put(b"a", b"")
    with pytest.raises(FileNotFoundError):
        Store.open(tmp_path / "none", read_only=True)
    assert not (tmp_path / "none").exists()


def test_limits_are_told_and_nothing_is_written() -> None:
    store = Store.open(FaultInjectingDisk())
    bad: list[tuple[object, object, str]] = [
        (b"", b"", "key: 0 bytes"),
        (b"k" * (MAX_KEY_BYTES + 1), b"", "key: 4097 bytes"),
        ("k", b"", "key: str"),
        (b"k", bytes(MAX_VALUE_BYTES + 1), "value: 16777217 bytes"),
        (b"k", None, "value: NoneType"),
    ]
    for key, value, words in bad:
        with pytest.raises(InvalidArgumentError, match=words):
            store.put(key, value)  # type: ignore[arg-type]
    batch = store.batch()
    with pytest.raises(InvalidArgumentError, match=f"at most {MAX_BATCH_BYTES}"):
        for number in range(5):
            batch.put(b"%d" % number, bytes(MAX_VALUE_BYTES))
    batch.commit()
    assert len(content(store)) == 3
    with pytest.raises(InvalidArgumentError, match="step_bytes: 0"):
        Limits(step_bytes=0)


def test_the_largest_and_the_smallest_and_a_batch_over_many_segments(tmp_path: Path) -> None:
    largest = os.urandom(MAX_VALUE_BYTES)
    with Store.open(tmp_path) as store:
        with store.batch() as batch:
            batch.put(b"k" * MAX_KEY_BYTES, largest)
            batch.put(b"small", b"")
        assert store.stat()["log_bytes"] > 3 * store.limits.segment_bytes
        assert len([n for n in os.listdir(tmp_path) if n.endswith(".log")]) > 3
        beside = Store.open(tmp_path, read_only=True)
        assert beside.get(b"k" * MAX_KEY_BYTES) == largest
        store.put(b"x", b"y")
        store.maintain()
    with Store.open(tmp_path) as store:
        assert store.get(b"k" * MAX_KEY_BYTES) == largest and store.get(b"small") == b""


def test_a_key_written_a_million_times_fills_neither_memory_nor_disk() -> None:
    disk, value = FaultInjectingDisk(), bytes(16)
    store = Store.open(disk, limits=Limits(log_bytes=1 << 20, memtable_bytes=1 << 20))
    most = 0
    for number in range(100):
        store.write([[(b"key", b"%d" % at + value) for at in range(number * 10000, (number + 1) * 10000)]])
        most = max(most, disk.used)
    assert store.get(b"key") == b"999999" + value
    assert store.stat()["memory_entries"] <= 2
    store.maintain()
    store.compact()
    assert disk.used < 2 << 20 and most < 6 << 20


def test_a_snapshot_outlives_compaction_and_removal(tmp_path: Path) -> None:
    with Store.open(tmp_path, limits=TINY) as store:
        for number in range(80):
            store.put(b"%02d" % number, b"old" * 10)
        snapshot, records = store.snapshot(), store.scan(b"7")
        first = next(records)
        beside = Store.open(tmp_path, read_only=True)
        for number in range(80):
            store.put(b"%02d" % number, b"new") if number % 2 else store.delete(b"%02d" % number)
        store.compact()
        for reader in (snapshot, beside):
            assert dict(reader.scan()) == {b"%02d" % number: b"old" * 10 for number in range(80)}
        assert [first, *records] == [(b"7%d" % digit, b"old" * 10) for digit in range(10)]
        beside.refresh()
        assert content(beside) == content(store) == {b"%02d" % n: b"new" for n in range(1, 80, 2)}


def test_a_missing_or_foreign_index_gives_the_same_answers(tmp_path: Path) -> None:
    with Store.open(tmp_path, limits=TINY) as store:
        for number in range(200):
            store.put(b"%03d" % number, b"v%d" % number)
        store.compact()
    with Store.open(tmp_path, read_only=True) as store:
        expected = content(store)
        assert not store.stat()["indexes_made_anew"]
    indexes = sorted(tmp_path.glob("*.index"))
    indexes[0].write_bytes(indexes[1].read_bytes())
    indexes[1].unlink()
    with Store.open(tmp_path, limits=TINY) as store:
        assert content(store) == expected
        assert all(store.get(key) == value for key, value in expected.items())
        assert store.get(b"0005") is None
        assert store.stat()["indexes_made_anew"] == 2


def test_many_threads_share_fsyncs_and_each_sees_its_own_writes(tmp_path: Path) -> None:
    with Store.open(tmp_path, limits=Limits(memtable_bytes=60_000, segment_bytes=30_000)) as store:
        wrong: list[object] = []
        begin = threading.Barrier(16)

        def work(name: int) -> None:
            begin.wait()
            for number in range(150):
                key, value = b"%d/%d" % (name, number), b"%d" % (number * name)
                store.put(key, value)
                if store.get(key) != value:
                    wrong.append(key)
                if number == 70 and name == 3:
                    store.compact()

        threads = [threading.Thread(target=work, args=(name,)) for name in range(16)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert not wrong
        assert store.counters.groups < store.counters.operations == 2400
        expected = {b"%d/%d" % (a, b): b"%d" % (a * b) for a in range(16) for b in range(150)}
        assert content(store) == expected
    with Store.open(tmp_path) as store:
        assert content(store) == expected


def test_asyncio_writers_share_one_flush(tmp_path: Path) -> None:
    async def play() -> None:
        async with await AsyncStore.open(tmp_path) as store:
            await asyncio.gather(*(store.put(b"%03d" % n, b"%d" % n) for n in range(500)))
            assert store.store.counters.groups < 50
            assert await store.get(b"007") == b"7" and await store.get(b"x") is None
            async with store.batch() as batch:
                batch.put(b"b", b"1")
                batch.delete(b"007")
            await store.delete(b"008")
            await store.sync()
            await store.compact()
            assert await store.get(b"007") is None and await store.get(b"009") == b"9"
            found = [key async for key, _ in store.scan(b"0")]
            assert found == [b"%03d" % n for n in range(100) if n not in (7, 8)]
            doomed = asyncio.ensure_future(store.put(b"late", b"1"))
            await asyncio.sleep(0)
            doomed.cancel()
            with pytest.raises(InvalidArgumentError):
                await store.put(b"", b"")
            # more waits than has room: all of it is written in the end
            await asyncio.gather(*(store.put(b"big%d" % n, bytes(1 << 20)) for n in range(24)))
        with pytest.raises(StoreClosedError):
            await store.put(b"a", b"b")

    asyncio.run(play())
    assert len([1 for _ in Store.open(tmp_path, read_only=True).scan(b"big")]) == 24


def test_asyncio_writers_hear_of_a_failed_flush() -> None:
    async def play() -> None:
        disk = FaultInjectingDisk()
        store = await AsyncStore.open(disk)
        disk.fault = lambda call, name: Fault(5) if call == "sync" else None
        results = await asyncio.gather(*(store.put(b"%d" % n, b"") for n in range(9)), return_exceptions=True)
        assert all(isinstance(result, WriteFailedError) and result.final for result in results)
        assert await store.get(b"1") is None
        await store.close()

    asyncio.run(play())


def test_one_writer_many_readers_and_a_dead_owner(tmp_path: Path) -> None:
    hold = (
        "import sys, time; from heronreel.store import Store; s = Store.open(sys.argv[1]);"
        "s.put(b'by', b'child'); print('held', flush=True); time.sleep(60)"
    )
    child = subprocess.Popen([sys.executable, "-c", hold, str(tmp_path)], stdout=subprocess.PIPE, cwd=ROOT)
    assert child.stdout and child.stdout.readline() == b"held\n"
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
        with pytest.raises(StoreLockedError):  # in one process too
            Store.open(tmp_path)
        child_sees = os.fork()
        if not child_sees:
            try:
                store.put(b"from", b"fork")
            except StoreClosedError:
                os._exit(7)
            os._exit(0)
        assert os.waitstatus_to_exitcode(os.waitpid(child_sees, 0)[1]) == 7
        store.put(b"still", b"ours")


def test_a_reader_beside_a_writer_sees_only_what_is_durable() -> None:
    disk = FaultInjectingDisk()
    store = Store.open(disk)
    store.put(b"a", b"1")
    seen: list[dict[bytes, bytes]] = []

    def watch(moment: str, call: str, name: str) -> None:
        if call == "sync":
            seen.append(content(Store.open(disk, read_only=True)))

    disk.watch = watch
    store.put(b"b", b"2")
    assert seen == [{b"a": b"1"}] * 3  # before, during, and just after, when it is not told yet
    assert content(Store.open(disk, read_only=True)) == {b"a": b"1", b"b": b"2"}


def test_merges_cost_what_is_promised() -> None:
    """Bytes written by merges over bytes flushed, and the share of newer runs, over drawn sizes."""
    for seed in range(40):
        rng = random.Random(seed)
        runs: list[compaction_policy.RunWeight] = []
        flushed = rewritten = 0
        for _ in range(600):
            size = rng.choice((1, 1, 1, rng.randint(1, 4)))
            runs.append(compaction_policy.RunWeight(size, size, 0))
            flushed += size
            while (first := compaction_policy.oldest_run_to_compact(runs, 4)) is not None:
                whole = sum(run.size for run in runs[first:])
                runs[first:] = [compaction_policy.RunWeight(whole, whole, 0)]
                rewritten += whole
            assert len(runs) <= 12
            if runs[0].size >= 4:
                assert sum(run.size for run in runs[1:]) < max(runs[0].size, 13), f"seed {seed}: {runs}"
        assert rewritten / flushed < 10, f"seed {seed}"
    assert (
        compaction_policy.oldest_run_to_compact(
            [compaction_policy.RunWeight(1000, 10, 0), compaction_policy.RunWeight(10, 5, 5)], 4
        )
        == 0
    )
    assert compaction_policy.oldest_run_to_compact([compaction_policy.RunWeight(1000, 10, 2)], 4) == 0


KILLED = """
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


def test_a_process_killed_in_mid_write_loses_nothing_it_acknowledged(tmp_path: Path) -> None:
    """200 kills at drawn moments; what the child told it had acknowledged must be there."""
    rng = random.Random(11)
    acknowledged = kills = 0
    lanes = 4
    stores = [tmp_path / str(lane) for lane in range(lanes)]
    told = [0] * lanes
    while kills < 200:
        children = [
            subprocess.Popen(
                [sys.executable, "-c", KILLED, str(store)], stdout=subprocess.PIPE, cwd=ROOT, bufsize=0
            )
            for store in stores
        ]
        for lane, child in enumerate(children):
            assert child.stdout
            assert child.stdout.readline().strip(), "the child could not open its store"
            time.sleep(rng.random() * 0.02)  # which moment does not matter, only that it varies
            child.send_signal(signal.SIGKILL)
            rest = child.stdout.read().split(b"\n")[:-1]
            child.wait()
            child.stdout.close()
            told[lane] = max(told[lane], *(int(line) for line in rest), 0) if rest else told[lane]
            kills += 1
            with Store.open(stores[lane], read_only=True) as store:
                assert not store.lost
                last = int(store.get(b"last") or b"0")
                assert last in (told[lane], told[lane] + 1) or (not rest and last > told[lane]), (
                    f"kill {kills}"
                )
                expected: dict[bytes, bytes] = {b"last": b"%d" % last}
                for number in range(max(1, last - 400), last + 1):
                    expected[b"key%d" % (number % 50)] = b"%d" % number * (1 + number % 9)
                    if number % 7 == 0:
                        expected.pop(b"key%d" % ((number + 25) % 50), None)
                assert content(store) == expected, f"kill {kills}"
            told[lane] = last
            acknowledged += len(rest)
    assert acknowledged > 1000


def heronreel(*words: str) -> Result:
    return CliRunner().invoke(main, ["store", *words])


def test_commands(tmp_path: Path) -> None:
    path, target = str(tmp_path / "store"), str(tmp_path / "saved")
    with Store.open(path, limits=TINY) as store:
        for number in range(600):
            store.put(b"k%03d" % number, b"value %d" % number)
        store.put(b"k000", b"\xff")
        told = json.loads(heronreel("stat", "--json", path).output)  # beside the writer
        assert told["next_sequence"] == 602 and told["runs"]
        assert heronreel("compact", path).exit_code == 2
    assert "sound: " in heronreel("verify", path).output
    lines = heronreel("dump", "--json", "--prefix", "k00", path).output.splitlines()
    assert json.loads(lines[0]) == {"key": "k000", "value_base64": "/w=="} and len(lines) == 10
    assert heronreel("dump", path).output.splitlines()[1] == "'k001'\t'value 1'"
    assert json.loads(heronreel("compact", "--json", path).output)["after_bytes"] > 0
    assert "run  " in heronreel("stat", path).output
    table = min(Path(path).glob("*.table"))
    data = bytearray(table.read_bytes())
    data[150] ^= 1
    table.write_bytes(data)
    found = heronreel("verify", "--json", path)
    assert found.exit_code == 1 and json.loads(found.output)["lost"][0]["file"] == table.name
    assert heronreel("dump", path).exit_code == 1
    saved = heronreel("repair", "--json", path, target)
    assert saved.exit_code == 1 and 300 < json.loads(saved.output)["records"] < 600
    assert heronreel("verify", target).exit_code == 0
    assert heronreel("repair", path, target).exit_code == 2
    for command in ("verify", "stat", "compact", "dump"):
        gone = heronreel(command, str(tmp_path / "none"))
        assert gone.exit_code == 2 and "none" in gone.output and not (tmp_path / "none").exists()


def test_a_folder_that_is_new_is_durable_down_to_its_parents(tmp_path: Path) -> None:
    disk = RealDisk(tmp_path / "a" / "b")
    disk.make_directory()
    disk.make_directory()
    assert disk.exists() and disk.list_names() == []
