"""The nodes of a rehearsal and their lives: built from the script, worked on by events."""

from __future__ import annotations

from collections.abc import Callable

from heronreel.emulator.draws import Draws, Stream
from heronreel.emulator.events import Events
from heronreel.emulator.model import Kind, Rehearsal
from heronreel.emulator.node import NEVER, TAKEN, Job, Node, Pressure, Rack

COLD_TICK_MS = 200.0  # how often the pace of a cold node is found anew
SHARED_STEP = 0.005  # change of a rack's share that counts


def counts_by_share(shares: list[float], count: int) -> list[int]:
    """Whole numbers that sum to `count`, as near to the shares as can be (largest remainder)."""
    whole = sum(shares) or 1.0
    exact = [share / whole * count for share in shares]
    counts = [int(number) for number in exact]
    rest = sorted(range(len(shares)), key=lambda place: (counts[place] - exact[place], place))
    for place in rest[: count - sum(counts)]:
        counts[place] += 1
    return counts


class Fleet:
    def __init__(
        self, rehearsal: Rehearsal, draws: Draws, events: Events, ended: Callable[[Node, Job], None],
        lost: Callable[[Node, Job], None], warmed: Callable[[Node], None],
    ) -> None:  # fmt: skip
        """`ended`: a node has done a job.  `lost`: its process went with the job undone."""
        self.rehearsal, self.events = rehearsal, events
        self.ended, self.lost, self.warmed = ended, lost, warmed
        self.build: Stream = draws.stream("fleet")
        self.pauses: Stream = draws.stream("pauses")
        self.nodes: list[Node] = []  # all that ever were
        self.racks: list[Rack] = []
        self.made = 0
        self._build()

    def _build(self) -> None:
        fleet = self.rehearsal.fleet
        kinds: list[Kind] = []
        for kind, count in zip(
            fleet.kinds, counts_by_share([k.share for k in fleet.kinds], fleet.nodes), strict=True
        ):
            kinds += [kind] * count
        kinds = self.build.shuffled(kinds)
        racks = -(-fleet.nodes // fleet.rack_size)
        for number in range(racks):
            self.racks.append(Rack(f"r{number}"))
        for rack in self.build.sample(self.racks, round(fleet.limited_racks * racks)):
            rack.limit = fleet.rack_limit
        for place, kind in enumerate(kinds):
            number = place % racks
            self.make(kind, fleet.zones[number % len(fleet.zones)], self.racks[number])

    def make(self, kind: Kind, zone: str, rack: Rack, since: float = 0.0, cold: bool = False) -> Node:
        """A new machine under an id of its own."""
        self.made += 1
        speed = kind.speed * max(0.2, 1.0 + kind.speed_cv * self.build.normal())
        ident = self.build.seed() % 2**40
        node = Node(ident, f"n{self.made}", zone, rack, kind, speed, since, cold)
        if node.cold:
            node.pressure = self.pressure()
            self.events.at(self.events.now + COLD_TICK_MS, self._warm, node, node.epoch)
        node.refresh(self.events.now)
        self.nodes.append(node)
        if kind.pause_every_ms and kind.pause_ms:
            self._pause_later(node)
        return node

    def pressure(self) -> Pressure:
        rules = self.rehearsal.rules
        return Pressure(rules.fall_ms, rules.overload_factor, rules.fall_slack_ms)

    def alive(self) -> list[Node]:
        return [node for node in self.nodes if not node.down and not node.drains]

    def offer(self, node: Node, job: Job) -> str:
        """A request has come to a node whose process is there and awake."""
        now = self.events.now
        node.settle(now)
        found = node.offer(now, job)
        if found == TAKEN:
            self._touched(node)
        return found

    def touch(self, node: Node, change: Callable[[], None] | None = None) -> None:
        """Something about a node's pace changes now."""
        node.settle(self.events.now)
        if change is not None:
            change()
        self._touched(node)

    def _touched(self, node: Node) -> None:
        now = self.events.now
        node.refresh(now)
        rack = node.rack
        if rack.limit:
            shared = rack.share()
            if abs(shared - rack.shared) > SHARED_STEP:
                rack.shared = shared
                for other in rack.nodes:
                    if other is not node and not other.down:
                        other.settle(now)
                        other.held = other.want * shared
                        self._set_end(other)
                node.held = node.want * shared
        self._set_end(node)

    def _set_end(self, node: Node) -> None:
        """One event for the next end; one that comes too early finds nothing done and sets the next."""
        at = node.next_end()
        if at < node.due:
            node.due = at
            self.events.at(at, self._end, node, at)

    def _end(self, node: Node, due: float) -> None:
        if node.due != due:
            return  # an earlier one was set since, or the process has gone
        node.due = NEVER
        now = self.events.now
        node.settle(now)
        for job in node.finish(now):
            self.ended(node, job)
        self._touched(node)

    # What befalls them.

    def pause(self, node: Node, length: float) -> None:
        """It stands still, accepts included, and goes on as if nothing had been."""
        now = self.events.now
        if node.down:
            return
        node.settle(now)
        node.paused_until = max(node.paused_until, now + length)
        self._touched(node)
        node.due = NEVER  # what was set is void: nothing ends before the pause does
        self.events.at(node.paused_until, self.touch, node)

    def _pause_later(self, node: Node) -> None:
        wait = self.pauses.exponential(node.kind.pause_every_ms)
        self.events.at(self.events.now + wait, self._own_pause, node, node.epoch)

    def _own_pause(self, node: Node, epoch: int) -> None:
        length = self.pauses.exponential(node.kind.pause_ms)
        if node.down or node.epoch != epoch:
            return
        self.pause(node, length)
        self._pause_later(node)

    def _warm(self, node: Node, epoch: int) -> None:
        if node.epoch != epoch or node.down:
            return
        self.touch(node)
        if node.cold:
            self.events.at(self.events.now + COLD_TICK_MS, self._warm, node, epoch)
        else:
            self.warmed(node)

    def kill(self, node: Node) -> None:
        """The process dies; its connections are reset."""
        if node.down:
            return
        node.settle(self.events.now)
        for job in node.die():
            self.lost(node, job)
        if node.rack.limit:
            node.rack.shared = node.rack.share()

    def raise_(self, node: Node, cold: bool) -> None:
        """A new process at the same address."""
        now = self.events.now
        if not node.down:
            self.kill(node)
        node.rise(now, cold, self.pressure())
        if node.cold:
            self.events.at(now + COLD_TICK_MS, self._warm, node, node.epoch)
        self._touched(node)
        if node.kind.pause_every_ms and node.kind.pause_ms:
            self._pause_later(node)

    def presses(self, node: Node, work: float) -> bool:
        """Count what reached a cold node; True: it has just collapsed, and does not come back by itself."""
        if not node.presses(self.events.now, work):
            return False
        self.kill(node)
        node.fell = True
        return True
