"""The graceful shutdown: respond to all that was taken, take nothing that can't be answered, then close."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable

from heronreel.proxy.client_listener import ClientListener
from heronreel.proxy.drain_schedule import DrainSchedule
from heronreel.proxy.event_log import CloseReason, printable_ids, record_state

POLL_INTERVAL_S = 0.02
READ_S = 0.002  # a turn of the event loop in which it reads
MIN_LINGER_S = 0.05  # after the last responses, however late they were


def record_signal_time(stop: asyncio.Future[float]) -> None:
    """Keep when the first signal to stop came, on the monotonic clock in seconds."""
    if not stop.done():
        stop.set_result(time.monotonic())


async def run_until_exit(serving: Awaitable[None]) -> None:
    """Await what serves until a signal ends it; a signal that comes while the interpreter ends does nothing.

    The event loop gives the signals back their default action, which would end the process with an error.
    """
    try:
        await serving
    finally:
        signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP))


async def drain(clients: ClientListener, signalled_at: float, has_successor: bool = False) -> None:
    """Shut down after a SIGTERM that came at `signalled_at`, on the monotonic clock in seconds.

    Without a successor, take what still comes first.  With one, what comes is its own, and clients'
    connections stay open for a while: each ends behind its next response, so that few close on a request.
    """
    await _Drain(clients, signalled_at, has_successor).run()


class _Drain:
    """One shutdown, a method a step."""

    def __init__(self, clients: ClientListener, signalled_at: float, has_successor: bool) -> None:
        self.clients = clients
        self.dispatcher = clients.dispatcher
        self.signalled_at = signalled_at
        self.has_successor = has_successor
        self.schedule = DrainSchedule.starting(signalled_at, self.dispatcher.max_deadline_ms / 1000.0)

    async def run(self) -> None:
        self._begin()
        if not self.has_successor:
            await self._accept_the_last()
        await self.clients.stop_listening(self.has_successor, self.schedule.answer_by)
        self._record("listener closed")
        if self.has_successor:
            await self._until(self.schedule.handover_until, _leave_open)
        await self._until(self.schedule.admit_until, self._close_idle)
        self._record("admission ended")
        await self._until(self.schedule.answer_by, self._reject_incomplete)
        await asyncio.sleep(READ_S)  # after a hold-up, what came meanwhile is read before it is given up
        self._answer_the_rest()
        answered_at = time.monotonic()
        await self._until(max(self.schedule.end_by, answered_at + MIN_LINGER_S), self._close_the_rest)
        await asyncio.sleep(READ_S)
        self._abort_the_rest()
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

    async def _accept_the_last(self) -> None:
        """Wait until new connections have stopped coming."""
        while self.schedule.accepts_at(time.monotonic(), self.clients.accepted_at):
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _until(self, ends_at: float, step: Callable[[], None]) -> None:
        """Take that step again and again, until then or until no connection is open."""
        while self.clients.connections and (left_s := ends_at - time.monotonic()) > 0.0:
            step()
            await asyncio.sleep(min(POLL_INTERVAL_S, left_s))

    def _close_idle(self) -> None:
        for client in list(self.clients.idle):
            client.close(CloseReason.DRAINING)

    def _reject_incomplete(self) -> None:
        for client in list(self.clients.connections):
            client.reject_incomplete()

    def _close_the_rest(self) -> None:
        """Our sides end; what crosses that is read and dropped, lest it reset the responses before it."""
        for client in list(self.clients.connections):
            client.reject_incomplete()
            client.close_between_requests(CloseReason.DRAINING)

    def _answer_the_rest(self) -> None:
        """Every request gets a response: one that has none by now gets a 504 rather than a reset."""
        waiting = [client.request for client in self.clients.connections if client.request]
        late = [request for request in waiting if not request.streaming]
        if late:
            ids = printable_ids([request.request_id for request in late])
            self._record("requests timed out", timed_out=len(late), request_ids=ids)
        for request in late:
            self.dispatcher.time_out(request)

    def _abort_the_rest(self) -> None:
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
    """Connections end behind their next response."""
