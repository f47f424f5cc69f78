"""The components of a member's server, each in isolation."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest

from heronreel.coordination.actions import Persist
from heronreel.coordination.ballots import NO_BALLOT, NO_VERSION
from heronreel.coordination.crash_points import CrashPoints
from heronreel.coordination.errors import RequestError, StatusCode
from heronreel.coordination.gateway_server import WatchRequest
from heronreel.coordination.messages import Accept, Hello
from heronreel.coordination.model import PutResponse, Range
from heronreel.coordination.request_batch import RequestCompleted
from heronreel.coordination.settings import GroupConfig, MemberAddress
from heronreel.coordination.watches import WatchNotified
from heronreel.coordinator import connections, transport, watch_registry
from heronreel.coordinator.connections import ConnectionTracker
from heronreel.coordinator.disk import MemberDisk
from heronreel.coordinator.disk_writer import DiskWriter
from heronreel.coordinator.errors import CoordinatorError, UnknownMemberError, WrongMemberError
from heronreel.coordinator.node import MemberNode
from heronreel.coordinator.pending_requests import PendingRequests
from heronreel.coordinator.server import run_server
from heronreel.coordinator.transport import Transport
from heronreel.coordinator.watch_registry import WatchRegistry
from heronreel.store import WriteFailedError


def test_a_watch_whose_client_reads_too_slowly_is_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_registry, "MAX_QUEUED_NOTIFICATIONS", 2)

    async def run() -> None:
        registry = WatchRegistry()
        notifications = registry.open(7).notifications
        assert [registry.publish(WatchNotified(7, revision, ())) for revision in (1, 2, 3)] == [
            True,
            True,
            False,
        ]
        assert [notifications.get_nowait().revision for _ in range(2)] == [1, 2]
        assert notifications.get_nowait() == WatchNotified(7, 3, (), compact_revision=3)
        # The watch has been removed.
        assert registry.publish(WatchNotified(7, 4, ())) and notifications.empty()

    asyncio.run(run())


def test_a_request_gets_its_response_or_an_error_in_time() -> None:
    async def run() -> None:
        requests = PendingRequests()
        requests.add(1)
        # The core completes the request before `wait` is called.
        requests.complete(RequestCompleted(1, PutResponse(5, None)))
        assert await requests.wait(1, 1.0) == PutResponse(5, None)
        requests.add(2)
        with pytest.raises(RequestError) as late:
            await requests.wait(2, 0.01)
        assert late.value.code is StatusCode.DEADLINE_EXCEEDED
        requests.add(3)
        requests.fail_all(RequestError(StatusCode.UNKNOWN, "stopped"))
        with pytest.raises(RequestError, match="stopped"):
            await requests.wait(3, 1.0)
        requests.complete(RequestCompleted(3, PutResponse(6, None)))  # A late completion is ignored.

    asyncio.run(run())


def test_a_stopping_member_rejects_requests_and_watches(tmp_path: Path) -> None:
    """The open requests have been failed already, so a later request would never be completed."""

    async def run() -> None:
        node = MemberNode(GroupConfig((MemberAddress("a", "127.0.0.1:1"),)), "a", MemberDisk(tmp_path, "a"))
        await node.start()
        await node.stop()
        with pytest.raises(RequestError, match="stopped") as raised:
            await node.request(Range(b"key"))
        assert raised.value.code is StatusCode.UNAVAILABLE
        with pytest.raises(RequestError, match="stopped"):
            node.open_watch(WatchRequest(b"key", b"", 0, False))

    asyncio.run(run())


def test_connections_that_are_idle_for_too_long_are_aborted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connections, "MAX_IDLE_S", 0.05)
    monkeypatch.setattr(connections, "SWEEP_INTERVAL_S", 0.01)

    class FakeProtocol(asyncio.Protocol):
        def __init__(self) -> None:
            self.aborted = False
            self.transport = self

        def is_closing(self) -> bool:
            return self.aborted

        def abort(self) -> None:
            self.aborted = True

    async def run() -> None:
        tracker = ConnectionTracker()
        connect = tracker.track(FakeProtocol)
        idle, busy = connect(), connect()
        tracker.request_started(busy)
        sweeping = asyncio.create_task(tracker.run())
        async with asyncio.timeout(5):
            while idle in tracker.idle_since:  # It is first aborted and then removed.
                await asyncio.sleep(0.01)
        assert isinstance(idle, FakeProtocol) and idle.aborted
        assert isinstance(busy, FakeProtocol) and not busy.aborted
        tracker.request_finished(busy)
        async with asyncio.timeout(5):
            while not busy.aborted:
                await asyncio.sleep(0.01)
        sweeping.cancel()

    asyncio.run(run())


def test_messages_for_a_member_are_bounded_and_retransmissions_are_not_queued_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(transport, "MAX_QUEUED_BYTES", 100)

    def accept(value: bytes) -> Accept:
        return Accept("a", "aa", "aa", "bb", NO_BALLOT, 1, NO_VERSION, None, ((b"k", value),))

    async def run() -> None:
        outgoing = Transport("a", CrashPoints())
        outgoing.update([MemberAddress("a", "127.0.0.1:1"), MemberAddress("b", "127.0.0.1:2")])
        assert list(outgoing.peers) == ["b"]
        outgoing.send("unknown", Hello("a", "aa"))  # The message is dropped.
        peer = outgoing.peers["b"]
        for value in (b"x" * 60, b"x" * 60, b"y" * 30):
            outgoing.send("b", accept(value))
        assert list(peer.queue) == [accept(b"x" * 60), accept(b"y" * 30)]
        outgoing.send("b", accept(b"z" * 11))
        assert list(peer.queue) == [accept(b"z" * 11)]
        outgoing.update([MemberAddress("b", "127.0.0.1:3")])
        assert outgoing.peers["b"] is not peer  # The address of the member has changed.
        outgoing.cancel()
        await outgoing.close()

    asyncio.run(run())


def persist(number: int) -> Persist:
    return Persist(number, "aa", NO_BALLOT, NO_VERSION, ((b"k%d" % number, b"v"),), False, ())


class WriterEvents:
    """Records what a DiskWriter calls."""

    def __init__(self, disk: MemberDisk) -> None:
        self.calls: list[str] = []
        self.writer = DiskWriter(
            disk,
            CrashPoints(),
            on_persisted=lambda persist: self.calls.append(f"persisted {persist.number}"),
            on_reset=lambda: self.calls.append("reset"),
            on_failed=lambda: self.calls.append("failed"),
        )


def failing_once(error: Exception, write: Callable[..., None]) -> Callable[..., None]:
    """Return a write function that fails the first time."""
    errors = [error]

    def attempt(*arguments: object) -> None:
        if errors:
            raise errors.pop()
        write(*arguments)

    return attempt


def test_writes_are_confirmed_in_order_and_an_erasure_resets_the_core(tmp_path: Path) -> None:
    async def run() -> None:
        disk = MemberDisk(tmp_path, "a")
        incarnation = disk.durable.incarnation
        events = WriterEvents(disk)
        events.writer.persist(persist(1))
        events.writer.persist(persist(2))
        await events.writer.wait_idle()
        assert events.calls == ["persisted 1", "persisted 2"]
        assert set(disk.durable.content) == {b"k1", b"k2"}
        events.writer.erase()
        await events.writer.wait_idle()
        assert events.calls[2:] == ["reset"]
        assert not disk.durable.content and disk.durable.incarnation != incarnation
        disk.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("error", "calls"),
    [
        (WriteFailedError("no space", final=False), ["reset", "persisted 2"]),
        (WriteFailedError("fsync", final=True), ["failed"]),
        (OSError("no such device"), ["failed"]),
    ],
)
def test_a_failed_write_resets_the_core_or_ends_the_member(
    error: Exception, calls: list[str], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        disk = MemberDisk(tmp_path, "a")
        monkeypatch.setattr(disk, "persist", failing_once(error, disk.persist))
        events = WriterEvents(disk)
        events.writer.persist(persist(1))
        async with asyncio.timeout(5):
            while not events.calls:
                await asyncio.sleep(0.01)
        events.writer.persist(persist(2))
        await events.writer.wait_idle()
        assert events.calls == calls
        disk.close()

    asyncio.run(run())


def test_a_disk_of_another_member_and_an_unknown_name_are_rejected(tmp_path: Path) -> None:
    MemberDisk(tmp_path, "a").close()
    with pytest.raises(WrongMemberError, match="'a', and not to 'b'"):
        MemberDisk(tmp_path, "b")
    disk = MemberDisk(tmp_path, "a")
    group = GroupConfig((MemberAddress("b", "127.0.0.1:1"),))
    with pytest.raises(CoordinatorError) as raised:
        asyncio.run(run_server(group, "a", disk, None, lambda port: None))
    assert isinstance(raised.value, UnknownMemberError) and isinstance(raised.value, ValueError)
    disk.close()
