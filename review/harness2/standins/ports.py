"""Free loopback ports, which stay reserved until a program listens on them."""

from __future__ import annotations

import socket
from typing import Self

LOOPBACK = "127.0.0.1"


class ReservedPort:
    """A bound socket that does not listen, so that nobody else is given its port.

    A program can bind the port too, because both sockets have SO_REUSEADDR.
    """

    def __init__(self) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((LOOPBACK, 0))
        self.number: int = self._socket.getsockname()[1]
        self.address = f"{LOOPBACK}:{self.number}"

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self._socket.close()
