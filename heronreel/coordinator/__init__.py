"""The server process of a group member: listener, transport to the other members, timers and disk."""
