"""A timeline of requests, and the rules it breaks.

The judge knows nothing of files, policies or the proof: it plays what was sent, what ran and what was
answered against what a request of this kind truly does, so that a witness can be held against the proof that
made it, and the real decision module against both.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from heronreel.balancer.interface import Effect


class EventKind(Enum):
    """What happens at one moment of a timeline."""

    ARRIVES = "arrives"
    SENT = "sent"  # its first byte reaches a backend, which runs it or drops it as a repeat
    ENDED = "ended"  # for the reader: how the proxy saw an attempt end
    SERVED = "served"
    FAILED = "failed"
    REFUSED = "refused"
    RETURNS = "comes back"  # the client tries again with the same key, as a refusal invites it to
    PROMISED = "promised"  # by the file: attempt number `attempt` is sent, or waiting goes on past `until_ms`


FINAL_KINDS = (EventKind.SERVED, EventKind.FAILED, EventKind.REFUSED)


@dataclass(slots=True, frozen=True)
class TimelineEvent:
    """One moment of a request's life."""

    at_ms: float
    kind: EventKind
    request: int = 0
    attempt: int = 0
    group: str = ""
    runs: bool = True  # of SENT: it reached work; False: turned away unseen
    until_ms: float = 0.0
    note: str = ""

    def __str__(self) -> str:
        if self.note:
            return f"{self.at_ms:,.0f} ms {self.note}"
        where = f" to {self.group}" if self.group else ""
        return f"{self.at_ms:,.0f} ms {self.kind.value}{where}"


@dataclass(slots=True, frozen=True)
class RequestTerms:
    """What holds for the requests of a timeline, whatever a file says of them."""

    effect: Effect
    window_ms: float = 0.0  # of KEYED: a group drops repeats for so long after the first it ran
    client_wait_ms: float = float("inf")
    max_attempts: int = 16
    hedging_allowed: bool = True


@dataclass(slots=True)
class _RequestState:
    """What the timeline has said of one request so far."""

    arrived_ms: float
    attempts: int = 0
    in_flight: set[int] = field(default_factory=set)
    final_events: list[TimelineEvent] = field(default_factory=list)
    sent: set[int] = field(default_factory=set)
    promises: list[TimelineEvent] = field(default_factory=list)
    runs: int = 0
    remembered: dict[str, float] = field(default_factory=dict)  # group: when it ran the key


def broken_rules(events: Iterable[TimelineEvent], terms: RequestTerms) -> dict[str, str]:
    """The rules that a timeline breaks, each with the words that say how.

    `lost` (rule 1), `twice` (rule 2), `platform` (more than is allowed), `promise` (what the file says
    can't come about) and `budget` (more repeats than first tries).
    """
    states: dict[int, _RequestState] = {}
    violations: dict[str, str] = {}
    for event in events:
        if event.kind is EventKind.ARRIVES:
            states[event.request] = _RequestState(event.at_ms)
            continue
        _apply(event, states[event.request], terms, violations)
    for state in states.values():
        _check_end(state, terms, violations)
    repeats = sum(state.attempts - 1 for state in states.values() if state.attempts)
    if len(states) > 1 and repeats > len(states):  # of one request alone no share can be told
        violations["budget"] = f"{repeats} repeats for {len(states)} requests"
    return violations


def _apply(
    event: TimelineEvent, state: _RequestState, terms: RequestTerms, violations: dict[str, str]
) -> None:
    if event.kind is EventKind.PROMISED:
        state.promises.append(event)
    elif event.kind is EventKind.SENT:
        state.attempts += 1
        state.sent.add(event.attempt)
        if state.attempts > terms.max_attempts:
            violations["platform"] = f"attempt {state.attempts} of {terms.max_attempts} allowed"
        if state.in_flight and not terms.hedging_allowed:
            violations["platform"] = "a second copy where none is allowed"
        state.in_flight.add(event.attempt)
        if event.runs:
            _run_attempt(event, state, terms, violations)
    elif event.kind is EventKind.ENDED:
        state.in_flight.discard(event.attempt)
    elif event.kind is EventKind.RETURNS:
        state.attempts, state.in_flight = 0, set()
    elif event.kind in FINAL_KINDS:
        state.final_events.append(event)


def _run_attempt(
    event: TimelineEvent, state: _RequestState, terms: RequestTerms, violations: dict[str, str]
) -> None:
    since = state.remembered.get(event.group)
    if terms.effect is Effect.KEYED and since is not None and event.at_ms < since + terms.window_ms:
        return  # dropped as a repeat
    state.remembered[event.group] = event.at_ms
    state.runs += 1
    if state.runs > 1 and terms.effect is not Effect.IDEMPOTENT:
        violations["twice"] = f"took effect again at {event.at_ms:,.0f} ms"


def _check_end(state: _RequestState, terms: RequestTerms, violations: dict[str, str]) -> None:
    refused = sum(event.kind is EventKind.REFUSED for event in state.final_events)
    if not state.final_events:
        violations["lost"] = "no answer"
    elif state.final_events[0].at_ms > state.arrived_ms + terms.client_wait_ms:
        violations["lost"] = f"answered at {state.final_events[0].at_ms:,.0f} ms, when the client had left"
    elif len(state.final_events) - refused > 1:
        violations["lost"] = "answered twice"
    for promise in state.promises:
        failed = [event.at_ms for event in state.final_events if event.kind is EventKind.FAILED]
        if promise.until_ms and failed and failed[0] <= promise.until_ms:
            violations["promise"] = f"over at {failed[0]:,.0f} ms, not after {promise.until_ms:,.0f} ms"
        elif not promise.until_ms and promise.attempt not in state.sent:
            violations["promise"] = f"attempt {promise.attempt + 1} is never sent"
