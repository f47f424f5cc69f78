"""The records of the replicated map that describe the group itself."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
from immutables import Map

from heronreel.coordination.ballots import Version
from heronreel.coordination.keyspace import Content

MEMBERSHIP_KEY = b"g"  # The record maps the name of each member to its incarnation.
# The record maps the name of each member to the newest version that is known to be on its disk.
CONFIRMED_VERSIONS_KEY = b"c"


def encode_membership(members: Mapping[str, str]) -> bytes:
    """Encode the membership record: incarnations by member name, in the given order."""
    return msgspec.msgpack.encode(dict(members))


def encode_confirmed_versions(versions: Mapping[str, Version]) -> bytes:
    """Encode the record of confirmed versions by member name, in the given order."""
    return msgspec.msgpack.encode(dict(versions))


def decode_membership(content: Content, default: Map[str, str]) -> Map[str, str]:
    """Return the incarnations by member name, or `default` if the map has no membership record.

    Raises:
        msgspec.DecodeError: the record is malformed.
    """
    data = content.get(MEMBERSHIP_KEY)
    return default if data is None else Map(msgspec.msgpack.decode(data, type=dict[str, str]))


def decode_confirmed_versions(content: Content, default: Map[str, Version]) -> Map[str, Version]:
    """Return the confirmed versions by member name, or `default` if the map has no such record.

    Raises:
        msgspec.DecodeError: the record is malformed.
    """
    data = content.get(CONFIRMED_VERSIONS_KEY)
    return default if data is None else Map(msgspec.msgpack.decode(data, type=dict[str, Version]))
