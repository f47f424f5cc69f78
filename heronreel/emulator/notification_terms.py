"""Decides from when a proxy counts as notified of a change of the endpoint list, for the drain rule.

This is a part of the invariant checker, which shares no code with any proxy.  Times are ms.
"""

from __future__ import annotations

from dataclasses import dataclass, field

UNTOLD_MS = 2000.0  # default of `NotificationTerms.untold_ms`


@dataclass(slots=True)
class ProxyView:
    """The part of the endpoint list that a proxy has received, and the time of its last poll."""

    polled_at: float
    watching: bool = False
    call_failed: bool = False  # the last call or watch failed, and no call was answered since
    unusable: dict[str, float] = field(default_factory=dict)  # draining or removed nodes: time received
    untold: dict[str, float] = field(default_factory=dict)  # nodes: end of the watch that omitted the change
    starts: dict[str, float] = field(default_factory=dict)  # nodes: start time received


@dataclass(slots=True, frozen=True)
class NotificationTerms:
    """Time limits after which a change that has not arrived counts as notified.

    0 disables a limit, except `poll_within_ms`.

    Attributes:
        delivered_after_ms: Counted from when the list service learned of the change.
        poll_within_ms: Counted from a proxy's last call or the end of its watch; it must call again by then.
        untold_ms: Counted from the end of a watch that was closed instead of sending the change.
        failed_call_ms: Counted from when the service knew the change and was reachable.  Applies to a proxy
            whose last call failed, was refused or was abandoned, and then replaces the other limits.
    """

    delivered_after_ms: float
    poll_within_ms: float
    untold_ms: float = UNTOLD_MS
    failed_call_ms: float = 0.0

    def notified_at(
        self, view: ProxyView, node: str, known_at: float | None, reachable_since: float | None
    ) -> float | None:
        """Return when a proxy counts as notified that a node is draining or removed; None if not yet.

        Args:
            view: What the proxy has received of the list.
            node: The name of the node.
            known_at: When the list service learned of the change; None if it has not.
            reachable_since: Since when the service has been reachable; None if it is unreachable.
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
            limit = ended_at + self.untold_ms
            counted = limit if counted is None else min(counted, limit)
        if counted is None and node not in view.unusable and not view.watching:
            return max(known_at, view.polled_at + self.poll_within_ms)
        return counted
