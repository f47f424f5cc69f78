"""A client of a group, which sends a request to the members in turn until one responds in time.

If a response shows that the request was not started (status 503, or a refused connection), the request is
sent to the next member.  If the request may have been started, it is only sent again if it is idempotent;
otherwise it fails with a `RequestError` whose `outcome_unknown` is set.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import AsyncIterator, Iterable
from types import TracebackType
from typing import Any, NamedTuple

import aiohttp

from heronreel.coordination import gateway, gateway_client
from heronreel.coordination.errors import MalformedResponseError, RequestError, StatusCode
from heronreel.coordination.model import (
    Event,
    LeaseKeepAlive,
    LeaseList,
    LeaseTimeToLive,
    Range,
    Request,
    Response,
    ResponseOrError,
    Txn,
)

CONNECT_TIMEOUT_S = 0.5
MAX_CONNECTIONS_PER_MEMBER = 64
BACKOFF_S = 0.05  # The pause before the second round of attempts; it doubles with each further round.
MAX_BACKOFF_DOUBLINGS = 5
MIN_REQUEST_S = 0.01
WATCH_ATTEMPT_ROUNDS = 3  # A watch fails after this many unsuccessful rounds over all members.

_IDEMPOTENT_REQUESTS = (Range, LeaseKeepAlive, LeaseTimeToLive, LeaseList)
_TRANSPORT_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


class WatchEvents(NamedTuple):
    """A notification of a watch: the events up to a revision.

    If `missed` is set, the group no longer keeps some of the events, and the range has to be read again.
    """

    revision: int
    events: tuple[Event, ...]
    missed: bool = False


def _is_idempotent(request: Request) -> bool:
    """Return whether a request may be sent again when its outcome is unknown."""
    return not request.writes if isinstance(request, Txn) else isinstance(request, _IDEMPOTENT_REQUESTS)


class Client:
    """A client for use in one event loop.  Connections are kept alive and reused."""

    def __init__(self, addresses: Iterable[str], *, response_timeout_s: float = 1.0) -> None:
        """Open an HTTP session.

        Args:
            addresses: the addresses of the members, for example "127.0.0.1:9001".
            response_timeout_s: the seconds that one member may take to respond.
        """
        self.addresses = list(addresses)
        self.response_timeout_s = response_timeout_s
        self._current = 0  # the index of the member to use, modulo the number of members
        timeout = aiohttp.ClientTimeout(total=None, connect=CONNECT_TIMEOUT_S)
        connector = aiohttp.TCPConnector(limit=0, limit_per_host=MAX_CONNECTIONS_PER_MEMBER)
        self._session = aiohttp.ClientSession(timeout=timeout, connector=connector)

    async def __aenter__(self) -> Client:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    @property
    def _address(self) -> str:
        return self.addresses[self._current % len(self.addresses)]

    # -- requests

    async def call(self, request: Request, seconds: float = 3.0) -> Response:
        """Send a request, and retry it on other members as long as that is safe.

        Args:
            request: the request to send.
            seconds: the time limit of all attempts together.

        Raises:
            RequestError: the request failed, or its outcome is unknown.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        last_error = RequestError(StatusCode.UNAVAILABLE, "no member responds")
        attempts = 0
        while (remaining_s := deadline - loop.time()) > 0:
            try:
                return await self._attempt(self._address, request, min(remaining_s, self.response_timeout_s))
            except RequestError as error:
                if not _may_retry(request, error):
                    if error.outcome_unknown:
                        self._current += 1
                    raise
                self._current += 1
                last_error = error
            attempts += 1
            if attempts % len(self.addresses) == 0:
                pause = self._backoff(attempts, seconds)
                await asyncio.sleep(min(pause, max(0.0, deadline - loop.time())))
        raise last_error

    async def call_or_error(self, request: Request, seconds: float) -> ResponseOrError:
        """Like `call`, but return an error, for callers that handle it like any other response."""
        try:
            return await self.call(request, max(MIN_REQUEST_S, seconds))
        except RequestError as error:
            return error
        except (ValueError, TypeError) as error:
            return RequestError(StatusCode.UNKNOWN, repr(error))

    def _backoff(self, attempts: int, seconds: float) -> float:
        """Return the pause in seconds after all members were tried.

        The pause is randomised, so that hundreds of clients that lost the group do not return at the same
        time.  Before that it is limited to a quarter of the request's time limit, but not below `BACKOFF_S`,
        so that a request does not spend its time waiting.
        """
        doublings = min(attempts // len(self.addresses) - 1, MAX_BACKOFF_DOUBLINGS)
        longest: float = min(BACKOFF_S * 2**doublings, max(BACKOFF_S, seconds / 4))
        return longest * random.uniform(0.5, 1.5)

    async def _attempt(self, address: str, request: Request, seconds: float) -> Response:
        """Send a request to one member."""
        url = f"http://{address}{gateway.request_path(request)}"
        body = gateway_client.encode_request(request)
        try:
            async with asyncio.timeout(seconds), self._session.post(url, json=body) as response:
                data = await response.read()
                status = response.status
        except aiohttp.ClientConnectorError as error:
            raise RequestError(StatusCode.UNAVAILABLE, f"{address}: {error.strerror or error}") from None
        except TimeoutError:
            message = f"{address}: no response within {seconds:.2f} s"
            raise RequestError(StatusCode.DEADLINE_EXCEEDED, message) from None
        except (aiohttp.ClientError, OSError) as error:
            raise RequestError(StatusCode.UNKNOWN, f"{address}: {error}") from None
        return _read_response(address, request, status, data)

    async def health(self, address: str) -> dict[str, Any]:
        """Return a member's report of its state; it is empty if the member does not respond."""
        try:
            async with asyncio.timeout(self.response_timeout_s):
                async with self._session.get(f"http://{address}/health") as response:
                    report = await response.json()
                    return report if isinstance(report, dict) else {}
        except (*_TRANSPORT_ERRORS, ValueError):
            return {}

    # -- watches

    async def watch(
        self, key: bytes, end: bytes = b"", start_revision: int = 0
    ) -> AsyncIterator[WatchEvents]:
        """Iterate over the changes of a range.

        When the connection to a member ends, the watch continues at the next member after the last revision
        that was reported.

        Args:
            key: the range's first key.
            end: the range's end, as in `model.Range`.
            start_revision: the first revision; 0: the next revision.

        Raises:
            RequestError: with UNAVAILABLE, no member has responded in several rounds of attempts.
        """
        failures = 0
        while True:
            try:
                async with self._session.post(
                    f"http://{self._address}{gateway.WATCH_PATH}", json=_watch_body(key, end, start_revision)
                ) as response:
                    async for body in _watch_lines(response):
                        failures = 0
                        if body.get("canceled"):
                            start_revision = int(body["header"]["revision"]) + 1
                            yield WatchEvents(start_revision - 1, (), missed=True)
                            break
                        batch = gateway_client.decode_events(body)
                        # If this member ends, the next one continues after the last reported revision.  The
                        # first line of a watch has no events; past events follow it if a start revision was
                        # given, so it must not advance that revision.
                        if batch.events or not start_revision:
                            start_revision = batch.revision + 1
                        if batch.events or body.get("created"):
                            yield WatchEvents(batch.revision, batch.events)
            except (*_TRANSPORT_ERRORS, ValueError, KeyError):
                pass
            failures += 1
            if failures > WATCH_ATTEMPT_ROUNDS * len(self.addresses):
                raise RequestError(StatusCode.UNAVAILABLE, "no member responds")
            self._current += 1
            await asyncio.sleep(BACKOFF_S * failures)


def _may_retry(request: Request, error: RequestError) -> bool:
    if error.outcome_unknown:
        return _is_idempotent(request)
    return error.code is StatusCode.UNAVAILABLE


def _read_response(address: str, request: Request, status: int, data: bytes) -> Response:
    try:
        body = json.loads(data)
    except ValueError as error:
        if status != 200:
            raise gateway_client.decode_error(status, None) from None
        raise _malformed(address, repr(error)) from None
    if status != 200:
        raise gateway_client.decode_error(status, body)
    try:
        return gateway_client.decode_response(request, body)
    except MalformedResponseError as error:
        raise _malformed(address, str(error)) from None


def _malformed(address: str, reason: str) -> RequestError:
    return RequestError(StatusCode.UNKNOWN, f"{address}: malformed response: {reason}")


def _watch_body(key: bytes, end: bytes, start_revision: int) -> gateway.Json:
    create_request = {
        "key": gateway.encode_base64(key),
        "range_end": gateway.encode_base64(end),
        "start_revision": str(start_revision),
    }
    return {"create_request": create_request}


async def _watch_lines(response: aiohttp.ClientResponse) -> AsyncIterator[gateway.Json]:
    """Iterate over the lines of a watch's response; there are none if the watch was rejected."""
    if response.status != 200:
        return
    async for line in response.content:
        yield json.loads(line)["result"]
