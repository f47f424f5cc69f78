"""The check of the sizes that chunks announce, for every way in which a response can be split into reads."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from heronreel.proxy.chunk_sizes import ChunkSizeCheck
from heronreel.proxy.streams import MAX_BODY_BYTES

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SIZES = st.lists(st.integers(1, 300), max_size=6)


def is_allowed(head: bytes, body: bytes, cuts: list[int]) -> bool:
    """Feed a response in pieces, as a connection does, and return whether every piece was allowed."""
    check, whole, begun = ChunkSizeCheck(), head + body, 0
    for start, end in zip([0, *cuts], [*cuts, len(whole)], strict=True):
        data = whole[start:end]
        if begun:
            allowed = check.allows(data)
        elif end >= len(head):
            begun, allowed = 1, check.begin(data, 1)
        else:
            check.note_head(data)
            continue
        if not allowed:
            return False
    return True


@given(st.data(), SIZES, st.booleans())
def test_only_a_chunk_that_no_body_may_have_is_found(
    data: st.DataObject, sizes: list[int], huge: bool
) -> None:
    body = b"".join(b"%x;a=b\r\n%b\r\n" % (size, b"1" * size) for size in sizes)
    body += (b"%X\r\nx" % (MAX_BODY_BYTES + 1)) if huge else b"0\r\n\r\n"
    cuts = sorted(data.draw(st.lists(st.integers(1, len(HEAD + body)), max_size=5)))
    assert is_allowed(HEAD, body, cuts) is not huge


def test_the_body_begins_after_the_heads_of_interim_responses() -> None:
    received = b"HTTP/1.1 103 Early Hints\r\n\r\n" + HEAD
    assert ChunkSizeCheck().begin(received + b"5\r\nhello\r\n", 2)
    assert not ChunkSizeCheck().begin(received + b"ffffffffff\r\nhello", 2)
