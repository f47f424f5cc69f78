"""The schedule of a graceful shutdown: the order of its steps, and its margin for stalls."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heronreel.proxy.drain import MIN_LINGER_S
from heronreel.proxy.drain_schedule import (
    EXIT_S,
    KILL_MARGIN_S,
    MAX_DRAIN_DEADLINE_S,
    MAX_STALL_S,
    NEW_CONNECTIONS_S,
    QUIET_S,
    DrainSchedule,
)

SIGNALLED_AT = 1000.0
# For this long after SIGTERM, the platform's clients open new connections.
PLATFORM_NEW_CONNECTIONS_S = 0.4
DEADLINES = st.floats(0.01, 10.0)


@given(DEADLINES)
def test_each_step_follows_the_one_before(longest_s: float) -> None:
    schedule = DrainSchedule.starting(SIGNALLED_AT, longest_s)
    assert schedule.admit_until < schedule.answer_by < schedule.end_by < schedule.kill_at
    assert schedule.min_accept_until <= schedule.max_accept_until <= schedule.end_by
    assert schedule.handover_until <= schedule.admit_until
    assert schedule.max_accept_until >= SIGNALLED_AT + PLATFORM_NEW_CONNECTIONS_S


@given(DEADLINES)
def test_requests_admitted_before_the_signal_keep_their_whole_deadline(longest_s: float) -> None:
    schedule = DrainSchedule.starting(SIGNALLED_AT, longest_s)
    assert schedule.answer_by > SIGNALLED_AT + min(longest_s, MAX_DRAIN_DEADLINE_S)
    assert schedule.kill_at == SIGNALLED_AT + min(longest_s, MAX_DRAIN_DEADLINE_S) + KILL_MARGIN_S


@given(DEADLINES, st.sampled_from(["signal", "admission", "responses", "end"]))
def test_a_stall_at_any_step_leaves_time_to_exit_before_sigkill(longest_s: float, stalled: str) -> None:
    """The process is stalled once, for the longest time that the schedule allows."""
    schedule = DrainSchedule.starting(SIGNALLED_AT, longest_s)
    late_s = MAX_STALL_S if stalled == "signal" else 0.0
    admitted_at = schedule.admit_until + late_s + (MAX_STALL_S if stalled == "admission" else 0.0)
    assert admitted_at <= schedule.answer_by + late_s + 1e-9
    responded_at = max(admitted_at, schedule.answer_by + late_s)
    responded_at += MAX_STALL_S if stalled == "responses" else 0.0
    ended_at = max(schedule.end_by + late_s, responded_at + MIN_LINGER_S)
    ended_at += MAX_STALL_S if stalled == "end" else 0.0
    assert ended_at + EXIT_S <= schedule.kill_at + 1e-9


@given(DEADLINES, st.floats(0.0, 5.0))
def test_accepting_ends_in_time_however_many_connections_arrive(longest_s: float, now_s: float) -> None:
    schedule = DrainSchedule.starting(SIGNALLED_AT, longest_s)
    now = SIGNALLED_AT + now_s
    if schedule.accepts_at(now, last_accepted_at=now):
        assert now < schedule.max_accept_until
    else:
        assert now_s >= NEW_CONNECTIONS_S


@pytest.mark.parametrize(("since_last_s", "accepts"), [(QUIET_S / 2, True), (2 * QUIET_S, False)])
def test_accepting_goes_on_until_no_more_connections_arrive(since_last_s: float, accepts: bool) -> None:
    schedule = DrainSchedule.starting(SIGNALLED_AT, MAX_DRAIN_DEADLINE_S)
    now = schedule.min_accept_until + QUIET_S
    assert schedule.accepts_at(now, now - since_last_s) is accepts
