"""Compares the store with sqlite3 (WAL, full synchronisation), alternating in one run on one disk.

    PYTHONPATH=. .venv-cli/bin/python bench/store.py [--folder FOLDER] [--keys 1000000] [--seconds 2]

Measures durable writes per second with 1, 8 and 64 writers (threads, and coroutines of the asyncio
interface), point reads, the time to open a store with a million keys, the ratio of disk bytes to live data,
resident memory, write amplification and the longest pause.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import shutil
import sqlite3
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from heronreel.store import AsyncStore, Store

VALUE = bytes(range(100))


def key_of(number: int) -> bytes:
    return b"club/%08d" % (number * 7919 % 100_000_007)


def sqlite(path: Path) -> sqlite3.Connection:
    connection = sqlite3.connect(path / "db", isolation_level=None, check_same_thread=False, timeout=60)
    connection.execute("pragma journal_mode=wal")
    connection.execute("pragma synchronous=full")
    connection.execute("create table if not exists t(k blob primary key, v blob) without rowid")
    return connection


def run_threads(
    count: int, seconds: float, make: Callable[[int], Callable[[bytes], None]]
) -> tuple[float, float]:
    """Return the writes per second of `count` threads, and the longest write in milliseconds."""
    end, done, worst = time.perf_counter() + seconds, [0] * count, [0.0] * count

    def work(name: int) -> None:
        put, number = make(name), 0
        while (now := time.perf_counter()) < end:
            put(key_of(name * 1_000_003 + number))
            number += 1
            worst[name] = max(worst[name], time.perf_counter() - now)
        done[name] = number

    workers = [threading.Thread(target=work, args=(name,)) for name in range(count)]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    return sum(done) / seconds, max(worst) * 1000


def store_threads(folder: Path, writers: int, seconds: float) -> tuple[float, float]:
    with Store.open(folder) as store:
        return run_threads(writers, seconds, lambda name: lambda key: store.put(key, VALUE))


def store_asyncio(folder: Path, writers: int, seconds: float) -> tuple[float, float]:
    async def play() -> tuple[float, float]:
        worst = 0.0
        async with await AsyncStore.open(folder) as store:
            end = time.perf_counter() + seconds

            async def work(name: int) -> int:
                nonlocal worst
                number = 0
                while (now := time.perf_counter()) < end:
                    await store.put(key_of(name * 1_000_003 + number), VALUE)
                    number += 1
                    worst = max(worst, time.perf_counter() - now)
                return number

            return sum(await asyncio.gather(*map(work, range(writers)))) / seconds, worst * 1000

    return asyncio.run(play())


def sqlite_connections(folder: Path, writers: int, seconds: float) -> tuple[float, float]:
    """Use one connection per thread and one transaction per write, as sqlite3 offers for many writers."""
    sqlite(folder).close()

    def make(name: int) -> Callable[[bytes], None]:
        connection = sqlite(folder)
        return lambda key: connection.execute("insert or replace into t values (?, ?)", (key, VALUE)) and None

    return run_threads(writers, seconds, make)


def sqlite_shared(folder: Path, writers: int, seconds: float) -> tuple[float, float]:
    """Share one locked connection between all threads, the best case of sqlite3 without manual batching."""
    connection, lock = sqlite(folder), threading.Lock()

    def put(key: bytes) -> None:
        with lock:
            connection.execute("insert or replace into t values (?, ?)", (key, VALUE))

    return run_threads(writers, seconds, lambda name: put)


def fill_store(folder: Path, keys: int) -> dict[str, float]:
    began, steps = time.perf_counter(), 0.0
    with Store.open(folder) as store:
        for start in range(0, keys, 100):
            store.write([[(key_of(number), VALUE) for number in range(start, min(start + 100, keys))]])
        steps = store.counters.longest_step_ms
        counters = store.counters
        amplification = (
            counters.log_bytes + counters.flushed_bytes + counters.compacted_bytes
        ) / counters.payload_bytes
    return {
        "seconds": time.perf_counter() - began, "write_amplification": amplification,
        "longest_step_ms": steps, "stalls": counters.stalls,
    }  # fmt: skip


def fill_sqlite(folder: Path, keys: int) -> dict[str, float]:
    began, connection = time.perf_counter(), sqlite(folder)
    for start in range(0, keys, 100):
        connection.execute("begin")
        connection.executemany(
            "insert or replace into t values (?, ?)",
            [(key_of(number), VALUE) for number in range(start, min(start + 100, keys))],
        )
        connection.execute("commit")
    connection.close()
    return {"seconds": time.perf_counter() - began}


CHILD = """
import json, sys, time, os, random
sys.path.insert(0, {root!r})
which, folder, keys = sys.argv[1], sys.argv[2], int(sys.argv[3])
from bench.store import key_of, sqlite
from pathlib import Path
from heronreel.store import Store
def rss(): return int(open('/proc/self/status').read().split('VmRSS:')[1].split()[0]) / 1024
before, began = rss(), time.perf_counter()
if which == 'store':
    store = Store.open(folder); get = store.get
else:
    db = sqlite(Path(folder))
    get = lambda key: (db.execute('select v from t where k = ?', (key,)).fetchone() or (None,))[0]
