"""The records of the replicated map that describe the group itself."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
from immutables import Map

from heronreel.coordination.ballots import Version
from heronreel.coordination.keyspace import Content

MEMBERSHIP_KEY = b"g"  # the incarnation of each member, by name
CONFIRMED_VERSIONS_KEY = b"c"  # the version that each member is known to have on its disk, by name


def encode_membership(members: Mapping[str, str]) -> bytes:
    """The membership record: incarnations by name, in the order given."""
    return msgspec.msgpack.encode(dict(members))


def encode_confirmed_versions(versions: Mapping[str, Version]) -> bytes:
    """The record of confirmed versions by name, in the order given."""
    return msgspec.msgpack.encode(dict(versions))


def decode_membership(content: Content, default: Map[str, str]) -> Map[str, str]:
    """The incarnations of a map by name, or `default` if it has no such record.

    Raises:
        msgspec.DecodeError: the record is malformed.
    """
    data = content.get(MEMBERSHIP_KEY)
    return default if data is None else Map(msgspec.msgpack.decode(data, type=dict[str, str]))


def decode_confirmed_versions(content: Content, default: Map[str, Version]) -> Map[str, Version]:
    """The confirmed versions of a map by name, or `default` if it has no such record.

    Raises:
        msgspec.DecodeError: the record is malformed.
    """
    data = content.get(CONFIRMED_VERSIONS_KEY)
    return default if data is None else Map(msgspec.msgpack.decode(data, type=dict[str, Version]))
