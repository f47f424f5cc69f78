"""Decides when a proxy counts as notified of a backend's departure, and which later requests are too late.

It implements the operators' documentation and shares no code with the program.  A history consists of events
at the list service, at the backends and at the proxy; `late_requests` checks it.  Times are in seconds on one
clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TypeVar

# Time limits within which a departure counts as notified.
AFTER_END_S = 2.0  # after the end of an answered watch that did not deliver the change
AFTER_REACHABLE_S = 6.0  # after the service had the change and was reachable
AFTER_SILENCE_S = 6.0  # after a watch stopped sending
AFTER_MOVE_S = 4.0  # after the SIGHUP that switches the proxy to another service
SLACK_S = 0.05  # added to each limit, for delays of sockets


@dataclass(frozen=True)
class Departed:
    """A service's list shows a backend as leaving, or no longer contains it, from this time on."""

    at: float
    service: str
    backend: str


@dataclass(frozen=True)
class Returned:
    """A service's list shows a backend as active again."""

    at: float
    service: str
    backend: str


@dataclass(frozen=True)
class ListWritten:
    """A message was written to the proxy; `removed` are the backends that it shows as leaving or omits."""

    at: float
    service: str
    removed: frozenset[str] = frozenset()


@dataclass(frozen=True)
class WatchEnded:
    """The service ended a watch; `answered` tells whether it had written a list on it."""

    at: float
    service: str
    answered: bool


@dataclass(frozen=True)
class WatchFellSilent:
    """An answered watch stays open, but the service sends nothing more on it."""

    at: float
    service: str


@dataclass(frozen=True)
class Reachable:
    """A service that was down is reachable again."""

    at: float
    service: str


@dataclass(frozen=True)
class Moved:
    """The proxy got SIGHUP with a configuration that names `service` as its new list service."""

    at: float
    service: str


@dataclass(frozen=True)
class RequestBegan:
    """The first byte of a request arrived at a backend."""

    at: float
    backend: str


HistoryEvent = (
    Departed | Returned | ListWritten | WatchEnded | WatchFellSilent | Reachable | Moved | RequestBegan
)
EventKind = TypeVar("EventKind", bound=HistoryEvent)


@dataclass(frozen=True)
class Notification:
    """When a departure counts as notified, and which rule decided it."""

    at: float
    term: str


@dataclass(frozen=True)
class LateRequest:
    """A request that began at a departed backend after the grace period."""

    request: RequestBegan
    notification: Notification
    late_s: float


@dataclass
class History:
    """All recorded events, in any order."""

    first_service: str  # the service that the proxy was started with
    notes: list[HistoryEvent] = field(default_factory=list)

    def note(self, note: HistoryEvent) -> None:
        """Record an event."""
        self.notes.append(note)

    def of(self, kind: type[EventKind]) -> list[EventKind]:
        """Return all events of a kind, in order of time."""
        return sorted((note for note in self.notes if isinstance(note, kind)), key=lambda note: note.at)


def notification(history: History, departed: Departed) -> Notification:
    """Return the earliest notification of a departure that any rule gives."""
    return min(_notifications(history, departed), key=lambda found: found.at)


def _notifications(history: History, departed: Departed) -> Iterator[Notification]:
    service = departed.service
    for written in history.of(ListWritten):
        if written.service == service and written.at >= departed.at and departed.backend in written.removed:
            yield Notification(written.at, "written")
            break
    for ended in history.of(WatchEnded):
        if ended.service == service and ended.answered and ended.at >= departed.at:
            yield Notification(ended.at + AFTER_END_S, "a watch ended instead")
            break
    yield from _notifications_after_silence(history, departed)
    yield from _notifications_after_moves(history, departed)
    known_from = _configured_from(history, service)
    back = [note.at for note in history.of(Reachable) if note.service == service and note.at >= departed.at]
    reachable = max([departed.at, known_from, *back])
    yield Notification(reachable + AFTER_REACHABLE_S, "the service had it and could be reached")


def _notifications_after_silence(history: History, departed: Departed) -> Iterator[Notification]:
    for silent in history.of(WatchFellSilent):
        renewed = any(
            written.service == silent.service and silent.at < written.at <= departed.at
            for written in history.of(ListWritten)
        )
        if silent.service == departed.service and silent.at <= departed.at and not renewed:
            yield Notification(max(departed.at, silent.at + AFTER_SILENCE_S), "a watch fell silent")


def _notifications_after_moves(history: History, departed: Departed) -> Iterator[Notification]:
    for moved in history.of(Moved):
        if moved.service == departed.service and moved.at >= departed.at:
            yield Notification(moved.at + AFTER_MOVE_S, "discovery moved")


def _configured_from(history: History, service: str) -> float:
    """Return the time from which the proxy's configuration names the service."""
    if service == history.first_service:
        return -math.inf
    return min((moved.at for moved in history.of(Moved) if moved.service == service), default=math.inf)


def late_requests(history: History, grace_s: float) -> list[LateRequest]:
    """Return the requests that began at a departed backend after notification, grace period and slack."""
    late = []
    for departed in history.of(Departed):
        found = notification(history, departed)
        returns = [note.at for note in history.of(Returned) if _is_return(note, departed)]
        allowed_until = found.at + grace_s + SLACK_S
        for request in history.of(RequestBegan):
            is_late = allowed_until < request.at < min(returns, default=math.inf)
            if request.backend == departed.backend and is_late:
                late.append(LateRequest(request, found, request.at - allowed_until))
    return late


def _is_return(returned: Returned, departed: Departed) -> bool:
    return returned.backend == departed.backend and returned.at >= departed.at


def settled_at(history: History, grace_s: float) -> float:
    """Return the time after which no request may begin at any backend that has departed so far."""
    by_backend: dict[str, float] = {}
    for departed in history.of(Departed):
        at = notification(history, departed).at
        by_backend[departed.backend] = min(at, by_backend.get(departed.backend, math.inf))
    return max(by_backend.values(), default=-math.inf) + grace_s + SLACK_S
