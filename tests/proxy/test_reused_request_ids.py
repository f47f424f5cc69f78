"""A request whose id comes again does not run again, whether its client left or another process took it."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path

import pytest

from heronreel.proxy.recent_ids import DIGEST_BYTES, MAX_REMEMBERED, RecentRequestIds
from heronreel.proxy.shared_ids import SharedIdFiles
from tests.support.lifecycle import (
    KeptConnection,
    named,
    shared_socket,
    until_health,
    until_seen,
    with_unsafe_class,
)
from tests.support.loopback import (
    Backend,
    Discovery,
    ProxyProcess,
    configuration,
    entry,
    request,
    run,
    running_proxy,
)

AFTER_RESPONSE_S = 0.6
AFTER_POLLS_S = 0.3  # the processes have looked at each other since


async def send_and_leave(proxy: ProxyProcess, backend: Backend, ident: str, klass: str) -> None:
    """Send a request, and close the connection once the backend has it."""
    _, writer = await proxy.connect()
    writer.write(request(ident, klass))
    await until_seen(backend, ident)
    writer.transport.abort()


async def send_again(proxy: ProxyProcess, ident: str, klass: str) -> str:
    return (await proxy.send_request(ident, klass))[0]


@pytest.mark.parametrize("klass", ["pay", "save"])
def test_an_id_that_comes_again_after_its_client_left_does_not_run_twice(tmp_path: Path, klass: str) -> None:
    async def scenario() -> None:
        async with named("b") as backend, Discovery() as discovery:
            discovery.entries = [entry("b1", backend.address)]
            config = with_unsafe_class(configuration(discovery.address, *discovery.entries))
            async with running_proxy(tmp_path, config) as proxy:
                await discovery.watched.wait()
                await send_and_leave(proxy, backend, "h1", klass)
                backend.carriers["h1"].write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                await asyncio.sleep(AFTER_RESPONSE_S)
                assert await send_again(proxy, "h1", klass) == "400"
                assert Counter(backend.seen) == {"h1": 1}
                assert await send_again(proxy, "r1", "read") == await send_again(proxy, "r1", "read") == "200"

    run(scenario())


def test_an_id_that_comes_again_at_the_other_process_of_an_upgrade_does_not_run_twice(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with named("b") as backend, Discovery() as discovery:
            discovery.entries = [entry("b1", backend.address)]
            config = with_unsafe_class(configuration(discovery.address, *discovery.entries))
            with shared_socket() as first, shared_socket() as second:  # so that each process can be addressed
                async with running_proxy(tmp_path, config, True, first) as old:
                    await send_and_leave(old, backend, "h1", "pay")  # before there is another process
                    async with running_proxy(tmp_path, config, True, second) as new:
                        await until_health(new, "200")
                        assert await send_again(new, "h1", "pay") == "400"
                        await send_and_leave(old, backend, "h2", "pay")
                        assert await send_again(new, "h2", "pay") == "400"
                        await send_and_leave(new, backend, "h3", "pay")
                        assert await send_again(old, "h3", "pay") == "400"
                        assert Counter(backend.seen) == {"h1": 1, "h2": 1, "h3": 1}

    run(scenario())


@pytest.mark.parametrize("starts", ["before SIGTERM", "during the drain"])
def test_an_id_that_a_draining_process_takes_does_not_run_at_its_successor(
    tmp_path: Path, starts: str
) -> None:
    """The successor took a predecessor that drained for one that had ended."""

    async def scenario() -> None:
        async with named("b") as backend, Discovery() as discovery, AsyncExitStack() as stack:
            discovery.entries = [entry("b1", backend.address)]
            config = with_unsafe_class(configuration(discovery.address, *discovery.entries))
            with shared_socket() as first, shared_socket() as second:
                old = await stack.enter_async_context(running_proxy(tmp_path, config, True, first))
                successor = running_proxy(tmp_path, config, True, second)
                if starts == "before SIGTERM":
                    new = await stack.enter_async_context(successor)
                    await until_health(new, "200")
                kept = KeptConnection(old)
                await kept.open("k1")
                old.signal(signal.SIGTERM)
                await until_health(old, "503")
                if starts == "during the drain":
                    await kept.send("h1")
                    new = await stack.enter_async_context(successor)
                    await until_health(new, "200")
                else:
                    await asyncio.sleep(AFTER_POLLS_S)
                    await kept.send("h1")
                await until_seen(backend, "h1")
                assert await send_again(new, "h1", "save") == "400"
                assert Counter(backend.seen) == {"k1": 1, "h1": 1}
                assert old.process.returncode is None

    run(scenario())


def test_the_number_of_remembered_ids_is_bounded_and_the_newest_are_kept() -> None:
    ids = RecentRequestIds()
    for number in range(MAX_REMEMBERED + 10):
        ids.add(b"%d" % number)
    assert b"9" not in ids and b"10" in ids and b"%d" % (MAX_REMEMBERED + 9) in ids
    ids.discard(b"10")
    assert b"10" not in ids


def test_a_digest_that_is_partly_written_is_read_when_it_is_complete(tmp_path: Path) -> None:
    reader = SharedIdFiles(tmp_path)
    whole, other = b"a" * DIGEST_BYTES, b"b" * DIGEST_BYTES
    file = tmp_path / "ids-1"
    file.write_bytes(whole + other[:3])
    assert reader.receive() == [whole]
    file.write_bytes(whole + other)
    assert reader.receive() == [other] and reader.receive() == []
