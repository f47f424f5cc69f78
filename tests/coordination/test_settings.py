"""Configuration files of groups."""

from __future__ import annotations

import pytest

from heronreel.coordination.settings import parse_group
from heronreel.leases.errors import InvalidLeaseTermsError
from heronreel.leases.lease import LeaseTerms
from heronreel.routes.reader import ConfigFileError

MEMBER_TABLE = '[[members]]\nname = "{}"\naddress = "127.0.0.1:{}"\n'
THREE_MEMBERS = "".join(MEMBER_TABLE.format(name, 9001 + index) for index, name in enumerate("abc"))


@pytest.mark.parametrize(
    ("text", "line", "field", "expected_message"),
    [
        (THREE_MEMBERS + MEMBER_TABLE.format("b", 9009), 10, "members.b", "is already used on line 4"),
        (
            THREE_MEMBERS.replace("9002", "9001"),
            4,
            "members.b",
            "address '127.0.0.1:9001' is already used on line 1",
        ),
        (MEMBER_TABLE.format("a", 1) + MEMBER_TABLE.format("b", 2), 1, "members", "even = true"),
        ("[group]\nlease_s = 4\n" + THREE_MEMBERS, 2, "group.lease_s", "at least 6"),
        ("[group]\npatience_ms = 200\n" + THREE_MEMBERS, 2, "group.patience_ms", "at least 300"),
        ("[group]\nclock_drift = 0.5\n" + THREE_MEMBERS, 2, "group.clock_drift", "a share from 0 to 0.2"),
        ("[group]\nlaese_s = 9\n" + THREE_MEMBERS, 2, "group.laese_s", "did you mean 'lease_s'"),
        ("[[members]]\nname = \"A b\"\naddress = \"x\"\n", 2, "members.A b.name", "lower-case letters"),
        ("", 0, "members", "at least one"),
    ],
)  # fmt: skip
def test_invalid_files_are_rejected_with_line_and_field(
    text: str, line: int, field: str, expected_message: str
) -> None:
    with pytest.raises(ConfigFileError) as raised:
        parse_group(text.encode())
    matching = [problem for problem in raised.value.problems if expected_message in str(problem)]
    assert matching, raised.value.problems
    assert matching[0].line == line and field in str(matching[0])


def test_an_even_number_of_members_is_accepted_if_the_file_allows_it() -> None:
    text = "[group]\neven = true\n" + MEMBER_TABLE.format("a", 1) + MEMBER_TABLE.format("b", 2)
    assert [member.name for member in parse_group(text.encode()).members] == ["a", "b"]
    LeaseTerms().validate()
    with pytest.raises(InvalidLeaseTermsError, match="need 6 s"):
        LeaseTerms(ttl_s=3, safety_margin_s=1.0, response_timeout_s=1.0).validate()
