"""The design's circular board of work booked for one backend.  Part of the decisions."""

from dataclasses import dataclass, field

SLOT_MS = 200.0  # one slot holds this much work (ours: one slot a period keeps booking cheap)
SLOTS = 64  # of a board, so its horizon is 12.8 s (paper: 10 s)


@dataclass(slots=True)
class Board:
    """DESIGN 1 and 2: the queue Q_k, circular slots and cursor TC_k of one backend.  Times in ms."""

    cursor: float
    queue: list[tuple[float, float]] = field(default_factory=list)
    slots: list[float] = field(default_factory=lambda: [0.0] * SLOTS)
    head: int = 0  # slot that holds the present, counted from time 0
    total: float = 0.0

    def update(self, now: float) -> None:
        """Clear the slots gone by, then book the queue."""
        head = int(now // SLOT_MS)
        for slot in range(self.head, min(head, self.head + SLOTS)):
            self.slots[slot % SLOTS] = 0.0
        self.head = max(head, self.head)
        for stamp, cost in self.queue:
            self.cursor = max(self.cursor, stamp)
            self._book(cost)
        self.queue.clear()
        self.total = sum(self.slots)

    def _book(self, cost: float) -> None:
        last = self.head + SLOTS - 1
        slot, left = int(self.cursor // SLOT_MS), cost
        self.cursor = min(self.cursor + cost, (last + 1) * SLOT_MS)
        if slot < self.head:  # what would have been worked off before the present is not booked
            left = max(0.0, min(cost, self.cursor - self.head * SLOT_MS))
            slot = self.head
        while left > 0.0 and slot < last:
            taken = min(left, max(0.0, SLOT_MS - self.slots[slot % SLOTS]))
            self.slots[slot % SLOTS] += taken
            left -= taken
            slot += 1
        self.slots[last % SLOTS] += left  # beyond the horizon
