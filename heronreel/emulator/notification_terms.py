"""When a change of the list counts as notified to a proxy: the terms of the drain rule.

A part of the checker, which shares no code with any proxy.  Times are ms.
"""

from __future__ import annotations

from dataclasses import dataclass, field

UNTOLD_MS = 2000.0  # measured on the operators' bench; no page names it


@dataclass(slots=True)
class ProxyView:
    """What a proxy has been sent of the endpoint list, and when it last polled."""

    polled_at: float
    watching: bool = False
    call_failed: bool = False  # its last call or watch failed, and none was answered since
    unusable: dict[str, float] = field(default_factory=dict)  # draining or gone nodes: notified when
    untold: dict[str, float] = field(default_factory=dict)  # nodes: when a watch ended in place of the change
    starts: dict[str, float] = field(default_factory=dict)  # nodes: the start time it was sent


@dataclass(slots=True, frozen=True)
class NotificationTerms:
    """From when a change that has not arrived counts as notified.  0 disables a term, but for polls.

    Attributes:
        delivered_after_ms: After the service had the change.
        poll_within_ms: After a proxy's last call or the end of its watch: it has to call by then.
        untold_ms: After the end of a watch that ended in place of the change.
        failed_call_ms: After the service had it and could be reached, for a proxy whose last call failed,
            was refused or given up; no other term counts for it then.
    """

    delivered_after_ms: float
    poll_within_ms: float
    untold_ms: float = UNTOLD_MS
    failed_call_ms: float = 0.0

    def notified_at(
        self, view: ProxyView, node: str, known_at: float | None, reachable_since: float | None
    ) -> float | None:
        """When a proxy counts as notified that a node drains or is gone; None: not yet.

        Args:
            view: What the proxy has been sent.
            node: The node.
            known_at: When the list service learned it; None: it has not.
            reachable_since: From when the service could be reached; None: it can't be now.
        """
        received = view.unusable.get(node)
        if known_at is None:
            return received
        if view.call_failed and self.failed_call_ms:
            counted = self._after_failed_call(known_at, reachable_since)
        else:
            counted = self._without_failure(view, node, known_at)
        if counted is None or received is None:
            return counted if received is None else received
        return min(received, counted)

    def _after_failed_call(self, known_at: float, reachable_since: float | None) -> float | None:
        if reachable_since is None:
            return None
        return max(known_at, reachable_since) + self.failed_call_ms

    def _without_failure(self, view: ProxyView, node: str, known_at: float) -> float | None:
        counted = known_at + self.delivered_after_ms if self.delivered_after_ms else None
        ended_at = view.untold.get(node)
        if ended_at is not None and self.untold_ms:
            told = ended_at + self.untold_ms
            counted = told if counted is None else min(counted, told)
        if counted is None and node not in view.unusable and not view.watching:
            return max(known_at, view.polled_at + self.poll_within_ms)
        return counted
