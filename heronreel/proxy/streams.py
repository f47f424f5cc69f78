"""Bodies that are longer than what is held: passed on as they come, never faster than they are taken.

Up to HOLD_MOST bytes of a request are held whole, so that it costs its backend nothing while it comes and may
be sent again.  A longer one is passed on while it still comes.  What was passed on is kept as long as it is
no more than that; once part of it is gone the request can't be sent a second time.
"""

from __future__ import annotations

import math
from typing import Protocol

from heronreel.proxy.http1 import Budget

HOLD_MOST = 512 << 10  # bytes of a request that are held before it is passed on
STREAM_MOST = 33 << 20  # bytes of a body, either way
ANSWER_HOLD_MOST = 16 << 10  # of an answer of unknown length, before it is passed on
STREAM_BYTES = 448 << 10  # what one stream holds at most; 402 KiB were measured (bench/long_bodies.py)


class Source(Protocol):
    """Where a stream comes from: it can be told to wait."""

    def hold(self, on: bool) -> None: ...


class Sink(Protocol):
    """Where a request's bytes go."""

    def push(self, data: bytes) -> None: ...
    def pushed(self) -> None: ...


def chunk(data: bytes) -> bytes:
    """RFC 9112, 7.1."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


class Upload:
    """A request's body under way from a client to one backend at a time.

    Until `whole`, nothing of the request has run anywhere: a backend begins with the last byte.
    """

    __slots__ = ("budget", "chunked", "held", "left_ms", "prefix", "sink", "source", "whole")

    def __init__(self, source: Source, budget: Budget, prefix: bytes, chunked: bool) -> None:
        self.source = source
        self.budget = budget
        self.prefix: list[bytes] | None = [prefix]  # all that came; None: part of it is gone
        self.held = len(prefix)  # taken from the budget by whoever read it
        self.chunked = chunked
        self.sink: Sink | None = None
        self.whole = False
        self.left_ms = 0.0  # from the last byte on

    def may_start(self) -> bool:
        """Whether the body can be sent from its first byte on."""
        return self.prefix is not None

    def attach(self, sink: Sink) -> None:
        """Send what came, and from now on what comes."""
        self.sink = sink
        for data in self.prefix or ():
            sink.push(chunk(data) if self.chunked else data)
        self._end()
        if not self.whole:
            self.source.hold(False)

    def detach(self, sink: Sink) -> None:
        """The connection has gone; whether another one follows is decided elsewhere."""
        if self.sink is sink:
            self.sink = None

    def feed(self, data: bytes) -> None:
        if self.prefix is not None:
            fits = self.held + len(data) <= 2 * HOLD_MOST and self.budget.take(len(data))
            # guards rule 1: what has gone nowhere yet must be kept, room or not; reading stops behind it
            if fits or (self.sink is None and self.budget.take(len(data), math.inf)):
                self.held += len(data)
                self.prefix.append(data)
            else:
                self.forget()  # guards memory: it can't be sent again from here on
        if self.sink is not None:
            self.sink.push(chunk(data) if self.chunked else data)
        elif self.prefix is not None and self.held > HOLD_MOST:
            self.source.hold(True)  # until there is somewhere to send it

    def finish(self) -> None:
        self.whole = True
        self._end()

    def _end(self) -> None:
        if self.whole and self.sink is not None:
            if self.chunked:
                self.sink.push(LAST_CHUNK)
            self.sink.pushed()

    def forget(self) -> None:
        self.prefix = None
        self.budget.give(self.held)
        self.held = 0
