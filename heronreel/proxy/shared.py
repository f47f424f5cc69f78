"""What operators said of a proxy, in files that its processes share and that outlast an upgrade.

Two processes of one proxy run side by side while it is upgraded, and an operator may call either.  One file a
backend, put in place by a rename, and one for each process and for emptying: nobody reads half a file, and no
lock is needed, since no file holds what two operators change.  Each process looks often enough that a hold is
known to both well within the grace that the rule on drains leaves.
"""

from __future__ import annotations

import hashlib
import json
import os
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

LOOK_S = 0.1  # between two looks at what the other process was told
TAKEN_SPARE = 6  # descriptors that another process may open while we look
MOST = 4096  # backends that may be held at once, which bounds the folder


@dataclass(slots=True, frozen=True)
class Hold:
    """One backend that operators held.  Times in ms since the epoch."""

    name: str
    since_ms: float
    released_ms: float = 0.0  # 0: held still


class Shared:
    """A proxy's folder.  One that can't be made or written is a log line to the caller: OSError."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.read: dict[str, tuple[tuple[int, int], Hold | None]] = {}  # by file, as it last was
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)

    def put(self, hold: Hold) -> None:
        """Make a hold or its release known, whole or not at all."""
        where = "hold-" + hashlib.blake2b(hold.name.encode(), digest_size=16).hexdigest()
        text = json.dumps({"name": hold.name, "since_ms": hold.since_ms, "released_ms": hold.released_ms})
        self._write(where, text)

    def forget_before(self, at_ms: float) -> None:
        """Drop releases so long ago that their backends are warm again."""
        for file, (_, hold) in list(self.read.items()):
            if hold is not None and 0.0 < hold.released_ms < at_ms:
                with suppress(FileNotFoundError):
                    (self.folder / file).unlink()

    def set_emptying(self, on: bool) -> None:
        if on:
            self._write("emptying", "")
        else:
            with suppress(FileNotFoundError):
                (self.folder / "emptying").unlink()

    def enrol(self) -> None:
        """Tell that this process runs; its file ends with it, or is passed over once it has ended."""
        self._write(f"process-{os.getpid()}", "")

    def resign(self) -> None:
        with suppress(OSError):
            (self.folder / f"process-{os.getpid()}").unlink()

    def others(self) -> list[int]:
        """The proxy's other processes that live."""
        found = []
        for file in os.listdir(self.folder):
            number = file.removeprefix("process-")
            if number != file and number.isdigit() and int(number) != os.getpid():
                if _lives(int(number)):
                    found.append(int(number))
                else:
                    with suppress(OSError):
                        (self.folder / file).unlink()
        return found

    def taken(self) -> int:
        """Descriptors that are not for this process to use, since the proxy's other processes hold them."""
        held = 0
        for process in self.others():
            with suppress(OSError):  # it has just ended, or is not ours to look into
                held += len(os.listdir(f"/proc/{process}/fd")) + TAKEN_SPARE
        return held

    def look(self) -> tuple[dict[str, Hold], bool]:
        """The holds and releases by name, and whether the proxy is emptied."""
        holds, emptying = {}, False
        files = set(os.listdir(self.folder))
        for gone in self.read.keys() - files:
            del self.read[gone]
        for file in files:
            if file == "emptying":
                emptying = True
            elif file.startswith("hold-") and not file.endswith(".new") and (hold := self._read(file)):
                holds[hold.name] = hold
        return holds, emptying

    def _read(self, file: str) -> Hold | None:
        path = self.folder / file
        with suppress(FileNotFoundError):
            told = path.stat()
            mark = (told.st_ino, told.st_mtime_ns)
            if file not in self.read or self.read[file][0] != mark:
                self.read[file] = (mark, _hold_of(path.read_bytes()))
            return self.read[file][1]
        return None

    def _write(self, file: str, text: str) -> None:
        new = self.folder / f"{file}.{os.getpid()}.new"
        new.write_text(text)
        new.replace(self.folder / file)


def _lives(process: int) -> bool:
    try:
        os.kill(process, 0)
    except ProcessLookupError:
        return False
    except PermissionError:
        pass
    return True


def _hold_of(text: bytes) -> Hold | None:
    """What a file says; None for one that is not ours."""
    try:
        told = json.loads(text)
        return Hold(str(told["name"]), float(told["since_ms"]), float(told["released_ms"]))
    except (ValueError, KeyError, TypeError):
        return None
