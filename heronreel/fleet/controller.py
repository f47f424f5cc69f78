"""An operation on many instances, at a process of its own: one at a time over the whole fleet.

The controller acts under a claim of the group's, and its number goes with every part, order and confirmed
outcome.  What it set out to do and what came of it stands in the group's records, so that whoever follows
goes on where the last confirmed outcome ended; a controller that slept is refused everywhere.
"""

from __future__ import annotations

import asyncio
import fnmatch
import json
import random
import secrets
from collections.abc import Callable, Iterable
from typing import Any

import aiohttp
import msgspec

from heronreel.coordination.client import Client
from heronreel.coordination.clock import CrashPoints
from heronreel.coordination.model import (
    Compare,
    CompareOperator,
    CompareTarget,
    Put,
    Range,
    RangeResponse,
    RequestError,
    Txn,
    TxnResponse,
)
from heronreel.fleet.account import Account
from heronreel.fleet.model import WORK, Halt, Instance, Kind, Verb, Work, encoded
from heronreel.fleet.operation import Operation, account
from heronreel.fleet.step import Action, Adopt, End, Give, Limits, Said, Step, Take, Tell
from heronreel.fleet.taking import Back, Fenced, Refused, Taken, Waiting, changing, halting, take_over
from heronreel.leases.claim import Claim
from heronreel.leases.keys import CLAIM_PREFIX, PRESENCE_PREFIX
from heronreel.leases.session import LeaseSession

TASK = "fleet"  # whoever holds it is the controller
LOOK_S = 0.2  # between two readings of the account
ANSWER_S = 2.0  # that an owner may take for one order
GOOD = ("running ", "drained", "stopped")


class Busy(Exception):
    """Another operation goes on: who, and what."""


class Lost(Exception):
    """The claim is no longer held: nothing more is done here."""


async def halt(client: Client, by: str, why: str) -> None:
    """No part is taken by anybody from now on, until `resume`.  Raises RequestError."""
    await client.call(halting(Halt(by, why)))


async def resume(client: Client) -> None:
    await client.call(halting(None))


async def work_of(client: Client) -> Work | None:
    """What goes on, or went on last."""
    found = await client.call(Range(WORK))
    assert isinstance(found, RangeResponse)
    return msgspec.json.decode(found.records[0][1].value, type=Work) if found.records else None


def selected(now: Account, words: Iterable[str]) -> tuple[str, ...]:
    """Proxies by name (`p*`), `zone=`, `group=`, `state=` or `version=`; every word has to hold.

    Those of one zone are not begun one after the other, so that a halt finds no zone half done more than the
    others.  Raises ValueError for a word that says nothing here.
    """
    found = [each for each in now.instances.values() if each.kind is Kind.PROXY]
    for word in words:
        field, equals, value = word.partition("=")
        if not equals:
            found = [each for each in found if fnmatch.fnmatchcase(each.name, word)]
        elif field in ("zone", "group", "version"):
            found = [each for each in found if getattr(each, field) == value]
        elif field == "state":
            found = [each for each in found if each.condition.value == value]
        else:
            raise ValueError(f"{word!r}: expected a name, or zone=, group=, state= or version=")
    turns: dict[str, int] = {}
    order: list[tuple[int, str]] = []
    for each in sorted(found, key=lambda each: each.name):
        turns[each.zone] = turns.get(each.zone, 0) + 1
        order.append((turns[each.zone], each.ident))
    return tuple(ident for _, ident in sorted(order))


