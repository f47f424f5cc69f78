"""Supervision of one instance: executes the actions of its lifecycle on the disk and on its process."""

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
from heronreel.fleet.agent_settings import AgentSettings, InstanceTable
from heronreel.fleet.errors import UnknownVersionError
from heronreel.fleet.instance_lifecycle import DRAIN_STAGES, InstanceLifecycle
from heronreel.fleet.lifecycle_messages import (
    Action,
    Actions,
    Command,
    CommandResult,
    LifecycleTimeouts,
    Persist,
    PersistedState,
    ProcessIdentity,
    ProcessStage,
    SetQuiesced,
    SignalProcess,
    StartProcess,
)
from heronreel.fleet.model import Instance, InstanceKind
from heronreel.store import Store, StoreError

HEALTH_CHECK_INTERVAL_S = 0.1  # health checks run while a process is starting or draining
CHECKED_STAGES = (ProcessStage.STARTING, *DRAIN_STAGES)
HTTP_TIMEOUT_S = 1.0
PERSIST_RETRY_S = 0.5
EXIT_POLL_S = 0.002  # interval of checks whether a killed orphan process has exited
MIN_TICK_DELAY_S = 0.01
MAX_TICK_DELAY_S = 1.0
# The observation count starts at the number of agent starts, shifted left by this number of bits.
EPOCH_BITS = 32

log = structlog.get_logger()


