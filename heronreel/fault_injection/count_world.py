"""Books of counts, a group and holders of the closing task, around the real `Book`, `Posting`, `Closing`.

Time-outs come at any moment; questions may be late, doubled or lost, processes killed between any two steps
and their books taken over, and the task given to the second holder while the first goes on.

The judge knows which answers were handed over, and reads what the group has: never more than that is
counted, and nothing is missing once every book has ended.
"""

from __future__ import annotations

import copy
from collections.abc import Hashable, Iterator
from typing import NamedTuple

import msgspec

from heronreel.coordination.keyspace import EMPTY_CONTENT, Keyspace
from heronreel.coordination.model import (
    DeleteRange,
    Put,
    Range,
    RequestError,
    ResponseOrError,
    StatusCode,
    Txn,
)
from heronreel.fault_injection.explore import Broken
from heronreel.leases.keys import CLAIM_PREFIX
from heronreel.leases.requests import SendRequest
from heronreel.metering.book import OTHERS, SERVED, UNKNOWN, Book, Head, blank, head_of
from heronreel.metering.closing import Closing, Outcome
from heronreel.metering.posting import Actions, Confirm, Over, Posting, Registered, Seal, SetBack
from heronreel.metering.records import BOOKS, CLOSED, SUM, TASK, Closed, Posted, Sum

CLAIM = CLAIM_PREFIX + TASK.encode()
EVERY_S = 10.0


class Guards(NamedTuple):
    """What keeps the promise; taken out one by one."""

    record: bool = True  # a page is put only onto the record as it was read
    closing: bool = True  # pages are taken only by whoever holds the task, from a sum as it was read
    registered: bool = True  # a book keeps that the group had a record of it
    dated: bool = True  # a record is made only while the sum is as it was read
    doubts: bool = True  # what was under way when a process was killed is unknown


class Budget(NamedTuple):
    """How often each thing may still happen."""

    answers: int = 2
    kills: int = 1
    repeats: int = 1  # questions that come a second time
    periods: int = 2
    holders: int = 1  # times that the task is given to the other
    asks: int = 40


class Process(NamedTuple):
    """One book, and its process if it lives."""

    words: tuple[int, ...]
    posting: Posting | None
    now: float = 0.0
    under_way: int = 0
    removed: bool = False


class Question(NamedTuple):
    """On its way; of whoever does not wait for an answer any more it is `GONE`'s."""

    by: str
    request: Range | Txn


class Reply(NamedTuple):
    by: str
    answer: ResponseOrError


GONE = "somebody gone"


class Closer(NamedTuple):
    number: int
    closing: Closing
    asked: bool = False


