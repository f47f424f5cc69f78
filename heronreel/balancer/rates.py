"""Rates that one proxy sees, smoothed over update periods.  Part of the decisions."""

UPDATE_PERIOD_MS = 200.0  # between two updates of the weights (paper)
SMOOTHING_MS = 3000.0  # of our own work rate, for slow start (ours)
REJECTION_DECAY = 0.8  # of what was counted that still counts a period later: about a second's worth (ours)
MIN_ATTEMPTS = 50.0  # that are sent, or the share counts as if so many were (ours)
LOW_REJECTION_SHARE = 0.4  # share up to which retries find capacity that is there (ours)
HIGH_REJECTION_SHARE = 0.6  # share from which on a second attempt does more harm than good (ours)
MAX_REJECTED_ATTEMPTS = 2  # of a request that were all rejected, between these two shares (ours)


class SmoothedRate:
    """An exponentially smoothed sum per period, corrected for its start at 0."""

    def __init__(self) -> None:
        self.current = self.mean = self.correction = self.biased_mean = 0.0

    def roll(self, periods: float) -> None:
        """Close an interval of so many periods."""
        fade = min(1.0, periods * UPDATE_PERIOD_MS / SMOOTHING_MS)
        self.correction += (1.0 - self.correction) * fade
        self.biased_mean += (self.current / periods - self.biased_mean) * fade
        self.mean, self.current = self.biased_mean / self.correction, 0.0


class RejectionRate:
    """The share of attempts that backends reject as full, as one proxy sees it over a second or so."""

    def __init__(self) -> None:
        self.share = self.sent = self.rejected = 0.0

    def roll(self) -> None:
        """Close a period.  A burst that fills the queues for less is no shortage."""
        self.share = self.rejected / max(self.sent, MIN_ATTEMPTS)
        self.sent *= REJECTION_DECAY
        self.rejected *= REJECTION_DECAY

    def allows(self, attempts: int) -> bool:
        """Whether a request with so many attempts, all rejected, may retry (docs/overload-design.md)."""
        return self.share < LOW_REJECTION_SHARE or attempts < (
            MAX_REJECTED_ATTEMPTS if self.share < HIGH_REJECTION_SHARE else 1
        )
