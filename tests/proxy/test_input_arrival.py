"""Since when a client may have written all of a message, from looks at a connection that is not read."""

from __future__ import annotations

import asyncio
from typing import cast

import pytest

from heronreel.proxy import input_arrival
from heronreel.proxy.input_arrival import MAX_CLIENT_BUFFER_BYTES, InputArrival

MB = 1 << 20
QUIET_S = 1.5
FULL, ROOM = 0.5, 0.1  # shares of the receive buffer in use


class Connection:
    """A connection whose clock, unread bytes and receive buffer are set by the test."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = self.share = 0.0
        self.unread = 0
        monkeypatch.setattr(input_arrival, "unread_bytes", lambda _: self.unread)
        monkeypatch.setattr(input_arrival, "receive_buffer_share", lambda _: self.share)
        monkeypatch.setattr("time.monotonic", lambda: self.now)
        self.arrival = InputArrival(cast(asyncio.Transport, None))

    def look(self, now: float, unread: int, share: float) -> None:
        self.now, self.unread, self.share = now, unread, share
        self.arrival.check()

    def read(self, size: int) -> None:
        self.arrival.take(size)
        self.unread -= size


@pytest.fixture
def connection(monkeypatch: pytest.MonkeyPatch) -> Connection:
    return Connection(monkeypatch)


def test_what_arrives_while_nothing_is_read_was_written_just_before(connection: Connection) -> None:
    connection.look(0.0, 1 * MB, FULL)
    connection.look(1.0, 2 * MB, FULL)
    connection.look(3.0, 2 * MB, FULL)
    assert connection.arrival.may_be_written_since(None) == 1.0


def test_what_arrives_after_a_read_may_have_waited_in_the_clients_kernel(connection: Connection) -> None:
    connection.look(0.0, 2 * MB, FULL)
    connection.read(1 * MB)
    connection.look(1.0, 2 * MB, FULL)
    assert connection.arrival.may_be_written_since(None) == 0.0
    connection.read(2 * MB)
    connection.look(2.0, 2 * MB, FULL)
    connection.read(2 * MB)
    connection.look(3.0, 2 * MB, FULL)
    # 5 MB were read: the client can't have written that much before it had sent 1 MB of it
    assert connection.arrival.may_be_written_since(None) == 0.0
    connection.read(2 * MB)
    connection.look(4.0, 2 * MB, FULL)  # 7 MB, of which 3 had arrived at the second look
    assert connection.arrival.may_be_written_since(None) == 1.0


def test_a_buffer_with_room_shows_that_nothing_waits_in_the_clients_kernel(connection: Connection) -> None:
    connection.look(0.0, 2 * MB, FULL)
    connection.read(1 * MB)
    connection.look(1.0, 1 * MB, ROOM)
    connection.read(1 * MB)
    connection.look(2.0, 2 * MB, FULL)
    assert connection.arrival.may_be_written_since(None) == 2.0


def test_a_connection_that_was_read_for_long_has_nothing_in_its_clients_kernel(
    connection: Connection,
) -> None:
    connection.look(0.0, 2 * MB, FULL)
    connection.arrival.resume()
    connection.now = 0.1
    assert connection.arrival.may_be_written_since(None) == 0.0
    connection.now = 0.3
    assert connection.arrival.may_be_written_since(0) is None


def test_a_message_that_does_not_fit_into_the_clients_kernel_is_not_written(connection: Connection) -> None:
    connection.look(0.0, 2 * MB, FULL)
    fits = 2 * MB + MAX_CLIENT_BUFFER_BYTES
    assert connection.arrival.may_be_written_since(fits) == 0.0
    assert connection.arrival.may_be_written_since(fits + 1) is None


def test_a_message_whose_rest_waits_here_is_complete(connection: Connection) -> None:
    connection.look(1.0, 2 * MB, FULL)
    connection.look(5.0, 2 * MB, FULL)
    assert connection.arrival.complete_since(2 * MB, QUIET_S) == 1.0
    assert connection.arrival.complete_since(2 * MB + 1, QUIET_S) is None
    assert connection.arrival.complete_since(None, QUIET_S) is None  # more may wait in the client's kernel
    connection.look(6.0, 2 * MB, ROOM)
    assert connection.arrival.complete_since(None, QUIET_S) == 1.0
