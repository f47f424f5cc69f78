"""Since when a client may have written all of a message, from looks at a connection that is not read."""

from __future__ import annotations

import asyncio
from typing import cast

import pytest

from heronreel.proxy import input_arrival
from heronreel.proxy.input_arrival import MAX_CLIENT_BUFFER_BYTES, MAX_LOOKS, InputArrival

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

    def read(self, size: int) -> list[tuple[int, float]]:
        self.unread -= size
        return [(len(part), written_at) for part, written_at in self.arrival.take(bytes(size))]


@pytest.fixture
def connection(monkeypatch: pytest.MonkeyPatch) -> Connection:
    return Connection(monkeypatch)


def test_what_arrives_while_nothing_is_read_may_have_waited_for_the_window_to_open(
    connection: Connection,
) -> None:
    connection.look(0.0, 1 * MB, FULL)
    connection.look(1.0, 2 * MB, FULL)
    connection.look(3.0, 2 * MB, FULL)
    assert connection.arrival.may_be_written_since(None) == 0.0


def test_what_arrives_after_a_read_may_have_waited_in_the_clients_kernel(connection: Connection) -> None:
    connection.look(0.0, 2 * MB, FULL)
    connection.read(1 * MB)
    connection.look(1.0, 2 * MB, FULL)
    assert connection.arrival.may_be_written_since(None) == 0.0  # 3 MB arrived, 2 MB at the first look
    connection.read(2 * MB)
    connection.look(2.0, 2 * MB, FULL)
    assert connection.arrival.may_be_written_since(None) == 0.0
    connection.read(2 * MB)
    connection.look(3.0, 2 * MB, FULL)
    connection.read(2 * MB)
    connection.look(4.0, 2 * MB, FULL)  # 9 MB, and more than 3 MB had arrived at the third look only
    assert connection.arrival.may_be_written_since(None) == 2.0


def test_each_request_has_the_time_at_which_it_was_written(connection: Connection) -> None:
    connection.look(0.0, 100, ROOM)
    connection.look(1.0, 300, ROOM)
    connection.look(4.0, 300, ROOM)
    assert connection.read(150) == [(100, 0.0), (50, 1.0)]
    connection.now = 5.0
    assert connection.read(250) == [(150, 1.0), (100, 5.0)]  # the last part came after the looks


def test_the_number_of_looks_is_bounded_and_the_newest_are_kept(connection: Connection) -> None:
    for number in range(2 * MAX_LOOKS):
        connection.look(float(number), number + 1, ROOM)
    parts = connection.read(2 * MAX_LOOKS)
    assert len(parts) == MAX_LOOKS and parts[-1] == (1, 2 * MAX_LOOKS - 1.0)


def test_a_buffer_with_room_shows_that_nothing_waits_in_the_clients_kernel(connection: Connection) -> None:
    connection.look(0.0, 2 * MB, FULL)
    connection.read(1 * MB)
    connection.look(1.0, 1 * MB, ROOM)
    connection.read(1 * MB)
    connection.look(2.0, 2 * MB, FULL)
    assert connection.arrival.may_be_written_since(None) == 1.0  # what came later was written after that look


def test_room_right_after_a_read_shows_nothing_of_the_clients_kernel(connection: Connection) -> None:
    connection.look(0.0, 2 * MB, FULL)
    connection.read(2 * MB)
    connection.look(0.001, 0, ROOM)  # what the client's kernel holds is on its way
    connection.look(0.05, 2 * MB, FULL)
    assert connection.arrival.may_be_written_since(None) == 0.0


@pytest.mark.parametrize(("read_at", "written_at"), [(0.1, 0.0), (0.3, None)])
def test_a_connection_that_was_read_for_long_has_nothing_in_its_clients_kernel(
    connection: Connection, read_at: float, written_at: float | None
) -> None:
    connection.look(0.0, 2 * MB, FULL)
    connection.arrival.resume()
    connection.now = read_at
    assert connection.read(3 * MB) == [(2 * MB, 0.0), (1 * MB, read_at)]
    assert connection.arrival.may_be_written_since(0) == written_at


def test_requests_that_never_filled_the_buffer_count_from_when_they_are_read(connection: Connection) -> None:
    for number in range(100):  # a client that sends one request after the other, and pauses of some ms
        connection.look(number / 100.0, 500, ROOM)
        connection.read(500)
        connection.arrival.resume()
    connection.now = 1.0
    assert connection.read(500) == [(500, 1.0)]


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
