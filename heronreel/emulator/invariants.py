"""Checks the four invariants of a rehearsal, independently of the code of any proxy.

The checker observes the messages on the network and the real state of the nodes, never the state that a proxy
assumes.  It records every breach with the request, proxy and node concerned.  Times are ms.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from heronreel.emulator.notification_terms import UNTOLD_MS, NotificationTerms, ProxyView

MAX_BREACHES_KEPT = 1000  # per rule; further breaches are only counted
EFFECT_MEMORY_MS = 60_000.0  # an effect is remembered for at least this long and at most twice as long
SLACK_MS = 50.0  # added to every time limit for the delays of sockets and clocks
# A collapse is a breach if at least this share (two thirds) of the work came from proxies that knew that the
# node was warming up.
INFORMED_NUMERATOR = 2.0
INFORMED_DENOMINATOR = 3.0


@dataclass(slots=True, frozen=True)
class Breach:
    """One breach of a rule.  The field names are part of a result."""

    rule: str  # "lost", "twice", "drain" or "cold"
    at_ms: float
    words: str
    request: int = -1
    proxy: str = ""
    node: str = ""
    line: int = -1  # number of the client request that `request` is an attempt of


@dataclass(slots=True)
class SentAttempt:
    """An attempt that a proxy has sent to a node."""

    number: int
    node: str
    rack: str
    zone: str
    sent_at: float
    may_have_run: bool = True


@dataclass(slots=True)
class AcceptedRequest:
    """A request that a proxy has accepted; kept until it has a result and all its attempts have ended."""

    client_request: int
    proxy: str
    effect: str
    dedup_scope: str
    dedup_window_ms: float
    deadline: float
    attempts: list[SentAttempt] = field(default_factory=list)
    in_flight: int = 0
    result: str = ""

    def uncertain_attempt(self) -> SentAttempt | None:
        """Return the first attempt that a node may have executed, or None."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)


@dataclass(slots=True)
class ColdNode:
    """A warming node and the work that reached it within the collapse window."""

    started_at: float
    arrivals: deque[tuple[float, float, bool]] = field(
        default_factory=deque
    )  # time, work, and whether the sender knew of the start


