"""One trial of leases between processes: members, workers on one task, a guarded place, seeded faults,
judges.

`judged` looks only at what the place took and at when workers began: nothing that the group or a worker
says of itself counts.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from heronreel.coordination.client import Client
from heronreel.coordination.errors import RequestError
from heronreel.coordination.model import (
    Compare,
    CompareOperator,
    CompareTarget,
    Put,
    Range,
    RangeResponse,
    Txn,
    TxnResponse,
)
from heronreel.fault_injection.histories import Call, History, read
from heronreel.fault_injection.linear import CAS, READ, wrong
from heronreel.fault_injection.processes import Harness, Process
from heronreel.fault_injection.schedule import Fault, drawn

KEYS = ("x", "y", "z")


class Outcome(NamedTuple):
    """What a trial came to; `problems` is empty where every promise was kept."""

    problems: tuple[str, ...]
    steps: int  # taken by the place
    holders: int  # grants that acted
    refused: int  # actions of holders that had been followed
    calls: int  # in the history of compare-and-set
    recovery_s: float  # from the end of the faults to the next step


async def trial(
    folder: Path,
    seed: int,
    *,
    members: Sequence[str] = ("a", "b", "c"),
    workers: int = 8,
    seconds: float = 12.0,
    ttl: int = 2,
    faults: Sequence[Fault] | None = None,
    within: float = 15.0,
    rates: Mapping[str, float] | None = None,
) -> Outcome:
    """Play the schedule of `seed`, or `faults`, and judge it.  After the faults a step has to come
    `within`.  `rates` of the clocks as members and workers see them, by name.
    """
    names = [f"w{number}" for number in range(workers)]
    plan = drawn(seed, members, names, seconds) if faults is None else list(faults)
    async with Harness(folder, members, seed, rates=rates) as harness:
        place_history = folder / "place.history"
        table = str(folder / "place")
        place = await harness.run("place", "heronreel.fault_injection.place", table, str(place_history))
        port = (await place.line("listens")).split()[1]
        again = {
            name: [
                "heronreel.fault_injection.worker",
                name,
                str(folder / f"{name}.history"), f"127.0.0.1:{port}",
                str(ttl), *harness.addresses,
            ]
            for name in names
        }  # fmt: skip
        await harness.serves()
        running: dict[str, Process] = {name: await harness.run(name, *again[name]) for name in names}
        stop = asyncio.Event()
        clients = [
            asyncio.ensure_future(_registers(harness, folder, seed, number, stop)) for number in range(4)
        ]
        await _step(place_history, 1, within)
        loop = asyncio.get_running_loop()
        problems: list[str] = []
        try:
            await harness.play(plan, running, again)
        except AssertionError as error:
            problems.append(str(error))
        ended = loop.time()
        try:
            await _step(place_history, len(read([place_history])) + 1, within)
        except TimeoutError:
            problems.append(f"no step within {within:g} s of the last fault")
            problems += await harness.health()
        recovery = loop.time() - ended
        stop.set()
        await asyncio.gather(*clients)
        for process in running.values():
            process.stop()  # nothing more is written while the judges read
    histories = [folder / f"{name}.history" for name in names]
    placed = read([place_history])
    acts = read(path for path in histories if path.exists())
    registers = read(folder.glob("client*.history"))
    problems += judged(placed, acts)
    if why := wrong(registers):
        problems.append(why)
    taken = [call for call in placed if call.what == "taken"]
    return Outcome(
        tuple(problems), len(taken), len({call.given["number"] for call in taken}),
        sum(call.what == "refused" for call in placed), len(registers), recovery,
    )  # fmt: skip


async def _step(history: Path, count: int, within: float) -> None:
    """Wait until the place has that many lines."""
    async with asyncio.timeout(within):
        while not history.exists() or history.read_bytes().count(b"\n") < count:
            await asyncio.sleep(0.02)


def judged(placed: Sequence[Call], acts: Sequence[Call]) -> list[str]:
    """What is wrong with the order in which the place took things; `acts` has when workers began."""
    problems: list[str] = []
    greatest = 0
    step = 0
    holder: dict[int, str] = {}  # by number
    begun: dict[tuple[str, int, int], float] = {}  # an action's first begin
    for call in acts:
        number, wanted = call.given
        begun.setdefault((call.by, number, wanted), call.begin)
    last: tuple[float, str] = (0.0, "")  # when something was taken last, and of whom
    for call in placed:
        row: dict[str, Any] = call.given
        number, by = row["number"], row["by"]
        if call.what not in ("entered", "taken"):
            continue
        if number < greatest:
            problems.append(f"number {number} of {by} is taken after {greatest}")
        greatest = max(greatest, number)
        if holder.setdefault(number, by) != by:
            problems.append(f"number {number} is of {holder[number]} and of {by}")
        if call.what == "entered":
            continue
        if row["step"] != step + 1:
            problems.append(f"step {row['step']} is taken after step {step}")
        step = row["step"]
        start = begun.get((by, number, step))
        if start is None:
            problems.append(f"step {step} of {by} was never begun")
        elif last[1] and last[1] != by and start < last[0]:
            problems.append(f"step {step} of {by} began while {last[1]} acted")
        last = call.begin, by
    return problems


async def _registers(harness: Harness, folder: Path, seed: int, number: int, stop: asyncio.Event) -> None:
    """Read, write and compare-and-set a few keys, and keep what was seen."""
    rng = random.Random(f"client {seed} {number}")
    history = History(folder / f"client{number}.history", f"c{number}")
    first = rng.randrange(len(harness.addresses))
    addresses = harness.addresses[first:] + harness.addresses[:first]
    count = 0
    async with Client(addresses, response_timeout_s=0.5) as client:
        while not stop.is_set():
            key = rng.choice(KEYS)
            count += 1
            fresh = f"{number}.{count}"
            kind = rng.choice((READ, CAS, CAS))  # a plain write that is doubled may come back later
            given: list[str | None] = [key]
            seen: str | None = None
            if kind == CAS:
                try:
                    seen = _value(await client.call(Range(key.encode()), 1.0))
                except RequestError:
                    continue
                given = [key, seen, fresh]
            mark = history.begin(kind, given)
            try:
                result = await _asked(client, key.encode(), kind, seen, fresh.encode())
                history.end(mark, result)
            except RequestError:
                pass  # a call without an answer: nobody knows, or it was not done, which is one of the cases
            await asyncio.sleep(rng.uniform(0.0, 0.03))
    history.close()


async def _asked(client: Client, key: bytes, kind: str, seen: str | None, fresh: bytes) -> Any:
    if kind == READ:
        return _value(await client.call(Range(key), 1.0))
    if seen is None:
        same = Compare(key, CompareTarget.CREATE, CompareOperator.EQUAL, 0)
    else:
        same = Compare(key, CompareTarget.VALUE, CompareOperator.EQUAL, seen.encode())
    done = await client.call(Txn((same,), (Put(key, fresh),)), 1.0)
    assert isinstance(done, TxnResponse)
    return done.succeeded


def _value(found: object) -> str | None:
    assert isinstance(found, RangeResponse)
    return found.records[0][1].value.decode() if found.records else None
