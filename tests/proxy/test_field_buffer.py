"""The buffer of header fields, compared with the list that it replaces."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heronreel.proxy.errors import UnreadableMessageError
from heronreel.proxy.field_buffer import FieldBuffer

TEXT = st.binary(max_size=20).filter(lambda text: b"\n" not in text)


@given(st.lists(st.tuples(TEXT, TEXT), max_size=8))
def test_the_fields_come_back_in_order_and_the_buffer_is_empty_then(
    fields: list[tuple[bytes, bytes]],
) -> None:
    buffer = FieldBuffer()
    for name, value in fields:
        buffer.add(name, value)
    assert buffer.count == len(fields)
    assert buffer.take() == [(name.lower(), value.rstrip(b" \t")) for name, value in fields]
    assert buffer.count == 0 and buffer.take() == []


@pytest.mark.parametrize(("name", "value"), [(b"a\nb", b"c"), (b"a", b"b\nc")])
def test_a_field_that_contains_the_end_of_a_line_is_refused(name: bytes, value: bytes) -> None:
    with pytest.raises(UnreadableMessageError):
        FieldBuffer().add(name, value)