class InvariantChecker:
    """Detects breaches of the four rules: lost requests, repeated effects, drains and cold nodes."""

    def __init__(
        self,
        response_grace_ms: float,
        drain_grace_ms: float,
        delivered_after_ms: float,
        poll_within_ms: float,
        collapse_window_ms: float,
        untold_ms: float = UNTOLD_MS,
        failed_call_ms: float = 0.0,
    ) -> None:
        self.response_grace_ms = response_grace_ms
        self.drain_grace_ms = drain_grace_ms + SLACK_MS
        self.terms = NotificationTerms(delivered_after_ms, poll_within_ms, untold_ms, failed_call_ms)
        self.collapse_window_ms = collapse_window_ms
        self.accepted: dict[int, AcceptedRequest] = {}
        self.views: dict[str, ProxyView] = {}
        self.unusable_since: dict[str, float] = {}  # by node: when the list service learned it
        self.list_reachable_since: float | None = 0.0  # None while it is unreachable
        self.cold: dict[str, ColdNode] = {}
        self.effects: tuple[dict[int, str], dict[int, str]] = ({}, {})  # client request -> node, new and old
        self.effects_rotated_at = 0.0
        self.counts = {"lost": 0, "twice": 0, "drain": 0, "cold": 0}
        self.breaches: list[Breach] = []

    def _breach(
        self, rule: str, now: float, message: str, request: int = -1, proxy: str = "", node: str = ""
    ) -> None:
        self.counts[rule] += 1
        if self.counts[rule] <= MAX_BREACHES_KEPT:
            accepted = self.accepted.get(request)
            client_request = accepted.client_request if accepted else -1
            self.breaches.append(Breach(rule, now, message, request, proxy, node, client_request))

    # Rule 1: every accepted request gets exactly one final response, in time, and is not sent on after it.

    def request_accepted(
        self,
        request: int,
        client_request: int,
        proxy: str,
        effect: str,
        dedup_scope: str,
        dedup_window_ms: float,
        deadline: float,
    ) -> None:
        """Record that a proxy has received a whole request."""
        self.accepted[request] = AcceptedRequest(
            client_request, proxy, effect, dedup_scope, dedup_window_ms, deadline
        )

    def request_answered(self, request: int, result: str, now: float) -> None:
        """Record and check a proxy's response; `result` is served, refused or failed."""
        accepted = self.accepted.get(request)
        if accepted is None:
            return
        if accepted.result and accepted.result != "left":
            message = f"{result} after it was {accepted.result} already"
            self._breach("lost", now, message, request, accepted.proxy)
        elif not accepted.result and now > accepted.deadline + self.response_grace_ms + SLACK_MS:
            message = f"{result} {now - accepted.deadline:.0f} ms after its time was up"
            self._breach("lost", now, message, request, accepted.proxy)
        if result == "refused":
            self._check_refusal(accepted, request, now)
        accepted.result = accepted.result or result
        self._forget_if_done(request, accepted)

    def _check_refusal(self, accepted: AcceptedRequest, request: int, now: float) -> None:
        """Check that a refused request had no effect: clients retry a request that was refused."""
        if accepted.effect == "safe" or (accepted.effect, accepted.dedup_scope) == ("keyed", "all"):
            return
        uncertain = accepted.uncertain_attempt()
        if uncertain:
            message = f"refused though attempt {uncertain.number} may have run"
            self._breach("twice", now, message, request, accepted.proxy, uncertain.node)

    def request_overdue(self, request: int, now: float) -> None:
        """Record a breach if a request has no response after its deadline and the grace period."""
        accepted = self.accepted.get(request)
        if accepted is not None and not accepted.result:
            self._breach("lost", now, "no answer in time", request, accepted.proxy)
            accepted.result = "lost"
            self._forget_if_done(request, accepted)

    def client_left(self, request: int) -> None:
        """Record that the client disconnected of its own accord, so no response is required."""
        accepted = self.accepted.get(request)
        if accepted is not None:
            accepted.result = accepted.result or "left"
            self._forget_if_done(request, accepted)

    def proxy_stopped(self, proxy: str, requests: list[int], now: float, killed: bool) -> None:
        """Record that a proxy's process ended with `requests` in flight.

        They are breaches unless it was `killed`: after SIGTERM a proxy must answer them before it exits.
        """
        for request in requests:
            accepted = self.accepted.pop(request, None)
            if accepted is not None and not accepted.result and not killed:
                self._breach("lost", now, "the proxy ended with it unanswered", request, proxy)

    def _forget_if_done(self, request: int, accepted: AcceptedRequest) -> None:
        if accepted.result and not accepted.in_flight:
            del self.accepted[request]

    # Rule 2: no request has its effect twice.

    def attempt_sent(
        self, request: int, number: int, proxy: str, node: str, rack: str, zone: str, now: float
    ) -> None:
        """Record and check an attempt whose first byte has been written."""
        self._check_drain(proxy, node, request, now)
        accepted = self.accepted.get(request)
        if accepted is None:
            self._breach("lost", now, "sent on after its end", request, proxy, node)
            return
        if accepted.result:
            self._breach("lost", now, f"sent on after it was {accepted.result}", request, proxy, node)
        attempt = SentAttempt(number, node, rack, zone, now)
        uncertain = accepted.uncertain_attempt() if accepted.attempts else None
        if uncertain is not None and accepted.effect != "safe":
            self._check_retry(accepted, uncertain, attempt, request, proxy)
        accepted.attempts.append(attempt)
        accepted.in_flight += 1

    def _check_retry(
        self,
        accepted: AcceptedRequest,
        uncertain: SentAttempt,
        attempt: SentAttempt,
        request: int,
        proxy: str,
    ) -> None:
        """Check that a retry, if an earlier attempt may have run, goes to a node that drops the duplicate."""
        message = f"attempt {attempt.number} goes out though attempt {uncertain.number} may have run"
        scope, elapsed = accepted.dedup_scope, attempt.sent_at - uncertain.sent_at
        same_scope = {"rack": attempt.rack == uncertain.rack, "zone": attempt.zone == uncertain.zone}
        if accepted.effect != "unsafe" and same_scope.get(scope, True):
            if attempt.sent_at <= uncertain.sent_at + accepted.dedup_window_ms + SLACK_MS:
                return
            message += f", {elapsed:.0f} ms ago"
        elif accepted.effect != "unsafe":
            message += f" in another {scope}"
        self._breach("twice", attempt.sent_at, message, request, proxy, attempt.node)

    def attempt_ended(self, request: int, number: int, never_ran: bool) -> None:
        """Record that the proxy has learned that an attempt ended, and whether its node never executed it."""
        accepted = self.accepted.get(request)
        if accepted is None:
            return
        accepted.in_flight -= 1
        for attempt in accepted.attempts:
            if attempt.number == number:
                attempt.may_have_run = not never_ran
        self._forget_if_done(request, accepted)

    def effect_took_place(
        self, client_request: int, effect: str, request: int, proxy: str, node: str, now: float
    ) -> None:
        """Record that a node has executed a request, and check that its effect is the first one."""
        if effect == "safe":
            return
        if now - self.effects_rotated_at >= EFFECT_MEMORY_MS:
            self.effects, self.effects_rotated_at = ({}, self.effects[0]), now
        new, old = self.effects
        first = new.get(client_request) or old.get(client_request)
        if first is not None:
            self._breach("twice", now, f"its effect took place at {first} already", request, proxy, node)
        new[client_request] = node

    # Rule 3: a proxy sends nothing to a node that it was told is draining or removed.

    def proxy_started(self, proxy: str, now: float) -> None:
        """Record that a proxy's process has started."""
        self.views[proxy] = ProxyView(now)

    def list_polled(self, proxy: str, now: float, watching: bool) -> None:
        """Record a proxy's call to the list service, or the end of its watch."""
        view = self.views[proxy]
        view.polled_at, view.watching = now, watching

    def list_call_answered(self, proxy: str, now: float) -> None:
        """Record that the list service has answered a proxy's call."""
        self.list_polled(proxy, now, True)
        self.views[proxy].call_failed = False

    def list_call_failed(self, proxy: str, now: float) -> None:
        """Record that a proxy's call or watch failed, was refused or was abandoned."""
        self.list_polled(proxy, now, False)
        view = self.views[proxy]
        view.call_failed = True
        if self.terms.failed_call_ms:
            # The time allowed after a failed call also covers the pending notifications, whatever comes next.
            view.untold.clear()

    def list_reachable(self, reachable: bool, now: float) -> None:
        """Record whether the list service answers calls."""
        if not reachable:
            self.list_reachable_since = None
        elif self.list_reachable_since is None:
            self.list_reachable_since = now

    def watch_ended_untold(self, proxy: str, nodes: list[str], now: float) -> None:
        """Record that a proxy's watch ended instead of reporting that `nodes` changed."""
        untold = self.views[proxy].untold
        for node in nodes:
            if node in self.unusable_since:
                untold.setdefault(node, now)

    def node_state_known(self, node: str, usable: bool, now: float) -> None:
        """Record that the list service learned whether a node is usable, or else draining or removed."""
        if usable:
            self.unusable_since.pop(node, None)
            for view in self.views.values():
                view.unusable.pop(node, None)
                view.untold.pop(node, None)
        else:
            self.unusable_since.setdefault(node, now)

    def change_received(self, proxy: str, node: str, usable: bool, started_at: float, now: float) -> None:
        """Record that one changed entry of the list has reached a proxy."""
        view = self.views[proxy]
        view.starts[node] = started_at
        if usable:
            view.unusable.pop(node, None)
        else:
            view.unusable.setdefault(node, now)
            view.starts.pop(node, None)

    def snapshot_received(self, proxy: str, starts: dict[str, float], now: float) -> None:
        """Record that a whole list has reached a proxy.

        `starts` holds the start times of the usable nodes; every other node is unusable.
        """
        view = self.views[proxy]
        for node in view.starts.keys() - starts.keys():
            view.unusable.setdefault(node, now)
        view.starts = dict(starts)
        for node in starts:
            view.unusable.pop(node, None)

    def _check_drain(self, proxy: str, node: str, request: int, now: float) -> None:
        known_at = self.unusable_since.get(node)
        notified = self.terms.notified_at(self.views[proxy], node, known_at, self.list_reachable_since)
        if notified is not None and now > notified + self.drain_grace_ms:
            message = f"sent to a node {now - notified:.0f} ms after it was told that it drains or is gone"
            self._breach("drain", now, message, request, proxy, node)

    # Rule 4: no proxy overloads a node that it knows to be warming up.

    def node_started_cold(self, node: str, started_at: float) -> None:
        """Record that a node has started and is warming up."""
        self.cold[node] = ColdNode(started_at)

    def node_warmed_up(self, node: str) -> None:
        """Record that a node has warmed up, or that its process has ended."""
        self.cold.pop(node, None)

    def cold_work_arrived(self, node: str, proxy: str, work: float, now: float) -> None:
        """Record work (ms) that has arrived at a warming node."""
        cold = self.cold[node]
        informed = self.views[proxy].starts.get(node) == cold.started_at
        cold.arrivals.append((now, work, informed))
        while cold.arrivals and cold.arrivals[0][0] <= now - self.collapse_window_ms:
            cold.arrivals.popleft()

    def node_collapsed(self, node: str, now: float) -> None:
        """Record a breach if at least two thirds of the work came from proxies that knew that it was cold."""
        cold = self.cold.pop(node, None)
        arrivals = cold.arrivals if cold else ()
        total = sum(work for _, work, _ in arrivals)
        informed_work = sum(work for _, work, informed in arrivals if informed)
        if INFORMED_DENOMINATOR * informed_work >= INFORMED_NUMERATOR * total:
            message = f"a cold node fell under {total:.0f} ms of work within {self.collapse_window_ms:.0f} ms"
            self._breach("cold", now, message, node=node)
