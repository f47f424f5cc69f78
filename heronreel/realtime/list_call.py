"""The server side of the endpoint list protocol: calls of proxy processes, and the encoding of lists."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import httptools

from heronreel.emulator.endpoint_list import Endpoint, EndpointState
from heronreel.realtime.runtime import Runtime
from heronreel.stubs.http_peer import HttpPeer

ENDPOINT_STATUSES = {
    EndpointState.UP: "active",
    EndpointState.LEAVING: "leaving",
    EndpointState.LEFT: "left",
}


class ListCall(HttpPeer):
    """A connection on which a proxy process calls the list service."""

    parser: httptools.HttpRequestParser

    def __init__(self, on_call: Callable[[ListCall], None], on_closed: Callable[[ListCall], None]) -> None:
        super().__init__()
        self.on_call, self.on_closed = on_call, on_closed
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.is_stream = self.has_response = False

    def on_url(self, url: bytes) -> None:
        """Collect the request's URL; called by the parser."""
        self.url += url

    def on_message_complete(self) -> None:
        """Handle a complete request; called by the parser."""
        self.has_response = False
        self.is_stream = b"stream=1" in self.url
        self.url = b""
        self.on_call(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the loss of the connection: the proxy process closed it or exited."""
        super().connection_lost(error)
        self.on_closed(self)

    def begin_stream(self) -> None:
        """Mark the call as answered; write the response's header if the response is a stream."""
        self.has_response = True
        if self.is_stream and self.transport:
            self.transport.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n")

    def write(self, message: dict[str, Any]) -> None:
        """Write a message as a line of the stream or, for a single call, as the whole response."""
        self._write_line(json.dumps(message).encode() + b"\n")

    def write_heartbeat(self) -> None:
        """Write an empty line, which keeps the stream alive."""
        self._write_line(b"\n")

    def _write_line(self, line: bytes) -> None:
        if self.transport is None:
            return
        if self.is_stream:
            self.transport.write(b"%x\r\n%b\r\n" % (len(line), line))
        else:
            self.transport.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (len(line), line))

    def refuse(self) -> None:
        """Respond with status 503: the service has too many calls."""
        if self.transport:
            self.transport.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")

    def fail(self) -> None:
        """Reset the connection."""
        if self.transport:
            self.transport.abort()


def list_message(
    runtime: Runtime, index: int, is_snapshot: bool, endpoints: list[Endpoint]
) -> dict[str, Any]:
    """Return a message of the list protocol.

    Start times are Unix times in milliseconds, stretched by the clock's scale; 0 stands for an endpoint that
    was running from the start.
    """
    rows = []
    for endpoint in endpoints:
        host, port = runtime.nodes[endpoint.ident].address
        started_ms = runtime.epoch_unix_ms + endpoint.started_at * runtime.clock.scale
        rows.append(
            {
                "name": endpoint.name,
                "address": f"{host}:{port}",
                "zone": endpoint.zone,
                "type": endpoint.kind,
                "group": endpoint.rack,
                "status": ENDPOINT_STATUSES[endpoint.state],
                "weight": 1.0,
                "since_ms": started_ms if endpoint.started_at else 0.0,
            }
        )
    return {"index": index, "snapshot": is_snapshot, "endpoints": rows}
