"""Compares fingerprints of rehearsals and of the smaller explorations with the committed ones."""

from __future__ import annotations

import pytest

from tests.compatibility import fingerprints


@pytest.mark.parametrize("name", fingerprints.REHEARSALS)
def test_a_rehearsal_prints_the_committed_bytes(name: str) -> None:
    name = f"rehearsal: {name}"
    assert fingerprints.compute_fingerprints([name], workers=1) == {name: fingerprints.load_committed()[name]}


@pytest.mark.parametrize("name", fingerprints.SMALL)
def test_an_exploration_sees_the_committed_number_of_states(name: str) -> None:
    assert fingerprints.compute_fingerprints([name], workers=1) == {name: fingerprints.load_committed()[name]}


def test_the_file_has_exactly_the_explored_cases() -> None:
    kinds = ("group: ", "lease: ", "account: ", "count: ")
    assert [name for name in fingerprints.load_committed() if name.startswith(kinds)] == fingerprints.EXPLORED


def test_a_difference_is_described_with_both_values() -> None:
    before: dict[str, fingerprints.Fingerprint] = {"a": {"states": 1}, "b": {"states": 2}, "c": {"states": 3}}
    now: dict[str, fingerprints.Fingerprint] = {"b": {"states": 2}, "c": {"states": 4}, "d": {"states": 5}}
    assert fingerprints.differences(before, now) == [
        "c: committed {'states': 3}, now {'states': 4}",
        "d: committed None, now {'states': 5}",
    ]
