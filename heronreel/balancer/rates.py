"""Rates that one proxy observes, smoothed over update periods."""

# The time between two updates of the weights, as in the published algorithm.
UPDATE_PERIOD_MS = 200.0
# The time constant of smoothed rates, such as the rate of served work that slow start uses.
SMOOTHING_MS = 3000.0
# The factor by which the counts of rejections decay per period; they cover about the last second.
REJECTION_DECAY_RATIO = 0.8
# The rejection rate is computed over at least this many attempts, so that a few of them do not decide it.
MIN_COUNTED_ATTEMPTS = 50.0
# Up to this share of rejected attempts, retries find free capacity.
LOW_REJECTION_SHARE = 0.4
# From this share on, a second attempt does more harm than good.
HIGH_REJECTION_SHARE = 0.6
# The attempts of one request, all of them rejected, that are allowed between these two shares.
MAX_REJECTED_ATTEMPTS = 2


class SmoothedRate:
    """An exponentially smoothed sum per period, with a correction for its start at 0."""

    def __init__(self) -> None:
        self.current = self.mean = self.correction = self.biased_mean = 0.0

    def roll(self, periods: float) -> None:
        """Close an interval that lasted the given number of periods."""
        step = min(1.0, periods * UPDATE_PERIOD_MS / SMOOTHING_MS)
        self.correction += (1.0 - self.correction) * step
        self.biased_mean += (self.current / periods - self.biased_mean) * step
        self.mean, self.current = self.biased_mean / self.correction, 0.0


class RejectionRate:
    """The share of this proxy's attempts that full backends rejected during about the last second."""

    def __init__(self) -> None:
        self.share = self.sent = self.rejected = 0.0

    def roll(self) -> None:
        """Close a period.

        The share changes only here, so a burst that fills the queues for less than a period is not taken for
        a shortage.
        """
        self.share = self.rejected / max(self.sent, MIN_COUNTED_ATTEMPTS)
        self.sent *= REJECTION_DECAY_RATIO
        self.rejected *= REJECTION_DECAY_RATIO

    def allows(self, attempts: int) -> bool:
        """Return whether a request may retry after this number of attempts, all of them rejected.

        The limits are explained in docs/overload-design.md.
        """
        return self.share < LOW_REJECTION_SHARE or attempts < (
            MAX_REJECTED_ATTEMPTS if self.share < HIGH_REJECTION_SHARE else 1
        )
