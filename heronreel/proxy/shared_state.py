"""State that the processes of one proxy share in a folder, and that survives a hand-over between them.

Two processes of one proxy run side by side during an upgrade, and an operator may call either of them.  There
is one file for each cordoned backend, one for each process and one for quiescing.  A file is written under a
temporary name and renamed, so that no process reads a partly written file.  No lock is needed because no file
combines values that two operators change independently.  Each process polls often enough to see a cordon well
within the grace period for draining backends.

The file of a process is renamed when it begins to drain.  A draining process accepts no connections, but it
uses memory and descriptors and takes requests until it ends.
"""

from __future__ import annotations

import hashlib
import json
import os
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from heronreel.proxy.process_memory import look_up_process_memory
from heronreel.proxy.shared_ids import SharedIdFiles

POLL_INTERVAL_S = 0.1
SPARE_DESCRIPTORS = 6  # descriptors that another process may open between two polls
MAX_CORDONS = 4096  # bounds the number of files in the folder
CORDON_PREFIX = "hold-"
PROCESS_PREFIX = "process-"
DRAINING_PREFIX = "draining-"
QUIESCED_FILE = "emptying"
EXITED_STATES = (b"Z", b"X")  # zombie and dead


@dataclass(slots=True, frozen=True)
class Cordon:
    """A backend that operators have taken out of use.  Times are in ms since the epoch."""

    name: str
    since_ms: float
    released_ms: float = 0.0  # 0: the cordon is in force


class SharedState:
    """A proxy's shared folder.

    Every method may raise OSError if the folder can't be read or written.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        # For each file name: its inode and modification time, and the cordon that it holds.
        self.cache: dict[str, tuple[tuple[int, int], Cordon | None]] = {}
        # The other processes that ran at the last look.  Some versions remove their file before they end.
        self._known_processes: set[int] = set()
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        self.request_ids = SharedIdFiles(folder)

    def put(self, cordon: Cordon) -> None:
        """Store a cordon or its release atomically."""
        digest = hashlib.blake2b(cordon.name.encode(), digest_size=16).hexdigest()
        text = json.dumps(
            {"name": cordon.name, "since_ms": cordon.since_ms, "released_ms": cordon.released_ms}
        )
        self._write(CORDON_PREFIX + digest, text)

    def delete_released_before(self, at_ms: float) -> None:
        """Delete the cordons released before `at_ms`, whose backends have ended their slow start."""
        for file, (_, cordon) in list(self.cache.items()):
            if cordon is not None and 0.0 < cordon.released_ms < at_ms:
                with suppress(FileNotFoundError):
                    (self.folder / file).unlink()

    def set_quiesced(self, quiesced: bool) -> None:
        """Store whether the proxy is quiesced, which sends its clients to other proxies."""
        if quiesced:
            self._write(QUIESCED_FILE, "")
        else:
            with suppress(FileNotFoundError):
                (self.folder / QUIESCED_FILE).unlink()

    def register_process(self) -> None:
        """Register this process; other processes ignore the file once this process has ended."""
        self._write(f"{PROCESS_PREFIX}{os.getpid()}", "")

    def begin_draining(self) -> None:
        """Tell the other processes that this one drains: it accepts no more connections, but runs on."""
        name = str(os.getpid())
        (self.folder / (PROCESS_PREFIX + name)).replace(self.folder / (DRAINING_PREFIX + name))

    def unregister_process(self) -> None:
        """Remove the registration of this process, which is about to end."""
        for prefix in (PROCESS_PREFIX, DRAINING_PREFIX):
            with suppress(OSError):
                (self.folder / f"{prefix}{os.getpid()}").unlink()

    def other_processes(self) -> list[int]:
        """Return the ids of the proxy's other running processes, whether they serve or drain."""
        registered = self._registered(PROCESS_PREFIX) | self._registered(DRAINING_PREFIX)
        self._known_processes = {
            process for process in registered | self._known_processes if _is_running(process)
        }
        for ended in registered - self._known_processes:
            for prefix in (PROCESS_PREFIX, DRAINING_PREFIX):
                with suppress(OSError):
                    (self.folder / f"{prefix}{ended}").unlink()
        return sorted(self._known_processes)

    def other_serving_processes(self) -> list[int]:
        """Return the ids of the proxy's other running processes that have not begun to drain."""
        serving = self._registered(PROCESS_PREFIX)
        return [process for process in self.other_processes() if process in serving]

    def _registered(self, prefix: str) -> set[int]:
        """Return the ids of the other processes that have a file with this prefix."""
        numbers = {file.removeprefix(prefix) for file in os.listdir(self.folder) if file.startswith(prefix)}
        return {int(number) for number in numbers if number.isdigit()} - {os.getpid()}

    def descriptors_in_use_elsewhere(self) -> int:
        """Return how many descriptors the proxy's other processes use, with `SPARE_DESCRIPTORS` for each."""
        in_use = 0
        for process in self.other_processes():
            in_use += SPARE_DESCRIPTORS
            # The process may have just ended, or this process may lack the permission to read the folder.
            with suppress(FileNotFoundError, ProcessLookupError, PermissionError):
                in_use += len(os.listdir(f"/proc/{process}/fd"))
        return in_use

    def memory_in_use_elsewhere(self) -> int:
        """Return the resident memory of the proxy's other processes in bytes."""
        return sum(look_up_process_memory(process).resident for process in self.other_processes())

    def read(self) -> tuple[dict[str, Cordon], bool]:
        """Return the cordons by backend name, in force or released, and whether the proxy is quiesced."""
        cordons, quiesced = {}, False
        files = set(os.listdir(self.folder))
        for deleted in self.cache.keys() - files:
            del self.cache[deleted]
        for file in files:
            if file == QUIESCED_FILE:
                quiesced = True
            elif (
                file.startswith(CORDON_PREFIX) and not file.endswith(".new") and (cordon := self._read(file))
            ):
                cordons[cordon.name] = cordon
        return cordons, quiesced

    def _read(self, file: str) -> Cordon | None:
        path = self.folder / file
        with suppress(FileNotFoundError):
            status = path.stat()
            identity = (status.st_ino, status.st_mtime_ns)
            if file not in self.cache or self.cache[file][0] != identity:
                self.cache[file] = (identity, _parse_cordon(path.read_bytes()))
            return self.cache[file][1]
        return None

    def _write(self, file: str, text: str) -> None:
        new = self.folder / f"{file}.{os.getpid()}.new"
        new.write_text(text)
        new.replace(self.folder / file)


def _is_running(process: int) -> bool:
    """Return whether a process runs; one that has exited may wait for long until its parent takes note."""
    try:
        status = Path(f"/proc/{process}/stat").read_bytes()
    except (FileNotFoundError, ProcessLookupError):
        return False
    # The state follows the name in parentheses, which may hold any character (proc(5)).
    state = status.rpartition(b")")[2].split()[0]
    return state not in EXITED_STATES


def _parse_cordon(text: bytes) -> Cordon | None:
    """Return the cordon in a file's content, or None if the content is malformed."""
    try:
        fields = json.loads(text)
        return Cordon(str(fields["name"]), float(fields["since_ms"]), float(fields["released_ms"]))
    except (ValueError, KeyError, TypeError):
        return None
