"""What an operation does to one instance, from the part to the evidence.  Pure: events and time in, actions
out.

A part is taken before the first order and kept until the instance was seen to serve, or for good where it is
to stay out.  Each leg is one order, durable at the owner before it is answered, and done only once a look of
the owner that is later than the order shows what was wanted: nothing is called done by being asked for.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

from heronreel.fleet.agent import Want
from heronreel.fleet.model import Condition, Instance, Verb
from heronreel.fleet.taking import Back, Fenced, Refused, Taken, Waiting

AGAIN_S = 0.5  # before what was refused or not answered is tried again

LEGS = {
    Verb.DRAIN: (Want.DRAINED,),
    Verb.STOP: (Want.STOPPED,),
    Verb.RESTART: (Want.STOPPED, Want.RUNNING),
    Verb.UPGRADE: (Want.RUNNING,),
    Verb.START: (Want.RUNNING,),
    Verb.UNDRAIN: (Want.RUNNING,),
}
STAYS_OUT = {Verb.DRAIN: "drained", Verb.STOP: "stopped"}


class Take(NamedTuple):
    """Take the part, and tell `took`."""


class Adopt(NamedTuple):
    """Take over the part that another operation left, if there is one, and tell `adopted`."""


class Tell(NamedTuple):
    """Tell the owner, and tell `answered` what it said."""

    order: int
    want: Want
    version: str


class Give(NamedTuple):
    """Give the part back on a look later than `beyond`, and tell `gave`."""

    beyond: int


class End(NamedTuple):
    """One of: `running VERSION`, `drained`, `stopped`, `not begun`, `refused: why`, `failed: why`, `unknown:
    why`; only the first three are what was wanted.
    """

    outcome: str


Action = Take | Adopt | Tell | Give | End


class Said(NamedTuple):
    """An owner's answer to an order."""

    taken: bool
    number: int  # the greatest it knows
    looked: int
    why: str = ""  # of an owner that can't do it at all


class Limits(NamedTuple):
    """Seconds."""

    patience: float = 600.0  # for a part, while others are out
    settle: float = 150.0  # for a leg: a drain, an end and a start


class Guards(NamedTuple):
    """What keeps the promises; taken out one by one by tests that have to fail then."""

    later: bool = True  # only a look after the order counts
    taken: bool = True  # no order before the part


class Phase(enum.Enum):
    TAKING = "waits for its part"
    TELLING = "tells its owner"
    WATCHING = "waits until it is seen"
    GIVING = "gives its part back"
    ENDED = "ended"


