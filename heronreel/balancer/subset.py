"""Which backends are in the subset of one proxy of a large fleet.  Part of the decisions.

Each backend is in the subsets of a bounded number of proxies, as connections from all would fill its table.
All proxies rank for it by the same hash, so a change of the list moves no other backend's.
"""

PROXIES_PER_BACKEND = 13  # that have it in their subset (ours)
MIN_SUBSET = 8  # backends of a zone in a proxy's subset on average, so that there is a choice (ours)
HASH_MULTIPLIERS = (0x9E3779B97F4A7C15, 0xBF58476D1CE4E5B9)  # odd (common ones)
HASH_RANGE = 2**64


def rendezvous_hash(one: int, other: int) -> int:
    """A number for a pair that all proxies draw alike."""
    return (one ^ other * HASH_MULTIPLIERS[0]) * HASH_MULTIPLIERS[1] % HASH_RANGE


def proxy_hash(backend: int, index: int) -> int:
    """The hash by which a proxy ranks for a backend, mixed on as indexes are small numbers in a row."""
    mixed = rendezvous_hash(backend, index)
    return (mixed ^ mixed >> 29) * HASH_MULTIPLIERS[0] % HASH_RANGE


class Subset:
    """One proxy's rank among all for each backend.  Without an index of its own it has all in its subset."""

    def __init__(self, index: int | None, proxies: int) -> None:
        self.index = index or 0
        self.proxies = 1 if index is None else proxies

    def rank(self, backend: int) -> int:
        """How many other proxies come before this one: 0 to proxies - 1, each value at one of them."""
        if self.proxies <= PROXIES_PER_BACKEND:
            return 0
        own = (proxy_hash(backend, self.index), self.index)
        return sum((proxy_hash(backend, other), other) < own for other in range(self.proxies))

    def proxies_per_backend(self, backends: int) -> int:
        """How many proxies have each of so many backends of a zone in their subset."""
        return min(self.proxies, max(PROXIES_PER_BACKEND, -(-MIN_SUBSET * self.proxies // max(1, backends))))
