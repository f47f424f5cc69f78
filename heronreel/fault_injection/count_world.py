"""A world for the explorer: usage ledgers, the coordination service and holders of the closing task.

It is built around the real `Ledger`, `LedgerUpload` and `PeriodClosing`.  Timeouts may happen at any time;
requests may be delayed, duplicated or lost; processes may be killed between any two steps, and their ledgers
adopted; the task may be granted to a second holder while the first one continues.

The checker knows which responses were handed over, and reads the stored counts: they never exceed the number
of responses handed over, and no response is missing once every ledger is uploaded.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Hashable, Iterator
from typing import NamedTuple

import msgspec

from heronreel.coordination.errors import RequestError, StatusCode
from heronreel.coordination.keyspace import EMPTY_CONTENT, Keyspace
from heronreel.coordination.model import DeleteRange, Put, Range, ResponseOrError, Txn
from heronreel.fault_injection.explore import InvariantViolationError
from heronreel.leases.requests import SendRequest
from heronreel.metering.counts import NO_TENANT, Counts, ResponseKind
from heronreel.metering.ledger import Ledger
from heronreel.metering.ledger_format import WORD_BYTES, LedgerHeader, decode_header, encode_new_ledger
from heronreel.metering.period_closing import CLAIM_KEY, ClosingOutcome, PeriodClosing
from heronreel.metering.records import (
    CLOSED_PREFIX,
    LEDGER_PREFIX,
    TOTALS_KEY,
    ClosedPeriod,
    LedgerRecord,
    Totals,
)
from heronreel.metering.upload import (
    Actions,
    ConfirmPage,
    LedgerUpload,
    MarkRegistered,
    QuarantineLedger,
    RemoveLedger,
    SealPage,
)

INTERVAL_S = 10.0
NOBODY = "nobody"  # sender of a request whose response is not awaited

Step = tuple[str, "CountWorld"]  # description, and the state that it leads to


class Guards(NamedTuple):
    """The safeguards of the guarantee; tests disable them one at a time."""

    record_revision: bool = True  # a page is added only if the record has not changed since it was read
    # Pages are aggregated only by the task's holder, and only into totals that are unchanged since the read.
    closing_fence: bool = True
    registration: bool = True  # a ledger stores that its record exists
    totals_revision: bool = (
        True  # a record is created only if the totals have not changed since they were read
    )
    in_flight_unknown: bool = True  # responses in flight when a process was killed count as unknown


class Budget(NamedTuple):
    """How often each kind of event may still happen."""

    responses: int = 2
    kills: int = 1
    duplicates: int = 1  # duplicated requests
    periods: int = 2
    new_holders: int = 1  # grants of the task to another holder
    requests: int = 40


class Process(NamedTuple):
    """One ledger, and its process if that is running."""

    words: tuple[int, ...]
    upload: LedgerUpload | None
    now: float = 0.0
    in_flight: int = 0
    removed: bool = False


class SentRequest(NamedTuple):
    """A request in transit."""

    sender: str
    request: Range | Txn


class SentResponse(NamedTuple):
    """A response in transit."""

    receiver: str
    response: ResponseOrError


class Holder(NamedTuple):
    """A process that holds the closing task, or believes that it does."""

    fencing_token: int
    closing: PeriodClosing
    waiting: bool = False  # whether it waits for a response


class Usage(NamedTuple):
    """The stored counts, summed over all tenants."""

    served: int
    unknown: int
    served_in_periods: int  # sum over the closed periods
    served_in_totals: int  # sum of the closed periods according to the totals


class CountWorld:
    """One state of the world."""

    def __init__(self, budget: Budget, guards: Guards, ledgers: int = 1) -> None:
        self.budget = budget
        self.guards = guards
        self.keyspace = Keyspace.from_content(EMPTY_CONTENT).apply(Put(CLAIM_KEY, b"0")).state
        self.processes: tuple[Process, ...] = ()
        for number in range(ledgers):
            data = encode_new_ledger(LedgerHeader(f"b{number}", f"p{number}", "", ()))
            self.processes += (Process(_words_of(data), None),)
            self._set_process(number, self._with_upload(self.processes[number]))
        fencing_token = self.keyspace.keys[CLAIM_KEY].create_revision
        self.holders: tuple[Holder, ...] = (Holder(fencing_token, self._closing(1, fencing_token)),)
        self.messages: frozenset[SentRequest | SentResponse] = frozenset()
        self.settled = self.begun = 0  # responses certainly handed over, and responses begun

    def fork(self) -> CountWorld:
        """Return a copy of this state that can be changed."""
        world = object.__new__(CountWorld)
        world.__dict__.update(self.__dict__)
        return world

    def key(self) -> Hashable:
        """Return a key that is equal for states with the same future."""
        rows: list[object] = []
        for process in self.processes:
            upload = process.upload
            state = None if upload is None else _upload_state(upload, process.now)
            rows.append((process.words, state, process.in_flight, process.removed))
        for holder in self.holders:
            closing = holder.closing
            rows.append((closing.period, closing.totals, closing.totals_revision))
            rows.append((closing.ledgers, closing.outcome, holder.waiting))
        encoded = msgspec.msgpack.encode(rows)
        return encoded, self.budget, self.messages, self.keyspace.keys, self.settled, self.begun

    def steps(self) -> Iterator[Step]:
        """Return all possible next steps: their descriptions and the states that they lead to.

        Raises:
            InvariantViolationError: A step violates the guarantee.
        """
        for description, world in self._unchecked_steps():
            world.check(description)
            yield description, world

    def _unchecked_steps(self) -> Iterator[Step]:
        for number, process in enumerate(self.processes):
            if process.removed:
                continue
            if process.upload is None:
                yield self._adopted(number, process)
            else:
                yield from self._process_steps(number, process, process.upload)
        for number, holder in enumerate(self.holders):
            yield from self._holder_steps(number, holder)
        for message in self.messages:
            yield from self._message_steps(message)
        if self.budget.new_holders:
            yield "another process holds the task", self._with_new_holder()

    # -- processes

    def _set_process(self, number: int, process: Process) -> None:
        self.processes = (*self.processes[:number], process, *self.processes[number + 1 :])

    def _with_upload(self, process: Process) -> Process:
        """Return the process in the state in which it starts with its ledger."""
        ledger = _ledger_of(process)
        upload = LedgerUpload(
            ledger.header,
            ledger.confirmed_page,
            ledger.pending_page(),
            INTERVAL_S,
            process.now,
            registered=ledger.registered and self.guards.registration,
            pending_is_last=ledger.is_complete,
            compares_record=self.guards.record_revision,
            compares_totals=self.guards.totals_revision,
        )
        return process._replace(upload=upload)

    def _adopted(self, number: int, process: Process) -> Step:
        world = self.fork()
        ledger = _ledger_of(process)
        if self.guards.in_flight_unknown:
            ledger.count_in_flight_as_unknown()
        adopted = self._with_upload(process._replace(words=tuple(ledger.words), in_flight=0))
        assert adopted.upload is not None
        adopted.upload.finish(adopted.now)
        world._set_process(number, adopted)
        return f"the ledger of p{number} is adopted", world

    def _process_steps(self, number: int, process: Process, upload: LedgerUpload) -> Iterator[Step]:
        if self.budget.responses and not upload.finishing:
            yield self._response_begun(number, process)
        if process.in_flight:
            yield self._response_settled(number, process)
        if self.budget.kills:
            yield self._killed(number, process)
        if not upload.finishing and not process.in_flight and not self.budget.responses:
            yield self._finished(number, process, upload)
        if self.budget.requests and upload.next_wakeup() < float("inf"):
            yield self._ticked(number, process, upload)

    def _response_begun(self, number: int, process: Process) -> Step:
        world = self.fork()
        world.budget = self.budget._replace(responses=self.budget.responses - 1)
        changed = _changed(process, lambda ledger: ledger.begin(NO_TENANT))
        world._set_process(number, changed._replace(in_flight=process.in_flight + 1))
        world.begun += 1
        return f"p{number} begins a response", world

    def _response_settled(self, number: int, process: Process) -> Step:
        world = self.fork()
        changed = _changed(process, lambda ledger: ledger.settle(0, ResponseKind.SERVED))
        world._set_process(number, changed._replace(in_flight=process.in_flight - 1))
        world.settled += 1
        return f"p{number} settles a response", world

    def _killed(self, number: int, process: Process) -> Step:
        world = self.fork()
        world.budget = self.budget._replace(kills=self.budget.kills - 1)
        world._set_process(number, process._replace(upload=None))
        world._disconnect(f"p{number}")
        return f"p{number} is killed", world

    def _finished(self, number: int, process: Process, upload: LedgerUpload) -> Step:
        world = self.fork()
        finishing = copy.copy(upload)
        finishing.finish(process.now)
        world._set_process(number, process._replace(upload=finishing))
        return f"p{number} finishes", world

    def _ticked(self, number: int, process: Process, upload: LedgerUpload) -> Step:
        world = self.fork()
        world._disconnect(f"p{number}")
        ticked = copy.copy(upload)
        now = max(process.now, upload.next_wakeup())
        actions = ticked.tick(now, bool(_ledger_of(process).open_counts()))
        world._set_process(number, process._replace(upload=ticked, now=now))
        world._carry_out(number, actions)
        return f"p{number} wakes up", world

    def _carry_out(self, number: int, actions: Actions) -> None:
        for action in actions:
            if isinstance(action, SendRequest):
                assert isinstance(action.request, Range | Txn)
                self.budget = self.budget._replace(requests=max(0, self.budget.requests - 1))
                self.messages |= {SentRequest(f"p{number}", action.request)}
            elif isinstance(action, RemoveLedger):
                self._set_process(number, self.processes[number]._replace(removed=True))
            elif isinstance(action, QuarantineLedger):
                raise InvariantViolationError(
                    "a ledger that agrees with its record is quarantined", f"p{number}"
                )
            else:
                self._change_ledger(number, action)

    def _change_ledger(self, number: int, action: SealPage | MarkRegistered | ConfirmPage) -> None:
        process = self.processes[number]
        assert process.upload is not None
        ledger = _ledger_of(process)
        if isinstance(action, SealPage):
            if action.last:
                ledger.mark_last_page()
            process.upload.page_sealed(process.now, ledger.seal_page(), action.last)
        elif isinstance(action, MarkRegistered):
            ledger.mark_registered()
        else:
            ledger.confirm_page(action.number)
        self._set_process(number, process._replace(words=tuple(ledger.words)))

    # -- holders of the task

    def _closing(self, period: int, fencing_token: int) -> PeriodClosing:
        return PeriodClosing(period, fencing_token, "x", ("p0",), fenced=self.guards.closing_fence)

    def _set_holder(self, number: int, holder: Holder) -> None:
        self.holders = (*self.holders[:number], holder, *self.holders[number + 1 :])

    def _holder_steps(self, number: int, holder: Holder) -> Iterator[Step]:
        name = f"holder {holder.fencing_token}"
        closing = holder.closing
        if holder.waiting:
            world = self.fork()
            world._disconnect(f"c{number}")
            world._respond_to_holder(number, RequestError(StatusCode.UNKNOWN, ""))
            yield f"the request of {name} fails", world
        elif (request := closing.next_request()) is not None and self.budget.requests:
            world = self.fork()
            world.budget = self.budget._replace(requests=self.budget.requests - 1)
            world.messages = self.messages | {SentRequest(f"c{number}", request)}
            world._set_holder(number, holder._replace(waiting=True))
            yield f"{name} sends a request", world
        elif closing.outcome is ClosingOutcome.CLOSED and closing.period < self.budget.periods:
            world = self.fork()
            next_period = self._closing(closing.period + 1, holder.fencing_token)
            world._set_holder(number, holder._replace(closing=next_period))
            yield f"{name} begins the next period", world

    def _respond_to_holder(self, number: int, response: ResponseOrError) -> None:
        holder = self.holders[number]
        closing = copy.copy(holder.closing)
        closing.on_response(response)
        self._set_holder(number, holder._replace(closing=closing, waiting=False))

    def _with_new_holder(self) -> CountWorld:
        world = self.fork()
        world.budget = self.budget._replace(new_holders=self.budget.new_holders - 1)
        world.keyspace = world.keyspace.apply(DeleteRange(CLAIM_KEY)).state.apply(Put(CLAIM_KEY, b"1")).state
        fencing_token = world.keyspace.keys[CLAIM_KEY].create_revision
        last = self.holders[-1]
        if len(self.holders) > 1:  # the second last holder is removed
            world._disconnect("c0")
            world.messages = frozenset(map(_from_first_holder, world.messages))
        world.holders = (last, Holder(fencing_token, self._closing(last.closing.period, fencing_token)))
        return world

    # -- messages

    def _message_steps(self, message: SentRequest | SentResponse) -> Iterator[Step]:
        if isinstance(message, SentResponse):
            yield f"{message.receiver} receives a response", self._received(message)
            return
        yield f"a request of {message.sender} is handled", self._handled(message, False)
        if self.budget.duplicates:
            yield f"a request of {message.sender} is duplicated", self._handled(message, True)

    def _handled(self, message: SentRequest, duplicated: bool) -> CountWorld:
        world = self.fork()
        world.messages = self.messages - {message}
        response: ResponseOrError
        try:
            applied = self.keyspace.apply(message.request)
            world.keyspace, response = applied.state, applied.response
        except RequestError as error:
            response = RequestError(error.code, "")
        if message.sender != NOBODY:
            world.messages |= {SentResponse(message.sender, response)}
        if duplicated:  # the response to the duplicate is not received
            world.budget = self.budget._replace(duplicates=self.budget.duplicates - 1)
            world.messages |= {SentRequest(NOBODY, message.request)}
        return world

    def _received(self, message: SentResponse) -> CountWorld:
        world = self.fork()
        world.messages = self.messages - {message}
        number = int(message.receiver[1:])
        if message.receiver[0] == "c":
            world._respond_to_holder(number, message.response)
            return world
        process = self.processes[number]
        assert process.upload is not None and process.upload.in_flight is not None
        upload = copy.copy(process.upload)
        actions = upload.on_response(process.now, process.upload.in_flight[0], message.response)
        world._set_process(number, process._replace(upload=upload))
        world._carry_out(number, actions)
        return world

    def _disconnect(self, name: str) -> None:
        """End a process's wait for responses; its write requests may still be handled."""
        kept = {message for message in self.messages if _party(message) != name}
        for message in self.messages - kept:
            if (
                isinstance(message, SentRequest)
                and isinstance(message.request, Txn)
                and message.request.writes
            ):
                kept.add(SentRequest(NOBODY, message.request))
        self.messages = frozenset(kept)

    # -- the checker

    def check(self, step: str) -> None:
        """Check the guarantee in this state, which `step` led to.

        Raises:
            InvariantViolationError: The guarantee does not hold.
        """
        usage = self.usage()
        if usage.served > self.settled:
            raise InvariantViolationError(
                f"{usage.served} responses are counted, and {self.settled} were handed over", step
            )
        if usage.served_in_periods != usage.served_in_totals:
            sums = f"{usage.served_in_periods}, and the totals to {usage.served_in_totals}"
            raise InvariantViolationError(f"the periods come to {sums}", step)
        if self.drained and usage.served + usage.unknown < self.begun:
            counted = f"{usage.served} responses are counted and {usage.unknown} unknown"
            raise InvariantViolationError(f"{counted}, and {self.begun} were begun", step)

    def usage(self) -> Usage:
        """Return the stored counts."""
        keys = self.keyspace.keys
        totals = Totals()
        if TOTALS_KEY in keys:
            totals = msgspec.json.decode(keys[TOTALS_KEY].value, type=Totals)
        counts = [totals.closed_counts, totals.open_counts]
        served_in_periods = 0
        for key, stored in keys.items():
            if key.startswith(LEDGER_PREFIX):
                counts.append(msgspec.json.decode(stored.value, type=LedgerRecord).counts)
            elif key.startswith(CLOSED_PREFIX):
                period = msgspec.json.decode(stored.value, type=ClosedPeriod)
                served_in_periods += _sum_of(period.counts, ResponseKind.SERVED)
        return Usage(
            sum(_sum_of(stored_counts, ResponseKind.SERVED) for stored_counts in counts),
            sum(_sum_of(stored_counts, ResponseKind.UNKNOWN) for stored_counts in counts),
            served_in_periods,
            _sum_of(totals.closed_counts, ResponseKind.SERVED),
        )

    @property
    def drained(self) -> bool:
        """Whether every ledger is uploaded completely."""
        return all(process.removed for process in self.processes)


