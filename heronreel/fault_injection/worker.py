"""A process that wants a task, and does it step by step at a guarded place for as long as it holds it.

`python -m heronreel.fault_injection.worker NAME HISTORY PLACE TTL ADDRESS...`.  Lines on standard output
tell of what it holds; SIGTERM has it give back and end.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path
from typing import Any

import aiohttp

from heronreel.fault_injection.histories import History
from heronreel.leases.claim import Claim, ClaimAcquired, ClaimLost
from heronreel.leases.lease import LeaseTerms
from heronreel.leases.session import LeaseSession

TASK = "ledger"


class Worker:
    def __init__(self, name: str, history: History, place: str) -> None:
        self.name = name
        self.history = history
        self.place = place
        self.stop = asyncio.Event()

    async def call(self, path: str, row: dict[str, Any]) -> dict[str, Any] | None:
        """The place's answer, or None where nobody knows."""
        try:
            async with self.session.post(f"http://{self.place}{path}", json=row) as response:
                if response.status == 200:
                    answer: dict[str, Any] = await response.json()
                    return answer
                return None
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def act(self, holding: LeaseSession, claim: Claim) -> None:
        """Steps, one after the other, while the number is good."""
        number = await holding.wait_acquired(claim)
        entered = await self.call("/enter", {"task": TASK, "number": number, "by": self.name})
        if entered is None or not entered["admitted"]:
            return
        step = entered["steps"]
        while not self.stop.is_set() and claim.fencing_token(holding.now()) == number:
            mark = self.history.begin("act", [number, step + 1])
            row = {"task": TASK, "number": number, "step": step + 1, "by": self.name}
            answer = await self.call("/write", row)
            self.history.end(mark, answer and answer["admitted"])
            if answer is None:
                return  # nobody knows: looked at anew from the place
            if not answer["admitted"]:
                print("refused", number, answer["greatest"], flush=True)
                holding.refresh()
                return
            step += 1
            await asyncio.sleep(0.01)

    async def run(self, addresses: list[str], ttl: int) -> None:
        def told(what: ClaimAcquired | ClaimLost) -> None:
            word = "held" if isinstance(what, ClaimAcquired) else "lost"
            print(word, what.fencing_token, flush=True)

        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, self.stop.set)
        terms = LeaseTerms(ttl_s=ttl, safety_margin_s=0.15 * ttl, response_timeout_s=0.15 * ttl)
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=terms.safety_margin_s))
        async with self.session, LeaseSession(addresses, self.name, terms, on_claim_change=told) as holding:
            claim = holding.claim(TASK)
            stopping = asyncio.ensure_future(self.stop.wait())
            while not self.stop.is_set():
                acting = asyncio.ensure_future(self.act(holding, claim))
                await asyncio.wait((acting, stopping), return_when=asyncio.FIRST_COMPLETED)
                if not acting.done():
                    acting.cancel()
                await asyncio.sleep(0.01)


async def main(name: str, history: str, place: str, ttl: str, *addresses: str) -> None:
    print("started", name, flush=True)
    await Worker(name, History(Path(history), name), place).run(list(addresses), int(ttl))


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