class ProcessSupervisor:
    """Drives the lifecycle of one instance.

    All events are handled in the event loop; states are written to the store one after the other.
    """

    def __init__(self, settings: AgentSettings, instance: InstanceTable, store: Store) -> None:
        """Restore the instance's process, and kill processes that an agent started but did not record."""
        self.settings = settings
        self.instance = instance
        self.store = store
        self.key = f"instance/{instance.name}".encode()
        # The folder identifies the agent, because only one agent can have it open: an agent must not kill
        # processes of another agent.
        self.owner = f"{Path(settings.agent.folder).resolve()}/{instance.name}"
        self.now = boot_clock()
        self.crash_points = CrashPoints()
        self.pending_results: deque[asyncio.Future[CommandResult]] = deque()
        self.unpersisted: deque[PersistedState] = deque()
        self.persisting = False
        self.command_lock = asyncio.Lock()
        self.stop_watching: Callable[[], None] = lambda: None
        self.changed = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False
        self.session: aiohttp.ClientSession  # set by `run`
        self.lifecycle = self._restore()

    async def run(self) -> None:
        """Supervise until cancelled; the process keeps running."""
        process = self.lifecycle.process
        if process is not None and self.lifecycle.stage is not ProcessStage.NONE:
            self._watch(process)
        self._carry_out(self.lifecycle.tick(self.now()))
        try:
            timeout = aiohttp.ClientTimeout(total=HTTP_TIMEOUT_S)
            async with aiohttp.ClientSession(timeout=timeout) as self.session:
                while True:
                    await self._check_health()
                    await asyncio.sleep(HEALTH_CHECK_INTERVAL_S)
        finally:
            self.close()

    def close(self) -> None:
        """Stop reacting to events."""
        self.closed = True
        self.stop_watching()
        if self.timer is not None:
            self.timer.cancel()

    async def command(self, command: Command) -> CommandResult:
        """Pass a command to the lifecycle; returns once its result is durable."""
        async with self.command_lock:
            self.crash_points.reach("command")
            result: asyncio.Future[CommandResult] = asyncio.get_running_loop().create_future()
            self.pending_results.append(result)
            self._carry_out(self.lifecycle.command(self.now(), command))
            await result
            self.crash_points.reach("commanded")
            return result.result()

    def observe(self) -> Instance:
        """Make a new observation to report to the group."""
        observation = self.lifecycle.observe()
        process = self.lifecycle.process
        return Instance(
            InstanceKind.PROXY,
            self.instance.name,
            self.instance.zone,
            self.instance.group,
            capacity=self.instance.capacity,
            condition=observation.condition,
            owner=self.settings.agent.name,
            incarnation="" if process is None else f"{process.pid}.{process.start_time}",
            observation=observation.sequence,
            fencing_token=observation.fencing_token,
            version="" if process is None else process.version,
        )

    # -- restoring the state of an earlier agent

    def _restore(self) -> InstanceLifecycle:
        """Restore the lifecycle from the persisted state, after every orphan process has exited."""
        data = self.store.get(self.key)
        state = PersistedState() if data is None else msgspec.msgpack.decode(data, type=PersistedState)
        self._kill_orphans(state.process)
        table = self.settings.agent
        timeouts = LifecycleTimeouts(table.start_s, table.drain_s, table.end_s)
        alive = state.process is not None and processes.is_alive(state.process)
        lifecycle = InstanceLifecycle(state, self.now(), timeouts, alive=alive)
        lifecycle.observation_count = self._next_epoch() << EPOCH_BITS
        return lifecycle

    def _kill_orphans(self, recorded: ProcessIdentity | None) -> None:
        """Kill processes of this instance that are not recorded.

        They are left by an earlier agent that was killed between starting a process and recording it.
        """
        recorded_identity = None if recorded is None else (recorded.pid, recorded.start_time)
        for process in processes.owned_by(self.owner):
            if (process.pid, process.start_time) == recorded_identity:
                continue
            log.warning("orphan process killed", instance=self.instance.name, pid=process.pid)
            processes.send_signal(process, signal.SIGKILL)
            while processes.is_alive(process):
                # the process exits within moments, and no second one may be started beside it
                time.sleep(EXIT_POLL_S)

    def _next_epoch(self) -> int:
        """Count the starts of the agent, so that observation counts increase across its restarts."""
        key = self.key + b"/epochs"
        stored = self.store.get(key)
        epoch = 1 + (0 if stored is None else int(stored))
        self.store.put(key, b"%d" % epoch)
        return epoch

    # -- the actions of the lifecycle

    def _carry_out(self, actions: Actions) -> None:
        if self.closed:
            return
        condition_before = self.lifecycle.condition
        for action in actions:
            self._carry_out_action(action)
        if self.lifecycle.condition is not condition_before:
            log.info(
                "condition changed",
                instance=self.instance.name,
                condition=self.lifecycle.condition.value,
                reason=self.lifecycle.failure_reason,
            )
        self.changed.set()
        self._schedule_tick()

    def _carry_out_action(self, action: Action) -> None:
        if isinstance(action, Persist):
            self.unpersisted.append(action.state)
            if not self.persisting:
                self.persisting = True
                self._spawn(self._persist_all())
        elif isinstance(action, CommandResult):
            if self.pending_results:
                self.pending_results.popleft().set_result(action)
        elif isinstance(action, StartProcess):
            self._start(action.version)
        elif isinstance(action, SignalProcess):
            signal_number = signal.SIGKILL if action.kill else signal.SIGTERM
            log.info(
                "signal sent",
                instance=self.instance.name,
                pid=action.process.pid,
                signal=signal_number.name,
            )
            processes.send_signal(action.process, signal_number)
        elif isinstance(action, SetQuiesced):
            self._spawn(self._set_quiesced(action.quiesced))

    def _schedule_tick(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        delay = max(MIN_TICK_DELAY_S, self.lifecycle.wake() - self.now())
        self.timer = asyncio.get_running_loop().call_later(min(delay, MAX_TICK_DELAY_S), self._tick)

    def _tick(self) -> None:
        self._carry_out(self.lifecycle.tick(self.now()))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _persist_all(self) -> None:
        """Write the unpersisted states in order; a failed write is retried."""
        while self.unpersisted:
            self.crash_points.reach("persist")
            try:
                data = msgspec.msgpack.encode(self.unpersisted[0])
                await asyncio.to_thread(self.store.put, self.key, data)
            except (StoreError, OSError) as error:
                log.error("write failed", instance=self.instance.name, error=str(error))
                await asyncio.sleep(PERSIST_RETRY_S)
                continue
            self.crash_points.reach("persisted")
            self.unpersisted.popleft()
            self._carry_out(self.lifecycle.persisted(self.now()))
        self.persisting = False

    # -- the process

    def _start(self, version: str) -> None:
        self.crash_points.reach("start")
        try:
            process = processes.start(self._command_line(version), self.owner, version, self._log_file())
        except (OSError, UnknownVersionError) as error:
            log.error("start failed", instance=self.instance.name, version=version, error=str(error))
            asyncio.get_running_loop().call_soon(self._exited, str(error))
            return
        self.crash_points.reach("started")
        log.info("process started", instance=self.instance.name, version=version, pid=process.pid)
        self._carry_out(self.lifecycle.started(self.now(), process))
        self._watch(process)

    def _command_line(self, version: str) -> list[str]:
        """The command line of a version for this instance.

        Raises:
            UnknownVersionError: The version is not configured.
        """
        arguments = self.settings.commands.get(version)
        if arguments is None:
            raise UnknownVersionError(f"version {version!r} is not configured on this machine")
        instance = self.instance
        return [
            argument.replace("{name}", instance.name).replace("{listen}", instance.listen)
            for argument in arguments
        ]

    def _log_file(self) -> Path:
        return Path(self.settings.agent.folder) / f"{self.instance.name}.log"

    def _watch(self, process: ProcessIdentity) -> None:
        self.stop_watching()

        def exited(reason: str) -> None:
            log.info("process exited", instance=self.instance.name, pid=process.pid, reason=reason)
            self._exited(reason)

        self.stop_watching = processes.watch(asyncio.get_running_loop(), process, exited)

    def _exited(self, reason: str) -> None:
        self._carry_out(self.lifecycle.exited(self.now(), reason))

    async def _check_health(self) -> None:
        """Report a starting process that is ready, and whether a draining one still takes clients."""
        process, stage = self.lifecycle.process, self.lifecycle.stage
        if process is None or stage not in CHECKED_STAGES:
            return
        asked_at = self.now()
        try:
            async with self.session.get(f"http://{self.instance.listen}/_health") as response:
                is_healthy = response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return
        if process != self.lifecycle.process:
            return
        if stage is not ProcessStage.STARTING:
            self._carry_out(self.lifecycle.health_checked(asked_at, self.now(), is_healthy))
        elif is_healthy:
            self._carry_out(self.lifecycle.ready(self.now(), process.version))

    async def _set_quiesced(self, quiesced: bool) -> None:
        """Quiesce or resume the process through its management address, and report the result."""
        if not self.instance.mgmt:
            self._carry_out(self.lifecycle.quiesce_unavailable(self.now()))
            return
        action, process = "quiesce" if quiesced else "resume", self.lifecycle.process
        try:
            async with self.session.post(f"http://{self.instance.mgmt}/admin/{action}") as response:
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            log.error(f"{action} failed", instance=self.instance.name, error=str(error))
            self._carry_out(self.lifecycle.quiesce_failed(self.now(), quiesced))
            return
        log.info(action, instance=self.instance.name, status=status)
        if 200 <= status < 300 and process == self.lifecycle.process:
            self._carry_out(self.lifecycle.quiesce_confirmed(self.now(), quiesced))
        else:
            self._carry_out(self.lifecycle.quiesce_failed(self.now(), quiesced))
