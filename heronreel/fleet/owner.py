"""One instance's owner at work: the agent's core, its record in a store, its process, and its readiness."""

from __future__ import annotations

import asyncio
import signal
import time
from collections import deque
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
import structlog

from heronreel.coordination.clock import boot_clock
from heronreel.coordination.crash_points import CrashPoints
from heronreel.fleet import processes
from heronreel.fleet.agent import (
    Actions,
    Agent,
    Answer,
    Keep,
    Kept,
    Order,
    Quiesce,
    Signal,
    Stage,
    Start,
    Terms,
)
from heronreel.fleet.machine import InstanceRow, Machine
from heronreel.fleet.model import Instance, Kind
from heronreel.store import Store, StoreError

LOOK_S = 0.1  # between two questions whether a process is ready

log = structlog.get_logger()


class Owner:
    """Drives one core.  All of its events come in the loop; records go to the disk one after the other."""

    def __init__(self, machine: Machine, row: InstanceRow, store: Store) -> None:
        self.machine = machine
        self.row = row
        self.store = store
        self.key = f"instance/{row.name}".encode()
        # by the folder, which one agent alone can have: another's processes are not ours to end
        self.mark = f"{Path(machine.agent.folder).resolve()}/{row.name}"
        self.now = boot_clock()
        self.points = CrashPoints()
        self.answers: list[asyncio.Future[Answer]] = []
        self.to_keep: deque[Kept] = deque()
        self.keeping = False  # somebody writes them
        self.ordering = asyncio.Lock()
        self.stop_watching: Callable[[], None] = lambda: None
        self.changed = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False
        self.core = self._found()

    def _found(self) -> Agent:
        """The core as its record has it, once every process of ours that the record does not name is gone."""
        data = self.store.get(self.key)
        kept = Kept() if data is None else msgspec.msgpack.decode(data, type=Kept)
        known = kept.process
        for pid, at in processes.marked(self.mark):
            if known is None or (pid, at) != (known.pid, known.began):
                # started by an agent that was killed before it could write it down
                log.warning("ends a process that nobody knows", instance=self.row.name, pid=pid)
                stray = processes.Process(pid, at, "")
                processes.send(stray, signal.SIGKILL)
                while processes.alive(stray):
                    time.sleep(0.002)  # it is gone within moments, and nothing may be started beside it
        is_there = known is not None and processes.alive(known)
        table = self.machine.agent
        terms = Terms(table.start_s, table.drain_s, table.end_s)
        core = Agent(kept, self.now(), terms, alive=is_there)
        # looks are counted on over the agent's own restarts
        epochs = self.store.get(self.key + b"/epochs")
        epoch = 1 + (0 if epochs is None else int(epochs))
        self.store.put(self.key + b"/epochs", b"%d" % epoch)
        core.looked = epoch << 32
        return core

    async def run(self) -> None:
        """Until it is cancelled; the process goes on."""
        if self.core.process is not None and self.core.stage is not Stage.NONE:
            self._watch()
        self._event(self.core.tick(self.now()))
        try:
            async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0)) as self.session:
                while True:
                    await self._ask_ready()
                    await asyncio.sleep(LOOK_S)
        finally:
            self.closed = True
            self.stop_watching()
            if self.timer is not None:
                self.timer.cancel()

    async def order(self, order: Order) -> Answer:
        """Carry an order to the core; the answer comes once it is durable."""
        async with self.ordering:
            self.points.reach("order")
            answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
            self.answers.append(answer)
            self._event(self.core.told(self.now(), order))
            told = await answer
            self.points.reach("ordered")
            return told

    def look(self) -> Instance:
        """What is seen now, for the account."""
        looked, condition, number = self.core.look()
        row, process = self.row, self.core.process
        start = "" if process is None else f"{process.pid}.{process.began}"
        return Instance(
            Kind.PROXY, row.name, row.zone, row.group, "", row.capacity, condition,
            owner=self.machine.agent.name, start=start, looked=looked, number=number,
            version="" if process is None else process.version,
        )  # fmt: skip

    # -- the core's actions

    def _event(self, actions: Actions) -> None:
        if self.closed:
            return
        before = self.core.condition()
        for action in actions:
            if isinstance(action, Keep):
                self.to_keep.append(action.kept)
                if not self.keeping:
                    self.keeping = True
                    self._spawn(self._keep())
            elif isinstance(action, Answer):
                if self.answers:
                    self.answers.pop(0).set_result(action)
            elif isinstance(action, Start):
                self._start(action.version)
            elif isinstance(action, Signal):
                number = signal.SIGKILL if action.kill else signal.SIGTERM
                log.info("ends", instance=self.row.name, pid=action.process.pid, kill=action.kill)
                processes.send(action.process, number)
            elif isinstance(action, Quiesce):
                self._spawn(self._quiesce(action.on))
        if self.core.condition() is not before:
            log.info("is", instance=self.row.name, condition=self.core.condition().value, why=self.core.why)
        self.changed.set()
        if self.timer is not None:
            self.timer.cancel()
        delay = max(0.01, self.core.wake() - self.now())
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(min(delay, 1.0), lambda: self._event(self.core.tick(self.now())))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _keep(self) -> None:
        """Write what waits for the disk, in order; what could not be written down is not done."""
        while self.to_keep:
            self.points.reach("keep")
            try:
                data = msgspec.msgpack.encode(self.to_keep[0])
                await asyncio.to_thread(self.store.put, self.key, data)
            except (StoreError, OSError) as error:
                log.error("disk refuses", instance=self.row.name, error=str(error))
                await asyncio.sleep(0.5)
                continue
            self.points.reach("kept")
            self.to_keep.popleft()
            self._event(self.core.kept(self.now()))
        self.keeping = False

    def _start(self, version: str) -> None:
        words = self.machine.versions.get(version)
        self.points.reach("start")
        try:
            if words is None:
                raise OSError(f"version {version!r} is none of this machine's")
            row = self.row
            filled = [word.replace("{name}", row.name).replace("{listen}", row.listen) for word in words]
            log_file = Path(self.machine.agent.folder) / f"{self.row.name}.log"
            process = processes.start(filled, self.mark, log_file)
        except OSError as error:
            log.error("does not start", instance=self.row.name, version=version, error=str(error))
            why = str(error)
            loop = asyncio.get_running_loop()
            loop.call_soon(lambda: self._event(self.core.ended(self.now(), why)))
            return
        self.points.reach("started")
        log.info("started", instance=self.row.name, version=version, pid=process.pid)
        self._event(self.core.started(self.now(), msgspec.structs.replace(process, version=version)))
        self._watch(msgspec.structs.replace(process, version=version))

    def _watch(self, process: processes.Process | None = None) -> None:
        process = process or self.core.process
        assert process is not None
        self.stop_watching()

        def ended(why: str) -> None:
            log.info("ended", instance=self.row.name, pid=process.pid, why=why)
            self._event(self.core.ended(self.now(), why))

        self.stop_watching = processes.watch(asyncio.get_running_loop(), process, ended)

    async def _ask_ready(self) -> None:
        if self.core.stage is not Stage.STARTING or self.core.process is None:
            return
        version = self.core.process.version
        try:
            async with self.session.get(f"http://{self.row.listen}/_health") as answer:
                if answer.status == 200:
                    self._event(self.core.ready(self.now(), version))
        except (aiohttp.ClientError, TimeoutError, OSError):
            return

    async def _quiesce(self, on: bool) -> None:
        """Have it take nobody new, where it has an address for that; else its end drains it."""
        if not self.row.mgmt:
            if on:
                self._event(self.core.empty(self.now()))
            return
        url = f"http://{self.row.mgmt}/admin/{'quiesce' if on else 'resume'}"
        try:
            async with self.session.post(url) as answer:
                log.info("quiesce" if on else "resume", instance=self.row.name, status=answer.status)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            log.error("is not told", instance=self.row.name, error=str(error))
