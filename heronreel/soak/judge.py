"""Checks the records of a run against the platform's rules, independently of the proxy's implementation.

Time limits are extended by the delays that the run itself caused: the time that the plan stopped a process,
the time that it waited for a processor, and the event loop delay of the soak process.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from enum import Enum

from heronreel.soak.notification_judge import History, RequestBegan, late_requests
from heronreel.soak.plan import MAX_HOLD_S
from heronreel.soak.records import AttemptRecord, End, LifeRecord, RequestRecord, RunRecord

# A request sent this shortly before the end of its connection may have crossed the close without being read.
CROSSING_S = 0.1
AFTER_CLIENT_END_S = 0.1  # attempts may still begin this long after the client disconnected
DEADLINE_SLACK_S = 0.15  # by which a deadline sent to a backend may exceed the client's remaining time
LATE_S = 0.5  # a response later than this after the deadline is worthless to the client
WIRE_S = 0.05  # the slack of the documented limits over sockets
RELAY_S = 0.1  # the longest time that a relay may delay the first byte of an attempt
MAX_SHOWN_NOTES = 8  # entries of a proxy's history that a breach shows
SAMPLED_S = 0.2  # samples of processor waits within this time of an event cover the event
# Iterations of the soak's event loop between a proxy's write and the record of the backend.
ATTEMPT_STEPS = 6


class Rule(Enum):
    """A rule that a run can break."""

    LOST = "a forwarded request got no response"
    UNANSWERED = "a connection ended long after its request, without a response"
    RESET = "a connection was reset over a request"
    LATE = "a response came too late"
    AFTER_END = "an attempt began after its client had gone"
    TOLD_TOO_MUCH = "a backend was promised more time than its client has"
    REPEATED = "a request that is unsafe to repeat was sent again"
    CRASHED = "the process ended with an error"
    NOT_ENDED = "the process had to be killed"
    DRAINED = "a request began at a draining backend after notice and grace"


@dataclass(slots=True, frozen=True)
class Breach:
    """One breach of a rule."""

    rule: Rule
    detail: str
    request: RequestRecord | None = None


@dataclass(slots=True)
class Verdict:
    """The breaches of a run, and how its requests ended."""

    breaches: list[Breach]
    requests: int
    forwarded: int
    statuses: dict[int, int]
    crossed: int  # requests that crossed the orderly close of their connection and were never forwarded


def judge(records: RunRecord) -> Verdict:
    """Check all records of a run, and return the verdict."""
    attempts: dict[str, list[AttemptRecord]] = defaultdict(list)
    for attempt in records.attempts:
        attempts[attempt.request_id].append(attempt)
    breaches: list[Breach] = []
    statuses: dict[int, int] = defaultdict(int)
    crossed = 0
    for request in records.requests.values():
        slack_s = _slack_s(records, request)
        request_attempts = attempts[request.request_id]
        if request.status is not None:
            statuses[request.status] += 1
        breaches += _judge_end(request, request_attempts, slack_s)
        transit_s = RELAY_S + ATTEMPT_STEPS * records.harness_lag_s
        breaches += _judge_attempts(request, request_attempts, slack_s + transit_s)
        crossed += request.end is End.EOF and request.sent_at is not None and not request_attempts
    for life in records.lives:
        breaches += _judge_life(life)
    forwarded = sum(1 for request in records.requests if attempts[request])
    return Verdict(breaches, len(records.requests), forwarded, dict(statuses), crossed)


def judge_drains(records: RunRecord, histories: dict[str, History], grace_s: float) -> list[Breach]:
    """Return the breaches by attempts that began too late at a draining backend.

    Args:
        records: The records of clients and backends; the request of an attempt gives its proxy.
        histories: The history of the list service's events for each proxy, by the proxy's name.
        grace_s: The time for which a draining backend may get requests after its drain counts as notified.
    """
    breaches = []
    for attempt in records.attempts:
        request = records.requests.get(attempt.request_id)
        if request is not None and request.proxy in histories:
            histories[request.proxy].note(RequestBegan(attempt.began_at, attempt.backend))
    lives = {life.proxy: life for life in records.lives}
    for proxy, history in histories.items():
        for late in late_requests(history, grace_s):
            slack_s = ATTEMPT_STEPS * records.harness_lag_s
            if life := lives.get(proxy):  # delays of a busy machine are not charged to the process
                since, until = late.notification.at - SAMPLED_S, late.request.at + SAMPLED_S
                starved_s = life.starved_between_s(since, until)
                slack_s += life.held_s + max(0.0, starved_s - MAX_HOLD_S)
            if late.late_s > slack_s:
                detail = f"{proxy} at {late.request.backend}: {late.late_s:.3f} s, {late.notification.term}"
                detail += f", before it: {_shown_before(history, late.request)}"
                breaches.append(Breach(Rule.DRAINED, detail))
    return breaches


def _shown_before(history: History, request: RequestBegan) -> str:
    """Describe the latest events of the list service, with times in seconds relative to the request."""
    notes = [note for note in history.notes if note.at <= request.at and not isinstance(note, RequestBegan)]
    latest = sorted(notes, key=lambda note: note.at)[-MAX_SHOWN_NOTES:]
    return ", ".join(f"{type(note).__name__} {note.at - request.at:.3f}" for note in latest)


def _slack_s(records: RunRecord, request: RequestRecord) -> float:
    held = [
        life.held_s + life.starved_s
        for life in records.lives
        if life.proxy == request.proxy and life.started_at <= request.begun_at <= life.ended_at
    ]
    return records.harness_lag_s + WIRE_S + max(held, default=0.0)


def _judge_end(request: RequestRecord, attempts: list[AttemptRecord], slack_s: float) -> list[Breach]:
    if request.status is not None:
        assert request.sent_at is not None and request.ended_at is not None
        late_s = request.ended_at - request.sent_at - max(request.deadline_s, request.turn_s) - LATE_S
        return [Breach(Rule.LATE, f"{late_s:.3f} s", request)] if late_s > slack_s else []
    if request.sent_at is None or request.end is End.LEFT or request.end is None:
        return []
    if attempts:
        return [Breach(Rule.LOST, f"{request.end.value}, at {attempts[0].backend}", request)]
    if request.end is End.WAITED:
        return [Breach(Rule.UNANSWERED, request.end.value, request)]
    if request.announced_close:
        return []  # an earlier response announced that later requests are not served
    if request.end is End.RESET:
        return [Breach(Rule.RESET, request.end.value, request)]
    assert request.ended_at is not None
    waited_s = request.ended_at - request.sent_at
    if waited_s > CROSSING_S + slack_s:
        return [Breach(Rule.UNANSWERED, f"{waited_s:.3f} s", request)]
    return []


def _judge_attempts(request: RequestRecord, attempts: list[AttemptRecord], slack_s: float) -> list[Breach]:
    breaches = []
    ran = [attempt for attempt in attempts if attempt.complete and not attempt.not_run]
    if request.class_name == "pay" and len(ran) > 1:
        breaches.append(Breach(Rule.REPEATED, f"{len(ran)} times", request))
    for attempt in attempts:
        if request.end is End.LEFT and request.ended_at is not None:
            late_s = attempt.began_at - request.ended_at - AFTER_CLIENT_END_S
            if late_s > slack_s:
                breaches.append(Breach(Rule.AFTER_END, f"{late_s:.3f} s", request))
        if attempt.deadline_ms is not None and request.sent_at is not None:
            left_s = max(0.0, request.sent_at + request.deadline_s - attempt.began_at)
            excess_s = attempt.deadline_ms / 1000.0 - left_s
            if excess_s > DEADLINE_SLACK_S + slack_s:
                breaches.append(Breach(Rule.TOLD_TOO_MUCH, f"{excess_s:.3f} s", request))
    return breaches


def _judge_life(life: LifeRecord) -> list[Breach]:
    breaches = []
    if life.killed:
        breaches.append(Breach(Rule.NOT_ENDED, life.proxy))
    elif life.exit_code != 0:
        breaches.append(Breach(Rule.CRASHED, f"{life.proxy}: {life.exit_code}"))
    breaches += [Breach(Rule.CRASHED, line) for line in life.log if "Traceback" in line]
    return breaches
