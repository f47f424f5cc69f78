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


class What(Enum):
    ARRIVES = "arrives"
    SENT = "sent"  # its first byte reaches a backend, which runs it or drops it as a repeat
    ENDED = "ended"  # for the reader: how the proxy saw an attempt end
    SERVED = "served"
    FAILED = "failed"
    REFUSED = "refused"
    RETURNS = "comes back"  # the client tries again with the same key, as a refusal invites it to
    PROMISED = "promised"  # by the file: attempt number `attempt` is sent, or waiting goes on past `until_ms`


FINAL = (What.SERVED, What.FAILED, What.REFUSED)


@dataclass(slots=True, frozen=True)
class Step:
    at_ms: float
    what: What
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
        return f"{self.at_ms:,.0f} ms {self.what.value}{where}"


@dataclass(slots=True, frozen=True)
class Terms:
    """What holds for the requests of a timeline, whatever a file says of them."""

    effect: Effect
    window_ms: float = 0.0  # of KEYED: a group drops repeats for so long after the first it ran
    client_wait_ms: float = float("inf")
    max_attempts: int = 16
    second_copies: bool = True


@dataclass(slots=True)
class _Life:
    arrived: float
    sends: int = 0
    out: set[int] = field(default_factory=set)
    ended: bool = False
    finals: list[Step] = field(default_factory=list)
    sent: set[int] = field(default_factory=set)
    promises: list[Step] = field(default_factory=list)
    ran: int = 0
    remembered: dict[str, float] = field(default_factory=dict)  # group: when it ran the key


def broken(steps: Iterable[Step], terms: Terms) -> dict[str, str]:
    """The rules that a timeline breaks, each with the words that say how.

    `lost` (rule 1), `twice` (rule 2), `platform` (more than is allowed), `promise` (what the file says
    can't come about) and `budget` (more repeats than first tries).
    """
    lives: dict[int, _Life] = {}
    found: dict[str, str] = {}
    for step in steps:
        if step.what is What.ARRIVES:
            lives[step.request] = _Life(step.at_ms)
            continue
        _play(step, lives[step.request], terms, found)
    for life in lives.values():
        _close(life, terms, found)
    repeats = sum(life.sends - 1 for life in lives.values() if life.sends)
    if len(lives) > 1 and repeats > len(lives):  # of one request alone no share can be told
        found["budget"] = f"{repeats} repeats for {len(lives)} requests"
    return found


def _play(step: Step, life: _Life, terms: Terms, found: dict[str, str]) -> None:
    if step.what is What.PROMISED:
        life.promises.append(step)
    elif step.what is What.SENT:
        life.sends += 1
        life.sent.add(step.attempt)
        if life.sends > terms.max_attempts:
            found["platform"] = f"attempt {life.sends} of {terms.max_attempts} allowed"
        if life.out and not terms.second_copies:
            found["platform"] = "a second copy where none is allowed"
        life.out.add(step.attempt)
        if step.runs:
            _run(step, life, terms, found)
    elif step.what is What.ENDED:
        life.out.discard(step.attempt)
    elif step.what is What.RETURNS:
        life.sends, life.out = 0, set()
    elif step.what in FINAL:
        life.finals.append(step)


def _run(step: Step, life: _Life, terms: Terms, found: dict[str, str]) -> None:
    since = life.remembered.get(step.group)
    if terms.effect is Effect.KEYED and since is not None and step.at_ms < since + terms.window_ms:
        return  # dropped as a repeat
    life.remembered[step.group] = step.at_ms
    life.ran += 1
    if life.ran > 1 and terms.effect is not Effect.IDEMPOTENT:
        found["twice"] = f"took effect again at {step.at_ms:,.0f} ms"


def _close(life: _Life, terms: Terms, found: dict[str, str]) -> None:
    refused = sum(step.what is What.REFUSED for step in life.finals)
    if not life.finals:
        found["lost"] = "no answer"
    elif life.finals[0].at_ms > life.arrived + terms.client_wait_ms:
        found["lost"] = f"answered at {life.finals[0].at_ms:,.0f} ms, when the client had left"
    elif len(life.finals) - refused > 1:
        found["lost"] = "answered twice"
    for promise in life.promises:
        failed = [step.at_ms for step in life.finals if step.what is What.FAILED]
        if promise.until_ms and failed and failed[0] <= promise.until_ms:
            found["promise"] = f"over at {failed[0]:,.0f} ms, not after {promise.until_ms:,.0f} ms"
        elif not promise.until_ms and promise.attempt not in life.sent:
            found["promise"] = f"attempt {promise.attempt + 1} is never sent"
