"""The graceful shutdown of the proxy.

Every admitted request gets its response, requests that could not be answered in time are refused, and then
all connections are closed.
"""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable

from heronreel.proxy.client_listener import ClientListener
from heronreel.proxy.drain_schedule import DrainSchedule
from heronreel.proxy.event_log import CloseReason, printable_ids, record_state

POLL_INTERVAL_S = 0.02
READ_S = 0.002  # enough for a turn of the event loop in which it reads from its sockets
MIN_LINGER_S = 0.05  # shortest time between the last responses and the end, however late they were


def record_signal_time(stop: asyncio.Future[float]) -> None:
    """Record when the first stop signal arrived, in seconds on the monotonic clock."""
    if not stop.done():
        stop.set_result(time.monotonic())


async def run_until_exit(serving: Awaitable[None]) -> None:
    """Await `serving`, then block further signals while the interpreter exits.

    The event loop restores the default action of the signals when it closes.  A signal that arrived after
    that would end the process with an error status.
    """
    try:
        await serving
    finally:
        signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP))


async def drain(clients: ClientListener, signalled_at: float, has_successor: bool = False) -> None:
    """Shut down after a SIGTERM that arrived at `signalled_at`, in seconds on the monotonic clock.

    Without a successor, new connections are still accepted at first.  With one, the successor accepts them,
    and clients' connections stay open for a while: each is closed after its next response, so that few are
    closed while a request arrives.
    """
    await _Drain(clients, signalled_at, has_successor).run()


class _Drain:
    """One graceful shutdown; each step is a method."""

    def __init__(self, clients: ClientListener, signalled_at: float, has_successor: bool) -> None:
        self.clients = clients
        self.dispatcher = clients.dispatcher
        self.signalled_at = signalled_at
        self.has_successor = has_successor
        self.schedule = DrainSchedule.starting(signalled_at, self.dispatcher.max_deadline_ms / 1000.0)

    async def run(self) -> None:
        self._begin()
        if not self.has_successor:
            await self._accept_new_connections()
        await self.clients.stop_listening(self.has_successor, self.schedule.answer_by)
        self._record("listener closed")
        if self.has_successor:
            await self._until(self.schedule.handover_until, _leave_open)
        await self._until(self.schedule.admit_until, self._close_idle)
        self._record("admission ended")
        await self._until(self.schedule.answer_by, self._reject_incomplete)
        # After a stall, input that arrived meanwhile is read before its request is timed out.
        await asyncio.sleep(READ_S)
        self._time_out_remaining()
        answered_at = time.monotonic()
        await self._until(max(self.schedule.end_by, answered_at + MIN_LINGER_S), self._close_remaining)
        await asyncio.sleep(READ_S)
        self._abort_remaining()
        self._record("drain ended")

    def _begin(self) -> None:
        self.clients.draining = True
        self.clients.admit_until = self.schedule.admit_until
        self.dispatcher.begin_shutdown(self.schedule.admit_until, self.schedule.answer_by)
        self._record(
            "drain started",
            has_successor=self.has_successor,
            admit_until_s=round(self.schedule.admit_until - self.signalled_at, 3),
            answer_by_s=round(self.schedule.answer_by - self.signalled_at, 3),
            end_by_s=round(self.schedule.end_by - self.signalled_at, 3),
        )

    async def _accept_new_connections(self) -> None:
        """Wait until no more new connections are expected."""
        while self.schedule.accepts_at(time.monotonic(), self.clients.accepted_at):
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _until(self, ends_at: float, step: Callable[[], None]) -> None:
        """Repeat `step` until `ends_at` or until no connection is open."""
        while self.clients.connections and (left_s := ends_at - time.monotonic()) > 0.0:
            step()
            await asyncio.sleep(min(POLL_INTERVAL_S, left_s))

    def _close_idle(self) -> None:
        for client in list(self.clients.idle):
            client.close(CloseReason.DRAINING)

    def _reject_incomplete(self) -> None:
        for client in list(self.clients.connections):
            client.reject_incomplete()

    def _close_remaining(self) -> None:
        """Shut down the proxy's sending side of the remaining connections.

        Input that arrives meanwhile is read and dropped: unread input would reset the connection and could
        destroy a response that the client has not read yet.
        """
        for client in list(self.clients.connections):
            client.reject_incomplete()
            client.close_between_requests(CloseReason.DRAINING)

    def _time_out_remaining(self) -> None:
        """Respond with 504 to each request without a response, rather than reset its connection."""
        waiting = [client.request for client in self.clients.connections if client.request]
        late = [request for request in waiting if not request.streaming]
        if late:
            ids = printable_ids([request.request_id for request in late])
            self._record("requests timed out", timed_out=len(late), request_ids=ids)
        for request in late:
            self.dispatcher.time_out(request)

    def _abort_remaining(self) -> None:
        for client in list(self.clients.connections):
            client.abort(CloseReason.DRAIN_ENDED)

    def _record(self, state: str, **fields: object) -> None:
        record_state(
            state,
            since_signal_s=round(time.monotonic() - self.signalled_at, 3),
            connections=len(self.clients.connections),
            requests=sum(1 for request in self.dispatcher.requests.values() if not request.finished),
            **fields,
        )


def _leave_open() -> None:
    """Leave idle connections open; each is closed after its next response."""
