"""The script's troubles, carried out: each begins, befalls its targets, and ends as it began.

Several of one kind may overlap; what a trouble changes by a factor is undone by the same factor, and what is
on or off is counted, so their order of ending does not matter.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any, TypeVar

from heronreel.emulator.draws import Stream
from heronreel.emulator.lists import Shape
from heronreel.emulator.model import Trouble
from heronreel.emulator.node import Node
from heronreel.emulator.targets import chosen

if TYPE_CHECKING:
    from heronreel.emulator.proxies import Proxy
    from heronreel.emulator.world import World

Undo = Callable[[], None]
Begun = tuple[list[str], list[Undo]]  # the names of what it befell, and how it ends
T = TypeVar("T", Node, "Proxy")


class Troubles:
    def __init__(self, world: World) -> None:
        self.world = world
        self.counts: dict[str, int] = {}  # of list troubles under way
        self.reloads = 0
        for place, trouble in enumerate(world.rehearsal.troubles):
            draw = world.draws.stream(f"trouble {place} {trouble.what}")
            world.events.at(trouble.at_s * 1000.0, self._begin, place, trouble, draw)

    def _begin(self, place: int, trouble: Trouble, draw: Stream) -> None:
        world, now = self.world, self.world.events.now
        begin: Callable[[Trouble, Stream], Begun] = getattr(self, f"_{trouble.what}")
        names, undo = begin(trouble, draw)
        world.happened(now, "begins", place, trouble.what, names)
        if trouble.for_s and undo:
            world.events.at(now + trouble.for_s * 1000.0, self._finish, place, trouble, undo)

    def _finish(self, place: int, trouble: Trouble, undo: list[Undo]) -> None:
        for call in undo:
            call()
        self.world.happened(self.world.events.now, "ends", place, trouble.what, [])

    def _nodes(self, trouble: Trouble, draw: Stream) -> list[Node]:
        return chosen(
            trouble, self.world.fleet.alive(), draw, lambda node: node.rack.name, lambda node: node.kind.name,
            lambda node: len(node.running) + len(node.waiting) + node.conns / 1e6,
        )  # fmt: skip

    def _proxies(self, trouble: Trouble, draw: Stream) -> list[Proxy]:
        alive = [proxy for proxy in self.world.proxies if proxy.alive and not proxy.draining]
        return chosen(trouble, alive, draw, busy=lambda proxy: float(len(proxy.asks)))

    def _in_turn(self, trouble: Trouble, targets: Sequence[T], call: Callable[[T], object]) -> Begun:
        """Each target's own moment, spread over `within_s`; nothing to undo."""
        for place, target in enumerate(targets):
            wait = trouble.within_s * 1000.0 * place / len(targets)
            self.world.events.at(self.world.events.now + wait, call, target)
        return [target.name for target in targets], []

    def _more(self, trouble: Trouble, draw: Stream, attribute: str) -> Begun:
        """A share of each node's that is larger by the trouble's size."""

        def change(node: Node, on: bool) -> None:
            by = trouble.size if on else -trouble.size
            setattr(node, attribute, getattr(node, attribute) + by)

        return self._each(self._nodes(trouble, draw), change, trouble.every_s)

    def _times(self, names: list[str], owner: object, attribute: str, size: float) -> Begun:
        setattr(owner, attribute, getattr(owner, attribute) * size)
        return names, [lambda: setattr(owner, attribute, getattr(owner, attribute) / size)]

    def _each(self, nodes: list[Node], change: Callable[[Node, bool], None], every_s: float = 0.0) -> Begun:
        """Change nodes at once, and back at the end; with `every_s` on and off meanwhile."""
        fleet, on = self.world.fleet, [False]

        def turn(state: bool) -> None:
            if on[0] != state:
                on[0] = state
                for node in nodes:
                    fleet.touch(node, lambda node=node: change(node, state))  # type: ignore[misc]

        turn(True)
        over = [False]

        def swing() -> None:
            if not over[0]:
                turn(not on[0])
                self.world.events.at(self.world.events.now + every_s * 500.0, swing)

        if every_s:
            self.world.events.at(self.world.events.now + every_s * 500.0, swing)

        def end() -> None:
            over[0] = True
            turn(False)

        return [node.name for node in nodes], [end]

    # Of nodes.

    def _slow(self, trouble: Trouble, draw: Stream) -> Begun:
        def change(node: Node, on: bool) -> None:
            node.slow = node.slow * trouble.size if on else node.slow / trouble.size

        return self._each(self._nodes(trouble, draw), change, trouble.every_s)

    def _errors(self, trouble: Trouble, draw: Stream) -> Begun:
        return self._more(trouble, draw, "errors")

    def _neighbour(self, trouble: Trouble, draw: Stream) -> Begun:
        def change(node: Node, on: bool) -> None:
            left = 1.0 - node.neighbour
            node.neighbour = 1.0 - (left * (1.0 - trouble.size) if on else left / (1.0 - trouble.size))

        return self._each(self._nodes(trouble, draw), change, trouble.every_s)

    def _lose_answers(self, trouble: Trouble, draw: Stream) -> Begun:
        return self._more(trouble, draw, "loses")

    def _reset(self, trouble: Trouble, draw: Stream) -> Begun:
        return self._more(trouble, draw, "resets")

    def _silent(self, trouble: Trouble, draw: Stream) -> Begun:
        def change(node: Node, on: bool) -> None:
            node.silent += 1 if on else -1

        return self._each(self._nodes(trouble, draw), change)

    def _pause(self, trouble: Trouble, draw: Stream) -> Begun:
        nodes = self._nodes(trouble, draw)
        for node in nodes:
            self.world.fleet.pause(node, trouble.for_s * 1000.0)
        return [node.name for node in nodes], [lambda: None]

    def _crash(self, trouble: Trouble, draw: Stream) -> Begun:
        """The process dies; after `after_s` (if set) one comes up at the same address."""
        return self._in_turn(trouble, self._nodes(trouble, draw), lambda node: self._crash_one(trouble, node))

    def _crash_one(self, trouble: Trouble, node: Node) -> None:
        self.world.kill_node(node)
        if trouble.after_s:
            at = self.world.events.now + trouble.after_s * 1000.0
            self.world.events.at(at, self.world.raise_node, node, trouble.cold)
        else:
            self.world.lists.learn(self.world.entry_of(node, Shape.LEFT), self.world.rehearsal.list.notice_ms)

    def _drain(self, trouble: Trouble, draw: Stream) -> Begun:
        """Nodes finish what they have and go after `after_s`."""
        drain, after = self.world.drain_node, trouble.after_s * 1000.0
        return self._in_turn(trouble, self._nodes(trouble, draw), lambda node: drain(node, after))

    def _replace(self, trouble: Trouble, draw: Stream) -> Begun:
        """New machines come, cold or not, and the old ones drain; `same`: at the same address, at once."""
        nodes = self._nodes(trouble, draw)
        return self._in_turn(trouble, nodes, lambda node: self._replace_one(trouble, node))

    def _replace_one(self, trouble: Trouble, node: Node) -> None:
        world = self.world
        if node.down:
            return
        if trouble.same:
            world.kill_node(node)
            world.raise_node(node, trouble.cold)
            return
        world.add_node(node.kind, node.zone, node.rack, trouble.cold)
        world.drain_node(node, trouble.after_s * 1000.0)

    def _grow(self, trouble: Trouble, draw: Stream) -> Begun:
        world, alive = self.world, self.world.fleet.alive()
        count = trouble.count or round(trouble.share * len(alive))
        models = [alive[place % len(alive)] for place in range(count)] if alive else []
        self._in_turn(trouble, models, lambda one: world.add_node(one.kind, one.zone, one.rack, trouble.cold))
        return [f"{count} new"], []

    # Of zones.

    def _zone_lost(self, trouble: Trouble, draw: Stream) -> Begun:
        nodes = self._nodes(trouble, draw)
        for node in nodes:
            self.world.kill_node(node)

        def back() -> None:
            for node in nodes:
                self.world.raise_node(node, trouble.cold)

        return [node.name for node in nodes], [back]

    def _zone_cut(self, trouble: Trouble, draw: Stream) -> Begun:
        wires, zone = self.world.wires, trouble.zone
        others = [other for other in self.world.rehearsal.fleet.zones if other != zone]
        for other in others:
            wires.cut(zone, other)

        def mend() -> None:
            for other in others:
                wires.mend(zone, other)

        return [zone], [mend]

    # Of traffic.

    def _burst(self, trouble: Trouble, draw: Stream) -> Begun:
        return self._times([], self.world.clients, "factor", trouble.size)

    def _heavy(self, trouble: Trouble, draw: Stream) -> Begun:
        """A share of the requests costs `size` times as much."""
        heavies, one = self.world.clients.heavies, (trouble.share, trouble.size)
        heavies.append(one)
        return [], [lambda: heavies.remove(one)]

    def _shift(self, trouble: Trouble, draw: Stream) -> Begun:
        """One zone's part of the traffic, `size` times as large."""
        return self._weigh(self.world.clients.zone_weights, trouble.zone, trouble.size)

    def _tenant(self, trouble: Trouble, draw: Stream) -> Begun:
        factors = self.world.clients.tenant_factors
        factors.setdefault(trouble.tenant, 1.0)
        return self._weigh(factors, trouble.tenant, trouble.size)

    def _weigh(self, weights: dict[str, float], name: str, size: float) -> Begun:
        weights[name] *= size
        self.world.clients.reweigh()

        def end() -> None:
            weights[name] /= size
            self.world.clients.reweigh()

        return [name], [end]

    # Of the list service.

    def _counted(self, what: str, change: Callable[[bool], Any]) -> Begun:
        self.counts[what] = self.counts.get(what, 0) + 1
        change(True)

        def end() -> None:
            self.counts[what] -= 1
            if not self.counts[what]:
                change(False)

        return ["list"], [end]

    def _list_slow(self, trouble: Trouble, draw: Stream) -> Begun:
        return self._times(["list"], self.world.lists, "slower", trouble.size)

    def _list_late(self, trouble: Trouble, draw: Stream) -> Begun:
        lists, late = self.world.lists, trouble.size * 1000.0
        lists.late_ms += late

        def end() -> None:
            lists.late_ms -= late

        return ["list"], [end]

    def _list_refuses(self, trouble: Trouble, draw: Stream) -> Begun:
        return self._counted("refuses", lambda on: setattr(self.world.lists, "refuses", on))

    def _list_breaks(self, trouble: Trouble, draw: Stream) -> Begun:
        return self._counted("breaks", lambda on: setattr(self.world.lists, "breaks", on))

    def _list_garbled(self, trouble: Trouble, draw: Stream) -> Begun:
        return self._counted("garbles", lambda on: setattr(self.world.lists, "garbles", on))

    def _list_silent(self, trouble: Trouble, draw: Stream) -> Begun:
        lists = self.world.lists
        return self._counted(
            "silent", lambda on: lists.go_silent() if on else setattr(lists, "silent", False)
        )

    # Of proxies.

    def _kill(self, trouble: Trouble, draw: Stream) -> Begun:
        return self._in_turn(trouble, self._proxies(trouble, draw), lambda proxy: proxy.kill())

    def _restart(self, trouble: Trouble, draw: Stream) -> Begun:
        return self._in_turn(trouble, self._proxies(trouble, draw), self.world.term_proxy)

    def _reload(self, trouble: Trouble, draw: Stream) -> Begun:
        proxies = self._proxies(trouble, draw)
        for proxy in proxies:
            proxy.reload()
        self.reloads += len(proxies)
        return [proxy.name for proxy in proxies], []
