"""The four rules, kept by one who sees everything and shares no code with any proxy.

It is told what the wires carry and what the nodes really do, never what a proxy thinks, and holds every
breach with the request, proxy and node it belongs to.  Times are ms.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

BREACHES_KEPT = 1000  # of each rule; all are counted
TURN_MS = 60_000.0  # effects are remembered for one to two of these
SLACK_MS = 50.0  # sockets' and clocks', on every time limit


@dataclass(slots=True, frozen=True)
class Breach:
    rule: str  # lost, twice, drain, cold
    at_ms: float
    words: str
    request: int = -1
    proxy: str = ""
    node: str = ""
    line: int = -1  # the client's request that this is a try of


@dataclass(slots=True)
class Sent:
    number: int
    node: str
    rack: str
    zone: str
    at: float
    maybe: bool = True


@dataclass(slots=True)
class Taken:
    line: int
    proxy: str
    effect: str
    group: str
    window: float
    deadline: float
    sent: list[Sent] = field(default_factory=list)
    out: int = 0
    final: str = ""


@dataclass(slots=True)
class Watch:
    """What a proxy was told, and when it last asked."""

    asked: float
    open: bool = False
    gone: dict[str, float] = field(default_factory=dict)  # nodes that drain or are gone: told when
    starts: dict[str, float] = field(default_factory=dict)  # nodes: the start it was told of


class Observer:
    def __init__(
        self,
        answer_grace_ms: float,
        drain_grace_ms: float,
        told_ms: float,
        ask_within_ms: float,
        fall_ms: float,
    ) -> None:
        self.answer_grace, self.drain_grace = answer_grace_ms, drain_grace_ms + SLACK_MS
        self.told_ms, self.ask_within, self.fall_ms = told_ms, ask_within_ms, fall_ms
        self.taken: dict[int, Taken] = {}
        self.watches: dict[str, Watch] = {}
        self.leaving: dict[str, float] = {}  # nodes: since when the list service knows
        self.cold: dict[str, tuple[float, deque[tuple[float, float, bool]]]] = {}  # since, and what was sent
        self.effects: tuple[dict[int, str], dict[int, str]] = ({}, {})  # lines that ran: new, old
        self.turned = 0.0
        self.counts = {"lost": 0, "twice": 0, "drain": 0, "cold": 0}
        self.breaches: list[Breach] = []

    def _breach(
        self, rule: str, now: float, words: str, request: int = -1, proxy: str = "", node: str = ""
    ) -> None:
        self.counts[rule] += 1
        if self.counts[rule] <= BREACHES_KEPT:
            taken = self.taken.get(request)
            line = taken.line if taken else -1
            self.breaches.append(Breach(rule, now, words, request, proxy, node, line))

    # Rule 1: every request taken has one final answer, in time, and nothing goes out after it.

    def took(
        self, request: int, line: int, proxy: str, effect: str, group: str, window: float, deadline: float
    ) -> None:
        self.taken[request] = Taken(line, proxy, effect, group, window, deadline)

    def answered(self, request: int, what: str, now: float) -> None:
        """`what`: served, refused or failed."""
        taken = self.taken.get(request)
        if taken is None:
            return
        if taken.final and taken.final != "left":
            self._breach("lost", now, f"{what} after it was {taken.final} already", request, taken.proxy)
        elif not taken.final and now > taken.deadline + self.answer_grace + SLACK_MS:
            words = f"{what} {now - taken.deadline:.0f} ms after its time was up"
            self._breach("lost", now, words, request, taken.proxy)
        if what == "refused" and taken.effect != "safe" and (taken.effect, taken.group) != ("keyed", "all"):
            maybe = next((sent for sent in taken.sent if sent.maybe), None)
            if maybe:
                words = f"refused though attempt {maybe.number} may have run"
                self._breach("twice", now, words, request, taken.proxy, maybe.node)
        taken.final = taken.final or what
        self._forget(request, taken)

    def overdue(self, request: int, now: float) -> None:
        """Its time and the grace are over.  Called for every request that has no answer by then."""
        taken = self.taken.get(request)
        if taken is not None and not taken.final:
            self._breach("lost", now, "no answer in time", request, taken.proxy)
            taken.final = "lost"
            self._forget(request, taken)

    def left(self, request: int) -> None:
        """The client went away by itself; nothing is owed."""
        taken = self.taken.get(request)
        if taken is not None:
            taken.final = taken.final or "left"
            self._forget(request, taken)

    def stopped(self, proxy: str, requests: list[int], now: float, killed: bool) -> None:
        """A proxy's process ended with these in its hands: killed outright, or by itself after SIGTERM."""
        for request in requests:
            taken = self.taken.pop(request, None)
            if taken is not None and not taken.final and not killed:
                self._breach("lost", now, "the proxy ended with it unanswered", request, proxy)

    def _forget(self, request: int, taken: Taken) -> None:
        if taken.final and not taken.out:
            del self.taken[request]

    # Rule 2: no effect twice.

    def sent(
        self, request: int, number: int, proxy: str, node: str, rack: str, zone: str, now: float
    ) -> None:
        """The first byte of an attempt is written."""
        self._check_drain(proxy, node, request, now)
        taken = self.taken.get(request)
        if taken is None:
            self._breach("lost", now, "sent on after its end", request, proxy, node)
            return
        if taken.final:
            self._breach("lost", now, f"sent on after it was {taken.final}", request, proxy, node)
        maybe = next((sent for sent in taken.sent if sent.maybe), None)
        if maybe is not None and taken.effect != "safe":
            words = f"attempt {number} goes out though attempt {maybe.number} may have run"
            here = {"rack": rack == maybe.rack, "zone": zone == maybe.zone}.get(taken.group, True)
            if taken.effect == "unsafe":
                self._breach("twice", now, words, request, proxy, node)
            elif not here:
                self._breach("twice", now, f"{words} in another {taken.group}", request, proxy, node)
            elif now > maybe.at + taken.window + SLACK_MS:
                words += f", {now - maybe.at:.0f} ms ago"
                self._breach("twice", now, words, request, proxy, node)
        taken.sent.append(Sent(number, node, rack, zone, now))
        taken.out += 1

    def ended(self, request: int, number: int, never_ran: bool) -> None:
        """The proxy has learned how an attempt that was sent ended."""
        taken = self.taken.get(request)
        if taken is None:
            return
        taken.out -= 1
        for sent in taken.sent:
            if sent.number == number:
                sent.maybe = not never_ran
        self._forget(request, taken)

    def ran(self, line: int, effect: str, request: int, proxy: str, node: str, now: float) -> None:
        """A node has done a request's work, its effect with it."""
        if effect == "safe":
            return
        if now - self.turned >= TURN_MS:
            self.effects, self.turned = ({}, self.effects[0]), now
        new, old = self.effects
        first = new.get(line) or old.get(line)
        if first is not None:
            self._breach("twice", now, f"its effect took place at {first} already", request, proxy, node)
        new[line] = node

    # Rule 3: drains are kept.

    def started(self, proxy: str, now: float) -> None:
        self.watches[proxy] = Watch(now)

    def asks(self, proxy: str, now: float, watching: bool) -> None:
        watch = self.watches[proxy]
        watch.asked, watch.open = now, watching

    def known(self, node: str, usable: bool, now: float) -> None:
        """The list service has learned that a node drains or is gone, or is there."""
        if usable:
            self.leaving.pop(node, None)
            for watch in self.watches.values():
                watch.gone.pop(node, None)
        else:
            self.leaving.setdefault(node, now)

    def told(self, proxy: str, node: str, usable: bool, since: float, now: float) -> None:
        """One line of the list has come to a proxy."""
        watch = self.watches[proxy]
        watch.starts[node] = since
        if usable:
            watch.gone.pop(node, None)
        else:
            watch.gone.setdefault(node, now)
            watch.starts.pop(node, None)

    def told_whole(self, proxy: str, nodes: dict[str, float], now: float) -> None:
        """A whole list: usable nodes and their starts.  What is not on it is gone."""
        watch = self.watches[proxy]
        for node in watch.starts.keys() - nodes.keys():
            watch.gone.setdefault(node, now)
        watch.starts = dict(nodes)
        for node in nodes:
            watch.gone.pop(node, None)

    def _check_drain(self, proxy: str, node: str, request: int, now: float) -> None:
        watch = self.watches[proxy]
        told = watch.gone.get(node)
        known = self.leaving.get(node)
        if known is not None:
            if self.told_ms:
                told = min(told if told is not None else known + self.told_ms, known + self.told_ms)
            if told is None and not watch.open and now - watch.asked > self.ask_within:
                told = max(known, watch.asked + self.ask_within)
        if told is not None and now > told + self.drain_grace:
            words = f"sent to a node {now - told:.0f} ms after it was told that it drains or is gone"
            self._breach("drain", now, words, request, proxy, node)

    # Rule 4: no cold node is pushed over.

    def rose(self, node: str, since: float) -> None:
        self.cold[node] = (since, deque())

    def warmed(self, node: str) -> None:
        self.cold.pop(node, None)

    def offered(self, node: str, proxy: str, work: float, now: float) -> None:
        """Work has come to a cold node."""
        since, sent = self.cold[node]
        informed = self.watches[proxy].starts.get(node) == since
        sent.append((now, work, informed))
        while sent and sent[0][0] <= now - self.fall_ms:
            sent.popleft()

    def fell(self, node: str, now: float) -> None:
        """It has collapsed.  A breach if two thirds of what it was sent came from those who knew it cold."""
        _, sent = self.cold.pop(node, (0.0, deque()))
        whole = sum(work for _, work, _ in sent)
        knew = sum(work for _, work, informed in sent if informed)
        if 3.0 * knew >= 2.0 * whole:
            words = f"a cold node fell under {whole:.0f} ms of work within {self.fall_ms:.0f} ms"
            self._breach("cold", now, words, node=node)
