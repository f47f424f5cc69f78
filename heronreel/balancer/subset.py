"""Which backends a proxy of a large fleet keeps to.  Part of the decisions.

A connection from every proxy to every backend is harmless at each proxy, and together they fill the backends'
tables, which takes of their capacity, while none is used often enough to be worth its handshake.  So each
backend is kept to by a bounded number of proxies, however many there are, and each proxy keeps to as many
backends as follow from that.

All proxies rank themselves for a backend by the same hash, so every backend has just as many of them
(rendezvous, with the roles turned round); a change of the list moves no other backend's.  What a proxy does
not keep to it still uses where a key's homes are shared by all, or when nothing else is left.
"""

from __future__ import annotations

KEPT_BY = 13  # proxies that keep to a backend (ours)
LEAST = 8  # backends of a zone that a proxy keeps to on average, so that there is a choice (ours)
MIX = (0x9E3779B97F4A7C15, 0xBF58476D1CE4E5B9)  # odd multipliers of the hash (common ones)
WORD = 2**64


def rendezvous(one: int, other: int) -> int:
    """A number for a pair that all proxies draw alike."""
    return (one ^ other * MIX[0]) * MIX[1] % WORD


def _mixed(backend: int, slot: int) -> int:
    mixed = rendezvous(backend, slot)  # mixed on, as slots are small numbers in a row
    return (mixed ^ mixed >> 29) * MIX[0] % WORD


class Subset:
    """One proxy's place among all for each backend.  Without a number of its own it keeps to all."""

    def __init__(self, slot: int | None, proxies: int) -> None:
        self.slot = slot or 0
        self.proxies = 1 if slot is None else proxies

    def rank(self, backend: int) -> int:
        """How many other proxies come before this one: 0 to proxies - 1, each value at one of them."""
        if self.proxies <= KEPT_BY:
            return 0
        own = (_mixed(backend, self.slot), self.slot)
        return sum((_mixed(backend, other), other) < own for other in range(self.proxies))

    def kept_by(self, backends: int) -> int:
        """How many proxies keep to each of so many backends of a zone."""
        return min(self.proxies, max(KEPT_BY, -(-LEAST * self.proxies // max(1, backends))))
