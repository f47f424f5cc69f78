"""Subsetting: selects the backends to which one proxy of a large fleet connects.

Each backend is in the subsets of a bounded number of proxies, because connections from all proxies would fill
its connection table.  All proxies rank themselves for a backend by the same hash, so a change of the list
affects only the subsets of the changed backends.
"""

# The number of proxies that have a backend in their subset.
PROXIES_PER_BACKEND = 13
# The average number of backends of a zone in a proxy's subset; fewer would leave too little choice.
MIN_SUBSET = 8
# Odd multipliers that are commonly used to mix the bits of a hash.
HASH_MULTIPLIERS = (0x9E3779B97F4A7C15, 0xBF58476D1CE4E5B9)
HASH_RANGE = 2**64


def rendezvous_hash(first: int, second: int) -> int:
    """Return the hash of a pair of numbers; it is the same in all proxies."""
    return (first ^ second * HASH_MULTIPLIERS[0]) * HASH_MULTIPLIERS[1] % HASH_RANGE


def proxy_hash(backend: int, index: int) -> int:
    """Return the hash by which a proxy ranks for a backend.

    The bits are mixed once more because proxy indexes are small consecutive numbers.
    """
    mixed = rendezvous_hash(backend, index)
    return (mixed ^ mixed >> 29) * HASH_MULTIPLIERS[0] % HASH_RANGE


class Subset:
    """The ranks of one proxy among all proxies.  A proxy without an index has all backends in its subset."""

    def __init__(self, index: int | None, proxies: int) -> None:
        self.index = index or 0
        self.proxies = 1 if index is None else proxies

    def rank(self, backend: int) -> int:
        """Return how many proxies rank before this one, 0 to proxies - 1; each rank has exactly one proxy."""
        if self.proxies <= PROXIES_PER_BACKEND:
            return 0
        own = (proxy_hash(backend, self.index), self.index)
        return sum((proxy_hash(backend, other), other) < own for other in range(self.proxies))

    def proxies_per_backend(self, backends: int) -> int:
        """Return how many proxies have each backend in their subset, if its zone has so many backends."""
        return min(self.proxies, max(PROXIES_PER_BACKEND, -(-MIN_SUBSET * self.proxies // max(1, backends))))
