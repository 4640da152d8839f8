"""Encoding and decoding of the datagrams between members: MessagePack, a version first, all sizes limited.

A datagram that is malformed, of another version or of another fleet raises InvalidDatagram: the caller drops
it as a whole and counts it by the reason.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from enum import IntEnum

import msgspec

from glenchute.policy.membership import direct_messages, endpoint_sharing, gossip, leases, members
from glenchute.policy.membership.replica import BUCKETS, Row, RowKind

from .endpoint_list import parse_address

VERSION = 2
MAX_DATAGRAM_BYTES = 4096  # a longer one is not decoded
MAX_NAME_LENGTH = 64
MAX_BOOT = 1 << 63
MAX_SERIAL = 1 << 62  # upper limit, exclusive, of incarnations, ballot numbers and serials
MAX_LEASE_SPAN_S = 1e4
HEX_ACCOUNT = re.compile("[0-9a-f]{16}")


class BodyType(IntEnum):
    """The type of a datagram's body, by its number on the wire."""

    SWIM = 0
    DELTA = 1
    DIGEST = 2
    LEAF_REQUEST = 3
    MATCHING_BUCKETS = 4
    VERSION_REPLY = 5
    LIST_PART = 6
    VERSION_QUERY = 7
    LEASE = 8
    ROW_HASHES = 9
    USAGE = 10
    USAGE_REQUEST = 11


