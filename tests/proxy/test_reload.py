"""SIGHUP under load: the new file applies whole or not at all, and the endpoint list has no gap."""

import asyncio
import json
import signal
import time
from pathlib import Path

from heronreel.proxy.__main__ import PUSHED_LIST_TIMEOUT_S
from tests.support.loopback import (
    SETTINGS,
    Backend,
    Discovery,
    Listener,
    configuration,
    entry,
    read_response,
    request,
    run,
    running_proxy,
)  # fmt: skip


def test_sighup_moves_the_watch_and_keeps_requests_in_flight(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Backend() as old, Backend() as new, Discovery() as first, Discovery() as second:
            first.entries = [entry("b-old", old.address)]
            second.entries = [entry("b-new", new.address)]
            old.reply = lambda head, body: None
            config = configuration(first.address, *first.entries)
            async with running_proxy(tmp_path, config) as proxy:
                await first.watched.wait()
                reader, writer = await proxy.connect()
                writer.write(request("a1"))
                await old.requested.wait()
                proxy.path.write_text(json.dumps(config | {"discovery": second.address}))
                proxy.signal(signal.SIGHUP)
                await second.watched.wait()
                await first.ended()  # the old watch ends only after the new one has started
                old.writers[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
                assert await read_response(reader) == ("200", b"done")
                assert await proxy.send_request("a2") == ("200", b"a2")
                assert new.seen == ["a2"]  # the new list applies

    run(scenario())


def test_a_malformed_new_file_leaves_the_old_configuration_in_force(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Backend() as backend, Discovery() as first, Discovery() as second:
            first.entries = second.entries = [entry("b", backend.address)]
            config = configuration(first.address, *first.entries)
            async with running_proxy(tmp_path, config) as proxy:
                await first.watched.wait()
                malformed: tuple[dict[str, object], ...] = ({"discovery": 5}, {"limits": {}}, {"settings": 0})
                for text in ("{", *(json.dumps({**config, **fields}) for fields in malformed)):
                    proxy.path.write_text(text)
                    proxy.signal(signal.SIGHUP)
                    assert "stays in force" in await proxy.log_line("reload")
                assert await proxy.send_request("a1") == ("200", b"a1")
                assert second.opened == 0 and not first.ends[first.writers[-1]].is_set()
                proxy.path.write_text(json.dumps(config | {"discovery": second.address}))
                proxy.signal(signal.SIGHUP)  # a valid file is still applied
                await second.watched.wait()
                proxy.signal(signal.SIGTERM)
                assert await proxy.process.wait() == 0

    run(scenario())


def test_a_new_process_waits_for_its_agent_only_for_a_limited_time(tmp_path: Path) -> None:
    """The agent's list counts as notified from the start of the process, and the file's list may be old."""

    async def scenario() -> None:
        calls: list[float] = []

        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            calls.append(time.monotonic())
            await reader.read()

        async with Backend() as backend, Listener(silent) as agent:
            config = configuration(agent.address, entry("b", backend.address))
            config["settings"] = SETTINGS | {"Discovery": "push"}
            async with running_proxy(tmp_path, config) as proxy:
                assert time.monotonic() - calls[0] >= 0.9 * PUSHED_LIST_TIMEOUT_S
                assert await proxy.send_request("a1") == ("200", b"a1")

    run(scenario())
