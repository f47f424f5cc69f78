"""Operations on the account in a process: `Taking` with a clock and a client, and what operators see."""

from __future__ import annotations

import asyncio
import random
import secrets
from typing import Any

from heronreel.coordination.client import Client
from heronreel.coordination.clock import boot_clock
from heronreel.coordination.model import Put, RequestError, TxnResponse
from heronreel.fleet.account import READ, Account, read
from heronreel.fleet.model import RULES, Instance, Rule, rules_encoded
from heronreel.fleet.taking import Actions, Back, Fenced, Refused, Taken, Taking, Waiting, changing, told
from heronreel.leases.requests import SendRequest

Outcome = Taken | Refused | Back | Waiting | Fenced


class Operation:
    """One operation by one operator or controller, under one fencing number."""

    def __init__(self, client: Client, name: str, by: str, why: str, number: int) -> None:
        """`name` is drawn once: the same one finds its parts again after a crash."""
        self.client = client
        self.name, self.by, self.why, self.number = name, by, why, number
        self.now = boot_clock()
        self.jitter = random.Random(secrets.randbits(64)).random

    async def take(self, idents: tuple[str, ...]) -> Outcome:
        """Parts for all of these or for none; tried until the records say which."""
        taking = self._taking(idents)
        return await self._drive(taking, taking.take(self.now()))

    async def give(self, ident: str, beyond: int = 0) -> Outcome:
        """The part back, if there is evidence that the instance serves: see `Taking.give`."""
        taking = self._taking((ident,))
        return await self._drive(taking, taking.give(self.now(), ident, beyond))

    def _taking(self, idents: tuple[str, ...]) -> Taking:
        return Taking(self.name, self.by, self.why, self.number, idents, jitter=self.jitter)

    async def _drive(self, taking: Taking, actions: Actions) -> Outcome:
        while True:
            for action in actions:
                if not isinstance(action, SendRequest):
                    return action
                answer = await self.client.call_or_error(action.request, action.deadline - self.now())
                actions = taking.answered(self.now(), action.request_id, answer)
                break
            else:
                await asyncio.sleep(min(max(0.002, taking.wake() - self.now()), 1.0))
                actions = taking.tick(self.now())


async def account(client: Client) -> Account:
    """One reading of all records.  Raises RequestError, and msgspec.DecodeError."""
    answer = await client.call(READ)
    assert isinstance(answer, TxnResponse)
    return read(answer)


async def tell(client: Client, instance: Instance) -> None:
    """Tell of a look at an instance; another's write in between has it told again, unless what the records
    hold by then is a later look.
    """
    while True:
        try:
            now = await account(client)
            old = now.instances.get(instance.ident)
            if old is not None and old.looked >= instance.looked:
                return
            done = await client.call(told(now.register, instance))
            if isinstance(done, TxnResponse) and done.succeeded:
                return
        except RequestError:
            pass
        await asyncio.sleep(random.uniform(0.005, 0.05))


async def allow(client: Client, rules: tuple[Rule, ...]) -> None:
    """Put other allowances in force.  What is out by now stays out, also where it is more than they allow."""
    await client.call(changing(None, b"rules", Put(RULES, rules_encoded(rules))))


def status_of(now: Account) -> dict[str, Any]:
    """Rows for people and programs."""
    return {
        "rules": [
            {
                "rule": s.rule.name, "scope": s.rule.scope.value, "value": s.value, "out": list(s.out),
                "may_be_out": s.rule.most_out, "serving": s.serving, "least": s.least, "broken": s.broken,
            }
            for s in now.standings()
        ],
        "instances": [
            {
                "instance": ident, "zone": i.zone, "group": i.group, "pool": i.pool,
                "condition": i.condition.value, "capacity": i.capacity, "serves": i.serves,
                "looked": i.looked, "owner": i.owner, "version": i.version, "part": _part(now, ident),
            }
            for ident, i in sorted(now.instances.items())
        ],
    }  # fmt: skip


def _part(now: Account, ident: str) -> dict[str, Any] | None:
    part = now.parts.get(ident)
    if part is None:
        return None
    return {"operation": part.operation, "by": part.by, "why": part.why, "number": part.number}
