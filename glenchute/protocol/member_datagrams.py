"""The form of datagrams between members: MessagePack by msgspec, a version first, every size bounded.

A datagram that is not of this form, of another version or of another fleet is counted and dropped whole.
"""

from __future__ import annotations

import math
import re

import msgspec

from glenchute.policy.membership import direct_messages as directmail
from glenchute.policy.membership import endpoint_sharing as coldstart
from glenchute.policy.membership import gossip, leases, members
from glenchute.policy.membership.gossip import GossipMessage
from glenchute.policy.membership.replica import BUCKETS, Row, RowKind

from .endpoint_list import parse_address

VERSION = 2
MAX_DATAGRAM_BYTES = 4096  # of a datagram; a longer one is not read

MAX_NAME_LENGTH = 64


class Packet(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """A datagram."""

    version: int
    fleet: str
    name: str
    boot: int
    form: int
    body: msgspec.Raw


class SwimBody(msgspec.Struct, array_like=True):
    """A message of membership."""

    kind: int
    serial: int
    about: str
    updates: list[tuple[str, int, int, int]]


class InvalidDatagram(Exception):  # noqa: N818
    """A datagram that is not taken; the text names why, for a counter."""


LEASE = msgspec.msgpack.Decoder(tuple[int, str, tuple[int, str, int], tuple[int, str, int], float, bool])
LIST_FORMS: dict[type, int] = {
    coldstart.VersionReply: 5,
    coldstart.EndpointListPart: 6,
    coldstart.VersionQuery: 7,
}
ENCODER = msgspec.msgpack.Encoder()
PACKET = msgspec.msgpack.Decoder(Packet)
PROBE = msgspec.msgpack.Decoder(SwimBody)
ROWS = msgspec.msgpack.Decoder(list[tuple[int, str, str, int, float, int]])
DIGEST = msgspec.msgpack.Decoder(tuple[int, list[int], bool])
MARKS = msgspec.msgpack.Decoder(tuple[list[int], bool])
DONE = msgspec.msgpack.Decoder(tuple[list[int], bool])
TOLD = msgspec.msgpack.Decoder(tuple[int, int, int])
PART = msgspec.msgpack.Decoder(
    tuple[int, int, int, int, list[tuple[int, str, str, str, int, float, float, int]]]
)
ASK = msgspec.msgpack.Decoder(tuple[int, int])
WANT = msgspec.msgpack.Decoder(tuple[int, list[int]])
ASKED = msgspec.msgpack.Decoder(int)
# An account of 16 hex digits goes as a number. Then the window, after that of the first word; version,
# thousandths of units, and the writer's boot where it is not the sender.
MAIL = msgspec.msgpack.Decoder(tuple[int, bool, bool, int, list[tuple[int | str, int, int, int, int]]])
HEX = re.compile("[0-9a-f]{16}")


MemberMessage = (
    members.SwimMessage
    | GossipMessage
    | coldstart.SharingMessage
    | leases.LeaseMessage
    | directmail.UsageMessage
    | directmail.UsageRequest
)


def encode(fleet: str, name: str, boot: int, body: MemberMessage) -> bytes:
    """A datagram."""
    if isinstance(body, members.SwimMessage):
        words = [(u.name, int(u.state), u.incarnation, u.boot) for u in body.updates]
        form, raw = 0, ENCODER.encode([int(body.kind), body.serial, body.target, words])
    elif isinstance(body, gossip.Delta):
        rows = [(int(r.kind), r.key, r.writer, r.version, r.value, age) for r, age in body.rows]
        form, raw = 1, ENCODER.encode(rows)
    elif isinstance(body, gossip.Digest):
        form, raw = 2, ENCODER.encode((body.bucket, body.hashes, body.is_complete))
    elif isinstance(body, gossip.LeafRequest):
        form, raw = 3, ENCODER.encode((body.bucket, body.leaves))
    elif isinstance(body, gossip.RowHashes):
        form, raw = 9, ENCODER.encode((body.hashes, body.wants_reply))
    elif isinstance(body, gossip.MatchingBuckets):
        form, raw = 4, ENCODER.encode((body.buckets, body.is_complete))
    elif isinstance(body, directmail.UsageMessage):
        form, raw = 10, ENCODER.encode(usage_fields(body))
    elif isinstance(body, directmail.UsageRequest):
        form, raw = 11, ENCODER.encode(body.serial)
    elif isinstance(body, leases.LeaseMessage):
        form, raw = 8, ENCODER.encode((int(body.kind), *body[1:]))
    else:  # about the list of servers
        form, raw = LIST_FORMS[type(body)], ENCODER.encode(tuple(body))
    return ENCODER.encode(Packet(VERSION, fleet, name, boot, form, msgspec.Raw(raw)))


def usage_fields(mail: directmail.UsageMessage) -> tuple[object, ...]:
    """Words of use as they stand in a datagram, 12 to 18 bytes each for the platform's accounts."""
    base, rows = None, []
    for word in mail.entries:
        account, _, window = word.key.rpartition("/")
        base = int(window) if base is None else base
        said = int(account, 16) if HEX.fullmatch(account) else account
        rows.append((said, int(window) - base, word.version, round(1000.0 * word.units), word.boot))
    return mail.serial, mail.is_first, mail.is_complete, base or 0, rows


def decode(fleet: str, data: bytes) -> tuple[str, int, MemberMessage]:
    """Sender's name, its boot, and what it says; Bad where any of it is not sound."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise InvalidDatagram("too long")
    try:
        packet = PACKET.decode(data)
    except (msgspec.DecodeError, RecursionError, ValueError):
        raise InvalidDatagram("noise") from None
    if packet.version != VERSION:
        raise InvalidDatagram("version")
    if packet.fleet != fleet:
        raise InvalidDatagram("fleet")
    if not 0 < len(packet.name) <= MAX_NAME_LENGTH or not 0 <= packet.boot < 1 << 63:
        raise InvalidDatagram("name")
    try:
        return packet.name, packet.boot, decode_body(packet)
    except (msgspec.DecodeError, RecursionError, ValueError):
        raise InvalidDatagram("body") from None


def decode_body(packet: Packet) -> MemberMessage:
    """What a packet of this fleet says."""
    if packet.form == 0:
        probe = PROBE.decode(packet.body)
        if len(probe.updates) > members.MAX_PIGGYBACKED_UPDATES or len(probe.about) > MAX_NAME_LENGTH:
            raise ValueError
        updates = []
        for name, state, incarnation, boot in probe.updates:
            if (
                not 0 < len(name) <= MAX_NAME_LENGTH
                or not -1 <= incarnation < 1 << 62
                or not 0 <= boot < 1 << 63
            ):
                raise ValueError
            updates.append(members.MemberUpdate(name, members.MemberState(state), incarnation, boot))
        return members.SwimMessage(
            members.SwimMessageKind(probe.kind), probe.serial, probe.about, tuple(updates)
        )
    if packet.form == 1:
        told = ROWS.decode(packet.body)
        if len(told) > gossip.MAX_ROWS_PER_MESSAGE:
            raise ValueError
        rows = [(Row(RowKind(k), key, by, ver, value), age) for k, key, by, ver, value, age in told]
        return gossip.Delta(tuple(rows))
    if packet.form == 2:
        bucket, marks, known = DIGEST.decode(packet.body)
        if not -1 <= bucket < BUCKETS or len(marks) != BUCKETS:
            raise ValueError
        return gossip.Digest(bucket, tuple(marks), known)
    if packet.form == 3:
        bucket, leaves = WANT.decode(packet.body)
        if len(leaves) > BUCKETS:
            raise ValueError
        return gossip.LeafRequest(bucket, tuple(leaves))
    if packet.form == 4:
        buckets, known = DONE.decode(packet.body)
        return gossip.MatchingBuckets(tuple(buckets), known)
    if packet.form == 5:
        return coldstart.VersionReply(*TOLD.decode(packet.body))
    if packet.form == 6:
        since, version, at, of, raw = PART.decode(packet.body)
        if len(raw) > coldstart.MAX_ROWS_PER_PART or not 0 <= at < of <= coldstart.MAX_PARTS:
            raise ValueError
        servers = tuple(coldstart.SharedEndpoint(*row) for row in raw)
        for one in servers:
            if one.address:
                parse_address(one.address)  # a ValueError where it is none
            if not (0.0 < one.weight < math.inf and 0.0 <= one.started_ms < math.inf and 0 <= one.state <= 2):
                raise ValueError
        return coldstart.EndpointListPart(since, version, at, of, servers)
    if packet.form == 7:
        return coldstart.VersionQuery(*ASK.decode(packet.body))
    if packet.form == 8:
        kind, task, ballot, holder, span, ready = LEASE.decode(packet.body)
        if (
            len(task) > MAX_NAME_LENGTH
            or len(ballot[1]) > MAX_NAME_LENGTH
            or len(holder[1]) > MAX_NAME_LENGTH
            or not 0.0 <= span < 1e4
        ):
            raise ValueError
        if not all(0 <= n < 1 << 62 for n in (ballot[0], ballot[2], holder[0], holder[2])):
            raise ValueError
        made = leases.Ballot(*ballot), leases.Ballot(*holder)
        return leases.LeaseMessage(leases.LeaseMessageKind(kind), task, *made, span, ready)
    if packet.form == 9:
        marks, answer = MARKS.decode(packet.body)
        if len(marks) > gossip.MAX_ROW_HASHES:
            raise ValueError
        return gossip.RowHashes(tuple(marks), answer)
    if packet.form == 10:
        serial, first, whole, base, words = MAIL.decode(packet.body)
        if len(words) > directmail.MAX_ENTRIES_PER_MESSAGE or not 0 <= serial < 1 << 62:
            raise ValueError
        return directmail.UsageMessage(
            serial, first, whole, tuple(usage_entry(base, *word) for word in words)
        )
    if packet.form == 11:
        return directmail.UsageRequest(ASKED.decode(packet.body))
    raise ValueError


def usage_entry(
    base: int, account: int | str, window: int, version: int, units: int, boot: int
) -> directmail.UsageEntry:  # fmt: skip
    """One word. ValueError where its account or a number can be none."""
    name = f"{account:016x}" if isinstance(account, int) else account
    if not 0 < len(name) <= MAX_NAME_LENGTH or not 0 <= boot < 1 << 63 or units < 0 or version < 0:
        raise ValueError
    return directmail.UsageEntry(f"{name}/{base + window}", version, units / 1000.0, boot)
