"""A process's own lease, and what it holds by it.  Pure: events and time in, actions out.

`LeaseClient` is the lease: the process counts its time from before it asked, on its own clock, and stops a
margin before its end.  `Claim` is one thing held by it (a fleet-wide task, a place in the list of who is
present): a key that is made only where there is none, and whose revision is the grant's number.  An answer
that does not come is taken for neither yes nor no: the question is put again in a form that is right either
way.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

import msgspec

from heronreel.coordination.errors import RequestError, StatusCode
from heronreel.coordination.model import (
    Compare,
    CompareOperator,
    CompareTarget,
    DeleteRange,
    LeaseGrant,
    LeaseKeepAlive,
    LeaseResponse,
    LeaseRevoke,
    Put,
    Range,
    RangeResponse,
    Request,
    ResponseOrError,
    Txn,
    TxnResponse,
)

CLAIM_PREFIX = b"held/"  # keys of claims
PRESENCE_PREFIX = b"present/"  # keys of who is there
MIN_BACKOFF_S = 0.05  # seconds before a question is put again
MAX_BACKOFF_S = 2.0


def present_names(found: RangeResponse) -> list[str]:
    """Names of those present, of a range over `PRESENCE_PREFIX`."""
    return [key[len(PRESENCE_PREFIX) :].decode(errors="replace") for key, _ in found.records]


class SendRequest(NamedTuple):
    """Put a question to the group, and tell `answered` with its number, or without an answer by `until`."""

    number: int
    request: Request
    until: float


class SingleRequestSender:
    """Whoever puts one question at a time, and takes a late answer for none."""

    def __init__(self, answer_s: float) -> None:
        """`answer_s`: seconds that one answer may take."""
        self.answer_s = answer_s
        self.asked: tuple[int, float] | None = None  # the question under way, and when it was put
        self.count = 0

    def _ask(self, now: float, request: Request) -> SendRequest:
        self.count += 1
        self.asked = self.count, now
        return SendRequest(self.count, request, now + self.answer_s)

    def _late(self, now: float) -> bool:
        """The answer would have to be here by now."""
        return self.asked is not None and now >= self.asked[1] + self.answer_s

    def _expects(self, number: int) -> bool:
        return self.asked is not None and self.asked[0] == number


class ClaimAcquired(NamedTuple):
    """The claim is held: act under `number` while `Claim.acts` says so."""

    key: bytes
    number: int


class ClaimLost(NamedTuple):
    """The claim is no longer held; what is under way ends now."""

    key: bytes
    number: int
    why: str


Action = SendRequest | ClaimAcquired | ClaimLost
Actions = list[Action]


class LeaseTerms(msgspec.Struct, frozen=True):
    """Seconds.  `margin` is for what is under way when the lease ends: an action is begun only before it."""

    ttl: int = 6
    margin: float = 1.0
    answer: float = 1.0  # that one answer may take
    guarded: bool = True  # stop before the end; taken out by a test that has to fail then

    def problem(self) -> str | None:
        """What is wrong with them, if anything is: a renewal and one repeat of it fit before the margin."""
        least = 2 * self.ttl / 3 + self.answer + self.margin
        if least > self.ttl:
            return (
                f"ttl of {self.ttl} s: a renewal at two thirds, an answer within {self.answer} s and a "
                f"margin of {self.margin} s need {3 * (self.answer + self.margin):g} s"
            )
        return None


class JitteredBackoff:
    """Growing pauses with a drawn part, so that many who lose the group do not come back as one."""

    def __init__(self, jitter: Callable[[], float]) -> None:
        self.jitter = jitter
        self.failures = 0

    def next(self) -> float:
        most: float = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2.0**self.failures)
        self.failures = min(self.failures + 1, 10)
        return most * (0.5 + self.jitter())

    def reset(self) -> None:
        self.failures = 0


class LeaseAttachment(Protocol):
    """Something else that is the process's own for as long as its lease lasts."""

    def tick(self, now: float) -> list[SendRequest]: ...
    def answered(self, now: float, answer: ResponseOrError) -> list[SendRequest]: ...
    def waits_for(self, number: int) -> bool: ...
    def wake(self) -> float: ...


