"""State that the processes of one proxy share in a folder, and that outlasts a hand-over between them.

Two processes of one proxy run side by side while it is upgraded, and an operator may call either.  There is
one file for each cordoned backend, put in place by a rename, one for each process and one for quiescing:
nobody reads half a file, and no lock is needed, since no file holds what two operators change.  Each process
polls often enough to learn of a cordon well within the grace period for draining backends.
"""

from __future__ import annotations

import hashlib
import json
import os
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

POLL_INTERVAL_S = 0.1
SPARE_DESCRIPTORS = 6  # that another process may open between two polls
MAX_CORDONS = 4096  # at once, which bounds the folder
CORDON_PREFIX, PROCESS_PREFIX, QUIESCED_FILE = "hold-", "process-", "emptying"


@dataclass(slots=True, frozen=True)
class Cordon:
    """One backend that operators took out of use.  Times are in ms since the epoch."""

    name: str
    since_ms: float
    released_ms: float = 0.0  # 0: in force


class SharedState:
    """A proxy's shared folder.  Every method may raise OSError where the folder can't be read or written."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.cache: dict[str, tuple[tuple[int, int], Cordon | None]] = {}  # by file: its identity, content
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)

    def put(self, cordon: Cordon) -> None:
        """Store a cordon or its release, atomically."""
        digest = hashlib.blake2b(cordon.name.encode(), digest_size=16).hexdigest()
        text = json.dumps(
            {"name": cordon.name, "since_ms": cordon.since_ms, "released_ms": cordon.released_ms}
        )
        self._write(CORDON_PREFIX + digest, text)

    def forget_released_before(self, at_ms: float) -> None:
        """Delete the cordons released before `at_ms`, whose backends are warm again."""
        for file, (_, cordon) in list(self.cache.items()):
            if cordon is not None and 0.0 < cordon.released_ms < at_ms:
                with suppress(FileNotFoundError):
                    (self.folder / file).unlink()

    def set_quiesced(self, quiesced: bool) -> None:
        """Store whether the proxy's clients are to go elsewhere."""
        if quiesced:
            self._write(QUIESCED_FILE, "")
        else:
            with suppress(FileNotFoundError):
                (self.folder / QUIESCED_FILE).unlink()

    def register_process(self) -> None:
        """Announce this process; a file whose process has ended is passed over."""
        self._write(f"{PROCESS_PREFIX}{os.getpid()}", "")

    def unregister_process(self) -> None:
        """Withdraw this process's announcement."""
        with suppress(OSError):
            (self.folder / f"{PROCESS_PREFIX}{os.getpid()}").unlink()

    def other_processes(self) -> list[int]:
        """The ids of the proxy's other running processes."""
        found = []
        for file in os.listdir(self.folder):
            number = file.removeprefix(PROCESS_PREFIX)
            if number != file and number.isdigit() and int(number) != os.getpid():
                if _is_running(int(number)):
                    found.append(int(number))
                else:
                    with suppress(OSError):
                        (self.folder / file).unlink()
        return found

    def descriptors_in_use_elsewhere(self) -> int:
        """How many descriptors the proxy's other processes use, with some to spare."""
        in_use = 0
        for process in self.other_processes():
            with suppress(OSError):  # it has just ended, or is not ours to look into
                in_use += len(os.listdir(f"/proc/{process}/fd")) + SPARE_DESCRIPTORS
        return in_use

    def read(self) -> tuple[dict[str, Cordon], bool]:
        """The cordons, in force or released, by name, and whether the proxy is quiesced."""
        cordons, quiesced = {}, False
        files = set(os.listdir(self.folder))
        for gone in self.cache.keys() - files:
            del self.cache[gone]
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
    try:
        os.kill(process, 0)
    except ProcessLookupError:
        return False
    except PermissionError:
        pass
    return True


def _parse_cordon(text: bytes) -> Cordon | None:
    """The cordon that a file has; None for a malformed one."""
    try:
        fields = json.loads(text)
        return Cordon(str(fields["name"]), float(fields["since_ms"]), float(fields["released_ms"]))
    except (ValueError, KeyError, TypeError):
        return None
