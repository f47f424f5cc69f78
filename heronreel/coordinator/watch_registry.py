"""Clients' watches: queues of notifications from the core to the responses that stream them."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from heronreel.coordination.watches import WatchNotified

MAX_QUEUED_NOTIFICATIONS = 1000  # Limits the notifications that are queued for one watch.


class WatchSubscription(NamedTuple):
    """An open watch: its id, and the notifications that have not been sent to its client."""

    watch_id: int
    notifications: asyncio.Queue[WatchNotified]


class WatchRegistry:
    """Holds a queue of notifications for each open watch, by watch id."""

    def __init__(self) -> None:
        self.queues: dict[int, asyncio.Queue[WatchNotified]] = {}

    def open(self, watch_id: int) -> WatchSubscription:
        """Register a watch before the core creates it."""
        subscription = WatchSubscription(watch_id, asyncio.Queue())
        self.queues[watch_id] = subscription.notifications
        return subscription

    def close(self, watch_id: int) -> None:
        """Remove a watch, if it exists."""
        self.queues.pop(watch_id, None)

    def publish(self, notification: WatchNotified) -> bool:
        """Queue a notification; return False if the watch was ended because its client reads too slowly.

        Such a client gets a last notification that it has missed events, as if they had been compacted.
        """
        queue = self.queues.get(notification.watch_id)
        if queue is None:
            return True
        if queue.qsize() >= MAX_QUEUED_NOTIFICATIONS:
            self.close(notification.watch_id)
            revision = notification.revision
            queue.put_nowait(WatchNotified(notification.watch_id, revision, (), compact_revision=revision))
            return False
        queue.put_nowait(notification)
        return True

    def end_all(self) -> None:
        """Notify every client that this member can't continue its watch."""
        for watch_id, queue in self.queues.items():
            queue.put_nowait(WatchNotified(watch_id, 0, (), ended=True))
