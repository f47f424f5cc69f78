"""One call to discovery for the endpoint list: its connection, timeouts and response.

A call reports each list that it receives, and a failure at most once, with its reason.  Malformed data is
never passed on.
"""

from __future__ import annotations

import asyncio
import json
import math
import time
from typing import Protocol, cast

import httptools

from heronreel.balancer.interface import WatchFailure
from heronreel.proxy.endpoints import EndpointList, parse_endpoint_list
from heronreel.proxy.event_log import EventKind, record
from heronreel.proxy.list_validity import ListValidity

MAX_LINE_BYTES = 4 << 20  # Enough for about 30,000 backends.
CONNECT_TIMEOUT_S = 1.0  # The kernel does not retransmit a lost SYN any sooner.
# An idle watch receives a line every 2 s, so a watch that receives nothing for longer than this is late.
HEARTBEAT_TIMEOUT_S = 2.5
# Timeout for the response head.  A call may wait in discovery's queue, which refuses it after 3 s.
RESPONSE_TIMEOUT_S = 3.1
# A late call is closed after this time without input.
MAX_SILENCE_S = 8.0


class CallObserver(Protocol):
    """Starts the calls and receives their reports."""

    loop: asyncio.AbstractEventLoop
    address: tuple[str, int]
    index: int
    calls: set[EndpointCall]

    def list_age_s(self) -> float:
        """Return how long ago, in seconds, the list was last confirmed to be current."""

    def on_response(self, call: EndpointCall) -> None:
        """Handle the start of a successful response."""

    def on_line(self, call: EndpointCall) -> None:
        """Handle a complete line: a list, or an empty line, which means that nothing has changed."""

    def on_endpoints(self, endpoints: EndpointList) -> None:
        """Handle a received list."""

    def on_failure(self, call: EndpointCall, failure: WatchFailure) -> None:
        """Handle a call that has ended or is late."""


