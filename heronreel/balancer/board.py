"""The board of one backend: a circular timetable of the work that is booked for it.

The board has `SLOT_COUNT` slots, and each slot holds the work that the backend can do in `SLOT_MS`.  A booked
cost is the estimated processing time in ms that an attempt adds to the board.
"""

from dataclasses import dataclass, field

# The work that one slot holds, ms.  It equals the update period, so booking stays cheap.
SLOT_MS = 200.0
# 64 slots give a horizon of 12.8 s; the published algorithm uses 10 s.
SLOT_COUNT = 64


@dataclass(slots=True)
class Board:
    """The queue Q_k, the circular slots and the cursor TC_k of one backend (DESIGN 1 and 2).

    All times are in ms.
    """

    cursor: float
    queue: list[tuple[float, float]] = field(default_factory=list)  # (time of the attempt, booked cost)
    slots: list[float] = field(default_factory=lambda: [0.0] * SLOT_COUNT)
    head: int = 0  # The index of the slot that contains the present, counted from time 0.
    total: float = 0.0

    def update(self, now: float) -> None:
        """Clear the slots that lie in the past, then book the queued costs."""
        head = int(now // SLOT_MS)
        for slot in range(self.head, min(head, self.head + SLOT_COUNT)):
            self.slots[slot % SLOT_COUNT] = 0.0
        self.head = max(head, self.head)
        for sent_at, cost in self.queue:
            self.cursor = max(self.cursor, sent_at)
            self._book(cost)
        self.queue.clear()
        self.total = sum(self.slots)

    def _book(self, cost: float) -> None:
        last = self.head + SLOT_COUNT - 1
        slot, remaining = int(self.cursor // SLOT_MS), cost
        self.cursor = min(self.cursor + cost, (last + 1) * SLOT_MS)
        if slot < self.head:  # Work that the backend has finished before the present is not booked.
            remaining = max(0.0, min(cost, self.cursor - self.head * SLOT_MS))
            slot = self.head
        while remaining > 0.0 and slot < last:
            booked = min(remaining, max(0.0, SLOT_MS - self.slots[slot % SLOT_COUNT]))
            self.slots[slot % SLOT_COUNT] += booked
            remaining -= booked
            slot += 1
        self.slots[last % SLOT_COUNT] += remaining  # The last slot takes all work beyond the horizon.
