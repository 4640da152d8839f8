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
from glenchute.policy.membership.members import SwimMessageKind as Said
from glenchute.policy.membership.replica import BUCKETS
from glenchute.protocol.member_datagrams import InvalidDatagram, decode, encode
from lab.site import free_port


class Other(asyncio.DatagramProtocol):
    """One emulated member."""

    def __init__(self, crowd: Others, number: int) -> None:
        self.crowd, self.name, self.boot = crowd, f"g{number}", number + 1
        self.transport: asyncio.DatagramTransport | None = None
        self.serial, self.is_first = 1000 * number, True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.crowd.received += len(data)
        try:
            _, _, body = decode("lab", data)
        except InvalidDatagram:
            return
        if isinstance(body, SwimMessage) and body.kind in (Said.PING, Said.PING_REQ):
            self.send(SwimMessage(Said.ACK, body.serial, "", (self.alive_update(),)))
        elif isinstance(body, Digest) and not body.is_complete:
            self.send(MatchingBuckets(tuple(range(BUCKETS)), True))
        elif isinstance(body, UsageMessage):
            self.crowd.words += len(body.entries)
        elif isinstance(body, UsageRequest):
            self.send_usage((), is_next=body.serial != self.serial)

    def alive_update(self) -> MemberUpdate:
        """Returns this member's update that it is alive."""
        return MemberUpdate(self.name, MemberState.ALIVE, 0, self.boot)

    def send_usage(self, entries: tuple[UsageEntry, ...], is_next: bool = True) -> None:
        """Sends the usage that this member admitted, as the next message or with the last serial again."""
        self.serial += is_next
        self.send(UsageMessage(self.serial, self.is_first, True, entries))
        self.is_first = False

    def send(self, body: Any) -> None:
        """Sends a datagram to the process."""
        if self.transport is not None:
            self.transport.sendto(encode("lab", self.name, self.boot, body), ("127.0.0.1", self.crowd.port))


class Others:
    """All but one of `count` members, which report usage of `accounts` accounts."""

    def __init__(self, count: int, accounts: int, port: int, seed: int = 1, spread: int = 3) -> None:
        """Creates the members; `spread` is the number of gateways that an account uses."""
        near = [*range(1, spread), *range(count - spread + 1, count)]
        self.near = sorted({number for number in near if 0 < number < count})
        self.words = 0  # usage entries received from the process
        self.count, self.accounts, self.port = count, accounts, port
        self.rng = random.Random(seed)
        self.ports = {number: free_port() for number in range(1, count)}
        self.others = [Other(self, number) for number in self.ports]
        self.received = self.rows = 0
        self.serials = itertools.count(1)
        self.version = itertools.count(1)

    async def start(self) -> None:
        """Opens the sockets."""
        loop = asyncio.get_running_loop()
        for other, port in zip(self.others, self.ports.values(), strict=True):
            await loop.create_datagram_endpoint(lambda other=other: other, ("127.0.0.1", port))  # type: ignore[misc]

    def members(self) -> str:
        """Returns the rows of `[[fleet.members]]`."""
        return "".join(
            f'[[fleet.members]]\nname = "g{number}"\naddress = "127.0.0.1:{port}"\n'
            for number, port in self.ports.items()
        )

    async def talk(self, seconds: float, rows_s: float, probes_s: float = 5.0) -> None:
        """Sends for `seconds` what the members would send to one of them.

        This is `rows_s` usage entries per second, in messages of several, and `probes_s` probes per second.
        """
        loop = asyncio.get_running_loop()
        began, told, probed = loop.time(), 0.0, 0.0
        while (passed := loop.time() - began) < seconds:
            while told < rows_s * passed:
                batch = []
                for _ in range(max(1, round(rows_s / 20.0))):
                    account = self.rng.randrange(self.accounts)
                    key = f"{account:016x}/{1000 * int(passed)}"
                    batch.append(UsageEntry(key, next(self.version), 1.0))
                told += len(batch)
                self.rows += len(batch)
                self.others[self.rng.choice(self.near) - 1].send_usage(tuple(batch))
            while probed < probes_s * passed:
                probed += 1.0
                other = self.rng.choice(self.others)
                other.send(SwimMessage(Said.PING, next(self.serials), "", (other.alive_update(),)))
            await asyncio.sleep(0.02)

    def stop(self) -> None:
        """Closes all sockets."""
        for other in self.others:
            if other.transport is not None:
                other.transport.close()
