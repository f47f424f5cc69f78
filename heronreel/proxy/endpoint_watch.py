"""The watch of the endpoint list: makes and repeats the calls to discovery.

If a watch stops receiving data, the platform counts a change that it misses as notified 6 s later.  This may
happen right after a line, or before the first line.  So when a call receives nothing for longer than a
healthy call ever does, a second call is started while the first stays open.  If the first call was only late,
it continues as before and the second call has cost nothing.
"""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable
from dataclasses import replace

from heronreel.balancer.interface import WatchFailure
from heronreel.proxy.endpoint_call import EndpointCall
from heronreel.proxy.endpoints import EndpointList
from heronreel.proxy.list_validity import ListValidity

# Interval between calls to an agent on this machine, which responds immediately and for which calls are
# cheap.
PUSHED_RETRY_INTERVAL_S = 0.1

# If a watch ends this soon after its first list, possibly no discovery service has sent that list.
MIN_WATCH_DURATION_S = 0.25


class EndpointWatch:
    """Makes the calls to discovery and keeps the index from which the next watch resumes.

    If lists are polled, `watch` starts each call.  A failure is reported to `on_update`, and the balancer,
    which paces the calls of the whole fleet, decides when the next call starts.  If lists are pushed by a
    local agent (`pushed`), every change that the agent has counts as notified immediately, whether or not a
    watch is open: `start` makes the first call, and this class makes all further ones.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        index: int,
        on_update: Callable[[EndpointList | WatchFailure], None],
        on_validity: Callable[[float], None],
        drain_grace_s: float,
        pushed: bool = False,
    ) -> None:
        self.loop = loop
        self.address = address
        self.index = index
        self.on_update = on_update
        self.on_validity = on_validity  # Called with each new value of `valid_until()`.
        self.pushed = pushed
        self.retry_timer: asyncio.TimerHandle | None = None  # Starts the next call to an agent.
        self.calls: set[EndpointCall] = set()
        self.calls_made = 0
        self.validity = ListValidity(drain_grace_s, time.monotonic())
        self.on_validity(self.valid_until())

    def start(self) -> None:
        """Start the watch of a pushed list.  The watch of a polled list is started by `watch`."""
        if self.pushed and not self._is_watching():
            self._start_watch()

    def valid_until(self) -> float:
        """Return until when requests may be sent by the list, on the monotonic clock in seconds.

        A pushed list does not expire, because an agent answers immediately unless discovery is down.
        """
        return math.inf if self.pushed else self.validity.expires_at

    def reconfigure(self, address: tuple[str, int], pushed: bool, drain_grace_s: float) -> None:
        """Call `address` from now on, and immediately if there is a watch to move."""
        moved, mode_changed = address != self.address, pushed != self.pushed
        self.address, self.pushed = address, pushed
        self.validity.reconfigure(drain_grace_s)
        if moved:
            self.validity.service_moved(time.monotonic())
        self.on_validity(self.valid_until())
        if moved and any(call.is_watch for call in self.calls):
            self._start_watch()
        if moved and not pushed:
            self.on_update(WatchFailure.MOVED)  # Ends a long backoff after failures of the old address.
        if mode_changed and pushed:
            self.start()
        elif mode_changed and not self._is_watching():
            self.on_update(WatchFailure.ENDED)  # From now on the receiver of this report paces the calls.

    def watch(self) -> None:
        """Start a watch unless a healthy one is open.

        Late watches stay open until one of the watches gets a response, so that no change is missed and no
        place in the service's queue is lost.
        """
        if any(call.has_response and not call.is_late for call in self._current_watches()):
            self.on_update(EndpointList(self.index, False, []))  # The watch was only late.
        elif not self._is_watching():
            self._start_watch()

    def fetch(self) -> None:
        """Fetch the list once, without a watch."""
        self._call("", False)

    def close(self) -> None:
        """Close all calls."""
        if self.retry_timer:
            self.retry_timer.cancel()
        for call in list(self.calls):
            call.close()

    def _start_watch(self) -> None:
        for call in [call for call in self.calls if call.is_watch and not call.has_response]:
            if call.address != self.address:
                call.close()
        self._call(f"?stream=1&index={self.index}", True)

    def _call(self, query: str, is_watch: bool) -> None:
        self.calls_made += 1
        self.calls.add(EndpointCall(self, self.calls_made, query, is_watch))

    def _current_watches(self) -> list[EndpointCall]:
        return [call for call in self.calls if call.is_watch and call.address == self.address]

    def _is_watching(self) -> bool:
        """Return whether a watch of the current address is open and not late."""
        return any(not call.is_late for call in self._current_watches())

    # Reports of the calls.

    def on_response(self, call: EndpointCall) -> None:
        """Handle the start of a response: a new watch replaces all others."""
        if call.is_watch:
            for other in [other for other in self.calls if other.is_watch and other is not call]:
                other.close()

    def list_age_s(self) -> float:
        """Return how long ago, in seconds, the list was last confirmed to be current."""
        return time.monotonic() - self.validity.current_at

    def on_line(self, call: EndpointCall) -> None:
        """Handle a complete line: the list, including any change in the line, is current."""
        if call.address == self.address and call.list_count:
            if call.previous_validity is None:
                call.previous_validity = replace(self.validity)
            self.validity.confirm_current(call.last_input_at)
            self.on_validity(self.valid_until())

    def on_endpoints(self, endpoints: EndpointList) -> None:
        """Store the index of a received list and report the list."""
        self.index = endpoints.index
        self.on_update(endpoints)

    def on_failure(self, call: EndpointCall, failure: WatchFailure) -> None:
        """Handle a call that has ended or is late; report it unless another watch is open or starting."""
        self._update_validity(call, failure)
        if call.is_watch and self._is_watching():
            return
        if not self.pushed:
            self.on_update(failure)
        elif self.retry_timer is None:
            self.retry_timer = self.loop.call_later(PUSHED_RETRY_INTERVAL_S, self._retry)

    def _update_validity(self, call: EndpointCall, failure: WatchFailure) -> None:
        """Update the validity of the current list after a failed call."""
        if call.address != self.address:
            return
        now = time.monotonic()
        if failure is WatchFailure.BUSY:
            self.validity.call_refused(call.started_at, now)
        elif call.transport is None:
            self.validity.connection_failed(call.started_at)
        elif call.list_count and call.is_watch and failure is WatchFailure.ENDED:
            ended_early = (
                call.previous_validity is not None and now - call.first_list_at < MIN_WATCH_DURATION_S
            )
            if ended_early and call.previous_validity:
                self.validity = call.previous_validity
            if not (ended_early and call.was_reset):
                self.validity.watch_ended(now)
        elif not call.list_count:
            self.validity.call_unanswered(call.started_at)
        self.on_validity(self.valid_until())

    def _retry(self) -> None:
        self.retry_timer = None
        self.start()
