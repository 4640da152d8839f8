"""Datagrams between members: all body types, with all message kinds and member states."""

from __future__ import annotations

from glenchute.policy.membership import direct_messages, endpoint_sharing, gossip, leases, members, replica
from glenchute.protocol.member_datagrams import MemberMessage, encode

from .files import Rows

FLEET, NAME, BOOT = "zagreb", "g12", 0x3F00FF00AA5511
UPDATES = tuple(
    members.MemberUpdate(f"g{int(state)}", state, 7 * int(state) - 1, 1 << 60)
    for state in members.MemberState
)
ROWS = tuple(
    (
        replica.Row(
            kind, f"key {int(kind)}", "g1#ff" if kind in replica.PER_PROCESS_KINDS else "", 1 << 40, 12.5
        ),
        9,
    )
    for kind in replica.RowKind
)
HASHES = tuple(range((1 << 64) - replica.BUCKETS, 1 << 64))
ENDPOINTS = tuple(
    endpoint_sharing.SharedEndpoint(
        40 + state, f"s{state}", "127.0.0.1:8080" if state < 2 else "", "a", 3, 1.5, 1e12, state
    )
    for state in range(3)
)
BALLOT, HOLDER = leases.Ballot(7, "g1", 9), leases.Ballot(6, "g2", 1 << 60)
USAGE_ENTRIES = (
    direct_messages.UsageEntry("0000000000001092/170", 3, 0.125),
    direct_messages.UsageEntry("ffffffffffffffff/168", 1 << 40, 1e9, 1 << 62),
    direct_messages.UsageEntry("an/account/171", 9, 2e6, 7),
)
# The labels of lease messages in the recorded file, in the order of `LeaseMessageKind`.
LEASE_LABELS = ("PREPARE", "PROMISE", "PROPOSE", "ACCEPTED", "NO", "RELEASE", "RECALL", "RECALLED", "FREE")


def bodies() -> list[tuple[str, MemberMessage]]:
    """Returns each message with its label in the recorded file."""
    swim_messages: list[tuple[str, MemberMessage]] = [
        (f"members {kind.name}", members.SwimMessage(kind, 5 + int(kind), "g3", UPDATES))
        for kind in members.SwimMessageKind
    ]
    lease_messages: list[tuple[str, MemberMessage]] = [
        (
            f"leases {label}",
            leases.LeaseMessage(kind, "close-period", BALLOT, HOLDER, 3.5, kind.value % 2 == 0),
        )
        for kind, label in zip(leases.LeaseMessageKind, LEASE_LABELS, strict=True)
    ]
    return [
        *swim_messages,
        ("members without updates", members.SwimMessage(members.SwimMessageKind.PING, 0, "", ())),
        ("rows", gossip.Delta(ROWS)),
        ("no rows", gossip.Delta(())),
        ("digest of buckets", gossip.Digest(-1, HASHES, True)),
        ("digest of leaves", gossip.Digest(63, HASHES[::-1], False)),
        ("want", gossip.LeafRequest(3, (0, 1, 63))),
        ("done", gossip.MatchingBuckets((1, 5), False)),
        ("hashes of rows", gossip.RowHashes((0, 1 << 63), True)),
        ("told", endpoint_sharing.VersionReply(1 << 33, 170, 2500)),
        ("part", endpoint_sharing.EndpointListPart(-1, 170, 1, 2, ENDPOINTS)),
        ("ask", endpoint_sharing.VersionQuery(4, -1)),
        *lease_messages,
        ("lease defaults", leases.LeaseMessage(leases.LeaseMessageKind.PREPARE, "ask", BALLOT)),
        ("mail", direct_messages.UsageMessage(1 << 40, True, False, USAGE_ENTRIES)),
        ("mail without words", direct_messages.UsageMessage(0, False, True, ())),
        ("asked", direct_messages.UsageRequest(41)),
        ("asked anew", direct_messages.UsageRequest(-1)),
    ]


def datagrams() -> Rows:
    """Returns each message as a datagram, with its label."""
    return [(label, encode(FLEET, NAME, BOOT, body)) for label, body in bodies()]
