"""Timelines of requests, and a check for the rules that they break.

The check doesn't depend on files, policies or the proof.  It replays what was sent, run and answered with the
true properties of the requests, so that witnesses of the proof, and the real decision module, can be verified
against it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from heronreel.balancer.interface import Effect


class EventKind(Enum):
    """The kind of an event in a timeline."""

    ARRIVES = "arrives"
    SENT = "sent"  # An attempt's first byte reaches a backend, which runs it or drops it as a repeat.
    ENDED = "ended"  # An attempt ends for the proxy.
    SERVED = "served"
    FAILED = "failed"
    REFUSED = "refused"
    RETURNS = "comes back"  # The client retries with the same key after a refusal.
    PROMISED = "promised"
    """The file promises that attempt number `attempt` is sent, or that waiting goes on past `until_ms`."""


FINAL_KINDS = (EventKind.SERVED, EventKind.FAILED, EventKind.REFUSED)


@dataclass(slots=True, frozen=True)
class TimelineEvent:
    """An event in the lifetime of a request."""

    at_ms: float
    kind: EventKind
    request: int = 0
    attempt: int = 0
    group: str = ""
    runs: bool = True  # For SENT: False if the backend rejected the attempt before running it.
    until_ms: float = 0.0
    note: str = ""

    def __str__(self) -> str:
        if self.note:
            return f"{self.at_ms:,.0f} ms {self.note}"
        destination = f" to {self.group}" if self.group else ""
        return f"{self.at_ms:,.0f} ms {self.kind.value}{destination}"


@dataclass(slots=True, frozen=True)
class RequestTerms:
    """The true properties of a timeline's requests, whatever a file declares."""

    effect: Effect
    window_ms: float = 0.0  # For KEYED: how long a group drops repeats after it ran a request.
    client_wait_ms: float = float("inf")
    max_attempts: int = 16
    hedging_allowed: bool = True


@dataclass(slots=True)
class _RequestState:
    """The state of one request while a timeline is replayed."""

    arrived_ms: float
    attempts: int = 0
    in_flight: set[int] = field(default_factory=set)
    final_events: list[TimelineEvent] = field(default_factory=list)
    sent: set[int] = field(default_factory=set)
    promises: list[TimelineEvent] = field(default_factory=list)
    runs: int = 0
    remembered: dict[str, float] = field(default_factory=dict)  # when each group last ran the key


def broken_rules(events: Iterable[TimelineEvent], terms: RequestTerms) -> dict[str, str]:
    """Return the rules that a timeline breaks, each with a description of the violation.

    * `lost`: a request gets no response, a late one, or several (rule 1).
    * `twice`: a request takes effect more than once (rule 2).
    * `platform`: there are more attempts than allowed, or hedging although it is not allowed.
    * `promise`: something that the file promises can't happen.
    * `budget`: there are more repeats than first attempts.
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
    if len(states) > 1 and repeats > len(states):  # A single request doesn't show a ratio of repeats.
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
            violations["platform"] = "a second attempt at the same time, although hedging is not allowed"
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
    last_run_ms = state.remembered.get(event.group)
    if (
        terms.effect is Effect.KEYED
        and last_run_ms is not None
        and event.at_ms < last_run_ms + terms.window_ms
    ):
        return  # The group drops the attempt as a repeat.
    state.remembered[event.group] = event.at_ms
    state.runs += 1
    if state.runs > 1 and terms.effect is not Effect.IDEMPOTENT:
        violations["twice"] = f"took effect again at {event.at_ms:,.0f} ms"


def _check_end(state: _RequestState, terms: RequestTerms, violations: dict[str, str]) -> None:
    refused = sum(event.kind is EventKind.REFUSED for event in state.final_events)
    if not state.final_events:
        violations["lost"] = "no answer"
    elif state.final_events[0].at_ms > state.arrived_ms + terms.client_wait_ms:
        violations["lost"] = (
            f"answered at {state.final_events[0].at_ms:,.0f} ms, when the client had disconnected"
        )
    elif len(state.final_events) - refused > 1:
        violations["lost"] = "answered twice"
    for promise in state.promises:
        failed = [event.at_ms for event in state.final_events if event.kind is EventKind.FAILED]
        if promise.until_ms and failed and failed[0] <= promise.until_ms:
            violations["promise"] = f"ended at {failed[0]:,.0f} ms, not after {promise.until_ms:,.0f} ms"
        elif not promise.until_ms and promise.attempt not in state.sent:
            violations["promise"] = f"attempt {promise.attempt + 1} is never sent"
