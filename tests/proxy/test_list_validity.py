"""The expiry of the endpoint list agrees with the platform's notification rules for any order of events."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from heronreel.proxy.list_validity import (
    FAST_REFUSAL_S,
    MAX_DETECTION_DELAY_S,
    MAX_STALL_S,
    NOTIFIED_AFTER_MOVE_S,
    NOTIFIED_AFTER_REACHABLE_S,
    NOTIFIED_AFTER_WATCH_END_S,
    ListValidity,
)

GRACE_S = 0.5
STEPS = (
    "list confirmed",
    "watch ended",
    "refused fast",
    "refused slowly",
    "not connected",
    "unanswered",
    "service moved",
)
SLOW_REFUSAL_S = 3.0  # A service that is down refuses a call after this time.


@dataclass
class NotificationRules:
    """The earliest time at which a change that the proxy may lack counts as notified.

    Written from the platform's rules alone, independently of `ListValidity`.
    """

    listed_at: float = 0.0
    ended_at: float = math.inf
    moved_at: float = math.inf
    outages: list[float] = field(default_factory=list)  # Times at which the service was unreachable.
    overloaded_at: float = -math.inf

    def confirm_current(self, now: float) -> None:
        self.listed_at, self.ended_at, self.moved_at = now, math.inf, math.inf

    def record_outage(self, outage_at: float) -> None:
        self.outages.append(outage_at)
        # The outage explains the end of a watch, unless the service was reachable between the two.
        if self.overloaded_at < self.ended_at <= outage_at:
            self.ended_at = math.inf
        if self.overloaded_at < self.moved_at <= outage_at:
            self.moved_at = math.inf

    def notified_at(self) -> float:
        reachable_from = max([self.listed_at, *self.outages])
        return min(
            reachable_from + NOTIFIED_AFTER_REACHABLE_S,
            self.ended_at + NOTIFIED_AFTER_WATCH_END_S,
            self.moved_at + NOTIFIED_AFTER_MOVE_S,
        )


@settings(max_examples=400, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(STEPS), st.floats(0.01, 5.0)), max_size=40))
def test_the_list_expires_before_a_change_that_it_lacks_counts_as_notified(
    steps: list[tuple[str, float]],
) -> None:
    validity, rules, now, unanswered = ListValidity(GRACE_S, 0.0), NotificationRules(), 0.0, 0
    for step, after_s in steps:
        called_at, now = now, now + after_s
        match step:
            case "list confirmed":
                validity.confirm_current(now)
                rules.confirm_current(now)
            case "watch ended":
                validity.watch_ended(now)
                rules.ended_at = min(rules.ended_at, now)
            case "refused fast":
                called_at = now - FAST_REFUSAL_S / 2
                validity.call_refused(called_at, now)
                rules.overloaded_at = now
            case "refused slowly":
                called_at, now = now, now + SLOW_REFUSAL_S
                validity.call_refused(called_at, now)
                rules.record_outage(called_at)
            case "not connected":
                validity.connection_failed(called_at)
                rules.record_outage(called_at)
            case "unanswered":
                validity.call_unanswered(called_at)
                if unanswered:
                    rules.record_outage(called_at)
            case "service moved":
                validity.service_moved(now)
                rules.moved_at = now
        unanswered = unanswered + 1 if step == "unanswered" else unanswered if step == "watch ended" else 0
        # A request may start up to MAX_STALL_S after the decision, and the proxy may have noticed the event
        # up to MAX_DETECTION_DELAY_S late.
        latest = rules.notified_at() + GRACE_S
        assert validity.expires_at + MAX_STALL_S <= latest + 1e-9
        assert validity.expires_at + MAX_STALL_S + MAX_DETECTION_DELAY_S >= latest - 1e-9


def test_an_outage_explains_the_end_of_a_watch_and_an_overloaded_service_does_not() -> None:
    for is_overloaded in (False, True):
        validity = ListValidity(GRACE_S, 0.0)
        validity.confirm_current(1.0)
        validity.watch_ended(2.0)
        expires_at = validity.expires_at
        if is_overloaded:
            validity.call_refused(2.1, 2.13)
        validity.call_refused(2.2, 2.2 + SLOW_REFUSAL_S)
        assert (validity.expires_at == expires_at) is is_overloaded
        assert (
            is_overloaded or validity.expires_at == 2.2 + NOTIFIED_AFTER_REACHABLE_S + GRACE_S - MAX_STALL_S
        )


def test_a_single_unanswered_call_is_no_proof_of_an_outage() -> None:
    validity = ListValidity(GRACE_S, 0.0)
    expires_at = validity.expires_at
    validity.call_unanswered(3.0)
    assert validity.expires_at == expires_at
    validity.call_unanswered(6.0)
    assert validity.expires_at > expires_at


def test_a_new_drain_grace_applies_immediately() -> None:
    validity = ListValidity(GRACE_S, 0.0)
    before = validity.expires_at
    validity.reconfigure(GRACE_S / 2)
    assert validity.expires_at == before - GRACE_S / 2
