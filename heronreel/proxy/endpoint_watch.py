"""The watch of the endpoint list: the calls to discovery.

A call reports each list it receives and, when it fails, why (`WatchFailure`), once.  Nothing of a malformed
response is passed on, so the old list stays in force.

The platform counts a change that a silent watch misses as notified 6 s after it fell silent, and a watch may
fall silent right after a line, or before its first.  So a call that is quiet for longer than a healthy one
ever is gets a second one beside it while it stays open: if it was only late, it is as good as before, and
the second one costs nothing.
"""

from __future__ import annotations

import asyncio
import json
import logging
import time
from collections.abc import Callable
from typing import cast

import httptools

from heronreel.balancer.interface import WatchFailure
from heronreel.proxy.endpoints import EndpointList, parse_endpoint_list

MAX_LINE_BYTES = 4 << 20  # some 30,000 backends
CONNECT_TIMEOUT_S = 1.0  # the kernel resends the packet of a connect that was lost no sooner
HEARTBEAT_TIMEOUT_S = 2.5  # an idle watch gets a line every 2 s, so one that is quiet for longer is late
RESPONSE_TIMEOUT_S = 3.1  # for a response's head: a call may wait its turn, but is rejected after 3 s
MAX_SILENCE_S = 8.0  # after which a late call is given up
PUSHED_RETRY_INTERVAL_S = 0.1  # between calls to an agent on this machine, which responds at once, at no cost

log = logging.getLogger(__name__)


class EndpointWatch:
    """Makes the calls, and keeps the index from which the next watch resumes.

    Where lists are polled, `watch` begins each call and a failure is reported, so that whoever paces the
    calls of a whole fleet begins the next.  Where they are pushed (`pushed`), what the agent has counts as
    notified at once, with a watch or without: `start` makes the first call, and each further one is made
    here.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        index: int,
        on_update: Callable[[EndpointList | WatchFailure], None],
        pushed: bool = False,
    ) -> None:
        self.loop = loop
        self.address = address
        self.index = index
        self.on_update = on_update
        self.pushed = pushed
        self.retry_timer: asyncio.TimerHandle | None = None  # the next call to an agent
        self.calls: set[_Call] = set()

    def start(self) -> None:
        """Begin the watch of a pushed list; a polled one waits for `watch`."""
        if self.pushed and not self._is_watching():
            self._begin()

    def reconfigure(self, address: tuple[str, int], pushed: bool) -> None:
        """Call this address from now on; at once, if there is a watch to move."""
        moved, mode_changed = address != self.address, pushed != self.pushed
        self.address, self.pushed = address, pushed
        if moved and any(call.is_watch for call in self.calls):
            self._begin()
        if moved and not pushed:
            self.on_update(WatchFailure.MOVED)  # ends a long backoff after failures of the old address
        if mode_changed and pushed:
            self.start()
        elif mode_changed and not self._is_watching():
            self.on_update(WatchFailure.ENDED)  # from now on somebody else paces the calls

    def watch(self) -> None:
        """Begin a watch, unless there is a good one.

        Late ones go on until one gets a response, so that no change is missed and no place in the service's
        queue is lost.
        """
        if any(call.has_response and not call.is_late for call in self._current_watches()):
            self.on_update(EndpointList(self.index, False, []))  # it was only late
        elif not self._is_watching():
            self._begin()

    def fetch(self) -> None:
        """Get the list once."""
        self.calls.add(_Call(self, "", False))

    def close(self) -> None:
        """End all calls."""
        if self.retry_timer:
            self.retry_timer.cancel()
        for call in list(self.calls):
            call.close()

    def _begin(self) -> None:
        for call in [call for call in self.calls if call.is_watch and not call.has_response]:
            if call.address != self.address:
                call.close()
        self.calls.add(_Call(self, f"?stream=1&index={self.index}", True))

    def _current_watches(self) -> list[_Call]:
        return [call for call in self.calls if call.is_watch and call.address == self.address]

    def _is_watching(self) -> bool:
        """Whether a call under way will bring the list, as far as is known."""
        return any(not call.is_late for call in self._current_watches())

    # Reports of the calls.

    def on_response(self, call: _Call) -> None:
        """A call's response has begun; a new watch takes the place of the others."""
        if call.is_watch:
            for other in [other for other in self.calls if other.is_watch and other is not call]:
                other.close()

    def on_endpoints(self, endpoints: EndpointList) -> None:
        """A call received a list."""
        self.index = endpoints.index
        self.on_update(endpoints)

    def on_failure(self, call: _Call, lost: WatchFailure) -> None:
        """A call ended, or is late.  Report it, unless another is about to take its place."""
        if call.is_watch and self._is_watching():
            return
        if not self.pushed:
            self.on_update(lost)
        elif self.retry_timer is None:
            self.retry_timer = self.loop.call_later(PUSHED_RETRY_INTERVAL_S, self._retry)

    def _retry(self) -> None:
        self.retry_timer = None
        self.start()


