"""Races between reloads, malformed files and calls to discovery for the endpoint list.

The tests force the order of events and draw nothing at random: a stub holds back its response, a named pipe
holds back the content of a configuration file, or a process is stopped and continued.
"""

from __future__ import annotations

import asyncio
import errno
import json
import os
import signal
import time
from pathlib import Path

import pytest

from tests.support.lifecycle import (
    OLD_LIMIT_S,
    WITHOUT_DEADLINE,
    named,
    pushed,
    send_all,
    with_short_limit,
)
from tests.support.loopback import (
    Backend,
    Discovery,
    configuration,
    entry,
    read_response,
    request,
    reserved_port,
    run,
    running_proxy,
)


class HeldFile:
    """A configuration file in the form of a named pipe, whose reader waits for its content."""

    def __init__(self, path: Path) -> None:
        self.path = path
        path.unlink()
        os.mkfifo(path)

    async def wait_until_opened(self) -> None:
        """Wait until the program has opened the file to read it."""
        while True:
            try:
                self.descriptor = os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
                return
            except OSError as error:
                assert error.errno == errno.ENXIO, error
                await asyncio.sleep(0.001)

    def replace(self, text: str) -> None:
        """Put a regular file in its place; a reader that has opened the pipe still waits for its content."""
        new = self.path.with_suffix(".new")
        new.write_text(text)
        new.replace(self.path)

    def release(self, text: str) -> None:
        """Give the waiting reader its content."""
        os.write(self.descriptor, text.encode())
        os.close(self.descriptor)


