"""Operating system processes, identified by pid and start time: start, watch, signal and list them."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Callable, Sequence
from contextlib import suppress
from pathlib import Path

from heronreel.fleet.lifecycle_messages import ProcessIdentity

OWNER_VARIABLE = "HERONREEL_AGENT"  # environment variable that marks the processes of an agent
EXIT_REASON_UNKNOWN = "gone"

PROC_FOLDER = Path("/proc")
# indexes of the fields in /proc/PID/stat after the program name
STATE_FIELD = 0
START_TIME_FIELD = 19
DEAD_STATES = ("Z", "X")  # zombie, dead


def start_time(pid: int) -> int:
    """The start time of a process in clock ticks since boot; 0 if it does not exist or is a zombie."""
    try:
        fields = (PROC_FOLDER / str(pid) / "stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0
    return 0 if fields[STATE_FIELD] in DEAD_STATES else int(fields[START_TIME_FIELD])


def is_alive(process: ProcessIdentity) -> bool:
    """Whether the pid still belongs to this process."""
    return process.start_time != 0 and start_time(process.pid) == process.start_time


def owned_by(owner: str) -> list[ProcessIdentity]:
    """The processes that were started for this owner, without their child processes.

    The version of each process is unknown and left empty.
    """
    marker = f"{OWNER_VARIABLE}={owner}".encode()
    found: list[ProcessIdentity] = []
    for path in PROC_FOLDER.iterdir():
        if not path.name.isdigit() or int(path.name) == os.getpid():
            continue
        pid = int(path.name)
        with suppress(OSError):
            is_marked = marker in (path / "environ").read_bytes().split(b"\0")
            # `start` makes each process a session leader; its children inherit only the variable
            if is_marked and os.getsid(pid) == pid and (started_at := start_time(pid)):
                found.append(ProcessIdentity(pid, started_at, ""))
    return found


def send_signal(process: ProcessIdentity, signal_number: int) -> None:
    """Send a signal to this process, and never to a later process with the same pid."""
    try:
        descriptor = os.pidfd_open(process.pid)
    except OSError:
        return
    try:
        # The descriptor keeps referring to the process that has the pid now, so the check stays valid.
        if is_alive(process):
            signal.pidfd_send_signal(descriptor, signal_number)
    except OSError:
        pass
    finally:
        os.close(descriptor)


def start(command: Sequence[str], owner: str, version: str, log_file: Path) -> ProcessIdentity:
    """Start a process in its own session, so that it outlives the agent.

    Its output is appended to the log file.

    Raises:
        OSError: The log file or the program can't be opened.
    """
    with log_file.open("ab") as output:
        pid = os.posix_spawnp(
            command[0],
            list(command),
            {**os.environ, OWNER_VARIABLE: owner},
            file_actions=[(os.POSIX_SPAWN_DUP2, output.fileno(), descriptor) for descriptor in (1, 2)],
            setsid=True,
        )
    return ProcessIdentity(pid, start_time(pid), version)


def watch(
    loop: asyncio.AbstractEventLoop, process: ProcessIdentity, on_exit: Callable[[str], None]
) -> Callable[[], None]:
    """Call `on_exit` with the reason when the process exits, whether or not it is a child process.

    Returns:
        A function that stops watching.
    """
    try:
        descriptor = os.pidfd_open(process.pid)
    except OSError:
        loop.call_soon(on_exit, EXIT_REASON_UNKNOWN)
        return lambda: None
    closed = False

    def stop() -> None:
        nonlocal closed
        if not closed:
            closed = True
            loop.remove_reader(descriptor)
            os.close(descriptor)

    def report_exit() -> None:
        if not closed:
            stop()
            on_exit(_exit_reason(process.pid))

    loop.add_reader(descriptor, report_exit)
    if not is_alive(process):
        loop.call_soon(report_exit)
    return stop


def _exit_reason(pid: int) -> str:
    """The exit reason of a child process; the status of any other process is not available."""
    try:
        _, status = os.waitpid(pid, os.WNOHANG)
    except ChildProcessError:
        return EXIT_REASON_UNKNOWN
    code = os.waitstatus_to_exitcode(status)
    return f"exit {code}" if code >= 0 else f"signal {-code}"
