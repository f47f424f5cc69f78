"""A proxy's pool of idle connections to nodes.

The most recently used connection is reused first, and a connection that is idle for too long is closed.
"""

from __future__ import annotations

from collections import deque

from heronreel.emulator.node import Node
from heronreel.emulator.requests import CLOSED, IN_USE, Connection


class ConnectionPool:
    """Idle connections, grouped by node.  Times are ms."""

    def __init__(self, idle_limit_ms: float) -> None:
        self.idle_limit_ms = idle_limit_ms
        self._idle: dict[int, list[Connection]] = {}
        self._by_age: deque[tuple[float, Connection]] = deque()

    def idle_count(self, node: Node) -> int:
        """Return the number of idle connections to a node."""
        return len(self._idle.get(node.ident, ()))

    def take(self, node: Node, now: float) -> Connection | None:
        """Remove an idle connection to a node from the pool and return it, or None if there is none."""
        idle = self._idle.get(node.ident)
        if not idle:
            return None
        self.sweep(now)
        if not idle:
            return None
        connection = idle.pop()
        connection.idle_since = IN_USE
        return connection

    def release(self, connection: Connection, now: float) -> None:
        """Return a connection to the pool for reuse."""
        connection.idle_since = now
        self._idle.setdefault(connection.node.ident, []).append(connection)
        self._by_age.append((now, connection))

    def close(self, connection: Connection) -> None:
        """Close a connection that is not in the pool."""
        connection.idle_since = CLOSED
        if connection.incarnation == connection.node.incarnation:
            connection.node.open_connections -= 1

    def close_node(self, ident: int) -> None:
        """Close all idle connections to a node."""
        for connection in self._idle.pop(ident, []):
            self.close(connection)

    def close_all(self) -> None:
        """Close every idle connection."""
        for idle in self._idle.values():
            for connection in idle:
                self.close(connection)
        self._idle.clear()
        self._by_age.clear()

    def forget_node(self, ident: int) -> None:
        """Drop the connections to a node whose process has ended."""
        for connection in self._idle.pop(ident, []):
            connection.idle_since = CLOSED

    def sweep(self, now: float) -> None:
        """Close the connections that have been idle for too long, oldest first."""
        limit = now - self.idle_limit_ms
        by_age = self._by_age
        while by_age and by_age[0][0] <= limit:
            idle_since, connection = by_age.popleft()
            if connection.idle_since == idle_since:
                self._expire(connection)

    def _expire(self, connection: Connection) -> None:
        ident = connection.node.ident
        idle = self._idle.get(ident)
        if idle and connection in idle:
            idle.remove(connection)
            if not idle:
                del self._idle[ident]
            self.close(connection)
