"""The network of a group under test: a relay for each direction between two members, and one for clients."""

from __future__ import annotations

from random import Random

from heronreel.fault_injection.relay import Relay

LOOPBACK = "127.0.0.1"
UNREACHABLE = (LOOPBACK, 9)  # the target of a relay before its member has started


class RelayNetwork:
    """Relays in front of members, which reach one another only through the relays.

    Attributes:
        client_relays: The relays that clients connect to, by member.
        peer_relays: The relay through which the first member of a pair reaches the second, by pair.
    """

    def __init__(self, seed: int) -> None:
        """Create a network without members; `seed` determines the random faults."""
        self.random = Random(f"relays {seed}")
        self.client_relays: dict[str, Relay] = {}
        self.peer_relays: dict[tuple[str, str], Relay] = {}

    async def add_member(self, name: str) -> None:
        """Open the relays in front of a new member, and those between it and the existing members."""
        self.client_relays[name] = await Relay(UNREACHABLE, self.random).start()
        for other in self.client_relays:
            if other != name:
                for pair in ((name, other), (other, name)):
                    self.peer_relays[pair] = await Relay(UNREACHABLE, self.random).start()
        for (_, destination), relay in self.peer_relays.items():
            relay.target = self.client_relays[destination].target

    def set_port(self, name: str, port: int) -> None:
        """Set the port that a member listens on as the target of its relays."""
        for relay in (self.client_relays[name], *self._relays_to(name)):
            relay.target = (LOOPBACK, port)

    def _relays_to(self, name: str) -> list[Relay]:
        return [relay for (_, destination), relay in self.peer_relays.items() if destination == name]

    def relays_of(self, name: str) -> list[Relay]:
        """Return all relays between a member and the others."""
        return [relay for pair, relay in self.peer_relays.items() if name in pair]

    def partition(self, name: str) -> None:
        """Separate a member from all others, in both directions."""
        for relay in self.relays_of(name):
            relay.requests.partitioned = relay.responses.partitioned = True

    def heal(self, name: str) -> None:
        """End all faults between a member and the others.

        After a partition the connections stay open, and the dropped bytes stay lost.
        """
        for relay in self.relays_of(name):
            relay.requests.partitioned = relay.responses.partitioned = False
            relay.heal()

    async def stop(self) -> None:
        """Close all relays."""
        for relay in (*self.peer_relays.values(), *self.client_relays.values()):
            await relay.stop()
