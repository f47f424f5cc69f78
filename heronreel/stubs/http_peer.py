"""The base class of both ends of a stub's HTTP/1.1 connection."""

from __future__ import annotations

import asyncio

import httptools


class HttpPeer(asyncio.Protocol):
    """Feeds an httptools parser, and aborts the connection if the data cannot be parsed."""

    parser: httptools.HttpRequestParser | httptools.HttpResponseParser

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for writing."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Drop the transport, so that nothing more is written."""
        self.transport = None

    def data_received(self, data: bytes) -> None:
        """Parse received data; the parser calls this object's `on_...` methods."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def abort(self) -> None:
        """Reset the connection, if it is still open."""
        if self.transport:
            self.transport.abort()
