"""All orders of what pauses and resumes the reading of a connection.

Guards against a pause that outlives its reason, and against a reason that another one ends.
"""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from heronreel.proxy.memory_account import MemoryAccount, MemoryUse
from heronreel.proxy.reading_pause import PauseReason, ReadingPause
from heronreel.proxy.streams import MAX_BUFFERED_REQUEST_BYTES, RequestBodyStream

OTHER_REASONS = [reason for reason in PauseReason if reason is not PauseReason.BODY_BLOCKED]
PIECE_BYTES = MAX_BUFFERED_REQUEST_BYTES // 3


class Transport:
    """A transport that only remembers whether it is read."""

    def __init__(self) -> None:
        self.reading, self.closing = True, False

    def pause_reading(self) -> None:
        assert self.reading and not self.closing
        self.reading = False

    def resume_reading(self) -> None:
        assert not self.reading and not self.closing
        self.reading = True

    def is_closing(self) -> bool:
        return self.closing


class Source:
    """The client's side of a stream."""

    def __init__(self, pause: ReadingPause) -> None:
        self.pause = pause

    def set_body_blocked(self, blocked: bool) -> None:
        if blocked:
            self.pause.add(PauseReason.BODY_BLOCKED)
        else:
            self.pause.remove(PauseReason.BODY_BLOCKED)


class Sink:
    """A backend's side of a stream, which takes no more when `full`."""

    def __init__(self, stream: RequestBodyStream, full: bool) -> None:
        self.stream, self.full = stream, full
        self.writing_paused = False

    def write_body(self, data: bytes) -> None:
        self.set_writing_paused(self.full)

    def finish_body(self) -> None:
        pass

    def is_blocked(self) -> bool:
        return self.writing_paused

    def is_taking(self, now: float) -> bool:
        return not self.full

    def set_writing_paused(self, paused: bool) -> None:
        self.writing_paused = paused
        if self.stream.sink is self:
            self.stream.update_source()


class PausedReading(RuleBasedStateMachine):
    """A connection, the body that it forwards, and all other reasons not to read it."""

    def __init__(self) -> None:
        super().__init__()
        self.transport = Transport()
        self.pause = ReadingPause(self.transport)  # type: ignore[arg-type]
        self.reasons: set[PauseReason] = set()
        self.sinks: list[Sink] = []
        self.begin_body()

    def begin_body(self) -> None:
        memory = MemoryAccount(64 << 20)
        start = b"x" * (MAX_BUFFERED_REQUEST_BYTES + 1)
        assert memory.reserve(MemoryUse.REQUESTS, len(start))
        self.stream = RequestBodyStream(Source(self.pause), memory, start, chunked=False)
        self.is_begun = False  # the first piece, or the first backend, decides whether reading is paused

    @rule(reason=st.sampled_from(OTHER_REASONS))
    def add(self, reason: PauseReason) -> None:
        self.reasons.add(reason)
        self.pause.add(reason)

    @rule(reason=st.sampled_from(OTHER_REASONS))
    def remove(self, reason: PauseReason) -> None:
        self.reasons.discard(reason)
        self.pause.remove(reason)

    @precondition(lambda self: self.stream.source and not self.transport.closing)
    @rule()
    def feed(self) -> None:
        self.is_begun = True
        self.stream.feed(b"x" * PIECE_BYTES)

    @precondition(lambda self: self.stream.sink is None and self.stream.can_restart())
    @rule(full=st.booleans())
    def attach(self, full: bool) -> None:
        self.is_begun = True
        self.sinks.append(Sink(self.stream, full))
        self.stream.attach(self.sinks[-1])

    @precondition(lambda self: self.sinks)
    @rule(data=st.data(), paused=st.booleans())
    def pause_or_resume_sink(self, data: st.DataObject, paused: bool) -> None:
        sink = data.draw(st.sampled_from(self.sinks))
        sink.full = paused
        sink.set_writing_paused(paused)

    @precondition(lambda self: self.sinks)
    @rule(data=st.data())
    def lose_sink(self, data: st.DataObject) -> None:
        sink = data.draw(st.sampled_from(self.sinks))
        self.stream.detach(sink)

    @precondition(lambda self: self.stream.source)
    @rule(complete=st.booleans(), next_body=st.booleans())
    def end_body(self, complete: bool, next_body: bool) -> None:
        if complete:
            self.stream.finish()
        else:
            self.stream.release_source()  # a response, a rejection or a disconnect
        if next_body:
            self.begin_body()

    @rule()
    def close(self) -> None:
        self.transport.closing = True

    @invariant()
    def is_read_exactly_while_there_is_no_reason(self) -> None:
        if self.transport.closing:
            return
        blocked = False
        if self.stream.source and self.is_begun:
            # Without a backend, all bodies here are longer than what is held, unless a part was dropped.
            sink = self.stream.sink
            blocked = sink.is_blocked() if sink else self.stream.buffer is not None
        assert self.transport.reading == (not self.reasons and not blocked)


PausedReading.TestCase.settings = settings(max_examples=150, stateful_step_count=30, deadline=None)
TestPausedReading = PausedReading.TestCase