class _Call(asyncio.Protocol):
    """One call on a connection of its own; it reports one failure at most, and none once it is closed."""

    def __init__(self, owner: EndpointWatch, query: str, is_watch: bool) -> None:
        self.owner = owner
        self.address = owner.address
        self.query = query
        self.is_watch = is_watch
        self.closed = False
        self.has_response = False
        self.buffer = bytearray()
        self.searched = 0  # no line ends before this place in the buffer
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.last_input_at = time.monotonic()
        self.is_late = False
        self.timer = owner.loop.call_later(CONNECT_TIMEOUT_S, self._check_silence)
        self.task = owner.loop.create_task(self._connect())

    async def _connect(self) -> None:
        try:
            await self.owner.loop.create_connection(lambda: self, *self.address)
        except OSError as error:
            self._fail(f"no connection: {error}")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
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
        if self.is_late:  # its next silence is as long as any other's
            self.is_late = False
            self.timer.cancel()
            self.timer = self.owner.loop.call_later(HEARTBEAT_TIMEOUT_S, self._check_silence)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail("malformed HTTP")

    def on_headers_complete(self) -> None:
        """Parser callback: the status is known."""
        status = self.parser.get_status_code()
        if status >= 200:
            self.has_response = status == 200
            if not self.has_response:
                self._fail(f"status {status}", WatchFailure.BUSY)
            elif not self.closed:
                self.owner.on_response(self)

    def on_body(self, data: bytes) -> None:
        """Parser callback: take the lines that are complete; one line of a watch is one list."""
        if self.closed:
            return
        self.buffer += data
        end = self.buffer.find(b"\n", self.searched) if self.is_watch else -1
        while end >= 0 and not self.closed:
            line = bytes(self.buffer[:end])
            del self.buffer[: end + 1]
            if line.strip():
                self._take_list(line)
            end = self.buffer.find(b"\n")
        self.searched = len(self.buffer)
        # bounds memory: a faulty discovery must not take the proxy down
        if len(self.buffer) > MAX_LINE_BYTES:
            self._fail(f"a line of over {MAX_LINE_BYTES} bytes")

    def on_message_complete(self) -> None:
        """Parser callback: the response has ended, which a watch never should."""
        if not self.has_response or self.closed:
            return
        if self.is_watch:
            self._fail("the watch ended")
        elif self._take_list(bytes(self.buffer)):
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Report the end of the connection."""
        self._fail(f"connection lost: {error or 'ended'}")
        del self.parser  # it refers back to us

    def _take_list(self, text: bytes) -> bool:
        try:
            endpoints = parse_endpoint_list(json.loads(text))
        except (ValueError, RecursionError) as error:
            self._fail(f"malformed data: {error}")
            return False
        self.owner.on_endpoints(endpoints)
        return True

    def _check_silence(self) -> None:
        """Fail on silence, for a cut network sends nothing.

        After a stall of our own, what came meanwhile may be read after this: then the call was never late.
        """
        limit = self._silence_limit_s()
        left = self.last_input_at + limit - time.monotonic()
        if left > 0.0:
            self.timer = self.owner.loop.call_later(left, self._check_silence)
        elif self.transport is None or self.is_late or not self.is_watch:
            self._fail("no connection" if self.transport is None else "silent")
        else:
            log.info("discovery: late")
            self.is_late = True
            self.timer = self.owner.loop.call_later(MAX_SILENCE_S - limit, self._check_silence)
            self.owner.on_failure(self, WatchFailure.LATE)

    def _silence_limit_s(self) -> float:
        if self.transport is None:
            return CONNECT_TIMEOUT_S
        if self.is_late:
            return MAX_SILENCE_S
        return HEARTBEAT_TIMEOUT_S if self.has_response else RESPONSE_TIMEOUT_S

    def _fail(self, reason: str, lost: WatchFailure = WatchFailure.ENDED) -> None:
        if not self.closed:
            log.info("discovery: %s", reason)
            self.close()
            self.owner.on_failure(self, lost)

    def close(self) -> None:
        """End the call without a report."""
        self.closed = True
        self.timer.cancel()
        self.buffer.clear()
        self.owner.calls.discard(self)
        if self.transport is not None:
            self.transport.abort()
        else:
            self.task.cancel()
