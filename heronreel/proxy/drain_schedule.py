"""The schedule of a graceful shutdown, computed once when SIGTERM arrives.

The platform sends SIGKILL `KILL_MARGIN_S` after the longest deadline (3 s at most) has passed since SIGTERM,
and clients use their open connections until then.  The schedule works back from that instant: the process
exits before it, every admitted request has its response before the exit, and a request that can't be answered
in time is not admitted.  The process may be stalled for `MAX_STALL_S` between two steps.  This module only
computes times; all are in seconds on the monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_DRAIN_DEADLINE_S = 3.0  # longer deadlines count as this much
KILL_MARGIN_S = 0.7  # earliest SIGKILL, counted from the end of the longest deadline after SIGTERM
MAX_STALL_S = 0.15  # longest time that the process may be stalled between reading its clock and writing
# Time from the last responses to the end, in which they are written and input that crosses them is read.
LINGER_S = 0.15
EXIT_S = 0.05  # time that the interpreter takes to exit
# New connections arrive for up to 0.4 s after SIGTERM, and each of them is accepted.
NEW_CONNECTIONS_S = 0.45
QUIET_S = 0.25  # accepting ends once no connection has arrived for this long
MIN_ACCEPT_S = 0.6
MAX_ACCEPT_S = 1.5
# With a successor, idle client connections stay open for this long after SIGTERM: those that are used end
# after their next response, so that few are closed while a request arrives.
HANDOVER_S = 1.8


@dataclass(slots=True, frozen=True)
class DrainSchedule:
    """When each step of a graceful shutdown is due."""

    min_accept_until: float  # new connections are accepted at least until then
    max_accept_until: float  # new connections are accepted at most until then
    handover_until: float  # with a successor, idle connections stay open until then
    # Requests whose last byte is read later are refused, and nothing is sent to a backend any more.
    admit_until: float
    answer_by: float  # requests that are still in flight then get an error response from the proxy
    end_by: float  # all connections are closed then
    kill_at: float  # SIGKILL may come from then on

    @classmethod
    def starting(cls, signalled_at: float, longest_deadline_s: float) -> DrainSchedule:
        """Return the schedule of a shutdown that starts at a given time.

        Args:
            signalled_at: When SIGTERM arrived.
            longest_deadline_s: The longest deadline of any class.
        """
        kill_at = signalled_at + min(longest_deadline_s, MAX_DRAIN_DEADLINE_S) + KILL_MARGIN_S
        end_by = kill_at - MAX_STALL_S - EXIT_S
        answer_by = end_by - LINGER_S
        admit_until = answer_by - MAX_STALL_S
        # With very short deadlines, new connections may still arrive after `admit_until`.
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
        """Return whether new connections are still accepted at `now`.

        Between the earliest and the latest end, accepting ends once none has arrived for `QUIET_S`.
        """
        if now >= self.max_accept_until:
            return False
        return now < max(self.min_accept_until, last_accepted_at + QUIET_S)