class Step:
    """One instance's way.  One question at a time."""

    def __init__(
        self,
        verb: Verb,
        number: int,
        now: float,
        version: str = "",
        limits: Limits | None = None,
        guards: Guards | None = None,
    ) -> None:
        self.verb, self.number, self.version = verb, number, version
        self.limits = limits or Limits()
        self.guards = guards or Guards()
        self.phase = Phase.TAKING
        self.leg = 0
        self.beyond = 0  # looks up to this one were before the order
        self.due = now
        self.since = now
        self.asked = False
        self.kept = False  # there is a part of ours
        self.why = ""  # it does not go on, for people
        self.last: Instance | None = None
        self.runs = ""  # the version that was seen to serve
        if not self.guards.taken:
            self.phase = Phase.TELLING

    @property
    def want(self) -> Want:
        return LEGS[self.verb][self.leg]

    def _to(self, phase: Phase, now: float) -> None:
        self.phase, self.since, self.due, self.why = phase, now, now, ""

    def _end(self, outcome: str, now: float) -> list[Action]:
        self._to(Phase.ENDED, now)
        return [End(outcome)]

    def tick(self, now: float) -> list[Action]:
        if self.asked or self.phase is Phase.ENDED:
            return []
        if self.phase is Phase.TAKING and now >= self.since + self.limits.patience:
            return self._end(f"refused: {self.why}", now)
        if self.phase is not Phase.TAKING and now >= self.since + self.limits.settle:
            return self._end(self._unsettled(), now)
        if now < self.due or self.phase is Phase.WATCHING:
            return []
        self.asked = True
        if self.phase is Phase.TAKING:
            return [Adopt() if self.verb.brings_back else Take()]
        if self.phase is Phase.TELLING:
            return [Tell(self.leg + 1, self.want, self.version)]
        return [Give(self.beyond)]

    def _unsettled(self) -> str:
        seen = self.last
        if self.phase is Phase.TELLING or seen is None or seen.condition is Condition.UNKNOWN:
            return f"unknown: {self.why or 'nobody sees it'} for {self.limits.settle:g} s"
        return f"failed: {seen.condition.value} after {self.limits.settle:g} s, wanted {self.want.value}"

    def halt(self, now: float) -> list[Action]:
        """Nothing new begins: a step without its part ends here, any other goes on to a state that is whole.

        A question for the part may be under way; its answer decides.
        """
        if self.phase is Phase.TAKING and not self.asked and not self.verb.brings_back:
            return self._end("not begun", now)
        return []

    def took(self, now: float, outcome: Taken | Refused | Fenced) -> list[Action]:
        if isinstance(outcome, Taken):
            self.kept = True
            return self._told_next(now, 0)
        self.asked = False
        if isinstance(outcome, Fenced):
            return self._fenced(outcome.part.number, now)
        self.due, self.why = now + AGAIN_S, str(outcome)
        return self._end("not begun", now) if outcome.halted else []

    def adopted(self, now: float, part: bool) -> list[Action]:
        self.kept = part
        return self._told_next(now, 0)

    def _told_next(self, now: float, leg: int) -> list[Action]:
        self.asked, self.leg = False, leg
        self._to(Phase.TELLING, now)
        return self.tick(now)

    def _fenced(self, number: int, now: float) -> list[Action]:
        return self._end(f"refused: number {number} is newer than {self.number}", now)

    def unanswered(self, now: float, why: str) -> list[Action]:
        """Nobody knows what became of the question; every one of them may be put again."""
        self.asked, self.due, self.why = False, now + AGAIN_S, why
        return self.tick(now)

    def answered(self, now: float, said: Said) -> list[Action]:
        self.asked = False
        if said.why:
            return self._end(f"refused: {said.why}", now)
        if not said.taken:
            return self._fenced(said.number, now)
        self.beyond = said.looked
        self._to(Phase.WATCHING, now)
        return []

    def seen(self, now: float, instance: Instance | None) -> list[Action]:
        """What the account has of the instance."""
        self.last = instance
        if self.phase is not Phase.WATCHING or instance is None:
            return []
        if self.guards.later and instance.looked <= self.beyond:
            return []  # an owner that took our order knows our number at each later look
        if not self._is_wanted(instance):
            self.why = f"is {instance.condition.value}"
            return []
        if self.leg + 1 < len(LEGS[self.verb]):
            return self._told_next(now, self.leg + 1)
        if self.verb in STAYS_OUT:
            return self._end(STAYS_OUT[self.verb], now)
        self.runs = instance.version
        if not self.kept:
            return self._end(f"running {self.runs}", now)
        self._to(Phase.GIVING, now)
        return self.tick(now)

    def _is_wanted(self, instance: Instance) -> bool:
        if self.want is Want.RUNNING:
            return instance.condition.serves and self.version in ("", instance.version)
        gone = self.want is Want.DRAINED or not instance.version  # stopped: there is no process
        return instance.condition is Condition.OUT and gone

    def gave(self, now: float, outcome: Back | Waiting | Fenced) -> list[Action]:
        self.asked = False
        if isinstance(outcome, Back):
            return self._end(f"running {self.runs}", now)
        if isinstance(outcome, Fenced):
            return self._fenced(outcome.part.number, now)
        self.due, self.why = now + AGAIN_S, f"is {outcome.condition.value}"
        return []
