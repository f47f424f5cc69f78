"""The judge of the soak reports each kind of breach in constructed records, and none in correct ones."""

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


def broken_rules(request: RequestRecord, *attempts: AttemptRecord, life: LifeRecord = LIFE) -> list[Rule]:
    records = RunRecord({request.request_id: request}, list(attempts), [life])
    return [breach.rule for breach in judge(records).breaches]


def test_ordinary_ends_of_requests_break_no_rule() -> None:
    assert broken_rules(SERVED, ATTEMPT) == []
    assert broken_rules(replace(UNANSWERED, end=End.EOF)) == []  # crossed the close of the connection, unread
    assert broken_rules(replace(UNANSWERED, end=End.LEFT), ATTEMPT) == []
    assert broken_rules(replace(UNANSWERED, sent_at=None, end=End.EOF)) == []  # was never sent completely


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
            [replace(ATTEMPT, began_at=SENT_AT + 0.4, deadline_ms=9)],
            Rule.AFTER_END,
        ),
        (SERVED, [replace(ATTEMPT, deadline_ms=900)], Rule.TOLD_TOO_MUCH),
        (replace(SERVED, class_name="pay"), [ATTEMPT, ATTEMPT], Rule.REPEATED),
    ],
)
def test_the_judge_reports_each_kind_of_breach(
    request_record: RequestRecord, attempts: list[AttemptRecord], rule: Rule
) -> None:
    assert broken_rules(request_record, *attempts) == [rule]


def test_a_killed_or_crashed_process_is_a_breach() -> None:
    assert broken_rules(SERVED, life=replace(LIFE, killed=True)) == [Rule.NOT_ENDED]
    assert broken_rules(SERVED, life=replace(LIFE, exit_code=1)) == [Rule.CRASHED]
    assert broken_rules(SERVED, life=replace(LIFE, log=["Traceback (most recent call last):"])) == [
        Rule.CRASHED
    ]


def test_an_unsafe_request_that_did_not_run_may_be_sent_again() -> None:
    pay = replace(SERVED, class_name="pay")
    assert broken_rules(pay, replace(ATTEMPT, not_run=True), ATTEMPT) == []
    assert broken_rules(pay, replace(ATTEMPT, complete=False), ATTEMPT) == []


def test_time_limits_are_extended_while_the_process_is_stopped() -> None:
    late = replace(SERVED, ended_at=SENT_AT + 1.15)
    assert broken_rules(late, ATTEMPT, life=replace(LIFE, held_s=0.15)) == []


def test_the_same_seed_draws_the_same_plan() -> None:
    assert draw_plan(7) == draw_plan(7) != draw_plan(8)