class Packet(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """A datagram; `body_type` says how `body` is decoded."""

    version: int
    fleet: str
    name: str
    boot: int
    body_type: int
    body: msgspec.Raw


class SwimBody(msgspec.Struct, array_like=True):
    """The body of a SWIM message; an update is name, state, incarnation and boot."""

    kind: int
    serial: int
    target: str
    updates: list[tuple[str, int, int, int]]


class InvalidDatagram(Exception):  # noqa: N818
    """A datagram is invalid; the text is the reason, under which it is counted."""


MemberMessage = (
    members.SwimMessage
    | gossip.GossipMessage
    | endpoint_sharing.SharingMessage
    | leases.LeaseMessage
    | direct_messages.DirectMessage
)

ENCODER = msgspec.msgpack.Encoder()
PACKET_DECODER = msgspec.msgpack.Decoder(Packet)
SWIM_DECODER = msgspec.msgpack.Decoder(SwimBody)
LEASE_DECODER = msgspec.msgpack.Decoder(
    tuple[int, str, tuple[int, str, int], tuple[int, str, int], float, bool]
)
DELTA_DECODER = msgspec.msgpack.Decoder(list[tuple[int, str, str, int, float, int]])
DIGEST_DECODER = msgspec.msgpack.Decoder(tuple[int, list[int], bool])
HASHES_OR_BUCKETS_DECODER = msgspec.msgpack.Decoder(tuple[list[int], bool])
LEAF_REQUEST_DECODER = msgspec.msgpack.Decoder(tuple[int, list[int]])
VERSION_REPLY_DECODER = msgspec.msgpack.Decoder(tuple[int, int, int])
LIST_PART_DECODER = msgspec.msgpack.Decoder(
    tuple[int, int, int, int, list[tuple[int, str, str, str, int, float, float, int]]]
)
VERSION_QUERY_DECODER = msgspec.msgpack.Decoder(tuple[int, int])
USAGE_REQUEST_DECODER = msgspec.msgpack.Decoder(int)
# The fields are: serial, is first, is complete, the window of the first entry, and the entries. An entry is
# the account, as a number if it consists of 16 hex digits; its window minus that of the first entry; version;
# thousandths of units; and 0, or the boot of the process that admitted the units if that is not the sender.
USAGE_DECODER = msgspec.msgpack.Decoder(
    tuple[int, bool, bool, int, list[tuple[int | str, int, int, int, int]]]
)


def encode(fleet: str, name: str, boot: int, message: MemberMessage) -> bytes:
    """Encodes a message as a datagram of the process `boot` of member `name`."""
    body_type, fields = body_fields(message)
    body = msgspec.Raw(ENCODER.encode(fields))
    return ENCODER.encode(Packet(VERSION, fleet, name, boot, int(body_type), body))


def body_fields(message: MemberMessage) -> tuple[BodyType, object]:
    """Returns a message's body type, and its fields as they are encoded."""
    match message:
        case members.SwimMessage(kind, serial, target, updates):
            rows = [(update.name, int(update.state), update.incarnation, update.boot) for update in updates]
            return BodyType.SWIM, [int(kind), serial, target, rows]
        case gossip.Delta(rows_with_ages):
            return BodyType.DELTA, [
                (int(row.kind), row.key, row.writer, row.version, row.value, age_ms)
                for row, age_ms in rows_with_ages
            ]
        case gossip.Digest():
            return BodyType.DIGEST, (message.bucket, message.hashes, message.is_complete)
        case gossip.LeafRequest():
            return BodyType.LEAF_REQUEST, (message.bucket, message.leaves)
        case gossip.RowHashes():
            return BodyType.ROW_HASHES, (message.hashes, message.wants_reply)
        case gossip.MatchingBuckets():
            return BodyType.MATCHING_BUCKETS, (message.buckets, message.is_complete)
        case direct_messages.UsageMessage():
            return BodyType.USAGE, usage_fields(message)
        case direct_messages.UsageRequest():
            return BodyType.USAGE_REQUEST, message.serial
        case leases.LeaseMessage():
            return BodyType.LEASE, (int(message.kind), *message[1:])
        case endpoint_sharing.VersionReply():
            return BodyType.VERSION_REPLY, tuple(message)
        case endpoint_sharing.EndpointListPart():
            return BodyType.LIST_PART, tuple(message)
        case endpoint_sharing.VersionQuery():
            return BodyType.VERSION_QUERY, tuple(message)


def usage_fields(message: direct_messages.UsageMessage) -> tuple[object, ...]:
    """Returns a usage message's fields. An entry takes 12 to 18 bytes if its account has 16 hex digits."""
    first_window, rows = None, []
    for entry in message.entries:
        account, _, window = entry.key.rpartition("/")
        first_window = int(window) if first_window is None else first_window
        encoded_account = int(account, 16) if HEX_ACCOUNT.fullmatch(account) else account
        units = round(1000.0 * entry.units)
        rows.append((encoded_account, int(window) - first_window, entry.version, units, entry.boot))
    return message.serial, message.is_first, message.is_complete, first_window or 0, rows


def decode(fleet: str, data: bytes) -> tuple[str, int, MemberMessage]:
    """Returns the sender's name, its boot and its message; raises InvalidDatagram if any of it is invalid."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise InvalidDatagram("too long")
    try:
        packet = PACKET_DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError, ValueError):
        raise InvalidDatagram("noise") from None
    if packet.version != VERSION:
        raise InvalidDatagram("version")
    if packet.fleet != fleet:
        raise InvalidDatagram("fleet")
    if not 0 < len(packet.name) <= MAX_NAME_LENGTH or not 0 <= packet.boot < MAX_BOOT:
        raise InvalidDatagram("name")
    decode_body = BODY_DECODERS.get(packet.body_type)
    if decode_body is None:
        raise InvalidDatagram("body")
    try:
        return packet.name, packet.boot, decode_body(packet.body)
    except (msgspec.DecodeError, RecursionError, ValueError):
        raise InvalidDatagram("body") from None


# --- bodies by type; each function raises ValueError or msgspec.DecodeError if the body is malformed ------


def decode_swim(body: msgspec.Raw) -> members.SwimMessage:
    """Decodes a SWIM message with its piggybacked updates."""
    fields = SWIM_DECODER.decode(body)
    if len(fields.updates) > members.MAX_PIGGYBACKED_UPDATES or len(fields.target) > MAX_NAME_LENGTH:
        raise ValueError
    updates = []
    for name, state, incarnation, boot in fields.updates:
        is_bounded = -1 <= incarnation < MAX_SERIAL and 0 <= boot < MAX_BOOT
        if not 0 < len(name) <= MAX_NAME_LENGTH or not is_bounded:
            raise ValueError
        updates.append(members.MemberUpdate(name, members.MemberState(state), incarnation, boot))
    kind = members.SwimMessageKind(fields.kind)
    return members.SwimMessage(kind, fields.serial, fields.target, tuple(updates))


def decode_delta(body: msgspec.Raw) -> gossip.Delta:
    """Decodes rows; the replica checks later whether each is valid."""
    fields = DELTA_DECODER.decode(body)
    if len(fields) > gossip.MAX_ROWS_PER_MESSAGE:
        raise ValueError
    return gossip.Delta(
        tuple(
            (Row(RowKind(kind), key, writer, version, value), age_ms)
            for kind, key, writer, version, value, age_ms in fields
        )
    )


def decode_digest(body: msgspec.Raw) -> gossip.Digest:
    """Decodes a digest of all buckets, or of one bucket's leaves."""
    bucket, hashes, is_complete = DIGEST_DECODER.decode(body)
    if not gossip.ALL_BUCKETS <= bucket < BUCKETS or len(hashes) != BUCKETS:
        raise ValueError
    return gossip.Digest(bucket, tuple(hashes), is_complete)


def decode_leaf_request(body: msgspec.Raw) -> gossip.LeafRequest:
    """Decodes a request for the rows of some leaves."""
    bucket, leaves = LEAF_REQUEST_DECODER.decode(body)
    if len(leaves) > BUCKETS:
        raise ValueError
    return gossip.LeafRequest(bucket, tuple(leaves))


def decode_matching_buckets(body: msgspec.Raw) -> gossip.MatchingBuckets:
    """Decodes the numbers of buckets that match the sender's."""
    buckets, is_complete = HASHES_OR_BUCKETS_DECODER.decode(body)
    return gossip.MatchingBuckets(tuple(buckets), is_complete)


def decode_row_hashes(body: msgspec.Raw) -> gossip.RowHashes:
    """Decodes short hashes of rows."""
    hashes, wants_reply = HASHES_OR_BUCKETS_DECODER.decode(body)
    if len(hashes) > gossip.MAX_ROW_HASHES:
        raise ValueError
    return gossip.RowHashes(tuple(hashes), wants_reply)


def decode_version_reply(body: msgspec.Raw) -> endpoint_sharing.VersionReply:
    """Decodes a version of the shared list and its age."""
    return endpoint_sharing.VersionReply(*VERSION_REPLY_DECODER.decode(body))


def decode_list_part(body: msgspec.Raw) -> endpoint_sharing.EndpointListPart:
    """Decodes a part of the shared list or of changes to it."""
    base_version, version, part_number, part_count, rows = LIST_PART_DECODER.decode(body)
    is_numbered = 0 <= part_number < part_count <= endpoint_sharing.MAX_PARTS
    if len(rows) > endpoint_sharing.MAX_ROWS_PER_PART or not is_numbered:
        raise ValueError
    endpoints = tuple(endpoint_sharing.SharedEndpoint(*row) for row in rows)
    for endpoint in endpoints:
        if endpoint.address:
            parse_address(endpoint.address)  # raises a ValueError if it is invalid
        is_finite = 0.0 < endpoint.weight < math.inf and 0.0 <= endpoint.started_ms < math.inf
        if not is_finite or not 0 <= endpoint.state <= endpoint_sharing.REMOVED_RANK:
            raise ValueError
    return endpoint_sharing.EndpointListPart(base_version, version, part_number, part_count, endpoints)


def decode_version_query(body: msgspec.Raw) -> endpoint_sharing.VersionQuery:
    """Decodes a query for the changes after a version."""
    return endpoint_sharing.VersionQuery(*VERSION_QUERY_DECODER.decode(body))


def decode_lease(body: msgspec.Raw) -> leases.LeaseMessage:
    """Decodes a message of the PaxosLease algorithm."""
    kind, task, ballot, known_ballot, span_s, has_recovered = LEASE_DECODER.decode(body)
    names = task, ballot[1], known_ballot[1]
    if max(map(len, names)) > MAX_NAME_LENGTH or not 0.0 <= span_s < MAX_LEASE_SPAN_S:
        raise ValueError
    numbers = ballot[0], ballot[2], known_ballot[0], known_ballot[2]
    if not all(0 <= number < MAX_SERIAL for number in numbers):
        raise ValueError
    return leases.LeaseMessage(
        leases.LeaseMessageKind(kind),
        task,
        leases.Ballot(*ballot),
        leases.Ballot(*known_ballot),
        span_s,
        has_recovered,
    )


def decode_usage(body: msgspec.Raw) -> direct_messages.UsageMessage:
    """Decodes the usage of accounts in their windows."""
    serial, is_first, is_complete, first_window, rows = USAGE_DECODER.decode(body)
    if len(rows) > direct_messages.MAX_ENTRIES_PER_MESSAGE or not 0 <= serial < MAX_SERIAL:
        raise ValueError
    entries = tuple(usage_entry(first_window, *row) for row in rows)
    return direct_messages.UsageMessage(serial, is_first, is_complete, entries)


def usage_entry(
    first_window: int, account: int | str, window: int, version: int, units: int, boot: int
) -> direct_messages.UsageEntry:
    """Returns an entry of a usage message; raises ValueError if its account or a number is out of range."""
    name = f"{account:016x}" if isinstance(account, int) else account
    if not 0 < len(name) <= MAX_NAME_LENGTH or not 0 <= boot < MAX_BOOT or units < 0 or version < 0:
        raise ValueError
    return direct_messages.UsageEntry(f"{name}/{first_window + window}", version, units / 1000.0, boot)


def decode_usage_request(body: msgspec.Raw) -> direct_messages.UsageRequest:
    """Decodes a request for the usage after a serial."""
    return direct_messages.UsageRequest(USAGE_REQUEST_DECODER.decode(body))


BODY_DECODERS: dict[int, Callable[[msgspec.Raw], MemberMessage]] = {
    BodyType.SWIM: decode_swim,
    BodyType.DELTA: decode_delta,
    BodyType.DIGEST: decode_digest,
    BodyType.LEAF_REQUEST: decode_leaf_request,
    BodyType.MATCHING_BUCKETS: decode_matching_buckets,
    BodyType.VERSION_REPLY: decode_version_reply,
    BodyType.LIST_PART: decode_list_part,
    BodyType.VERSION_QUERY: decode_version_query,
    BodyType.LEASE: decode_lease,
    BodyType.ROW_HASHES: decode_row_hashes,
    BodyType.USAGE: decode_usage,
    BodyType.USAGE_REQUEST: decode_usage_request,
}
