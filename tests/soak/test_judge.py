"""The judge of the soak finds each break in records that are made up, and none in those of usual runs."""

from dataclasses import replace

import pytest

from heronreel.soak.judge import Rule, judge
from heronreel.soak.plan import ClientKind, draw_plan
from heronreel.soak.records import AttemptRecord, End, LifeRecord, RequestRecord, RunRecord

SENT_AT = 100.0
SERVED = RequestRecord(
    "r1", "save", ClientKind.STEADY, "n0", 0.5, 1, 0, SENT_AT, sent_at=SENT_AT, status=200, ended_at=100.1
)
UNANSWERED = replace(SERVED, status=None, ended_at=SENT_AT + 0.01)
ATTEMPT = AttemptRecord("r1", "b1", SENT_AT + 0.001, 499, SENT_AT + 0.1, complete=True)
LIFE = LifeRecord("n0", 99.0, 100.0, 101.0, 0)


def broken(request: RequestRecord, *attempts: AttemptRecord, life: LifeRecord = LIFE) -> list[Rule]:
    records = RunRecord({request.ident: request}, list(attempts), [life])
    return [breach.rule for breach in judge(records).breaches]


def test_usual_ends_break_no_rule() -> None:
    assert broken(SERVED, ATTEMPT) == []
    assert broken(replace(UNANSWERED, end=End.EOF)) == []  # it crossed the end, unread
    assert broken(replace(UNANSWERED, end=End.LEFT), ATTEMPT) == []
    assert broken(replace(UNANSWERED, sent_at=None, end=End.EOF)) == []  # it was never complete


@pytest.mark.parametrize(
    ("request_record", "attempts", "rule"),
    [
        (replace(UNANSWERED, end=End.EOF), [ATTEMPT], Rule.LOST),
        (replace(UNANSWERED, end=End.RESET), [ATTEMPT], Rule.LOST),
        (replace(UNANSWERED, end=End.RESET), [], Rule.RESET),
        (replace(UNANSWERED, end=End.EOF, ended_at=SENT_AT + 0.3), [], Rule.UNANSWERED),
        (replace(UNANSWERED, end=End.WAITED, ended_at=SENT_AT + 4.0), [], Rule.UNANSWERED),
        (replace(SERVED, ended_at=SENT_AT + 1.2), [ATTEMPT], Rule.LATE),
        (
            replace(UNANSWERED, end=End.LEFT),
            [replace(ATTEMPT, began_at=SENT_AT + 0.4, told_ms=9)],
            Rule.AFTER_END,
        ),
        (SERVED, [replace(ATTEMPT, told_ms=900)], Rule.TOLD_TOO_MUCH),
        (replace(SERVED, class_name="pay"), [ATTEMPT, ATTEMPT], Rule.REPEATED),
    ],
)
def test_each_break_is_found(
    request_record: RequestRecord, attempts: list[AttemptRecord], rule: Rule
) -> None:
    assert broken(request_record, *attempts) == [rule]


def test_ends_of_processes_are_judged() -> None:
    assert broken(SERVED, life=replace(LIFE, killed=True)) == [Rule.NOT_ENDED]
    assert broken(SERVED, life=replace(LIFE, exit_code=1)) == [Rule.CRASHED]
    assert broken(SERVED, life=replace(LIFE, log=["Traceback (most recent call last):"])) == [Rule.CRASHED]


def test_an_unsafe_request_that_never_ran_may_be_sent_again() -> None:
    pay = replace(SERVED, class_name="pay")
    assert broken(pay, replace(ATTEMPT, not_run=True), ATTEMPT) == []
    assert broken(pay, replace(ATTEMPT, complete=False), ATTEMPT) == []


def test_hold_ups_of_the_run_are_allowed_for() -> None:
    late = replace(SERVED, ended_at=SENT_AT + 1.15)
    assert broken(late, ATTEMPT, life=replace(LIFE, held_s=0.15)) == []


def test_a_seed_draws_the_same_plan_again() -> None:
    assert draw_plan(7) == draw_plan(7) != draw_plan(8)
