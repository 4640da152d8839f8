"""Emulates the other members of a large fleet for one real process, with one socket for each.

In a fleet each member receives as much as it sends: usage messages and probes. So the emulated members
together send to the process what one member sends. They answer its probes, usage requests and digests, and
do not communicate with each other. Usage messages come from the members that share gateway sets with the
process, which are its neighbours by number.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import Any, cast

from glenchute.policy.membership.direct_messages import UsageEntry, UsageMessage, UsageRequest
from glenchute.policy.membership.gossip import Digest, MatchingBuckets
from glenchute.policy.membership.members import MemberState, MemberUpdate, SwimMessage
from glenchute.policy.membership.members import SwimMessageKind as Kind
from glenchute.policy.membership.replica import BUCKETS
from glenchute.protocol.member_datagrams import InvalidDatagram, decode, encode
from lab.site import free_port


class EmulatedMember(asyncio.DatagramProtocol):
    """One emulated member."""

    def __init__(self, group: EmulatedMembers, number: int) -> None:
        self.group, self.name, self.boot = group, f"g{number}", number + 1
        self.transport: asyncio.DatagramTransport | None = None
        self.last_serial, self.is_first = 1000 * number, True  # of its usage messages

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.group.received_bytes += len(data)
        try:
            _, _, body = decode("lab", data)
        except InvalidDatagram:
            return
        if isinstance(body, SwimMessage) and body.kind in (Kind.PING, Kind.PING_REQ):
            self.send(SwimMessage(Kind.ACK, body.serial, "", (self.alive_update(),)))
        elif isinstance(body, Digest) and not body.is_complete:
            self.send(MatchingBuckets(tuple(range(BUCKETS)), True))
        elif isinstance(body, UsageMessage):
            self.group.received_entries += len(body.entries)
        elif isinstance(body, UsageRequest):
            self.send_usage((), is_next=body.serial != self.last_serial)

    def alive_update(self) -> MemberUpdate:
        """Returns this member's update that it is alive."""
        return MemberUpdate(self.name, MemberState.ALIVE, 0, self.boot)

    def send_usage(self, entries: tuple[UsageEntry, ...], is_next: bool = True) -> None:
        """Sends the usage that this member admitted, as the next message or with the last serial again."""
        self.last_serial += is_next
        self.send(UsageMessage(self.last_serial, self.is_first, True, entries))
        self.is_first = False

    def send(self, body: Any) -> None:
        """Sends a datagram to the process."""
        if self.transport is not None:
            self.transport.sendto(encode("lab", self.name, self.boot, body), ("127.0.0.1", self.group.port))


class EmulatedMembers:
    """All members of a fleet of `count` but the process itself, which report usage of `accounts` accounts."""

    def __init__(self, count: int, accounts: int, port: int, seed: int = 1, spread: int = 3) -> None:
        """Creates the members; `spread` is the number of gateways that an account uses."""
        numbers = [*range(1, spread), *range(count - spread + 1, count)]
        self.neighbour_numbers = sorted({number for number in numbers if 0 < number < count})
        self.received_entries = 0  # usage entries received from the process
        self.count, self.accounts, self.port = count, accounts, port
        self.rng = random.Random(seed)
        self.ports = {number: free_port() for number in range(1, count)}  # by member number; the process is 0
        self.members = [EmulatedMember(self, number) for number in self.ports]
        self.received_bytes = 0  # from the process
        self.sent_entries = 0
        self.probe_serials = itertools.count(1)
        self.entry_versions = itertools.count(1)

    async def start(self) -> None:
        """Opens the sockets."""
        loop = asyncio.get_running_loop()
        for member, port in zip(self.members, self.ports.values(), strict=True):
            await loop.create_datagram_endpoint(lambda member=member: member, ("127.0.0.1", port))  # type: ignore[misc]

    def member_tables(self) -> str:
        """Returns the `[[fleet.members]]` tables of the operator's file."""
        return "".join(
            f'[[fleet.members]]\nname = "g{number}"\naddress = "127.0.0.1:{port}"\n'
            for number, port in self.ports.items()
        )

    async def send_traffic(self, seconds: float, entries_per_s: float, probes_per_s: float = 5.0) -> None:
        """Sends for `seconds` what the members would send to one of them.

        This is `entries_per_s` usage entries per second, several in a message, and `probes_per_s` probes.
        """
        loop = asyncio.get_running_loop()
        started_at, sent_count, probe_count = loop.time(), 0.0, 0.0
        while (elapsed_s := loop.time() - started_at) < seconds:
            while sent_count < entries_per_s * elapsed_s:
                entries = []
                for _ in range(max(1, round(entries_per_s / 20.0))):
                    account = self.rng.randrange(self.accounts)
                    key = f"{account:016x}/{1000 * int(elapsed_s)}"
                    entries.append(UsageEntry(key, next(self.entry_versions), 1.0))
                sent_count += len(entries)
                self.sent_entries += len(entries)
                self.members[self.rng.choice(self.neighbour_numbers) - 1].send_usage(tuple(entries))
            while probe_count < probes_per_s * elapsed_s:
                probe_count += 1.0
                member = self.rng.choice(self.members)
                member.send(SwimMessage(Kind.PING, next(self.probe_serials), "", (member.alive_update(),)))
            await asyncio.sleep(0.02)

    def stop(self) -> None:
        """Closes all sockets."""
        for member in self.members:
            if member.transport is not None:
                member.transport.close()
