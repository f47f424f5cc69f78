"""Watches: the recent history of changes, and the notification of watches about new changes."""

from __future__ import annotations

import copy
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from heronreel.coordination.model import Event, key_in_range

# The history is kept for watches that start at an earlier revision.
MAX_HISTORY_REVISIONS = 20_000
MAX_HISTORY_BYTES = 16 << 20
MAX_WATCHES = 5_000
EVENT_OVERHEAD_BYTES = 200  # added to the size of an event's key and values

Events = tuple[Event, ...]  # the events of one revision


class WatchNotified(NamedTuple):
    """The events of a watch, up to and including a revision.

    If `compact_revision` is above 0, the changes before that revision are no longer kept and the watch has
    ended.  If `ended` is set, this member cannot continue the watch.
    """

    watch_id: int
    revision: int
    events: Events
    compact_revision: int = 0
    ended: bool = False


class _Watch(NamedTuple):
    key: bytes
    end: bytes
    next_revision: int  # the first revision that the watch has not been notified of

    def matches(self, event: Event) -> bool:
        return event.revision >= self.next_revision and key_in_range(event.key, self.key, self.end)


class WatchHub:
    """The watches of one member while it leads, and the changes since it started to lead."""

    def __init__(self) -> None:
        self._history: deque[Events] = deque()
        self._history_bytes = 0
        self._compacted_revision = 0  # the history begins after this revision
        self._watches: dict[int, _Watch] = {}

    def fork(self) -> WatchHub:
        """Return an independent copy."""
        forked = copy.copy(self)
        forked._history = self._history.copy()
        forked._watches = self._watches.copy()
        return forked

    def reset(self, revision: int) -> None:
        """Clear the history; the new one begins after `revision`."""
        self._history.clear()
        self._history_bytes = 0
        self._compacted_revision = revision

    def add(self, watch_id: int, key: bytes, end: bytes, start_revision: int, revision: int) -> WatchNotified:
        """Add a watch of a range, and return its first notification with the past events it requests.

        Args:
            watch_id: identifies the watch in its notifications.
            key: the range's first key.
            end: the range's end, as in `model.Range`.
            start_revision: the first revision to notify of; 0: the next revision.
            revision: the present revision.
        """
        if len(self._watches) >= MAX_WATCHES:
            return WatchNotified(watch_id, revision, (), ended=True)
        start_revision = start_revision or revision + 1
        if start_revision <= self._compacted_revision:
            return WatchNotified(watch_id, revision, (), compact_revision=self._compacted_revision + 1)
        watch = _Watch(key, end, start_revision)
        past = tuple(event for events in self._history for event in events if watch.matches(event))
        self._watches[watch_id] = watch._replace(next_revision=max(start_revision, revision + 1))
        return WatchNotified(watch_id, revision, past)

    def remove(self, watch_id: int) -> None:
        """Remove a watch, if it is there."""
        self._watches.pop(watch_id, None)

    def end_all(self, revision: int) -> list[WatchNotified]:
        """End all watches."""
        ended = [WatchNotified(watch_id, revision, (), ended=True) for watch_id in self._watches]
        self._watches.clear()
        return ended

    def publish(self, changes: Iterable[Events], revision: int) -> list[WatchNotified]:
        """Add changes (one element for each revision) to the history, and notify the matching watches."""
        published = [event for events in changes for event in events]
        if not published:
            return []
        for events in changes:
            self._history.append(events)
            self._history_bytes += _size(events)
        self._compact()
        notifications: list[WatchNotified] = []
        for watch_id, watch in self._watches.items():
            matching = tuple(event for event in published if watch.matches(event))
            if matching:
                notifications.append(WatchNotified(watch_id, revision, matching))
        return notifications

    def _compact(self) -> None:
        """Drop the oldest changes until the history is within its limits."""
        while len(self._history) > MAX_HISTORY_REVISIONS or self._history_bytes > MAX_HISTORY_BYTES:
            dropped = self._history.popleft()
            self._history_bytes -= _size(dropped)
            self._compacted_revision = dropped[0].revision


def _size(events: Events) -> int:
    """Return the size in bytes of the events of a revision, including the overhead of each event."""
    size = 0
    for event in events:
        records = (event.record, event.previous)
        values = (record.value for record in records if record is not None)
        size += EVENT_OVERHEAD_BYTES + len(event.key) + sum(map(len, values))
    return size