class LeaseClient:
    """The lease of one process."""

    def __init__(
        self,
        terms: LeaseTerms,
        now: float,
        draw: Callable[[], int],
        jitter: Callable[[], float] = lambda: 0.5,
    ) -> None:
        """`draw` gives the number of a new lease: from 1 to 2**63 - 1, never twice."""
        self.terms = terms
        self.draw = draw
        self.jitter = jitter
        self.lease = draw()
        self.granted = False
        self.until = now  # of acting
        self.due = now  # of the next question
        self.pause = JitteredBackoff(jitter)
        self.number = 0
        self.asked: tuple[int, float] | None = None  # the question under way, and when it was put
        self.claims: list[Claim] = []
        self.attached: tuple[LeaseAttachment, ...] = ()
        self.ending = False

    def valid(self, now: float) -> bool:
        return self.granted and now < self.until

    def claim(self, key: bytes, value: bytes) -> Claim:
        claim = Claim(self, key, value, self.jitter)
        self.claims.append(claim)
        return claim

    def forget(self, claim: Claim) -> None:
        if claim in self.claims:
            self.claims.remove(claim)

    def wake(self) -> float:
        times = [self.asked[1] + self.terms.answer if self.asked else self.due]
        times += [claim.wake() for claim in self.claims] + [each.wake() for each in self.attached]
        if self.granted and any(claim.number for claim in self.claims):
            times.append(self.until)
        return min(times)

    def tick(self, now: float) -> Actions:
        """Time has passed."""
        self.claims = [claim for claim in self.claims if claim.wanted or not claim.released]
        actions = self._lapsed(now)
        if self.asked is not None and now >= self.asked[1] + self.terms.answer:
            self._again(now)
        if self.asked is None and now >= self.due:
            actions += self._ask(now)
        for claim in self.claims:
            actions += claim.tick(now)
        for each in self.attached:
            actions += each.tick(now)
        return actions

    def _lapsed(self, now: float) -> Actions:
        """Said also where the renewal comes at last, before any tick saw the end: whoever acted has
        stopped.
        """
        if not self.granted or now < self.until:
            return []
        return self._stop(f"not renewed for {self.terms.ttl - self.terms.margin:.1f} s")

    def _ask(self, now: float) -> Actions:
        request: Request = (
            LeaseKeepAlive(self.lease) if self.granted else LeaseGrant(self.terms.ttl, self.lease)
        )
        if self.ending:
            request = LeaseRevoke(self.lease)
        self.number += 1
        self.asked = self.number, now
        return [SendRequest(self.number, request, now + self.terms.answer)]

    def _again(self, now: float) -> None:
        self.asked = None
        self.due = now + self.pause.next()

    def answered(self, now: float, number: int, answer: ResponseOrError) -> Actions:
        """The answer to a question of this session or of one of its claims."""
        for claim in self.claims:
            if claim.asked is not None and claim.asked[0] == number:
                return claim.answered(now, answer)
        for each in self.attached:
            if each.waits_for(number):
                return [*each.answered(now, answer)]
        if self.asked is None or self.asked[0] != number:
            return []  # given up on; a lease counts from the question that was answered in time
        sent = self.asked[1]
        self.asked = None
        if self.ending:
            gone = isinstance(answer, LeaseResponse) or (
                isinstance(answer, RequestError) and answer.code is StatusCode.NOT_FOUND
            )
            self.due = float("inf") if gone else now + self.pause.next()
            self.granted = self.granted and not gone
            return []
        if isinstance(answer, LeaseResponse) and answer.ttl > 0:
            return self._lapsed(now) + self._renewed(now, sent, answer.ttl)
        if isinstance(answer, LeaseResponse) or (
            isinstance(answer, RequestError) and answer.code is StatusCode.NOT_FOUND
        ):
            return self._gone(now)
        if (
            isinstance(answer, RequestError)
            and answer.code is StatusCode.FAILED_PRECONDITION
            and not self.granted
        ):
            # an earlier question was answered, and its answer lost: from now on it is renewed
            self.granted = True
            self.until = now
            self.due = now
            return []
        self.due = now + self.pause.next()
        return []

    def _renewed(self, now: float, sent: float, ttl: int) -> Actions:
        self.granted = True
        self.pause.reset()
        self.until = sent + ttl - (self.terms.margin if self.terms.guarded else 0.0)
        # at a third at the latest: those who began together do not go on asking together
        self.due = sent + ttl / 3 * (1.0 - 0.25 * self.jitter())
        actions: Actions = []
        for claim in self.claims:
            actions += claim.tick(now)
        return actions

    def _gone(self, now: float) -> Actions:
        """The lease has ended at the group; the next one is another."""
        actions = self._stop("the lease has ended")
        self.lease = self.draw()
        self.granted = False
        self.due = now + self.pause.next()
        return actions

    def _stop(self, why: str) -> Actions:
        actions: Actions = []
        for claim in self.claims:
            actions += claim.stop(why)
        return actions

    def end(self, now: float) -> Actions:
        """Give everything back; done when `ended`."""
        actions = self._stop("given back")
        self.claims.clear()
        self.attached = ()
        self.ending = True
        self.asked = None
        return actions + self._ask(now)

    @property
    def ended(self) -> bool:
        return self.ending and self.asked is None and self.due == float("inf")