class EndpointCall(asyncio.Protocol):
    """One call, on its own connection.

    It reports at most one failure, and none once it is closed.
    """

    def __init__(self, owner: CallObserver, number: int, query: str, is_watch: bool) -> None:
        self.owner = owner
        self.number = number
        self.address = owner.address
        self.query = query
        self.is_watch = is_watch
        self.closed = False
        self.has_response = False
        self.list_count = 0  # Number of lists received by this call.
        self.first_list_at = math.inf  # When the first of these lists was received.
        self.was_reset = False
        # The validity as it was before the first list of this call renewed it.
        self.previous_validity: ListValidity | None = None
        self.buffer = bytearray()
        self.searched_bytes = 0  # The first bytes of the buffer that are known to contain no line end.
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.started_at = self.last_input_at = time.monotonic()
        self.is_late = False
        record(
            EventKind.LIST_CALLED,
            call=number,
            watch=is_watch,
            index=owner.index,
            list_age_s=round(owner.list_age_s(), 3),
        )
        self.timer = owner.loop.call_later(CONNECT_TIMEOUT_S, self._check_silence)
        self.task = owner.loop.create_task(self._connect())

    async def _connect(self) -> None:
        try:
            await self.owner.loop.create_connection(lambda: self, *self.address)
        except OSError as error:
            self._fail(f"no connection: {error}")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request for the list."""
        self.transport = cast(asyncio.Transport, transport)
        if self.closed:
            self.transport.abort()
            return
        host, port = self.address
        head = f"GET /catalog/members{self.query} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
        self.transport.write(head.encode())

    def data_received(self, data: bytes) -> None:
        """Parse more of the response."""
        self.last_input_at = time.monotonic()
        if self.is_late:  # From now on the usual timeout applies again.
            self.is_late = False
            self.timer.cancel()
            self.timer = self.owner.loop.call_later(HEARTBEAT_TIMEOUT_S, self._check_silence)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail("malformed HTTP")

    def on_headers_complete(self) -> None:
        """Handle the end of the response head (parser callback)."""
        status = self.parser.get_status_code()
        if status >= 200:
            self.has_response = status == 200
            if not self.has_response:
                self._fail(f"status {status}", WatchFailure.BUSY)
            elif not self.closed:
                self.owner.on_response(self)

    def on_body(self, data: bytes) -> None:
        """Process the complete lines (parser callback).  Each non-empty line of a watch is one list."""
        if self.closed:
            return
        self.buffer += data
        end = self.buffer.find(b"\n", self.searched_bytes) if self.is_watch else -1
        while end >= 0 and not self.closed:
            line = bytes(self.buffer[:end])
            del self.buffer[: end + 1]
            if line.strip():
                self._receive_list(line)
            else:
                self.owner.on_line(self)
            end = self.buffer.find(b"\n")
        self.searched_bytes = len(self.buffer)
        # Limit the memory, so that a faulty discovery service can't make the proxy run out of it.
        if len(self.buffer) > MAX_LINE_BYTES:
            self._fail(f"line longer than {MAX_LINE_BYTES} bytes")

    def on_message_complete(self) -> None:
        """Handle the end of the response (parser callback).  The response of a watch should never end."""
        if not self.has_response or self.closed:
            return
        if self.is_watch:
            self._fail("the watch response ended")
        elif self._receive_list(bytes(self.buffer)):
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Report that the connection has ended."""
        self.was_reset = error is not None
        self._fail(f"connection lost: {error or 'closed by discovery'}")
        del self.parser  # The parser refers to this object: break the reference cycle.

    def _receive_list(self, text: bytes) -> bool:
        """Parse a list and report it; on malformed data fail the call and return False."""
        try:
            endpoints = parse_endpoint_list(json.loads(text))
        except (ValueError, RecursionError) as error:
            self._fail(f"malformed endpoint list: {error}")
            return False
        if not self.list_count:
            self.first_list_at = self.last_input_at
            self._record(EventKind.LIST_RECEIVED, new_index=endpoints.index, snapshot=endpoints.is_snapshot)
        self.list_count += 1
        self.owner.on_line(self)
        self.owner.on_endpoints(endpoints)
        return True

    def _record(self, kind: EventKind, **fields: object) -> None:
        """Log an event of this call with its duration, the number of its lists and the age of the list."""
        record(
            kind,
            b"",
            call=self.number,
            after_ms=round((time.monotonic() - self.started_at) * 1000.0, 1),
            lists=self.list_count,
            index=self.owner.index,
            list_age_s=round(self.owner.list_age_s(), 3),
            **fields,
        )

    def _check_silence(self) -> None:
        """Report a call that has received nothing for too long, since a cut network sends no error.

        After a stall of this process, input that arrived meanwhile may be read only after this check.  The
        call then counts as late for a moment, although it was not.
        """
        limit_s = self._silence_limit_s()
        remaining_s = self.last_input_at + limit_s - time.monotonic()
        if remaining_s > 0.0:
            self.timer = self.owner.loop.call_later(remaining_s, self._check_silence)
        elif self.transport is None or self.is_late or not self.is_watch:
            self._fail("no connection" if self.transport is None else "silent")
        else:
            self._record(EventKind.LIST_CALL_LATE)
            self.is_late = True
            self.timer = self.owner.loop.call_later(MAX_SILENCE_S - limit_s, self._check_silence)
            self.owner.on_failure(self, WatchFailure.LATE)

    def _silence_limit_s(self) -> float:
        """Return how long the call may receive nothing in its current state."""
        if self.transport is None:
            return CONNECT_TIMEOUT_S
        if self.is_late:
            return MAX_SILENCE_S
        return HEARTBEAT_TIMEOUT_S if self.has_response else RESPONSE_TIMEOUT_S

    def _fail(self, reason: str, failure: WatchFailure = WatchFailure.ENDED) -> None:
        if not self.closed:
            self._record(EventKind.LIST_CALL_FAILED, reason=reason)
            self.close()
            self.owner.on_failure(self, failure)

    def close(self) -> None:
        """End the call without reporting a failure."""
        self.closed = True
        self.timer.cancel()
        self.buffer.clear()
        self.owner.calls.discard(self)
        if self.transport is not None:
            self.transport.abort()
        else:
            self.task.cancel()
