"""The simulated network of `group_world`: the sent messages and their descriptions."""

from __future__ import annotations

from typing import NamedTuple

from heronreel.coordination.group_records import CONFIRMED_VERSIONS_KEY, MEMBERSHIP_KEY
from heronreel.coordination.messages import Accept, Accepted, AnyMessage, Prepare, Promise

_GROUP_RECORDS = (MEMBERSHIP_KEY, CONFIRMED_VERSIONS_KEY)


class SentMessage(NamedTuple):
    """A message in transit; equal messages have the same number."""

    number: int
    to: str
    message: AnyMessage

    def __hash__(self) -> int:
        return self.number

    def __eq__(self, other: object) -> bool:
        return isinstance(other, SentMessage) and self.number == other.number


class MessagePool:
    """Numbers the messages of one world and its forks, so that messages are compared by number."""

    def __init__(self) -> None:
        """Create an empty pool."""
        self._known: dict[tuple[str, AnyMessage], SentMessage] = {}

    def intern(self, to: str, message: AnyMessage) -> SentMessage:
        """Return the unique object for a message to a member."""
        known = self._known.get((to, message))
        if known is None:
            known = SentMessage(len(self._known), to, message)
            self._known[to, message] = known
        return known


def describe_delivery(to: str, message: AnyMessage) -> str:
    """Return the description of the step that delivers a message."""
    return f"{to}: receives from {message.sender}: {_describe(message)}"


def _describe(message: AnyMessage) -> str:
    if isinstance(message, Prepare):
        return f"prepare {message.ballot.term}"
    if isinstance(message, Promise):
        answer = "promise" if message.granted else "refusal"
        version = message.version
        return f"{answer} of ballot {message.ballot.term}, at version {version.term}.{version.step}"
    if isinstance(message, Accept):
        keys = [key.decode() for key, _ in message.writes if key not in _GROUP_RECORDS]
        return f"round {message.ballot.term}.{message.round_number} with {', '.join(keys) or 'nothing'}"
    if isinstance(message, Accepted):
        version = message.version
        return f"at version {version.term}.{version.step}, for round {message.round_number}"
    return type(message).__name__.lower()
