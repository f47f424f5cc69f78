"""What both ends of a stand-in's connection do alike."""

from __future__ import annotations

import asyncio

import httptools


class Peer(asyncio.Protocol):
    """Feeds a parser of httptools, and breaks off where it can't read what comes."""

    parser: httptools.HttpRequestParser | httptools.HttpResponseParser

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if self.transport:
                self.transport.abort()
