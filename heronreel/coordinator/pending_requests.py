"""Clients' requests that wait for the core."""

from __future__ import annotations

import asyncio

from heronreel.coordination.errors import RequestError, StatusCode
from heronreel.coordination.model import Response, ResponseOrError
from heronreel.coordination.request_batch import RequestCompleted


class PendingRequests:
    """Holds a future for each request that the core has not completed, by request id."""

    def __init__(self) -> None:
        self.futures: dict[int, asyncio.Future[ResponseOrError]] = {}

    def add(self, request_id: int) -> None:
        """Register a request before it is passed to the core; the caller must call `wait` afterwards."""
        self.futures[request_id] = asyncio.get_running_loop().create_future()

    async def wait(self, request_id: int, timeout_s: float) -> Response:
        """Wait for the response to a registered request.

        Raises:
            RequestError: The error that the core reported, or DEADLINE_EXCEEDED after `timeout_s` seconds.
        """
        try:
            async with asyncio.timeout(timeout_s):
                result = await self.futures[request_id]
        except TimeoutError:
            raise RequestError(StatusCode.DEADLINE_EXCEEDED, "etcdserver: request timed out") from None
        finally:
            self.futures.pop(request_id, None)
        if isinstance(result, RequestError):
            raise result
        return result

    def complete(self, completed: RequestCompleted) -> None:
        """Deliver a result, unless the client has stopped waiting for it."""
        future = self.futures.get(completed.request_id)
        if future is not None and not future.done():
            future.set_result(completed.response)

    def fail_all(self, error: RequestError) -> None:
        """Fail every request with `error`."""
        for future in self.futures.values():
            if not future.done():
                future.set_result(error)
