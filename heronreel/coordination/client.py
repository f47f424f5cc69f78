"""The way to a group from another process: any member, one after the other, within a time.

An answer that is a refusal to begin (503, a connection refused) is looked for at the next member.  Where a
request may have been begun, only one that may be done twice is asked again; any other is `RequestError`
with a code whose `maybe` says that nobody knows.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import AsyncIterator, Iterable
from types import TracebackType
from typing import Any, NamedTuple

import aiohttp

from heronreel.coordination import gateway
from heronreel.coordination.model import (
    Event,
    LeaseKeepAlive,
    LeaseList,
    LeaseTimeToLive,
    Range,
    Request,
    RequestError,
    Response,
    ResponseOrError,
    StatusCode,
    Txn,
)

ANSWER_MOST = 32 << 20  # bytes
PAUSE_S = 0.05
_REPEATABLE = (Range, LeaseKeepAlive, LeaseTimeToLive, LeaseList)


class WatchEvents(NamedTuple):
    """What a watch tells: events up to a revision; or, with `missed`, that some are not kept any more, and
    that all has to be read anew.
    """

    revision: int
    events: tuple[Event, ...]
    missed: bool = False


def _repeatable(request: Request) -> bool:
    """Whether it may be asked again where nobody knows what became of it: it writes nothing new."""
    return not request.writes if isinstance(request, Txn) else isinstance(request, _REPEATABLE)


class Client:
    """Asks a group.  Of one event loop; one connection a call under way, kept for the next."""

    def __init__(self, addresses: Iterable[str], *, answer_s: float = 1.0) -> None:
        """`addresses` as "127.0.0.1:9001"; `answer_s` is how long one member may take."""
        self.addresses = list(addresses)
        self.answer_s = answer_s
        self.first = 0  # the member that answered last
        timeout = aiohttp.ClientTimeout(total=None, connect=0.5)
        connector = aiohttp.TCPConnector(limit=0, limit_per_host=64)
        self.session = aiohttp.ClientSession(timeout=timeout, connector=connector)

    async def __aenter__(self) -> Client:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close()

    async def close(self) -> None:
        await self.session.close()

    async def call(self, request: Request, seconds: float = 3.0) -> Response:
        """What the group answers within `seconds`.  Raises Refused."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        refused = RequestError(StatusCode.UNAVAILABLE, "no member answers")
        tried = 0
        while (left := until - loop.time()) > 0:
            address = self.addresses[self.first % len(self.addresses)]
            try:
                return await self._ask(address, request, min(left, self.answer_s))
            except RequestError as error:
                self.first += 1
                if error.code is not StatusCode.UNAVAILABLE and not error.outcome_unknown:
                    self.first -= 1
                    raise
                if error.outcome_unknown and not _repeatable(request):
                    raise
                refused = error
            tried += 1
            if tried % len(self.addresses) == 0:
                # with a drawn part: hundreds that lost the group do not come back as one; and never longer
                # than a quarter of the time there is, so that no question sleeps through its own
                rounds = min(tried // len(self.addresses) - 1, 5)
                most = min(PAUSE_S * 2**rounds, max(PAUSE_S, seconds / 4))
                pause = most * random.uniform(0.5, 1.5)
                await asyncio.sleep(min(pause, max(0.0, until - loop.time())))
        raise refused

    async def call_or_error(self, request: Request, seconds: float) -> ResponseOrError:
        """As `ask`, for a core that is told of a refusal as of any other answer."""
        try:
            return await self.call(request, max(0.01, seconds))
        except RequestError as refused:
            return refused
        except (ValueError, TypeError) as error:
            return RequestError(StatusCode.UNKNOWN, repr(error))

    async def _ask(self, address: str, request: Request, seconds: float) -> Response:
        url = f"http://{address}{gateway.path_of(request)}"
        try:
            async with (
                asyncio.timeout(seconds),
                self.session.post(url, json=gateway.body_of(request)) as response,
            ):
                data = await response.read()
                status = response.status
        except aiohttp.ClientConnectorError as error:
            raise RequestError(StatusCode.UNAVAILABLE, f"{address}: {error.strerror or error}") from None
        except TimeoutError:
            raise RequestError(
                StatusCode.DEADLINE_EXCEEDED, f"{address}: no answer within {seconds:.2f} s"
            ) from None
        except (aiohttp.ClientError, OSError) as error:
            raise RequestError(StatusCode.UNKNOWN, f"{address}: {error}") from None
        try:
            raw = json.loads(data)
            if status != 200:
                raise gateway.refused_of(status, raw)
            return gateway.result_of(request, raw)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            if status != 200:
                raise gateway.refused_of(status, None) from None
            raise RequestError(StatusCode.UNKNOWN, f"{address}: an answer that is none: {error!r}") from None

    async def health(self, address: str) -> dict[str, Any]:
        """What a member says of itself; nothing where it does not answer."""
        try:
            async with asyncio.timeout(self.answer_s):
                async with self.session.get(f"http://{address}/health") as response:
                    told = await response.json()
                    return told if isinstance(told, dict) else {}
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return {}

    async def watch(self, key: bytes, end: bytes = b"", start: int = 0) -> AsyncIterator[WatchEvents]:
        """Changes of a range from the revision `start`, or from now on, for as long as it is iterated over.

        A member that ends is followed by the next, from the revision reached.  Raises Refused with
        UNAVAILABLE where no member answers for `answer_s`, three times in a row.
        """
        body = {"create_request": {"key": gateway.base64_of(key), "range_end": gateway.base64_of(end)}}
        failures = 0
        while True:
            body["create_request"]["start_revision"] = str(start)
            address = self.addresses[self.first % len(self.addresses)]
            url = f"http://{address}{gateway.WATCH}"
            try:
                async with self.session.post(url, json=body) as response:
                    if response.status == 200:
                        async for line in response.content:
                            failures = 0
                            raw = json.loads(line)["result"]
                            if raw.get("canceled"):
                                start = int(raw["header"]["revision"]) + 1
                                yield WatchEvents(start - 1, (), missed=True)
                                break
                            revision, events = gateway.events_told(raw)
                            # the next member goes on behind what was told here: past events of a watch that
                            # began earlier come after its first line
                            if events or not start:
                                start = revision + 1
                            if events or raw.get("created"):
                                yield WatchEvents(revision, events)
            except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError):
                pass
            failures += 1
            if failures > 3 * len(self.addresses):
                raise RequestError(StatusCode.UNAVAILABLE, "no member answers")
            self.first += 1
            await asyncio.sleep(PAUSE_S * failures)