opened = time.perf_counter()
assert get(key_of(7)) is not None
first = time.perf_counter()
rng = random.Random(4)
present = [key_of(rng.randrange(keys)) for _ in range(20000)]
missing = [b'none/%d' % n for n in range(20000)]
for key in present: get(key)
at = time.perf_counter()
for key in present: assert get(key)
hit = time.perf_counter() - at
at = time.perf_counter()
for key in missing: assert get(key) is None
miss = time.perf_counter() - at
print(json.dumps(dict(open_ms=(opened - began) * 1000, first_read_ms=(first - opened) * 1000,
    reads=len(present) / hit, misses=len(missing) / miss, memory_mb=rss() - before)))
"""


def measure_reads(which: str, folder: Path, keys: int) -> dict[str, float]:
    """Return the medians of five measurements, each in a separate process."""
    root = str(Path(__file__).parent.parent)
    command = [sys.executable, "-c", CHILD.format(root=root), which, str(folder), str(keys)]
    rounds = []
    for _ in range(5):
        rounds.append(json.loads(subprocess.run(command, capture_output=True, check=True, text=True).stdout))
    return {name: statistics.median(values[name] for values in rounds) for name in rounds[0]}


def size(folder: Path) -> int:
    return sum(file.stat().st_size for file in folder.iterdir())


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument(
        "--folder", default=None, help="folder on the disk to measure; default: the current folder"
    )
    parser.add_argument("--keys", type=int, default=1_000_000)
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    base = Path(tempfile.mkdtemp(dir=options.folder or ".", prefix="bench-store-"))
    try:
        variants = {
            "store, threads": store_threads,
            "store, asyncio": store_asyncio,
            "sqlite3": sqlite_connections,
            "sqlite3, one": sqlite_shared,
        }
        print("durable writes per second (longest write), median of alternating rounds")
        for writers in (1, 8, 64):
            results: dict[str, list[tuple[float, float]]] = {name: [] for name in variants}
            for turn in range(options.rounds):
                for name, variant in variants.items():
                    folder = base / f"{name}-{writers}-{turn}"
                    folder.mkdir()
                    results[name].append(variant(folder, writers, options.seconds))
                    shutil.rmtree(folder)
            rates = {name: statistics.median(rate for rate, _ in values) for name, values in results.items()}
            best = max(rate for name, rate in rates.items() if "sqlite3" in name)
            for name, rate in rates.items():
                worst = statistics.median(longest_ms for _, longest_ms in results[name])
                ratio = rate / best
                print(f"  {writers:2} {name:14} {rate:9,.0f}  {ratio:5.2f} of sqlite3  ({worst:.0f} ms)")
        stores = {"store": base / "a", "sqlite3": base / "b"}
        for folder in stores.values():
            folder.mkdir()
        filled = {
            "store": fill_store(stores["store"], options.keys),
            "sqlite3": fill_sqlite(stores["sqlite3"], options.keys),
        }
        live = sum(len(key_of(number)) for number in range(options.keys)) + len(VALUE) * options.keys
        print(f"{options.keys:,} keys of 13 bytes, values of {len(VALUE)}, in batches of 100")
        for name, folder in stores.items():
            text = ", ".join(f"{metric} {value:.2f}" for metric, value in filled[name].items())
            print(f"  {name:8} filled: {text}")
            print(f"  {name:8} disk over live data: {size(folder) / live:.2f}")
            for metric, value in measure_reads(name, folder, options.keys).items():
                print(f"  {name:8} {metric:14} {value:12,.2f}")
        with Store.open(stores["store"]) as store:
            stat = store.stat()
            for key in (key_of(random.randrange(options.keys)) for _ in range(1000)):
                store.get(key)
            stat = store.stat()
            per_key, runs = stat["index_bytes"] / options.keys, len(stat["runs"])
            print(f"  store    index bytes per key: {per_key:.2f}, runs {runs}")
            began = time.perf_counter()
            store.compact()
            took, step = time.perf_counter() - began, store.counters.longest_step_ms
            over = size(stores["store"]) / live
            print(
                f"  store    compacted in {took:.1f} s, longest step {step:.0f} ms, disk over live {over:.2f}"
            )
        # Opening after a crash has to replay a full log.
        crashed = base / "c"
        crashed.mkdir()
        code = (
            f"import sys, os; sys.path.insert(0, {str(Path(__file__).parent.parent)!r})\n"
            "from bench.store import key_of, VALUE\nfrom heronreel.store import Store\n"
            "s = Store.open(sys.argv[1])\nn = 0\n"
            "while s.stat()['memory_bytes'] < 4000000:\n"
            "    s.write([[(key_of(n + i), VALUE) for i in range(50)]]); n += 50\n"
            "os._exit(0)"
        )
        subprocess.run([sys.executable, "-c", code, str(crashed)], check=True)
        began = time.perf_counter()
        with Store.open(crashed) as store:
            took = (time.perf_counter() - began) * 1000
            print(f"  store    opened after a crash with a full log: {took:.0f} ms")
    finally:
        shutil.rmtree(base)


if __name__ == "__main__":
    main()
