"""A child process whose output is collected while it runs."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path

from heronreel.fault_injection.errors import LogLineMissingError

ROOT = Path(__file__).parents[2]  # root of the repository
LINE_TIMEOUT_S = 30.0
EXIT_TIMEOUT_S = 20.0
SHOWN_LINES = 5  # lines of output in an error message


class ManagedProcess:
    """A process that runs a module of the program.

    Attributes:
        lines: The lines that it has printed so far on standard output and standard error.
    """

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        """Start to collect the output of `process`, whose streams are pipes."""
        self.name = name
        self.process = process
        self.lines: list[str] = []
        self.line_read = asyncio.Condition()
        streams = (process.stdout, process.stderr)
        self.readers = [asyncio.create_task(self._read(stream)) for stream in streams if stream is not None]

    @classmethod
    async def start(
        cls,
        name: str,
        arguments: Sequence[str],
        env: Mapping[str, str] | None = None,
        inherited: Sequence[int] = (),
    ) -> ManagedProcess:
        """Run `python -m` with arguments, additional environment variables and inherited descriptors."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *arguments,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, **(env or {})},
            pass_fds=inherited,
        )
        return cls(name, process)

    async def _read(self, stream: asyncio.StreamReader) -> None:
        while line := await stream.readline():
            async with self.line_read:
                self.lines.append(line.decode(errors="replace").rstrip())
                self.line_read.notify_all()
        async with self.line_read:
            self.line_read.notify_all()

    def _find_line(self, words: Sequence[str]) -> str | None:
        return next((line for line in self.lines if all(word in line for word in words)), None)

    async def wait_for_line(self, *words: str, timeout_s: float = LINE_TIMEOUT_S) -> str:
        """Wait for a line that contains all the words, and return the first one.

        Raises:
            LogLineMissingError: The process ended without such a line, or `timeout_s` seconds passed.
        """
        try:
            async with asyncio.timeout(timeout_s), self.line_read:
                await self.line_read.wait_for(
                    lambda: self._find_line(words) or self.process.returncode is not None
                )
        except TimeoutError:
            pass
        line = self._find_line(words)
        if line is None:
            raise LogLineMissingError(f"{self.name}: no line with {words}: {self.lines[-SHOWN_LINES:]}")
        return line

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.pid

    @property
    def exit_code(self) -> int | None:
        """The exit code: negative after a signal, None while the process runs."""
        return self.process.returncode

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self.exit_code is None

    def send_signal(self, number: int) -> None:
        """Send a signal, unless the process has ended."""
        if self.running:
            self.process.send_signal(number)

    def pause(self) -> None:
        """Stop the process with SIGSTOP until `resume`."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue the process with SIGCONT."""
        self.send_signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Kill the process with SIGKILL, and wait for its end."""
        self.send_signal(signal.SIGKILL)
        await self.wait_for_exit()

    async def wait_for_exit(self, timeout_s: float = EXIT_TIMEOUT_S) -> int:
        """Wait for the end of the process, and return its exit code.

        Raises:
            TimeoutError: The process did not end within `timeout_s` seconds.
        """
        async with asyncio.timeout(timeout_s):
            return await self.process.wait()
