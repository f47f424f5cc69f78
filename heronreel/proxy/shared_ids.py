"""The ids of requests that the processes of one proxy tell each other, in files of their shared folder.

Each process appends digests of `recent_ids.DIGEST_BYTES` bytes to a file of its own and reads the others'.
A part of a digest at the end of a file is read once the rest is written.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path

from heronreel.proxy.recent_ids import DIGEST_BYTES

FILE_PREFIX = "ids-"

log = logging.getLogger(__name__)


class SharedIdFiles:
    """The files of ids in a proxy's shared folder."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._own_name = f"{FILE_PREFIX}{os.getpid()}"
        self._read_bytes: dict[str, int] = {}  # how much of each other process's file was read

    def publish(self, digests: Iterable[bytes]) -> None:
        """Append digests to the file of this process; a failure is logged."""
        try:
            with (self._folder / self._own_name).open("ab") as file:
                file.write(b"".join(digests))
        except OSError as error:
            log.error("shared folder: %s", error)

    def receive(self) -> list[bytes]:
        """Return the digests that other processes have written since the last call."""
        received: list[bytes] = []
        with suppress(OSError):
            for name in os.listdir(self._folder):
                if name.startswith(FILE_PREFIX) and name != self._own_name:
                    received += self._read_new(name)
        return received

    def _read_new(self, name: str) -> list[bytes]:
        offset = self._read_bytes.get(name, 0)
        path = self._folder / name
        if path.stat().st_size < offset + DIGEST_BYTES:
            return []
        with path.open("rb") as file:
            file.seek(offset)
            data = file.read()
        complete = len(data) // DIGEST_BYTES
        self._read_bytes[name] = offset + complete * DIGEST_BYTES
        return [data[DIGEST_BYTES * index : DIGEST_BYTES * (index + 1)] for index in range(complete)]

    def remove_others(self) -> None:
        """Remove the files of the other processes, all of which have ended."""
        self._read_bytes.clear()
        with suppress(OSError):
            for name in os.listdir(self._folder):
                if name.startswith(FILE_PREFIX) and name != self._own_name:
                    (self._folder / name).unlink(missing_ok=True)
