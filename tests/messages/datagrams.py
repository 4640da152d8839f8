"""Datagrams between members: every form of body, with every kind and state that it can have."""

from __future__ import annotations

from glenchute.policy.membership import direct_messages as directmail
from glenchute.policy.membership import endpoint_sharing as coldstart
from glenchute.policy.membership import gossip, leases, members, replica
from glenchute.protocol.member_datagrams import Said, encode

from .files import Rows

FLEET, NAME, BOOT = "zagreb", "g12", 0x3F00FF00AA5511
UPDATES = tuple(
    members.Update(f"g{int(state)}", state, 7 * int(state) - 1, 1 << 60) for state in members.State
)
ROWS = tuple(
    (replica.Row(kind, f"key {int(kind)}", "g1#ff" if kind in replica.OF_PROCESS else "", 1 << 40, 12.5), 9)
    for kind in replica.Kind
)
HASHES = tuple(range((1 << 64) - replica.BUCKETS, 1 << 64))
SERVERS = tuple(
    coldstart.Server(40 + state, f"s{state}", "127.0.0.1:8080" if state < 2 else "", "a", 3, 1.5, 1e12, state)
    for state in range(3)
)
BALLOT, HOLDER = leases.Ballot(7, "g1", 9), leases.Ballot(6, "g2", 1 << 60)
WORDS = (
    directmail.Word("0000000000001092/170", 3, 0.125),
    directmail.Word("ffffffffffffffff/168", 1 << 40, 1e9, 1 << 62),
    directmail.Word("an/account/171", 9, 2e6, 7),
)


def bodies() -> list[tuple[str, Said]]:
    """Each body with its label."""
    probes: list[tuple[str, Said]] = [
        (f"members {kind.name}", members.Message(kind, 5 + int(kind), "g3", UPDATES)) for kind in members.Kind
    ]
    asked: list[tuple[str, Said]] = [
        (f"leases {kind.name}", leases.Lease(kind, "close-period", BALLOT, HOLDER, 3.5, kind.value % 2 == 0))
        for kind in leases.Kind
    ]
    return [
        *probes,
        ("members without updates", members.Message(members.Kind.PING, 0, "", ())),
        ("rows", gossip.Rows(ROWS)),
        ("no rows", gossip.Rows(())),
        ("digest of buckets", gossip.Digest(-1, HASHES, True)),
        ("digest of leaves", gossip.Digest(63, HASHES[::-1], False)),
        ("want", gossip.Want(3, (0, 1, 63))),
        ("done", gossip.Done((1, 5), False)),
        ("hashes of rows", gossip.Marks((0, 1 << 63), True)),
        ("told", coldstart.Told(1 << 33, 170, 2500)),
        ("part", coldstart.Part(-1, 170, 1, 2, SERVERS)),
        ("ask", coldstart.Ask(4, -1)),
        *asked,
        ("lease defaults", leases.Lease(leases.Kind.PREPARE, "ask", BALLOT)),
        ("mail", directmail.Mail(1 << 40, True, False, WORDS)),
        ("mail without words", directmail.Mail(0, False, True, ())),
        ("asked", directmail.Asked(41)),
        ("asked anew", directmail.Asked(-1)),
    ]


def datagrams() -> Rows:
    """Each datagram."""
    return [(label, encode(FLEET, NAME, BOOT, body)) for label, body in bodies()]
