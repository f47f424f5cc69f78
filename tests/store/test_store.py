"""Tests of the public interface: reads, writes, batches, snapshots, limits and threads."""

from __future__ import annotations

import os
import threading
from pathlib import Path

import pytest

from heronreel.store import (
    MAX_BATCH_BYTES,
    MAX_KEY_BYTES,
    MAX_VALUE_BYTES,
    InvalidArgumentError,
    Limits,
    ReadOnlyError,
    Store,
    StoreClosedError,
)
from heronreel.store.disk import RealDisk
from heronreel.store.fault_injecting_disk import FaultInjectingDisk
from tests.store.durability import SMALL_LIMITS, content


def test_public_interface(tmp_path: Path) -> None:
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
    for call in (lambda: store.get(b"a"), lambda: store.put(b"a", b""), store.snapshot, store.batch):
        with pytest.raises(StoreClosedError):
            call()
    with Store.open(path, read_only=True) as reader:
        assert reader.get(b"c") == b"3"
        with pytest.raises(ReadOnlyError):
            reader.put(b"a", b"")
    with pytest.raises(FileNotFoundError):
        Store.open(tmp_path / "none", read_only=True)
    assert not (tmp_path / "none").exists()


def test_invalid_arguments_are_rejected_and_nothing_is_written() -> None:
    store = Store.open(FaultInjectingDisk())
    invalid_arguments: list[tuple[object, object, str]] = [
        (b"", b"", "key: 0 bytes"),
        (b"k" * (MAX_KEY_BYTES + 1), b"", "key: 4097 bytes"),
        ("k", b"", "key: str"),
        (b"k", bytes(MAX_VALUE_BYTES + 1), "value: 16777217 bytes"),
        (b"k", None, "value: NoneType"),
    ]
    for key, value, message in invalid_arguments:
        with pytest.raises(InvalidArgumentError, match=message):
            store.put(key, value)  # type: ignore[arg-type]
    batch = store.batch()
    with pytest.raises(InvalidArgumentError, match=f"at most {MAX_BATCH_BYTES}"):
        for number in range(5):
            batch.put(b"%d" % number, bytes(MAX_VALUE_BYTES))
    batch.commit()
    assert len(content(store)) == 3
    with pytest.raises(InvalidArgumentError, match="step_bytes: 0"):
        Limits(step_bytes=0)


def test_extreme_sizes_and_a_batch_over_many_segments(tmp_path: Path) -> None:
    largest = os.urandom(MAX_VALUE_BYTES)
    with Store.open(tmp_path) as store:
        with store.batch() as batch:
            batch.put(b"k" * MAX_KEY_BYTES, largest)
            batch.put(b"small", b"")
        assert store.stat()["log_bytes"] > 3 * store.limits.segment_bytes
        assert len([n for n in os.listdir(tmp_path) if n.endswith(".log")]) > 3
        read_only_store = Store.open(tmp_path, read_only=True)
        assert read_only_store.get(b"k" * MAX_KEY_BYTES) == largest
        store.put(b"x", b"y")
        store.maintain()
    with Store.open(tmp_path) as store:
        assert store.get(b"k" * MAX_KEY_BYTES) == largest and store.get(b"small") == b""


def test_a_snapshot_outlives_compaction_and_removal(tmp_path: Path) -> None:
    with Store.open(tmp_path, limits=SMALL_LIMITS) as store:
        for number in range(80):
            store.put(b"%02d" % number, b"old" * 10)
        snapshot, records = store.snapshot(), store.scan(b"7")
        first = next(records)
        read_only_store = Store.open(tmp_path, read_only=True)
        for number in range(80):
            store.put(b"%02d" % number, b"new") if number % 2 else store.delete(b"%02d" % number)
        store.compact()
        for reader in (snapshot, read_only_store):
            assert dict(reader.scan()) == {b"%02d" % number: b"old" * 10 for number in range(80)}
        assert [first, *records] == [(b"7%d" % digit, b"old" * 10) for digit in range(10)]
        read_only_store.refresh()
        assert content(read_only_store) == content(store) == {b"%02d" % n: b"new" for n in range(1, 80, 2)}


def test_a_missing_or_foreign_index_is_rebuilt(tmp_path: Path) -> None:
    with Store.open(tmp_path, limits=SMALL_LIMITS) as store:
        for number in range(200):
            store.put(b"%03d" % number, b"v%d" % number)
        store.compact()
    with Store.open(tmp_path, read_only=True) as store:
        expected = content(store)
        assert not store.stat()["indexes_made_anew"]
    indexes = sorted(tmp_path.glob("*.index"))
    indexes[0].write_bytes(indexes[1].read_bytes())
    indexes[1].unlink()
    with Store.open(tmp_path, limits=SMALL_LIMITS) as store:
        assert content(store) == expected
        assert all(store.get(key) == value for key, value in expected.items())
        assert store.get(b"0005") is None
        assert store.stat()["indexes_made_anew"] == 2


def test_many_threads_share_fsyncs_and_each_sees_its_own_writes(tmp_path: Path) -> None:
    with Store.open(tmp_path, limits=Limits(memtable_bytes=60_000, segment_bytes=30_000)) as store:
        wrong: list[object] = []
        start_barrier = threading.Barrier(16)

        def work(name: int) -> None:
            start_barrier.wait()
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


def test_a_new_directory_and_its_parents_are_made_durable(tmp_path: Path) -> None:
    disk = RealDisk(tmp_path / "a" / "b")
    disk.make_directory()
    disk.make_directory()
    assert disk.exists() and disk.list_names() == []
