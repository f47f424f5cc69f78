"""Crashes at every point, cuts at every byte, and bits flipped: on the simulated disk, against a model
dictionary.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from heronreel.store import CorruptionError, Limits, Store, UnknownFormatError, WriteFailedError
from heronreel.store.fault_injecting_disk import Fault, FaultInjectingDisk, PowerLoss
from heronreel.store.repair import repair
from heronreel.store.verify import verify
from tests.store.recovery_checks import TINY, Judge, content, play, script


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_every_crash_point_leaves_what_was_acknowledged(
    seed: int, capsys: pytest.CaptureFixture[str]
) -> None:
    """Before, during and after every call that changes something, with drawn fates of what was not synced."""
    disk, judge, rng = FaultInjectingDisk(), Judge(), random.Random(seed * 7919)
    seen: dict[str, int] = {}

    def watch(moment: str, call: str, name: str) -> None:
        seen[call] = seen.get(call, 0) + 1
        for draw in range(2):
            words = f"seed {seed}: crash {moment} {call} {name}, call {disk.operations}, draw {draw}"
            judge.check(disk.crash_image(rng), words)

    disk.watch = watch
    play(judge, disk, seed, 36)
    assert content(Store.open(disk)) == judge.acknowledged
    assert {"create", "write", "sync", "rename", "remove", "sync_directory"} <= seen.keys()
    with capsys.disabled():
        print(f"\n{2 * sum(seen.values())} crashes recovered from, of {seen}")


@pytest.mark.parametrize("seed", range(4))
def test_a_crash_during_the_recovery_of_a_crash_five_deep(seed: int) -> None:
    rng = random.Random(seed)
    disk, judge = FaultInjectingDisk(), Judge()
    with pytest.raises(PowerLoss):
        crash_at(disk, rng.randrange(100, 400))
        play(judge, disk, seed, 60)
    for _ in range(60):
        image, depth = disk.crash_image(rng), 0
        while depth < 5:
            probe = image.crash_image(rng)
            crash_at(probe, rng.randrange(1, 30))
            try:
                Store.open(probe, limits=TINY)
                break  # recovery needed fewer calls than that
            except PowerLoss:
                image, depth = probe.crash_image(rng), depth + 1
        judge.check(image, f"seed {seed}: {depth} crashes deep")


def crash_at(disk: FaultInjectingDisk, calls: int) -> None:
    """The power goes before, during or after the call of that number."""
    left = [calls]

    def watch(*_: str) -> None:
        left[0] -= 1
        if not left[0]:
            disk.power_off()
            raise PowerLoss

    disk.watch = watch


@pytest.mark.parametrize("seed", range(12))
def test_two_compactions_interrupted_at_different_steps(seed: int) -> None:
    rng = random.Random(seed)
    disk = FaultInjectingDisk()
    expected = whole_groups(disk)[-1]
    disk = disk.copy()
    for _ in range(2):
        store = Store.open(disk, limits=TINY)
        crash_at(disk, rng.randrange(1, 90))
        with suppress(PowerLoss):
            store.compact()
        disk = disk.crash_image(rng)
    assert content(Store.open(disk, limits=TINY)) == expected, f"seed {seed}"


def test_stale_bytes_of_an_earlier_log_are_nobodys_records() -> None:
    """Whole frames of a former segment lie behind the end of this one, at a frame's place and in sequence."""
    disk, states = FaultInjectingDisk(), []
    for value in (b"former", b"latter"):
        with Store.open(disk) as store:
            for number in range(4):
                store.put(b"%d" % number, value)
                states.append(content(store))
            log = max(name for name in disk.list_names() if name.endswith(".log"))
            frames = disk.read_file(log)[72:]  # the segment's header has 72 bytes
            if value == b"former":
                stale = frames
            else:
                after_two = disk.copy()
                after_two.overwrite(
                    log, disk.read_file(log)[: 72 + len(frames) // 2] + stale[len(frames) // 2 :]
                )
    again = Store.open(after_two)
    assert content(again) == states[5] and "never acknowledged" in str(again.dropped[0])


def test_a_clock_that_jumps_back_changes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    rng = random.Random(1)
    for name in ("time", "monotonic", "perf_counter"):
        monkeypatch.setattr(f"time.{name}", lambda: 1e9 - rng.random() * 1e8)
    disk, judge = FaultInjectingDisk(), Judge()
    play(judge, disk, 4, 60)
    assert content(Store.open(disk)) == judge.acknowledged


def whole_groups(disk: FaultInjectingDisk) -> list[dict[bytes, bytes]]:
    """A store with runs and a log, its lock let go as by a death; the states after each of its writes."""
    states: list[dict[bytes, bytes]] = [{}]
    judge = Judge()
    store = Store.open(disk, limits=TINY)
    for change in script(random.Random(5), 45):
        judge.write(store, change)
        states.append(dict(judge.acknowledged))
    return states


def test_every_file_cut_at_every_byte(capsys: pytest.CaptureFixture[str]) -> None:
    """A cut of the log's end leaves the writes before it.  Any other cut is told, and nothing older passes
    for new.
    """
    disk = FaultInjectingDisk()
    states = whole_groups(disk)
    files = [name for name in disk.list_names() if name != "LOCK"]
    unnamed = {note.partition(":")[0] for note in verify(disk).notes}  # of a merge under way
    last = max(name for name in files if name.endswith(".log"))
    count = 0
    for name in files:
        whole = disk.read_file(name)
        former = len(states) - 1
        for length in range(len(whole) - 1, -1, -1):
            image = disk.copy()
            image.truncate(name, length)
            count += 1
            words = f"{name} cut to {length} of {len(whole)}"
            if name.endswith(".index") or name in unnamed:
                assert content(Store.open(image, limits=TINY)) == states[-1], words
                continue
            try:
                found = content(Store.open(image, limits=TINY))
            except CorruptionError as damaged:
                assert damaged.lost[0].file == name, words
                assert name != last or length < 80, words
                assert length % 3 or read_only_is_honest(image, states), words
                continue
            assert name == last, words
            former = next(at for at in range(former, -1, -1) if states[at] == found)
    with capsys.disabled():
        print(f"\n{count} cuts of {len(files)} files")


def read_only_is_honest(disk: FaultInjectingDisk, states: list[dict[bytes, bytes]]) -> bool:
    """Opened for reading it says what is lost, or can't be opened; values are ones that were once written."""
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


def test_cuts_at_each_step_of_a_compaction_hurt_nothing_named(capsys: pytest.CaptureFixture[str]) -> None:
    """At each write of a merge, the file that is being written is cut at every byte."""
    disk, count = FaultInjectingDisk(), 0
    states = whole_groups(disk)
    disk = disk.copy()
    store = Store.open(disk, limits=TINY)

    def watch(moment: str, call: str, name: str) -> None:
        nonlocal count
        if moment != "after" or call not in ("write", "sync") or name == "LOCK":
            return
        whole = disk.read_file(name)
        for length in range(len(whole)):
            image = disk.copy()
            image.truncate(name, length)
            count += 1
            assert content(Store.open(image, limits=TINY)) == states[-1], f"{name} cut to {length}"

    disk.watch = watch
    store.compact()
    assert store.counters.compactions
    with capsys.disabled():
        print(f"\n{count} cuts of files under way")


def test_every_flipped_bit_is_told_or_harmless(capsys: pytest.CaptureFixture[str]) -> None:
    """No flip of any byte makes the store return what was never written, or lose it without a word."""
    disk = FaultInjectingDisk()
    states = whole_groups(disk)
    with_mark = disk.copy()
    store = Store.open(with_mark, limits=TINY)
    store.put(b"last", b"one")
    store.sync()
    expected = content(store)
    written = {item for state in states for item in state.items()} | {(b"last", b"one")}
    told = 0
    harmless: dict[str, int] = {}
    unnamed = {note.partition(":")[0] for note in verify(with_mark).notes}
    for name in set(with_mark.list_names()) - unnamed - {"LOCK"}:
        for offset in range(len(with_mark.read_file(name))):
            image = with_mark.copy()
            image.flip_bits(name, offset, 1 << offset % 8)
            words = f"{name}, byte {offset}"
            try:
                found = verify(image)
                if found.sound:
                    harmless[name[-5:]] = harmless.get(name[-5:], 0) + 1
                    assert content(Store.open(image)) == expected, words
                    continue
                assert found.lost[0].file == name, words
                reading = Store.open(image, read_only=True)
                assert set(content(reading).items()) <= written, words
                assert reading.lost, words
            except (CorruptionError, UnknownFormatError):
                pass
            told += 1
    with capsys.disabled():
        print(f"\n{told} flips told, {harmless} harmless")
    # an index is made anew, frames have padding, and a last mark that can't be read takes nothing with it
    assert harmless.pop("index") and sum(harmless.values()) < 60 and all("log" in kind for kind in harmless)


def test_damage_met_while_reading_ends_writing_and_is_remembered() -> None:
    disk = FaultInjectingDisk()
    with Store.open(disk, limits=TINY) as store:
        for number in range(60):
            store.put(b"%03d" % number, bytes(40))
        store.compact()
    table = next(name for name in disk.list_names() if name.endswith(".table"))
    disk.flip_bits(table, 200)
    with Store.open(disk, limits=TINY) as store:
        assert not store.lost  # opening reads no values
        with pytest.raises(CorruptionError, match=f"{table}: bytes .*records of keys from"):
            content(store)
        with pytest.raises(CorruptionError):
            store.put(b"x", b"y")
        assert store.get(b"059") == bytes(40)
    with pytest.raises(CorruptionError):
        Store.open(disk, limits=TINY)
    assert Store.open(disk, read_only=True).lost
    assert not verify(disk).sound


COMPACTION_STEPS = 18  # that the compaction of the next test takes


class CompactionInterruptedError(Exception):
    """Raised out of a compaction by its caller."""


class InterruptAfter:
    """The progress of a compaction whose caller gives up after some steps."""

    def __init__(self, steps: int) -> None:
        self.steps_left = steps

    def __call__(self, done: int, total: int) -> None:
        self.steps_left -= 1
        if not self.steps_left:
            raise CompactionInterruptedError


@pytest.mark.parametrize("steps", range(5, 26))
def test_a_merge_under_way_at_the_first_write_keeps_its_files(steps: int) -> None:
    """The first write after an opening begins the log and tidies up: not what no manifest names yet."""
    disk = FaultInjectingDisk()
    with Store.open(disk, limits=TINY) as store:
        for number in range(40):
            store.put(b"%02d" % number, bytes(60))
        store.maintain()
        expected = content(store)
    with Store.open(disk, limits=TINY) as store:
        with suppress(CompactionInterruptedError):
            store.compact(InterruptAfter(steps))
        assert store.counters.compactions == (steps > COMPACTION_STEPS)  # else it is under way
        store.put(b"first", b"write")
        store.maintain()
    assert content(Store.open(disk, limits=TINY)) == expected | {b"first": b"write"}


def test_damage_met_by_a_reader_ends_a_flush_that_writers_wait_for() -> None:
    disk = FaultInjectingDisk()
    with Store.open(disk, limits=TINY) as store:
        for number in range(60):
            store.put(b"%03d" % number, bytes(40))
        store.compact()
    disk.flip_bits(next(name for name in disk.list_names() if name.endswith(".table")), 200)
    store = Store.open(disk, limits=TINY)
    store.put(b"a", bytes(40))

    def watch(moment: str, call: str, name: str) -> None:
        if name.endswith(".table"):  # of the flush
            with suppress(CorruptionError):
                content(store)

    disk.watch = watch
    raised: list[BaseException] = []

    def compact() -> None:
        try:
            store.compact()
        except CorruptionError as damaged:
            raised.append(damaged)

    thread = threading.Thread(target=compact, daemon=True)
    thread.start()
    thread.join(20.0)  # it took milliseconds, or it hangs
    assert not thread.is_alive() and raised and store.lost


def test_large_writes_do_not_outrun_the_merges() -> None:
    limits = Limits(
        memtable_bytes=1 << 16,
        segment_bytes=1 << 16,
        log_bytes=1 << 18,
        table_bytes=1 << 18,
        step_bytes=1024,
        sync_interval_bytes=1 << 14,
    )
    disk = FaultInjectingDisk()
    store = Store.open(disk, limits=limits)
    most = used = 0
    for number in range(400):
        store.put(b"%d" % (number % 8), bytes(1 << 15))
        most = max(most, len(store.stat()["runs"]))
        used = max(used, disk.used)
    assert most <= 8
    assert used < 4 * 8 * (1 << 15) + 2 * limits.log_bytes + 4 * limits.memtable_bytes


class DamagedStores:
    """Ways to spoil a store whose log and runs hold something, and what repair is to save."""

    @staticmethod
    def middle_of_the_log(disk: FaultInjectingDisk) -> None:
        log = min(name for name in disk.list_names() if name.endswith(".log"))
        disk.flip_bits(log, 120)

    @staticmethod
    def block_of_a_table(disk: FaultInjectingDisk) -> None:
        disk.flip_bits(min(name for name in disk.list_names() if name.endswith(".table")), 130)

    @staticmethod
    def header_of_a_table(disk: FaultInjectingDisk) -> None:
        disk.flip_bits(min(name for name in disk.list_names() if name.endswith(".table")), 40)

    @staticmethod
    def manifest(disk: FaultInjectingDisk) -> None:
        disk.flip_bits("MANIFEST", 70)

    @staticmethod
    def manifest_gone(disk: FaultInjectingDisk) -> None:
        disk.remove("MANIFEST")

    @staticmethod
    def table_gone(disk: FaultInjectingDisk) -> None:
        disk.remove(min(name for name in disk.list_names() if name.endswith(".table")))


@pytest.mark.parametrize("how", [name for name in vars(DamagedStores) if not name.startswith("_")])
def test_repair_salvages_and_lists_what_it_could_not_save(how: str) -> None:
    disk = FaultInjectingDisk()
    states = whole_groups(disk)
    written = {item for state in states for item in state.items()}
    spoilt, target = disk.copy(), FaultInjectingDisk()
    spoil: Callable[[FaultInjectingDisk], None] = getattr(DamagedStores, how)
    spoil(spoilt)
    if how != "block_of_a_table":  # that one is met where it is read
        with pytest.raises(CorruptionError):
            Store.open(spoilt, limits=TINY)
    before = {name: spoilt.read_file(name) for name in spoilt.list_names() if name != "LOCK"}
    found = repair(spoilt, target)
    assert before == {name: spoilt.read_file(name) for name in spoilt.list_names() if name != "LOCK"}
    saved = content(Store.open(target))
    assert found.lost and found.records == len(saved)
    assert set(saved.items()) <= written
    right = [key for key, value in states[-1].items() if saved.get(key) == value]
    if how.startswith("manifest") or how == "header_of_a_table":
        assert saved == states[-1]  # all is in other files too
    else:
        assert found.doubts or "table" in how
        assert len(right) >= len(states[-1]) // 2
    with pytest.raises(ValueError, match="target"):
        repair(spoilt, target)


def test_a_failed_fsync_is_not_papered_over() -> None:
    """The write fails, so do all later ones, reads go on; after a reopening and a crash nothing of it is
    there.
    """
    disk, judge, rng = FaultInjectingDisk(), Judge(), random.Random(3)
    store = Store.open(disk)
    judge.write(store, {b"before": b"1"})
    disk.fault = lambda call, name: Fault(5) if call == "sync" else None
    with pytest.raises(WriteFailedError) as failed:
        judge.write(store, {b"during": b"2"})
    assert failed.value.final and failed.value.__cause__
    disk.fault = None
    with pytest.raises(WriteFailedError, match="fsync"):
        store.put(b"after", b"3")
    assert content(store) == {b"before": b"1"}
    store.close()
    # The cache shows the failed write as if it were there.  Whatever a new opening makes of it must stay.
    with Store.open(disk) as again:
        found = content(again)
        assert judge.allows(found)
    for _ in range(20):
        assert content(Store.open(disk.crash_image(rng))) == found


@pytest.mark.parametrize("seed", range(6))
def test_a_full_disk_fails_writes_cleanly_and_room_makes_them_work_again(seed: int) -> None:
    rng = random.Random(seed)
    disk, judge = FaultInjectingDisk(capacity=6000), Judge()
    store = Store.open(disk, limits=TINY)
    failed = worked = 0
    for round_of in range(6):
        for change in script(rng, 20):
            try:
                judge.write(store, change)
                worked += 1
            except WriteFailedError as error:
                assert not error.final
                judge.begun = None
                failed += 1
            assert content(store) == judge.acknowledged, f"seed {seed}"
        disk.capacity = 1 << 20 if round_of % 2 else disk.used + rng.randrange(500)
    assert failed and worked > 40
    disk.capacity = 1 << 30
    judge.write(store, {b"room": b"again"})
    for _ in range(20):
        judge.check(disk.crash_image(rng), f"seed {seed}")
    store.close()
    assert content(Store.open(disk)) == judge.acknowledged


@pytest.mark.parametrize("seed", range(8))
def test_errors_and_short_writes_at_any_call(seed: int) -> None:
    """Whatever fails whenever: reads show what was acknowledged, and so does every opening after it."""
    rng = random.Random(seed)
    disk, judge = FaultInjectingDisk(), Judge()

    def fault(call: str, name: str) -> Fault | None:
        if rng.random() > 0.03:
            return None
        return Fault(rng.choice((5, 28)), rng.choice((0, 7)) if call == "write" else 0)

    store: Store | None = None
    for change in script(rng, 150):
        disk.fault = fault
        try:
            store = store or Store.open(disk, limits=TINY)
            judge.write(store, change)
        except (OSError, WriteFailedError, CorruptionError) as error:
            disk.fault = None
            if store is None:
                assert isinstance(error, OSError) or error.lost[0].why == "the file is missing"  # type: ignore
                continue
            assert isinstance(error, WriteFailedError)
            assert content(store) == judge.acknowledged
            if error.final:
                image = disk.crash_image(rng)
                judge.check(image, f"seed {seed}")
                disk = image.crash_image(rng)
                store = Store.open(disk, limits=TINY)
                judge.acknowledged = content(store)
            judge.begun = None


def test_a_newer_format_is_left_untouched() -> None:
    disk = FaultInjectingDisk()
    Store.open(disk).close()
    newer = disk.read_file("MANIFEST").replace(b"heronreel-store 1 ", b"heronreel-store 2 ", 1)
    for data in (newer, b"heronreel-store 17 in words of its own\n"):
        disk.overwrite("MANIFEST", data)
        before = {name: disk.read_file(name) for name in disk.list_names() if name != "LOCK"}
        for read_only in (True, False):
            with pytest.raises(UnknownFormatError, match=r"format (2|17), and this program knows 1"):
                Store.open(disk, read_only=read_only)
        assert before == {name: disk.read_file(name) for name in disk.list_names() if name != "LOCK"}
    other = FaultInjectingDisk()
    other.make_directory()
    other.overwrite("letter.txt", b"dear all")
    with pytest.raises(UnknownFormatError, match=r"letter\.txt"):
        Store.open(other)


KEYS = st.sampled_from([b"a", b"ab", b"b", b"c", b"\xff", b"\xff\xff", b"z" * 40])
VALUES = st.one_of(st.none(), st.sampled_from([b"", b"1", b"2" * 30, b"3" * 800]))


class StoreAgainstModel(RuleBasedStateMachine):
    """The store beside a dictionary, through crashes, compactions, snapshots and reopenings."""

    @initialize(seed=st.integers(0, 1 << 16))
    def begin(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.disk = FaultInjectingDisk()
        self.judge = Judge()
        self.store = Store.open(self.disk, limits=TINY)
        self.held: list[tuple[Any, dict[bytes, bytes]]] = []

    @rule(change=st.dictionaries(KEYS, VALUES, min_size=1, max_size=6))
    def write(self, change: dict[bytes, bytes | None]) -> None:
        self.judge.write(self.store, change)

    @rule(change=st.dictionaries(KEYS, VALUES, min_size=1), calls=st.integers(1, 60))
    def crash_in_a_write(self, change: dict[bytes, bytes | None], calls: int) -> None:
        crash_at(self.disk, calls)
        try:
            self.judge.write(self.store, change)
            self.store.compact()
        except PowerLoss:
            pass
        self.crash()

    @rule()
    def crash(self) -> None:
        self.disk = self.disk.crash_image(self.rng)
        self.store = Store.open(self.disk, limits=TINY)
        found = content(self.store)
        assert self.judge.allows(found)
        self.judge.acknowledged, self.judge.begun = found, None
        self.held.clear()

    @rule()
    def compact(self) -> None:
        self.store.compact()

    @rule(budget=st.integers(1, 2000))
    def maintain(self, budget: int) -> None:
        self.store.maintain(budget)

    @rule()
    def reopen(self) -> None:
        self.store.close()
        self.store = Store.open(self.disk, limits=TINY)

    @precondition(lambda self: len(self.held) < 3)
    @rule()
    def hold(self) -> None:
        self.held.append((self.store.snapshot(), dict(self.judge.acknowledged)))

    @rule(prefix=st.sampled_from([b"a", b"\xff", b"z"]), key=KEYS)
    def read(self, prefix: bytes, key: bytes) -> None:
        expected = sorted(i for i in self.judge.acknowledged.items() if i[0].startswith(prefix))
        assert list(self.store.scan(prefix)) == expected
        assert self.store.get(key) == self.judge.acknowledged.get(key)

    @invariant()
    def all_is_there(self) -> None:
        assert content(self.store) == self.judge.acknowledged
        for snapshot, expected in self.held:
            assert dict(snapshot.scan()) == expected
        beside = Store.open(self.disk, read_only=True)
        assert content(beside) == self.judge.acknowledged and not beside.lost


StoreAgainstModel.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
test_the_store_against_a_model = StoreAgainstModel.TestCase
