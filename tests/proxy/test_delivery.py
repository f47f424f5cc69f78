"""The time that receivers of long messages have, for all that they may do.

Guards against receivers that read all the time and are cut off, and against ones that are waited for without
limit.
"""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from heronreel.proxy.delivery import MAX_SILENCE_S, MIN_BYTES_PER_S, DeliveryCredit

SLOWEST_BYTES_PER_S = 64_000  # of the receivers that the operators name
# The kernel's largest receive buffer; it announces free space when a sixteenth of it is free.
MAX_RECEIVE_BUFFER_BYTES = 32 << 20
MAX_STEP_BYTES = MAX_RECEIVE_BUFFER_BYTES // 16
LENGTH_BYTES = 32_000_000
CHECK_INTERVAL_S = 0.2


def time_of_cut_off(steps: list[tuple[float, int]]) -> float | None:
    """Return when a receiver that acknowledges so many bytes at these times is cut off, or None."""
    credit, taken, now = DeliveryCredit(0), 0, 100.0
    credit.start(now, taken)
    for at, step_bytes in steps:
        while now + CHECK_INTERVAL_S < 100.0 + at:
            now += CHECK_INTERVAL_S
            if not credit.is_left(now, taken):
                return now - 100.0
        taken += step_bytes
    return None


@given(
    step_bytes=st.integers(1, MAX_STEP_BYTES),
    rate=st.floats(SLOWEST_BYTES_PER_S, 1e7),
    paused_s=st.floats(0.0, 5.0),
)
def test_a_receiver_that_reads_steadily_is_never_cut_off(
    step_bytes: int, rate: float, paused_s: float
) -> None:
    count = min(LENGTH_BYTES // step_bytes, 400)
    steps = [(paused_s + (number + 1) * step_bytes / rate, step_bytes) for number in range(count)]
    assert time_of_cut_off(steps) is None


@given(before_bytes=st.integers(0, LENGTH_BYTES), rate=st.floats(0.0, 0.5 * MIN_BYTES_PER_S))
def test_a_receiver_that_takes_too_little_is_cut_off_whatever_it_took_before(
    before_bytes: int, rate: float
) -> None:
    """At half of the lowest rate the credit lasts twice as long; one byte at a time is next to nothing."""
    steps = [(0.0, before_bytes)] + [(float(second), int(rate)) for second in range(1, 200)]
    cut_off_at = time_of_cut_off(steps)
    assert cut_off_at is not None
    assert MAX_SILENCE_S - 1.0 <= cut_off_at <= 2.0 * MAX_SILENCE_S + 2.0


def test_time_in_which_nothing_waits_does_not_count() -> None:
    credit = DeliveryCredit(0)
    credit.start(0.0, 0)
    assert credit.is_left(0.9 * MAX_SILENCE_S, 0)
    credit.start(1000.0, 0)
    assert credit.is_left(1000.0 + 0.05 * MAX_SILENCE_S, 0)
    assert not credit.is_left(1000.0 + 0.15 * MAX_SILENCE_S, 0)