def test_a_reload_requested_during_another_one_applies_as_a_whole_after_it(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with (
            named("one") as backend1, named("two") as backend2, named("three") as backend3,
            Discovery() as first, Discovery() as second, Discovery() as third,
        ):  # fmt: skip
            first.entries, second.entries = [entry("b1", backend1.address)], [entry("b2", backend2.address)]
            third.entries = [entry("b3", backend3.address)]
            config = configuration(first.address, *first.entries)
            async with running_proxy(tmp_path, config) as proxy:
                await first.watched.wait()
                held = HeldFile(proxy.path)
                proxy.signal(signal.SIGHUP)
                await held.wait_until_opened()
                held.replace(json.dumps(with_short_limit(config) | {"discovery": third.address}))
                proxy.signal(signal.SIGHUP)
                held.release(json.dumps(config | {"discovery": second.address}))
                assert second.address in await proxy.log_line("reload: done")
                assert third.address in await proxy.log_line("reload: done")
                await third.watched.wait()
                while (await proxy.send_request("r0", "read"))[1] != b"three":
                    pass  # the new list has not been read yet
                responses = await send_all(proxy, *(f"r{number}" for number in range(1, 9)))
                assert responses == [("200", b"three")] * 8
                reader, writer = await proxy.connect()
                sent_at = time.monotonic()
                writer.write(request("h1", extra=WITHOUT_DEADLINE))
                assert (await read_response(reader))[0] == "504"
                assert time.monotonic() - sent_at < OLD_LIMIT_S / 2

    run(scenario())


MALFORMED = [
    ("{", "LB_CONFIG: not JSON"),
    ('{"limits": {"memory_mb": 64}}', "limits.sockets: missing"),
    ('{"discovery": 5}', "discovery: missing or not a string"),
    ('{"settings": {}}', "settings: Categories"),
]


@pytest.mark.parametrize(("malformed", "field"), MALFORMED)
def test_a_malformed_file_during_a_reload_is_rejected_and_the_next_file_applies(
    tmp_path: Path, malformed: str, field: str
) -> None:
    async def scenario() -> None:
        async with (
            named("one") as backend1,
            named("two") as backend2,
            Discovery() as first,
            Discovery() as second,
        ):
            first.entries, second.entries = [entry("b1", backend1.address)], [entry("b2", backend2.address)]
            config = configuration(first.address, *first.entries)
            async with running_proxy(tmp_path, config) as proxy:
                await first.watched.wait()
                held = HeldFile(proxy.path)
                proxy.signal(signal.SIGHUP)
                await held.wait_until_opened()
                text = malformed if malformed == "{" else json.dumps(config | json.loads(malformed))
                held.replace(text)
                proxy.signal(signal.SIGHUP)
                held.release(json.dumps(config | {"discovery": second.address}))
                assert second.address in await proxy.log_line("reload: done")
                line = await proxy.log_line("reload")
                assert field in line and "stays in force" in line, line
                assert malformed != "{" or str(proxy.path) in line
                await second.watched.wait()
                while (await proxy.send_request("r0", "read"))[1] != b"two":
                    pass  # the new list has not been read yet
                held.replace(json.dumps(config))
                proxy.signal(signal.SIGHUP)
                assert first.address in await proxy.log_line("reload: done")
                while (await proxy.send_request("r1", "read"))[1] != b"one":
                    pass

    run(scenario())


class RefusingDiscovery(Discovery):
    """A list service that refuses its first call."""

    def __init__(self) -> None:
        super().__init__()
        self.refused = asyncio.Event()

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.refused.is_set():
            await super()._watch(reader, writer)
            return
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        self.refused.set()
        await reader.read()


@pytest.mark.parametrize("new_address", ["responds late", "refuses its first call"])
def test_a_late_list_from_the_old_address_is_ignored_after_a_move(tmp_path: Path, new_address: str) -> None:
    async def scenario() -> None:
        async with (
            named("file") as file, named("old") as old, named("new") as new,
            Discovery() as first, RefusingDiscovery() as second,
        ):  # fmt: skip
            first.entries, second.entries = [entry("b-old", old.address)], [entry("b-new", new.address)]
            first.may_answer.clear()
            second.may_answer.clear()
            refuses = new_address == "refuses its first call"
            if not refuses:
                second.refused.set()
            config = configuration(first.address, entry("b-file", file.address))
            async with running_proxy(tmp_path, config) as proxy:
                await first.called.wait()
                proxy.path.write_text(json.dumps(config | {"discovery": second.address}))
                proxy.signal(signal.SIGHUP)
                await (second.refused if refuses else second.called).wait()
                first.may_answer.set()
                await first.watched.wait()
                responses = await send_all(proxy, *(f"f{number}" for number in range(8)))
                assert responses == [("200", b"file")] * 8
                second.may_answer.set()
                await second.watched.wait()
                while (await proxy.send_request("r0", "read"))[1] != b"new":
                    pass  # the new list has not been read yet
                responses = await send_all(proxy, *(f"r{number}" for number in range(1, 9)))
                assert responses == [("200", b"new")] * 8 and not old.seen

    run(scenario())


def test_a_malformed_reload_is_logged_though_the_agent_is_down(tmp_path: Path) -> None:
    """A call fails every 0.1 s and logs a line each time; the log writes at most 5 lines a second."""

    async def scenario() -> None:
        async with Backend() as backend:
            with reserved_port() as closed_port:
                config = pushed(configuration(f"127.0.0.1:{closed_port}", entry("b", backend.address)))
                async with running_proxy(tmp_path, config, until_listening=False) as proxy:
                    for _ in range(8):
                        await proxy.log_line("no connection")
                    proxy.path.write_text("{")
                    for _ in range(3):
                        proxy.signal(signal.SIGHUP)
                        async with asyncio.timeout(2.0):
                            await proxy.log_line("stays in force")

    run(scenario())


def test_the_path_of_a_file_with_a_malformed_field_is_logged(tmp_path: Path) -> None:
    """The error of the field itself names only the field."""

    async def scenario() -> None:
        async with Backend() as backend, Discovery() as discovery:
            config = configuration(discovery.address, entry("b", backend.address))
            async with running_proxy(tmp_path, config) as proxy:
                proxy.path.write_text(json.dumps(config | {"limits": {}}))
                proxy.signal(signal.SIGHUP)
                assert str(proxy.path) in await proxy.log_line("stays in force")

    run(scenario())
