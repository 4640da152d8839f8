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
from glenchute.policy.membership.gossip import Body
from glenchute.policy.membership.replica import BUCKETS, Kind, Row

from .endpoint_list import parse_address

VERSION = 2
MOST_BYTES = 4096  # of a datagram; a longer one is not read

NAME = 64


class Packet(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """A datagram."""

    version: int
    fleet: str
    name: str
    boot: int
    form: int
    body: msgspec.Raw


class Probe(msgspec.Struct, array_like=True):
    """A message of membership."""

    kind: int
    serial: int
    about: str
    updates: list[tuple[str, int, int, int]]


class Bad(Exception):  # noqa: N818
    """A datagram that is not taken; the text names why, for a counter."""


LEASE = msgspec.msgpack.Decoder(tuple[int, str, tuple[int, str, int], tuple[int, str, int], float, bool])
LIST_FORMS: dict[type, int] = {coldstart.Told: 5, coldstart.Part: 6, coldstart.Ask: 7}
ENCODER = msgspec.msgpack.Encoder()
PACKET = msgspec.msgpack.Decoder(Packet)
PROBE = msgspec.msgpack.Decoder(Probe)
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


Said = members.Message | Body | coldstart.Body | leases.Lease | directmail.Mail | directmail.Asked


def encode(fleet: str, name: str, boot: int, body: Said) -> bytes:
    """A datagram."""
    if isinstance(body, members.Message):
        words = [(u.name, int(u.state), u.incarnation, u.boot) for u in body.updates]
        form, raw = 0, ENCODER.encode([int(body.kind), body.serial, body.about, words])
    elif isinstance(body, gossip.Rows):
        rows = [(int(r.kind), r.key, r.writer, r.version, r.value, age) for r, age in body.rows]
        form, raw = 1, ENCODER.encode(rows)
    elif isinstance(body, gossip.Digest):
        form, raw = 2, ENCODER.encode((body.bucket, body.marks, body.known))
    elif isinstance(body, gossip.Want):
        form, raw = 3, ENCODER.encode((body.bucket, body.leaves))
    elif isinstance(body, gossip.Marks):
        form, raw = 9, ENCODER.encode((body.marks, body.answer))
    elif isinstance(body, gossip.Done):
        form, raw = 4, ENCODER.encode((body.buckets, body.known))
    elif isinstance(body, directmail.Mail):
        form, raw = 10, ENCODER.encode(mail_of(body))
    elif isinstance(body, directmail.Asked):
        form, raw = 11, ENCODER.encode(body.serial)
    elif isinstance(body, leases.Lease):
        form, raw = 8, ENCODER.encode((int(body.kind), *body[1:]))
    else:  # about the list of servers
        form, raw = LIST_FORMS[type(body)], ENCODER.encode(tuple(body))
    return ENCODER.encode(Packet(VERSION, fleet, name, boot, form, msgspec.Raw(raw)))


def mail_of(mail: directmail.Mail) -> tuple[object, ...]:
    """Words of use as they stand in a datagram, 12 to 18 bytes each for the platform's accounts."""
    base, rows = None, []
    for word in mail.words:
        account, _, window = word.key.rpartition("/")
        base = int(window) if base is None else base
        said = int(account, 16) if HEX.fullmatch(account) else account
        rows.append((said, int(window) - base, word.version, round(1000.0 * word.units), word.boot))
    return mail.serial, mail.first, mail.whole, base or 0, rows


def decode(fleet: str, data: bytes) -> tuple[str, int, Said]:
    """Sender's name, its boot, and what it says; Bad where any of it is not sound."""
    if len(data) > MOST_BYTES:
        raise Bad("too long")
    try:
        packet = PACKET.decode(data)
    except (msgspec.DecodeError, RecursionError, ValueError):
        raise Bad("noise") from None
    if packet.version != VERSION:
        raise Bad("version")
    if packet.fleet != fleet:
        raise Bad("fleet")
    if not 0 < len(packet.name) <= NAME or not 0 <= packet.boot < 1 << 63:
        raise Bad("name")
    try:
        return packet.name, packet.boot, body_of(packet)
    except (msgspec.DecodeError, RecursionError, ValueError):
        raise Bad("body") from None


def body_of(packet: Packet) -> Said:
    """What a packet of this fleet says."""
    if packet.form == 0:
        probe = PROBE.decode(packet.body)
        if len(probe.updates) > members.PIGGYBACK or len(probe.about) > NAME:
            raise ValueError
        updates = []
        for name, state, incarnation, boot in probe.updates:
            if not 0 < len(name) <= NAME or not -1 <= incarnation < 1 << 62 or not 0 <= boot < 1 << 63:
                raise ValueError
            updates.append(members.Update(name, members.State(state), incarnation, boot))
        return members.Message(members.Kind(probe.kind), probe.serial, probe.about, tuple(updates))
    if packet.form == 1:
        told = ROWS.decode(packet.body)
        if len(told) > gossip.MOST_ROWS:
            raise ValueError
        rows = [(Row(Kind(k), key, by, ver, value), age) for k, key, by, ver, value, age in told]
        return gossip.Rows(tuple(rows))
    if packet.form == 2:
        bucket, marks, known = DIGEST.decode(packet.body)
        if not -1 <= bucket < BUCKETS or len(marks) != BUCKETS:
            raise ValueError
        return gossip.Digest(bucket, tuple(marks), known)
    if packet.form == 3:
        bucket, leaves = WANT.decode(packet.body)
        if len(leaves) > BUCKETS:
            raise ValueError
        return gossip.Want(bucket, tuple(leaves))
    if packet.form == 4:
        buckets, known = DONE.decode(packet.body)
        return gossip.Done(tuple(buckets), known)
    if packet.form == 5:
        return coldstart.Told(*TOLD.decode(packet.body))
    if packet.form == 6:
        since, version, at, of, raw = PART.decode(packet.body)
        if len(raw) > coldstart.MOST_ROWS or not 0 <= at < of <= coldstart.MOST_PARTS:
            raise ValueError
        servers = tuple(coldstart.Server(*row) for row in raw)
        for one in servers:
            if one.address:
                parse_address(one.address)  # a ValueError where it is none
            if not (0.0 < one.size < math.inf and 0.0 <= one.started_ms < math.inf and 0 <= one.state <= 2):
                raise ValueError
        return coldstart.Part(since, version, at, of, servers)
    if packet.form == 7:
        return coldstart.Ask(*ASK.decode(packet.body))
    if packet.form == 8:
        kind, task, ballot, holder, span, ready = LEASE.decode(packet.body)
        if len(task) > NAME or len(ballot[1]) > NAME or len(holder[1]) > NAME or not 0.0 <= span < 1e4:
            raise ValueError
        if not all(0 <= n < 1 << 62 for n in (ballot[0], ballot[2], holder[0], holder[2])):
            raise ValueError
        made = leases.Ballot(*ballot), leases.Ballot(*holder)
        return leases.Lease(leases.Kind(kind), task, *made, span, ready)
    if packet.form == 9:
        marks, answer = MARKS.decode(packet.body)
        if len(marks) > gossip.FEW:
            raise ValueError
        return gossip.Marks(tuple(marks), answer)
    if packet.form == 10:
        serial, first, whole, base, words = MAIL.decode(packet.body)
        if len(words) > directmail.MOST_WORDS or not 0 <= serial < 1 << 62:
            raise ValueError
        return directmail.Mail(serial, first, whole, tuple(word_of(base, *word) for word in words))
    if packet.form == 11:
        return directmail.Asked(ASKED.decode(packet.body))
    raise ValueError


def word_of(
    base: int, account: int | str, window: int, version: int, units: int, boot: int
) -> directmail.Word:  # fmt: skip
    """One word. ValueError where its account or a number can be none."""
    name = f"{account:016x}" if isinstance(account, int) else account
    if not 0 < len(name) <= NAME or not 0 <= boot < 1 << 63 or units < 0 or version < 0:
        raise ValueError
    return directmail.Word(f"{name}/{base + window}", version, units / 1000.0, boot)