class Controller:
    """Takes one piece of work to its end, or until it is halted."""

    def __init__(
        self,
        addresses: Iterable[str],
        by: str,
        limits: Limits | None = None,
        said: Callable[[str, str], None] = lambda ident, words: None,
    ) -> None:
        """`said` hears of each change: an instance and words for people."""
        self.holding = LeaseSession(addresses, f"{by} ({secrets.token_hex(3)})")
        self.by, self.limits, self.said = by, limits, said
        self.points = CrashPoints()
        self.claim: Claim
        self.work: Work
        self.account: Account
        self.writing = asyncio.Lock()
        self.stops = False  # nothing more is begun

    async def run(self, verb: Verb, words: Iterable[str], version: str, at_once: int, wait_s: float) -> Work:
        """Begin.  Raises Busy, ValueError for what can't be begun, Lost, and RequestError."""
        async with self.holding:
            await self._hold(wait_s)
            before = await work_of(self.client)
            if before is not None and not before.ended:
                raise Busy(f"{_told(before)} goes on or is halted: go on with it, or give it up")
            self.account = await account(self.client)
            if self.account.halted and not verb.brings_back:
                raise ValueError(f"halted by {self.account.halted.by}: {self.account.halted.why}")
            idents = selected(self.account, words)
            if not idents:
                raise ValueError("no instance is meant")
            work = Work(secrets.token_hex(4), verb, self.by, idents, version, at_once)
            await self._write(work)
            return await self._run()

    async def go_on(self, wait_s: float) -> Work:
        """Take up what another began.  Raises as `run`."""
        async with self.holding:
            before = await self._found(wait_s)
            self.account = await account(self.client)
            await self._write(before)  # fenced: whoever had it writes no more
            return await self._run()

    async def give_up(self, wait_s: float) -> Work:
        """What goes on is not gone on with; what it took out stays out until it is started or undrained.
        Raises as `run`.
        """
        async with self.holding:
            before = await self._found(wait_s)
            await self._write(msgspec.structs.replace(before, ended="given up"))
            return self.work

    async def _found(self, wait_s: float) -> Work:
        """What another began and did not end, once the fleet is ours."""
        await self._hold(wait_s)
        work = await work_of(self.client)
        if work is None or work.ended:
            raise ValueError("nothing goes on")
        return work

    @property
    def client(self) -> Client:
        return self.holding.client

    async def _hold(self, wait_s: float) -> None:
        self.claim = self.holding.claim(TASK)
        try:
            async with asyncio.timeout(wait_s):
                await self.holding.wait_acquired(self.claim)
        except TimeoutError:
            holder = self.claim.holder
            who = holder[0].decode(errors="replace") if holder else "nobody"
            work = await work_of(self.client)
            what = f", with {_told(work)}" if work is not None and not work.ended else ""
            raise Busy(f"{who} has the fleet{what}") from None

    def _number(self) -> int:
        number = self.claim.fencing_token(self.holding.now())
        if not number:
            raise Lost("the claim on the fleet is no longer held")
        return number

    async def _write(self, work: Work) -> None:
        """Confirm; done only while the claim is ours."""
        self.work = work
        ours = Compare(
            CLAIM_PREFIX + TASK.encode(), CompareTarget.CREATE, CompareOperator.EQUAL, self._number()
        )
        while True:
            self.points.reach("confirm")
            try:
                done = await self.client.call(Txn((ours,), (Put(WORK, encoded(work)),)))
            except RequestError:
                self._number()
                await asyncio.sleep(random.uniform(0.05, 0.2))
                continue
            if not (isinstance(done, TxnResponse) and done.succeeded):
                raise Lost("the claim on the fleet is another's by now")
            self.points.reach("confirmed")
            return

    async def _run(self) -> Work:
        looking = asyncio.ensure_future(self._look())
        try:
            async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=ANSWER_S)) as self.session:
                room = asyncio.Semaphore(self.work.at_once)
                async with asyncio.TaskGroup() as tasks:
                    for ident in self.work.left:
                        await room.acquire()
                        if self.stops:
                            break
                        task = tasks.create_task(self._step(ident))
                        task.add_done_callback(lambda _: room.release())
        except ExceptionGroup as group:
            raise group.exceptions[0] from None
        finally:
            looking.cancel()
        if not self.work.left:
            await self._write(msgspec.structs.replace(self.work, ended="done"))
        return self.work

    async def _look(self) -> None:
        while True:
            try:
                self.account = await account(self.client)
                if self.account.halted and not self.work.verb.brings_back:
                    self.stops = True
            except (RequestError, msgspec.DecodeError):
                pass
            await asyncio.sleep(LOOK_S)

    async def _step(self, ident: str) -> None:
        """One instance to its outcome, which is confirmed.  An outcome that is not what was wanted halts."""
        now, work = self.holding.now, self.work
        step = Step(work.verb, self._number(), now(), work.version, self.limits)
        told = ""
        actions: list[Action] = []
        while True:
            if not actions:
                actions = step.tick(now()) or step.seen(now(), self.account.instances.get(ident))
            if not actions and self.stops:
                actions = step.halt(now())
            if (words := f"{step.phase.value}{': ' if step.why else ''}{step.why}") != told and not (
                actions and isinstance(actions[0], End)
            ):
                told = words
                self.said(ident, words)
            if not actions:
                await asyncio.sleep(LOOK_S / 2)
                continue
            (action,) = actions
            if isinstance(action, End):
                await self._ended(ident, action.outcome)
                return
            self._number()  # looked at again before each act
            actions = await self._do(ident, step, action)

    async def _do(self, ident: str, step: Step, action: Action) -> list[Action]:
        now = self.holding.now
        operation = Operation(self.client, self.work.name, self.by, self.work.verb.value, step.number)
        if isinstance(action, Take):
            self.points.reach("take")
            taken = await operation.take((ident,))
            assert isinstance(taken, Taken | Refused | Fenced)
            self.points.reach("taken")
            return step.took(now(), taken)
        if isinstance(action, Adopt):
            try:
                return step.adopted(now(), await self._adopt(ident, step.number))
            except RequestError as refused:
                return step.unanswered(now(), refused.what)
        if isinstance(action, Tell):
            self.points.reach("tell")
            said = await self._tell(ident, step.number, action)
            self.points.reach("told")
            return step.unanswered(now(), said) if isinstance(said, str) else step.answered(now(), said)
        assert isinstance(action, Give)
        self.points.reach("give")
        given = await operation.give(ident, action.beyond)
        assert isinstance(given, Back | Waiting | Fenced)
        self.points.reach("given")
        return step.gave(now(), given)

    async def _adopt(self, ident: str, number: int) -> bool:
        """Whether there is a part, ours by now.  Raises RequestError."""
        while True:
            seen = await account(self.client)
            part = seen.parts.get(ident)
            if part is None:
                return False
            if part.operation == self.work.name and part.number == number:
                return True
            ours = take_over(part, self.work.name, self.by, number)
            await self.client.call(changing(seen.register, b"over", Put(ours.key, encoded(ours))))

    async def _tell(self, ident: str, number: int, action: Tell) -> Said | str:
        """What its owner says, or why nobody knows."""
        instance = self.account.instances.get(ident)
        try:
            address = await self._address(instance)
            body = {"instance": ident.partition("/")[2], "number": number, "order": action.order}
            body |= {"want": action.want.value, "version": action.version}
            async with self.session.post(f"http://{address}/order", json=body) as answer:
                told = json.loads(await answer.read())
                if answer.status in (200, 409):
                    return Said(bool(told["taken"]), int(told["number"]), int(told["looked"]))
                return Said(False, 0, 0, str(told.get("error", answer.status)))
        except RequestError as refused:
            return refused.what
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError, TypeError) as error:
            return f"its owner does not answer: {error or type(error).__name__}"

    async def _address(self, instance: Instance | None) -> str:
        """Where the instance's owner takes orders.  Raises RequestError, and ValueError where nobody owns
        it.
        """
        if instance is None or not instance.owner:
            raise ValueError("nobody owns it")
        found = await self.client.call(Range(PRESENCE_PREFIX + instance.owner.encode()))
        assert isinstance(found, RangeResponse)
        if not found.records:
            raise ValueError(f"{instance.owner} is not there")
        return str(json.loads(found.records[0][1].value)["address"])

    async def _ended(self, ident: str, outcome: str) -> None:
        self.said(ident, outcome)
        if outcome == "not begun":
            return  # it has no outcome: whoever goes on begins it
        async with self.writing:
            await self._write(
                msgspec.structs.replace(self.work, outcomes=self.work.outcomes | {ident: outcome})
            )
            if not outcome.startswith(GOOD) and not self.stops and not self.work.verb.brings_back:
                self.stops = True
                await self._halt(f"{ident} is {outcome}")

    async def _halt(self, why: str) -> None:
        while True:
            self._number()
            try:
                await halt(self.client, _told(self.work), why)
                return
            except RequestError:
                await asyncio.sleep(random.uniform(0.05, 0.2))


def _told(work: Work) -> str:
    return f"{work.verb.value} {work.name} by {work.by}, {len(work.outcomes)} of {len(work.idents)}"


def rows(work: Work | None, halted: Halt | None) -> dict[str, Any]:
    """What goes on, for people and programs."""
    told: dict[str, Any] = {"halted": msgspec.to_builtins(halted), "work": None}
    if work is not None:
        told["work"] = msgspec.to_builtins(work) | {"left": list(work.left)}
    return told
