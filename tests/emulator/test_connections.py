"""Tests of the pool of idle connections: reuse, the idle limit, and the node's count of open connections."""

from __future__ import annotations

from heronreel.emulator.connections import ConnectionPool
from heronreel.emulator.node import Node, Rack
from heronreel.emulator.requests import Connection
from tests.support.rehearsals import KIND

IDLE_LIMIT_MS = 1000.0


def make_node() -> Node:
    return Node(1, "n1", "a", Rack("r0"), KIND, 1.0)


def open_connection(node: Node) -> Connection:
    node.open_connections += 1
    return Connection(node)


def test_the_connection_released_last_is_reused_first() -> None:
    pool, node = ConnectionPool(IDLE_LIMIT_MS), make_node()
    older, newer = open_connection(node), open_connection(node)
    pool.release(older, 0.0)
    pool.release(newer, 1.0)
    assert pool.take(node, 2.0) is newer and pool.take(node, 2.0) is older
    assert pool.take(node, 2.0) is None and node.open_connections == 2


def test_connections_idle_for_the_limit_are_closed_and_subtracted_from_the_count() -> None:
    pool, node = ConnectionPool(IDLE_LIMIT_MS), make_node()
    for released_at in (0.0, 500.0):
        pool.release(open_connection(node), released_at)
    pool.sweep(999.0)
    assert pool.idle_count(node) == node.open_connections == 2
    pool.sweep(1000.0)
    assert pool.idle_count(node) == node.open_connections == 1
    assert pool.take(node, 1500.0) is None and node.open_connections == 0


def test_the_idle_time_of_a_reused_connection_begins_at_its_last_release() -> None:
    pool, node = ConnectionPool(IDLE_LIMIT_MS), make_node()
    pool.release(open_connection(node), 0.0)
    connection = pool.take(node, 900.0)
    assert connection is not None
    pool.release(connection, 950.0)
    pool.sweep(1000.0)
    assert pool.idle_count(node) == 1


def test_closing_a_connection_of_an_ended_process_leaves_the_count_of_its_successor() -> None:
    pool, node = ConnectionPool(IDLE_LIMIT_MS), make_node()
    connection = open_connection(node)
    node.stop_process()
    node.start_process(10.0, False, None)
    node.open_connections = 3
    pool.close(connection)
    assert node.open_connections == 3
