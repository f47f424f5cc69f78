"""Sends messages from this member to the others over HTTP."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterable

import aiohttp
import msgspec

from heronreel.coordination.crash_points import CrashPoints
from heronreel.coordination.messages import Accept, AnyMessage
from heronreel.coordination.settings import MemberAddress

MESSAGES_PATH = "/member"
MAX_QUEUED_MESSAGES = 256  # Limits the messages that are queued for one member.
MAX_QUEUED_BYTES = 16 << 20  # Limits the size of the writes in the messages queued for one member.
REQUEST_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
# The delay after a failed request, so that an unreachable member does not cause a busy loop.
RETRY_DELAY_S = 0.02

_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(list[AnyMessage])


def encode_messages(messages: list[AnyMessage]) -> bytes:
    """Encode messages as the body of a request between members."""
    return _encode(messages)


def decode_messages(data: bytes) -> list[AnyMessage]:
    """Decode the messages in the body of a request.

    Raises:
        msgspec.MsgspecError: The body is malformed.
    """
    return _decoder.decode(data)


class PeerConnection:
    """The queue of messages for one other member, and the task that sends them.

    All queued messages are sent together in one request.  Messages that can't be sent are dropped, since the
    core retransmits every message that it needs a response to.
    """

    def __init__(
        self, address: MemberAddress, session: aiohttp.ClientSession, crash_points: CrashPoints
    ) -> None:
        """Start the task that sends to `address`; `crash_points` records the points around each request."""
        self.base_url = f"http://{address.address}"
        self.session = session
        self.crash_points = crash_points
        self.queue: deque[AnyMessage] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self.queued_bytes = 0
        self.message_queued = asyncio.Event()
        self.task = asyncio.create_task(self._run())

    def send(self, message: AnyMessage) -> None:
        """Queue a message."""
        if isinstance(message, Accept):
            if self.queue and self.queue[-1] == message:
                return  # The message is a retransmission of one that is still queued.
            self.queued_bytes += sum(len(value or b"") for _, value in message.writes)
        if self.queued_bytes > MAX_QUEUED_BYTES:
            # A member that is this far behind gets a snapshot once it responds.
            self.queue.clear()
            self.queued_bytes = 0
        self.queue.append(message)
        self.message_queued.set()

    def cancel(self) -> None:
        """Stop sending."""
        self.task.cancel()

    async def _run(self) -> None:
        while True:
            await self.message_queued.wait()
            self.message_queued.clear()
            messages = list(self.queue)
            self.queue.clear()
            self.queued_bytes = 0
            self.crash_points.reach("send")
            await self._post(messages)
            self.crash_points.reach("sent")

    async def _post(self, messages: list[AnyMessage]) -> None:
        try:
            url = self.base_url + MESSAGES_PATH
            async with self.session.post(url, data=encode_messages(messages)) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            await asyncio.sleep(RETRY_DELAY_S)


class Transport:
    """The connections to all other members.

    Attributes:
        forwarding_session: Forwards clients' requests to the leader.  It has no total timeout, because a
            watch has no time limit.
    """

    def __init__(self, own_name: str, crash_points: CrashPoints) -> None:
        """Open the HTTP sessions; an event loop must be running."""
        self.own_name = own_name
        self.crash_points = crash_points
        self.addresses: dict[str, MemberAddress] = {}  # the other members, by name
        self.peers: dict[str, PeerConnection] = {}
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
            headers={"Content-Type": "application/msgpack"},
        )
        self.forwarding_session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=None, connect=CONNECT_TIMEOUT_S)
        )

    def update(self, members: Iterable[MemberAddress]) -> None:
        """Connect to these members, and close connections to members that were removed or changed address."""
        addresses = {member.name: member for member in members if member.name != self.own_name}
        for name in list(self.peers):
            if addresses.get(name) != self.addresses[name]:
                self.peers.pop(name).cancel()
        for name, address in addresses.items():
            if name not in self.peers:
                self.peers[name] = PeerConnection(address, self.session, self.crash_points)
        self.addresses = addresses

    def send(self, name: str, message: AnyMessage) -> None:
        """Queue a message for a member; it is dropped if the configuration has no address for `name`."""
        if name in self.peers:
            self.peers[name].send(message)

    def cancel(self) -> None:
        """Stop sending."""
        for peer in self.peers.values():
            peer.cancel()

    async def close(self) -> None:
        """Close the sessions."""
        await self.session.close()
        await self.forwarding_session.close()
