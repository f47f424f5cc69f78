"""One step of the fleet-wide task that aggregates usage and closes periods."""

from __future__ import annotations

import asyncio

from heronreel.coordination.client import Client
from heronreel.coordination.crash_points import CrashPoints
from heronreel.coordination.errors import RequestError
from heronreel.coordination.model import Range, RangeResponse, prefix_end
from heronreel.leases.keys import PRESENCE_PREFIX, present_names
from heronreel.metering.errors import PeriodTaskLostError
from heronreel.metering.period_closing import ClosingOutcome, PeriodClosing

RESPONSE_TIMEOUT_S = 2.0
RETRY_BACKOFF_S = 0.05


async def close_period(
    client: Client, period: int, fencing_token: int, closed_by: str, crash_points: CrashPoints
) -> None:
    """Aggregate all uploaded pages, and close a period as the holder of the task.

    Raises:
        PeriodTaskLostError: another process has become the holder of the task.
        RequestError: the coordination service did not respond to the request for the processes present.
    """
    presence = await client.call(Range(PRESENCE_PREFIX, prefix_end(PRESENCE_PREFIX), keys_only=True))
    assert isinstance(presence, RangeResponse)
    closing = PeriodClosing(period, fencing_token, closed_by, present_names(presence))
    while (request := closing.next_request()) is not None:
        crash_points.reach("close")
        try:
            closing.on_response(await client.call(request, RESPONSE_TIMEOUT_S))
        except RequestError as error:
            closing.on_response(error)
            await asyncio.sleep(RETRY_BACKOFF_S)
        crash_points.reach("closed")
    if closing.outcome is ClosingOutcome.TASK_LOST:
        raise PeriodTaskLostError