def _words_of(data: bytes) -> tuple[int, ...]:
    starts = range(0, len(data), WORD_BYTES)
    return tuple(int.from_bytes(data[start : start + WORD_BYTES], "little") for start in starts)


def _ledger_of(process: Process) -> Ledger:
    """Return the process's ledger, on a copy of its words."""
    data = b"".join(word.to_bytes(WORD_BYTES, "little") for word in process.words)
    header, first_cell = decode_header(data)
    return Ledger(header, list(process.words), first_cell)


def _changed(process: Process, change: Callable[[Ledger], object]) -> Process:
    ledger = _ledger_of(process)
    change(ledger)
    return process._replace(words=tuple(ledger.words))


def _upload_state(upload: LedgerUpload, now: float) -> list[object]:
    """Return the state that determines the future of an upload."""
    return [
        upload.pending_page,
        upload.confirmed_page,
        upload.phase,
        upload.record_revision,
        upload.record,
        upload.in_flight is not None,
        upload.registered,
        upload.pending_is_last,
        upload.finishing,
        upload.next_action_at - now,
        upload.next_seal_at <= now,
    ]


def _party(message: SentRequest | SentResponse) -> str:
    """Return the sender of a request or the receiver of a response."""
    return message.sender if isinstance(message, SentRequest) else message.receiver


def _from_first_holder(message: SentRequest | SentResponse) -> SentRequest | SentResponse:
    """Return the message as it is after the second holder has become the first one."""
    if _party(message) != "c1":
        return message
    if isinstance(message, SentRequest):
        return message._replace(sender="c0")
    return message._replace(receiver="c0")


def _sum_of(counts: Counts, kind: ResponseKind) -> int:
    return sum(row[kind] for row in counts.values())