class Claim:
    """One key under the session's lease."""

    def __init__(self, session: LeaseClient, key: bytes, value: bytes, jitter: Callable[[], float]) -> None:
        self.session = session
        self.key = key
        self.value = value
        self.number = 0  # of the grant; 0: not held
        self.holder: tuple[bytes, int] | None = None  # who has it, as far as was seen: value and number
        self.due = 0.0
        self.pause = JitteredBackoff(jitter)
        self.asked: tuple[int, float, int] | None = None  # the question, when, and under which lease
        self.wanted = True
        self.released = False  # given back, as the group has told

    def acts(self, now: float) -> int:
        """The number to act under at this moment, or 0.  Look again before each action."""
        return self.number if self.wanted and self.session.valid(now) else 0

    def wake(self) -> float:
        if self.asked is not None:
            return self.asked[1] + self.session.terms.answer
        return self.due if self.session.granted else float("inf")

    def tick(self, now: float) -> Actions:
        if self.asked is not None and now >= self.asked[1] + self.session.terms.answer:
            self.asked = None
            self.due = now + self.pause.next()
        if self.asked is not None or now < self.due or not self.session.valid(now):
            return []
        if self.released:
            return []
        session = self.session
        session.number += 1
        self.asked = session.number, now, session.lease
        until = now + session.terms.answer
        return [SendRequest(session.number, self._request(), until)]

    def _request(self) -> Request:
        if not self.wanted:
            # whatever its number: a question of ours may have made it whose answer was lost
            mine = Compare(self.key, CompareTarget.LEASE, CompareOperator.EQUAL, self.session.lease)
            same = Compare(self.key, CompareTarget.VALUE, CompareOperator.EQUAL, self.value)
            return Txn((mine, same), (DeleteRange(self.key),))
        ours = Compare(self.key, CompareTarget.CREATE, CompareOperator.EQUAL, self.number)
        # what is held is looked at again as well: it may have been taken away by hand
        put = Put(self.key, self.value, self.session.lease)
        return Txn((ours,), (Range(self.key),) if self.number else (put,), (Range(self.key),))

    def answered(self, now: float, answer: ResponseOrError) -> Actions:
        assert self.asked is not None
        _, _, lease = self.asked
        self.asked = None
        session = self.session
        if not isinstance(answer, TxnResponse) or lease != session.lease:
            self.due = now + self.pause.next()
            return []
        self.pause.reset()
        if not self.wanted:
            return self._let_go(now)
        self.due = now + session.terms.ttl / 3 * (0.75 + 0.5 * self.pause.jitter())
        if answer.succeeded:
            if self.number:
                return []
            return self._hold(now, answer.revision)
        (found,) = answer.responses
        assert isinstance(found, RangeResponse)
        if not found.records:
            return self.stop("taken away") if self.number else self._soon(now)
        record = found.records[0][1]
        self.holder = record.value, record.create_revision
        if record.value == self.value and record.lease == session.lease:
            if self.number and self.number != record.create_revision:
                return [*self.stop("taken away"), *self._hold(now, record.create_revision)]
            return [] if self.number else self._hold(now, record.create_revision)
        return self.stop("another holds it") if self.number else []

    def _soon(self, now: float) -> Actions:
        self.due = now + self.pause.next()
        return []

    def _hold(self, now: float, number: int) -> Actions:
        if not self.session.valid(now):
            return []  # looked at again once the lease is renewed
        self.number = number
        self.holder = self.value, number
        return [ClaimAcquired(self.key, number)]

    def _let_go(self, now: float) -> Actions:
        number, self.number = self.number, 0
        self.due = float("inf")
        self.released = True
        return [ClaimLost(self.key, number, "given back")] if number else []

    def stop(self, why: str) -> Actions:
        """Held no more, as far as this process may say."""
        number, self.number = self.number, 0
        self.due = 0.0
        return [ClaimLost(self.key, number, why)] if number else []

    def nudge(self, now: float) -> None:
        """Somebody saw the key change: ask soon."""
        if not self.number and self.asked is None:
            self.due = min(self.due, now + self.pause.jitter() * MIN_BACKOFF_S)

    def release(self, now: float) -> None:
        """Give it back while the session goes on: no action is begun from now on."""
        self.wanted = False
        self.due = now