class CountWorld:
    """One state of the world."""

    def __init__(self, budget: Budget, guards: Guards, books: int = 1) -> None:
        self.budget = budget
        self.guards = guards
        self.state = Keyspace.of(EMPTY_CONTENT).apply(Put(CLAIM, b"0")).state
        self.processes: tuple[Process, ...] = ()
        for number in range(books):
            data = blank(Head(f"b{number}", f"p{number}", "", ()))
            words = tuple(int.from_bytes(data[at : at + 8], "little") for at in range(0, len(data), 8))
            self.processes += (Process(words, None),)
            self.processes = self._with(number, self._begun(number))
        grant = self.state.keys[CLAIM].create
        self.closers: tuple[Closer, ...] = (Closer(grant, self._closing(1, grant)),)
        self.sent: frozenset[Question | Reply] = frozenset()
        self.least = self.most = 0  # answers handed over for sure, and those that were begun

    def _with(self, number: int, process: Process) -> tuple[Process, ...]:
        return (*self.processes[:number], process, *self.processes[number + 1 :])

    def _book(self, process: Process) -> Book:
        data = b"".join(word.to_bytes(8, "little") for word in process.words)
        head, first = head_of(data)
        return Book(head, list(process.words), first)

    def _begun(self, number: int) -> Process:
        process = self.processes[number]
        book = self._book(process)
        registered = book.registered if self.guards.registered else False
        posting = Posting(
            book.head, book.confirmed, book.sealed(), EVERY_S, process.now,
            registered=registered, last=book.ended, guarded=self.guards.record,
            dated=self.guards.dated,
        )  # fmt: skip
        return process._replace(posting=posting)

    def fork(self) -> CountWorld:
        world = object.__new__(CountWorld)
        world.__dict__.update(self.__dict__)
        return world

    def key(self) -> Hashable:
        rows: list[object] = []
        for process in self.processes:
            posting = process.posting
            told = None if posting is None else [
                posting.page, posting.confirmed, posting.phase, posting.seen, posting.record,
                posting.in_flight is not None,
                posting.registered, posting.last, posting.final, posting.due - process.now,
                posting.next_seal <= process.now,
            ]  # fmt: skip
            rows.append((process.words, told, process.under_way, process.removed))
        for closer in self.closers:
            closing = closer.closing
            rows.append((closing.step, closing.sum, closing.mod))
            rows.append((closing.books, closing.outcome, closer.asked))
        return (
            msgspec.msgpack.encode(rows), self.budget, self.sent, self.state.keys, self.least, self.most,
        )  # fmt: skip

    # -- steps

    def steps(self) -> Iterator[tuple[str, CountWorld]]:
        for number, process in enumerate(self.processes):
            if not process.removed:
                yield from self._of_process(number, process)
        for number, closer in enumerate(self.closers):
            yield from self._of_closer(number, closer)
        for message in self.sent:
            if isinstance(message, Question):
                yield self._judged(f"the group is asked by {message.by}", self._asked(message, False))
                if self.budget.repeats:
                    yield self._judged(f"a question of {message.by} comes twice", self._asked(message, True))
            else:
                yield self._judged(f"{message.by} is answered", self._answered(message))
        if self.budget.holders:
            world = self.fork()
            world.budget = self.budget._replace(holders=self.budget.holders - 1)
            world.state = world.state.apply(DeleteRange(CLAIM)).state.apply(Put(CLAIM, b"1")).state
            grant = world.state.keys[CLAIM].create
            step = self.closers[-1].closing.step
            if len(self.closers) > 1:  # whoever held it before the last one is gone
                world._forget("c0")
                moved = (m._replace(by="c0") if m.by == "c1" else m for m in world.sent)
                world.sent = frozenset(moved)
            world.closers = (self.closers[-1], Closer(grant, self._closing(step, grant)))
            yield self._judged("another holds the task", world)

    def _closing(self, step: int, grant: int) -> Closing:
        return Closing(step, grant, "x", ("p0",), fenced=self.guards.closing)

    def _of_process(self, number: int, process: Process) -> Iterator[tuple[str, CountWorld]]:
        name = f"p{number}"
        posting = process.posting
        if posting is None:
            world = self.fork()
            book = self._book(process)
            if self.guards.doubts:
                book.doubts()
            world.processes = self._with(number, process._replace(words=tuple(book.words), under_way=0))
            fresh = world._begun(number)
            assert fresh.posting is not None
            fresh.posting.finish(fresh.now)
            world.processes = world._with(number, fresh)
            yield self._judged(f"the book of {name} is taken over", world)
            return
        if self.budget.answers and not posting.final:
            world = self.fork()
            world.budget = self.budget._replace(answers=self.budget.answers - 1)
            world.processes = self._with(number, self._stored(process, "begin", OTHERS, 1))
            world.most += 1
            yield self._judged(f"{name} hands an answer over", world)
        if process.under_way:
            world = self.fork()
            world.processes = self._with(number, self._stored(process, "settle", 0, -1))
            world.least += 1
            yield self._judged(f"{name} has handed it over", world)
        if self.budget.kills:
            world = self.fork()
            world.budget = self.budget._replace(kills=self.budget.kills - 1)
            world.processes = self._with(number, process._replace(posting=None))
            world._forget(name)
            yield self._judged(f"{name} is killed", world)
        if not posting.final and not process.under_way and not self.budget.answers:
            world = self.fork()
            again = copy.copy(posting)
            again.finish(process.now)
            world.processes = self._with(number, process._replace(posting=again))
            yield self._judged(f"{name} ends", world)
        if self.budget.asks and posting.wake() < float("inf"):
            world = self.fork()
            world._forget(name)
            again = copy.copy(posting)
            now = max(process.now, posting.wake())
            actions = again.tick(now, bool(self._book(process).counted()))
            world.processes = self._with(number, process._replace(posting=again, now=now))
            world._carry_out(number, actions)
            yield self._judged(f"the time of {name} has come", world)

    def _stored(self, process: Process, call: str, word: object, change: int) -> Process:
        book = self._book(process)
        if call == "begin":
            book.begin(str(word))
        else:
            book.settle(0, SERVED)
        return process._replace(words=tuple(book.words), under_way=process.under_way + change)

    def _carry_out(self, number: int, actions: Actions) -> None:
        while actions:
            process = self.processes[number]
            posting = process.posting
            assert posting is not None
            book = self._book(process)
            action, *actions = actions
            if isinstance(action, SendRequest):
                assert isinstance(action.request, Range | Txn)
                self.budget = self.budget._replace(asks=max(0, self.budget.asks - 1))
                self.sent |= {Question(f"p{number}", action.request)}
                continue
            if isinstance(action, Seal):
                if action.last:
                    book.end()
                actions = posting.sealed(process.now, book.seal(), action.last) + actions
            elif isinstance(action, Registered):
                book.register()
            elif isinstance(action, Confirm):
                book.confirm(action.number)
            elif isinstance(action, Over):
                process = process._replace(removed=True)
            elif isinstance(action, SetBack):
                raise Broken("a book that goes with its record is set back", f"p{number}")
            self.processes = self._with(number, process._replace(words=tuple(book.words)))

    def _of_closer(self, number: int, closer: Closer) -> Iterator[tuple[str, CountWorld]]:
        name = f"closer {closer.number}"
        if closer.asked:
            world = self.fork()
            world._forget(f"c{number}")
            world._closed(number, closer, RequestError(StatusCode.UNKNOWN, ""))
            yield self._judged(f"the question of {name} fails", world)
        elif (request := closer.closing.next()) is not None and self.budget.asks:
            world = self.fork()
            world.budget = self.budget._replace(asks=self.budget.asks - 1)
            world.sent = self.sent | {Question(f"c{number}", request)}
            world._closer(number, closer._replace(asked=True))
            yield self._judged(f"{name} asks", world)
        elif closer.closing.outcome is Outcome.CLOSED and closer.closing.step < self.budget.periods:
            world = self.fork()
            again = closer._replace(closing=self._closing(closer.closing.step + 1, closer.number))
            world._closer(number, again)
            yield self._judged(f"{name} begins the next period", world)

    def _closer(self, number: int, closer: Closer) -> None:
        self.closers = (*self.closers[:number], closer, *self.closers[number + 1 :])

    def _closed(self, number: int, closer: Closer, answer: ResponseOrError) -> None:
        again = copy.copy(closer.closing)
        again.answered(answer)
        self._closer(number, closer._replace(closing=again, asked=False))

    def _asked(self, question: Question, stays: bool) -> CountWorld:
        world = self.fork()
        if stays:
            world.budget = self.budget._replace(repeats=self.budget.repeats - 1)
        else:
            world.sent = self.sent - {question}
        answer: ResponseOrError
        try:
            applied = self.state.apply(question.request)
            world.state, answer = applied.state, applied.result
        except RequestError as refused:
            answer = RequestError(refused.code, "")
        if question.by != GONE:
            world.sent |= {Reply(question.by, answer)}
        if stays:  # what comes again is answered to nobody
            world.sent = world.sent - {question} | {Question(GONE, question.request)}
        return world

    def _forget(self, by: str) -> None:
        """Whoever asked waits no more: an answer finds nobody, but what was asked may still come."""
        kept = {message for message in self.sent if message.by != by}
        for message in self.sent - kept:
            if isinstance(message, Question) and isinstance(message.request, Txn) and message.request.writes:
                kept.add(Question(GONE, message.request))
        self.sent = frozenset(kept)

    def _answered(self, reply: Reply) -> CountWorld:
        world = self.fork()
        world.sent = self.sent - {reply}
        number = int(reply.by[1:])
        if reply.by[0] == "c":
            world._closed(number, self.closers[number], reply.answer)
            return world
        process = self.processes[number]
        assert process.posting is not None and process.posting.in_flight is not None
        again = copy.copy(process.posting)
        actions = again.answered(process.now, process.posting.in_flight.request_id, reply.answer)
        world.processes = self._with(number, process._replace(posting=again))
        world._carry_out(number, actions)
        return world

    # -- the judge

    def _judged(self, words: str, world: CountWorld) -> tuple[str, CountWorld]:
        known, unknown, closed, ever = world.told()
        if known > world.least:
            raise Broken(f"{known} answers are counted, and {world.least} were handed over", words)
        if closed != ever:
            raise Broken(f"the periods come to {closed}, and all of them together to {ever}", words)
        if world.drained and known + unknown < world.most:
            told = f"{known} answers are counted and {unknown} unknown"
            raise Broken(f"{told}, and {world.most} were begun", words)
        return words, world

    def told(self) -> tuple[int, int, int, int]:
        """What the group has: answers known and unknown, the sum of the periods, the sum kept of them."""
        keys = self.state.keys
        total = msgspec.json.decode(keys[SUM].value, type=Sum) if SUM in keys else Sum()
        rows = [total.ever, total.open]
        closed = 0
        for key, record in keys.items():
            if key.startswith(BOOKS):
                rows.append(msgspec.json.decode(record.value, type=Posted).counts)
            elif key.startswith(CLOSED):
                row = msgspec.json.decode(record.value, type=Closed)
                closed += sum(counts[SERVED] for counts in row.counts.values())
        known = sum(counts[SERVED] for row in rows for counts in row.values())
        unknown = sum(counts[UNKNOWN] for row in rows for counts in row.values())
        return known, unknown, closed, sum(counts[SERVED] for counts in total.ever.values())

    @property
    def drained(self) -> bool:
        return all(process.removed for process in self.processes)
