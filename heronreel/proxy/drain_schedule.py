"""The times of a graceful shutdown, all fixed from SIGTERM on.

The platform kills a process no sooner than its longest deadline (3 s at most) and `KILL_MARGIN_S` after
SIGTERM, and clients use their open connections until then.  So a shutdown works back from that instant: the
process is gone before it, all that it took has its response before that, and what can't be answered by then
is not taken.  Between two steps the process may be held up for `MAX_STALL_S`.  Decides only; times are in
seconds on the monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_DRAIN_DEADLINE_S = 3.0  # a longest deadline counts as this much at most
KILL_MARGIN_S = 0.7  # from the longest deadline after SIGTERM to the earliest SIGKILL
MAX_STALL_S = 0.15  # that the process may be held up between reading its clock and writing
LINGER_S = 0.15  # from the last responses to the end: they are written, and what crosses them is read
EXIT_S = 0.05  # that the interpreter takes to end
# after SIGTERM new connections come for up to 0.4 s, and each is accepted
NEW_CONNECTIONS_S = 0.45
QUIET_S, MIN_ACCEPT_S, MAX_ACCEPT_S = 0.25, 0.6, 1.5
HANDOVER_S = 1.8  # after SIGTERM clients' connections that stay idle stay open for a successor's sake


@dataclass(slots=True, frozen=True)
class DrainSchedule:
    """When each step of a graceful shutdown is due."""

    min_accept_until: float  # new connections are accepted at least so long
    max_accept_until: float  # and at most so long
    handover_until: float  # with a successor, idle connections stay open so long
    admit_until: float  # a request whose last byte is read later is refused, and nothing is sent to a backend
    answer_by: float  # what is under way gets a response of our own
    end_by: float  # all connections are closed
    kill_at: float  # SIGKILL may come

    @classmethod
    def starting(cls, signalled_at: float, longest_deadline_s: float) -> DrainSchedule:
        """The schedule of a shutdown that was asked for at that time.

        Args:
            signalled_at: When SIGTERM came.
            longest_deadline_s: The longest deadline of any class.
        """
        kill_at = signalled_at + min(longest_deadline_s, MAX_DRAIN_DEADLINE_S) + KILL_MARGIN_S
        end_by = kill_at - MAX_STALL_S - EXIT_S
        answer_by = end_by - LINGER_S
        admit_until = answer_by - MAX_STALL_S
        # with very short deadlines new connections still come when nothing is admitted any more
        max_accept_until = max(
            signalled_at + NEW_CONNECTIONS_S, min(signalled_at + MAX_ACCEPT_S, admit_until)
        )
        return cls(
            min_accept_until=min(signalled_at + MIN_ACCEPT_S, max_accept_until),
            max_accept_until=max_accept_until,
            handover_until=min(signalled_at + HANDOVER_S, admit_until),
            admit_until=admit_until,
            answer_by=answer_by,
            end_by=end_by,
            kill_at=kill_at,
        )

    def accepts_at(self, now: float, last_accepted_at: float) -> bool:
        """Whether new connections are still accepted; they stop once none has come for `QUIET_S`."""
        if now >= self.max_accept_until:
            return False
        return now < max(self.min_accept_until, last_accepted_at + QUIET_S)
