"""Several processes of the program with relays between them, to be ended, stopped, cut off and brought
back.
"""

from __future__ import annotations

import asyncio
import json
import os
import resource
import shutil
import signal
import subprocess
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from random import Random

import aiohttp

from heronreel.coordination.client import Client
from heronreel.coordination.clock import CLOCK_RATE_VARIABLE
from heronreel.coordination.model import Range, RequestError
from heronreel.fault_injection.relay import Relay
from heronreel.fault_injection.schedule import HOLDER, MEMBER_KINDS, Fault

ROOT = Path(__file__).parents[2]


class Process:
    """A process of ours: its lines are read as they come, and it is ended with the harness."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self.process = process
        self.lines: list[str] = []
        self.fresh = asyncio.Condition()
        self.stopped = False
        streams = (process.stdout, process.stderr)
        self.readers = [asyncio.ensure_future(self._read(s)) for s in streams if s is not None]

    @classmethod
    async def start(cls, name: str, words: Sequence[str], env: dict[str, str] | None = None) -> Process:
        pipe = asyncio.subprocess.PIPE
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", *words, cwd=ROOT, stdout=pipe, stderr=pipe,
            env={**os.environ, **(env or {})},
        )  # fmt: skip
        return cls(name, process)

    async def _read(self, stream: asyncio.StreamReader) -> None:
        while line := await stream.readline():
            async with self.fresh:
                self.lines.append(line.decode(errors="replace").rstrip())
                self.fresh.notify_all()
        async with self.fresh:
            self.fresh.notify_all()

    async def line(self, *words: str, seconds: float = 30.0) -> str:
        """The first line that holds all the words; waits for it."""

        def found() -> str | None:
            return next((line for line in self.lines if all(word in line for word in words)), None)

        try:
            async with asyncio.timeout(seconds), self.fresh:
                await self.fresh.wait_for(lambda: found() or self.process.returncode is not None)
        except TimeoutError:
            pass
        line = found()
        assert line is not None, f"{self.name}: no line with {words}: {self.lines[-5:]}"
        return line

    def number(self) -> int:
        """The number it said it holds, last; 0 if it lost it since."""
        said = [line.split() for line in self.lines if line.startswith(("held ", "lost "))]
        return int(said[-1][1]) if said and said[-1][0] == "held" else 0

    def signal(self, number: int) -> None:
        if self.process.returncode is None:
            self.process.send_signal(number)

    def stop(self) -> None:
        self.stopped = True
        self.signal(signal.SIGSTOP)

    def go_on(self) -> None:
        self.stopped = False
        self.signal(signal.SIGCONT)

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        await self.ended()

    async def ended(self, seconds: float = 20.0) -> int:
        async with asyncio.timeout(seconds):
            return await self.process.wait()


class Harness:
    """A group of members with relays between each two of them, both ways apart, and before each for
    clients.
    """

    def __init__(
        self,
        folder: Path,
        names: Sequence[str],
        seed: int,
        *,
        patience_ms: int = 300,
        rates: Mapping[str, float] | None = None,
        more: str = "",
    ) -> None:
        """`rates`: how fast the clocks of processes go as they see them, by name; `more` stands in each
        member's file under [group].
        """
        self.rates = dict(rates or {})
        self.more = more
        self.folder = folder
        self.names = list(names)
        self.seed = seed
        self.random = Random(f"relays {seed}")
        self.patience_ms = patience_ms
        self.members: dict[str, Process] = {}
        self.between: dict[tuple[str, str], Relay] = {}  # from the first to the second
        self.front: dict[str, Relay] = {}
        self.others: list[Process] = []

    async def __aenter__(self) -> Harness:
        for name in self.names:
            await self._ways(name)
        await asyncio.gather(*(self.start(name) for name in self.names))
        return self

    async def _ways(self, name: str) -> None:
        """Relays before a member, and between it and those that have some already."""
        nowhere = ("127.0.0.1", 9)
        self.front[name] = await Relay(nowhere, self.random).start()
        for other in self.front:
            if other != name:
                for pair in ((name, other), (other, name)):
                    self.between[pair] = await Relay(nowhere, self.random).start()
        for (_, to), relay in self.between.items():
            relay.target = self.front[to].target

    async def add(self, name: str) -> None:
        """Start one more member, and tell the others by their files."""
        await self._ways(name)
        self.names.append(name)
        for other, process in self.members.items():
            self._file(other)
            process.signal(signal.SIGHUP)
        await self.start(name)

    async def remove(self, name: str) -> None:
        """End a member that was let go, and tell the others by their files."""
        await self.members.pop(name).kill()
        self.names.remove(name)
        for other, process in self.members.items():
            self._file(other)
            process.signal(signal.SIGHUP)

    async def __aexit__(self, *_: object) -> None:
        for process in (*self.members.values(), *self.others):
            if process.process.returncode is None:
                await process.kill()
            with (self.folder / f"{process.name}.log").open("a") as file:
                file.writelines(f"{line}\n" for line in process.lines)
        for relay in (*self.between.values(), *self.front.values()):
            await relay.stop()

    @property
    def addresses(self) -> list[str]:
        return [self.front[name].address for name in self.names]

    def _env(self, name: str, env: dict[str, str]) -> dict[str, str]:
        return {CLOCK_RATE_VARIABLE: f"{self.rates[name]:g}", **env} if name in self.rates else env

    def _file(self, name: str) -> Path:
        """The member's file: it finds the others behind the relays."""
        times = f"beat_ms = 50\npatience_ms = {self.patience_ms}\nrequest_ms = 1500"
        lines = [f"[group]\n{times}\neven = true\n{self.more}\n"]
        for other in self.names:
            relay = self.front[name] if other == name else self.between[name, other]
            lines.append(f'[[members]]\nname = "{other}"\naddress = "{relay.address}"\n')
        file = self.folder / f"{name}.toml"
        file.write_text("\n".join(lines))
        return file

    async def start(self, name: str, **env: str) -> Process:
        """Start a member, or start it again; relays find its new port."""
        words = ("heronreel.cli", "coordinate", str(self._file(name)), "--name", name)
        disk = str(self.folder / name)
        env = self._env(name, env)
        process = await Process.start(name, (*words, "--folder", disk, "--listen", "127.0.0.1:0"), env)
        self.members[name] = process
        line = await process.line('"listening"')
        port = int(line.split('"port": ')[1].split(",")[0])
        for relay in (self.front[name], *(r for (_, to), r in self.between.items() if to == name)):
            relay.target = ("127.0.0.1", port)
        return process

    async def run(self, name: str, *words: str, **env: str) -> Process:
        """Another process beside the members."""
        process = await Process.start(name, words, self._env(name, env))
        self.others.append(process)
        return process

    def said(self, *words: str, code: int = 0) -> str:
        """What a command tells of this group, on either output.  Raises AssertionError for another code."""
        members = ",".join(f"{name}={self.front[name].address}" for name in self.names)
        line = [sys.executable, "-m", "heronreel.cli", *words, "--members", members]
        done = subprocess.run(line, cwd=ROOT, capture_output=True, text=True, check=False)
        assert done.returncode == code, done
        return done.stdout + done.stderr

    async def serves(self, seconds: float = 20.0) -> None:
        """Wait until the group answers."""
        async with Client(self.addresses, answer_s=0.5) as client:
            async with asyncio.timeout(seconds):
                while True:
                    try:
                        await client.call(Range(b"nothing"), 1.0)
                        return
                    except RequestError:
                        await asyncio.sleep(0.02)

    async def health(self) -> list[str]:
        """What each member says of itself, or that it says nothing."""
        told: list[str] = []
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0)) as session:
            for name in self.names:
                try:
                    async with session.get(f"http://{self.front[name].address}/health") as answer:
                        told.append(await answer.text())
                except (aiohttp.ClientError, TimeoutError, OSError) as error:
                    told.append(f"{name}: {error!r}")
        return told

    async def leader(self, seconds: float = 20.0) -> str:
        """The name of the member that leads."""
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=0.5)) as session:
            async with asyncio.timeout(seconds):
                while True:
                    for name in self.names:
                        try:
                            async with session.get(f"http://{self.front[name].address}/health") as answer:
                                if (await answer.json())["role"] == "leader":
                                    return name
                        except (aiohttp.ClientError, TimeoutError, OSError):
                            continue
                    await asyncio.sleep(0.02)

    def ways(self, name: str) -> list[Relay]:
        """All relays between a member and the others."""
        return [relay for pair, relay in self.between.items() if name in pair]

    def cut(self, name: str, on: bool = True) -> None:
        """Cut a member off from the others, or end that."""
        for relay in self.ways(name):
            relay.out.cut = relay.back.cut = on
            if not on:
                relay.heal()

    def fill(self, name: str, on: bool = True) -> None:
        """Leave no room for what a member writes, or give it back: files of it can't grow."""
        pid = self.members[name].process.pid
        _, hard = resource.prlimit(pid, resource.RLIMIT_FSIZE)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (0 if on else hard, hard))

    async def play(
        self, faults: Sequence[Fault], workers: dict[str, Process], again: dict[str, list[str]]
    ) -> None:
        """Carry out a schedule; `again` has the words to start a worker anew.

        Members are harmed one after the other, each once the group is whole again, however busy the machine
        is.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        turn = asyncio.Lock()

        async def one(fault: Fault) -> None:
            await asyncio.sleep(max(0.0, began + fault.at - loop.time()))
            if fault.kind not in MEMBER_KINDS:
                await self.harm(fault, workers, again)
                return
            async with turn:
                await self.whole()
                await self.harm(fault, workers, again)

        await asyncio.gather(*(one(fault) for fault in faults))
        await self.whole()

    async def whole(self, seconds: float = 20.0) -> None:
        """Wait until one leads, and every member's disk counts and follows it.  Raises AssertionError."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while True:
            told = await self.health()
            rows = [json.loads(row) for row in told if row.startswith("{")]
            leads = [row for row in rows if row["role"] == "leader"]
            if len(rows) == len(self.names) and len(leads) == 1:
                (leader,) = leads
                same = all(row["version"][:2] == leader["version"][:2] for row in rows)
                if same and all(leader["disks"].get(row["member"]) == row["disk"] for row in rows):
                    return
            assert loop.time() < until, f"not whole within {seconds:g} s: {told}"
            await asyncio.sleep(0.05)

    async def harm(self, fault: Fault, workers: dict[str, Process], again: dict[str, list[str]]) -> None:
        """One fault, from its begin to its end."""
        kind, who = fault.kind, fault.who
        if who == HOLDER:
            who = max(workers, key=lambda name: workers[name].number())
        if kind in ("kill", "lose-disk"):
            await self.members[who].kill()
            if kind == "lose-disk":
                shutil.rmtree(self.folder / who)
            await asyncio.sleep(fault.seconds)
            await self.start(who)
        elif kind == "stop":
            self.members[who].stop()
            await asyncio.sleep(fault.seconds)
            self.members[who].go_on()
        elif kind == "cut":
            self.cut(who)
            await asyncio.sleep(fault.seconds)
            self.cut(who, on=False)
        elif kind in ("one-way", "slow"):
            relay = self.between[who, fault.other]
            relay.out.cut = kind == "one-way"
            relay.out.delay = 0.3 if kind == "slow" else 0.0
            await asyncio.sleep(fault.seconds)
            relay.heal()
        elif kind == "reset":
            for relay in self.ways(who):
                relay.reset()
        elif kind in ("lost-answers", "twice", "trickle"):
            relay = self.front[who]
            relay.back.cut = kind == "lost-answers"
            relay.twice = 0.3 if kind == "twice" else 0.0
            relay.out.trickle = 40 if kind == "trickle" else 0
            await asyncio.sleep(fault.seconds)
            relay.heal()
        elif kind == "reset-clients":
            self.front[who].reset()
        elif kind == "stop-worker":
            workers[who].stop()
            await asyncio.sleep(fault.seconds)
            workers[who].go_on()
        elif kind == "kill-worker":
            await workers[who].kill()
            await asyncio.sleep(fault.seconds)
            workers[who] = await self.run(who, *again[who])
        else:
            raise ValueError(kind)
