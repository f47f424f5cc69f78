"""Tests of corruption: files truncated at every byte, flipped bits, and damage found by reads."""

from __future__ import annotations

import threading
from contextlib import suppress

import pytest

from heronreel.store import CorruptionError, Store, UnknownFormatError
from heronreel.store.fault_injecting_disk import FaultInjectingDisk
from heronreel.store.verify import verify
from tests.store.durability import SMALL_LIMITS, content, populate_store


def test_every_file_truncated_at_every_byte(capsys: pytest.CaptureFixture[str]) -> None:
    """Truncating the last segment keeps the writes before the cut; any other truncation is reported."""
    disk = FaultInjectingDisk()
    states = populate_store(disk)
    files = [name for name in disk.list_names() if name != "LOCK"]
    # The output of a running compaction.
    unreferenced_files = {note.partition(":")[0] for note in verify(disk).notes}
    last_segment = max(name for name in files if name.endswith(".log"))
    count = 0
    for name in files:
        complete_data = disk.read_file(name)
        last_position = len(states) - 1
        for length in range(len(complete_data) - 1, -1, -1):
            image = disk.copy()
            image.truncate(name, length)
            count += 1
            label = f"{name} truncated to {length} of {len(complete_data)}"
            if name.endswith(".index") or name in unreferenced_files:
                assert content(Store.open(image, limits=SMALL_LIMITS)) == states[-1], label
                continue
            try:
                found = content(Store.open(image, limits=SMALL_LIMITS))
            except CorruptionError as error:
                assert error.lost[0].file == name, label
                assert name != last_segment or length < 80, label
                assert length % 3 or read_only_reports_loss(image, states), label
                continue
            assert name == last_segment, label
            last_position = next(
                position for position in range(last_position, -1, -1) if states[position] == found
            )
    with capsys.disabled():
        print(f"\n{count} truncations of {len(files)} files")


def read_only_reports_loss(disk: FaultInjectingDisk, states: list[dict[bytes, bytes]]) -> bool:
    """Return whether the store reports losses when opened for reading, and returns only written values.

    A store that can't be opened counts as reporting its loss.
    """
    try:
        store = Store.open(disk, read_only=True)
    except CorruptionError:
        return True
    try:
        found = content(store)
    except CorruptionError:
        found = {}
    written = {item for state in states for item in state.items()}
    return bool(store.lost) and set(found.items()) <= written


def test_truncation_of_files_under_compaction_is_harmless(capsys: pytest.CaptureFixture[str]) -> None:
    """At each write of a compaction, the file that is being written is truncated at every byte."""
    disk, count = FaultInjectingDisk(), 0
    states = populate_store(disk)
    disk = disk.copy()
    store = Store.open(disk, limits=SMALL_LIMITS)

    def watch(moment: str, operation: str, name: str) -> None:
        nonlocal count
        if moment != "after" or operation not in ("write", "sync") or name == "LOCK":
            return
        complete_data = disk.read_file(name)
        for length in range(len(complete_data)):
            image = disk.copy()
            image.truncate(name, length)
            count += 1
            assert content(Store.open(image, limits=SMALL_LIMITS)) == states[-1], (
                f"{name} truncated to {length}"
            )

    disk.watch = watch
    store.compact()
    assert store.counters.compactions
    with capsys.disabled():
        print(f"\n{count} truncations of files that are being written")


