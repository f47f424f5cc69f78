"""The limits of a group suffice for 1,024 processes (docs/fleet-design.md)."""

from __future__ import annotations

import msgspec

from heronreel.coordination.keyspace import EMPTY_CONTENT, Keyspace
from heronreel.coordination.model import MAX_STATE_BYTES, LeaseGrant, Put, Range, RangeResponse
from heronreel.coordination.watches import WatchHub
from heronreel.leases.fencing import FencingGuard
from heronreel.leases.keys import PRESENCE_PREFIX, presence_key

PROCESSES = 1024
WATCHES_PER_PROCESS = 4
KEYS_PER_PROCESS = 8
VALUE_BYTES = 500  # An instance's record has about 200 bytes.


def test_1024_processes_can_each_hold_a_lease_with_keys() -> None:
    state = Keyspace.from_content(EMPTY_CONTENT)
    for number in range(1, PROCESSES + 1):
        state = state.apply(LeaseGrant(6, number)).state
        state = state.apply(Put(presence_key(f"process-{number}"), b"", number)).state
        for index in range(KEYS_PER_PROCESS - 1):
            state = state.apply(Put(b"key/%d/%d" % (number, index), bytes(VALUE_BYTES), number)).state
    assert len(state.leases) == PROCESSES and state.header.size < MAX_STATE_BYTES
    present = state.apply(Range(PRESENCE_PREFIX, PRESENCE_PREFIX + b"\xff", keys_only=True)).response
    assert isinstance(present, RangeResponse) and len(present.records) == PROCESSES
    assert len(msgspec.msgpack.encode(present)) < MAX_STATE_BYTES


def test_1024_processes_can_watch_at_one_member() -> None:
    hub = WatchHub()
    for number in range(PROCESSES * WATCHES_PER_PROCESS):
        assert not hub.add(number, b"key", b"", 0, 1).ended


def test_a_resource_tracks_the_fencing_tokens_of_1024_tasks() -> None:
    guard = FencingGuard()
    assert all(guard.admit(b"task-%d" % number, 1).admitted for number in range(PROCESSES))