def test_every_flipped_bit_is_reported_or_harmless(capsys: pytest.CaptureFixture[str]) -> None:
    """After a bit flip in any byte, reads never return unwritten values, and no loss goes unreported."""
    disk = FaultInjectingDisk()
    states = populate_store(disk)
    with_mark = disk.copy()
    store = Store.open(with_mark, limits=SMALL_LIMITS)
    store.put(b"last", b"one")
    store.sync()
    expected = content(store)
    written = {item for state in states for item in state.items()} | {(b"last", b"one")}
    reported = 0
    harmless: dict[str, int] = {}
    unreferenced_files = {note.partition(":")[0] for note in verify(with_mark).notes}
    for name in set(with_mark.list_names()) - unreferenced_files - {"LOCK"}:
        for offset in range(len(with_mark.read_file(name))):
            image = with_mark.copy()
            image.flip_bits(name, offset, 1 << offset % 8)
            label = f"{name}, byte {offset}"
            try:
                found = verify(image)
                if found.sound:
                    harmless[name[-5:]] = harmless.get(name[-5:], 0) + 1
                    assert content(Store.open(image)) == expected, label
                    continue
                assert found.lost[0].file == name, label
                reader = Store.open(image, read_only=True)
                assert set(content(reader).items()) <= written, label
                assert reader.lost, label
            except (CorruptionError, UnknownFormatError):
                pass
            reported += 1
    with capsys.disabled():
        print(f"\n{reported} flips reported, {harmless} harmless")
    # Harmless flips are those in an index, which is rebuilt, in the padding of frames, and in the last mark,
    # whose loss affects no group.
    assert harmless.pop("index") and sum(harmless.values()) < 60 and all("log" in kind for kind in harmless)


def disk_with_one_table() -> tuple[FaultInjectingDisk, str]:
    """A disk with a compacted store, and the name of its first table."""
    disk = FaultInjectingDisk()
    with Store.open(disk, limits=SMALL_LIMITS) as store:
        for number in range(60):
            store.put(b"%03d" % number, bytes(40))
        store.compact()
    return disk, next(name for name in disk.list_names() if name.endswith(".table"))


def test_corruption_found_by_a_read_ends_writes_and_is_remembered() -> None:
    disk, table = disk_with_one_table()
    disk.flip_bits(table, 200)
    with Store.open(disk, limits=SMALL_LIMITS) as store:
        assert not store.lost  # Opening the store reads no blocks.
        with pytest.raises(CorruptionError, match=f"{table}: bytes .*records of keys from"):
            content(store)
        with pytest.raises(CorruptionError):
            store.put(b"x", b"y")
        assert store.get(b"059") == bytes(40)
    with pytest.raises(CorruptionError):
        Store.open(disk, limits=SMALL_LIMITS)
    assert Store.open(disk, read_only=True).lost
    assert not verify(disk).sound


def test_corruption_found_by_a_read_ends_a_flush_under_way() -> None:
    disk, table = disk_with_one_table()
    disk.flip_bits(table, 200)
    store = Store.open(disk, limits=SMALL_LIMITS)
    store.put(b"a", bytes(40))

    def watch(moment: str, operation: str, name: str) -> None:
        if name.endswith(".table"):  # The flush writes this table.
            with suppress(CorruptionError):
                content(store)

    disk.watch = watch
    errors: list[BaseException] = []

    def compact() -> None:
        try:
            store.compact()
        except CorruptionError as error:
            errors.append(error)

    thread = threading.Thread(target=compact, daemon=True)
    thread.start()
    thread.join(20.0)  # The compaction takes milliseconds; a longer run is a deadlock.
    assert not thread.is_alive() and errors and store.lost


def test_a_newer_format_is_left_untouched() -> None:
    disk = FaultInjectingDisk()
    Store.open(disk).close()
    newer = disk.read_file("MANIFEST").replace(b"heronreel-store 1 ", b"heronreel-store 2 ", 1)
    for data in (newer, b"heronreel-store 17 in label of its own\n"):
        disk.overwrite("MANIFEST", data)
        before = {name: disk.read_file(name) for name in disk.list_names() if name != "LOCK"}
        for read_only in (True, False):
            with pytest.raises(
                UnknownFormatError,
                match=r"format version (2|17) is not supported; expected version 1",
            ):
                Store.open(disk, read_only=read_only)
        assert before == {name: disk.read_file(name) for name in disk.list_names() if name != "LOCK"}
    other = FaultInjectingDisk()
    other.make_directory()
    other.overwrite("letter.txt", b"dear all")
    with pytest.raises(UnknownFormatError, match=r"letter\.txt"):
        Store.open(other)
