"""Two hundred members of which one is a process: the others are sockets that say to it what that many would.

In a fleet of n each member gets as much as it sends: mail of use, probes. So the others together say to the
process what one member sends, and answer its probes, its questions about use and, with nothing to tell, its
comparisons; among themselves they are mute. Use comes from those that share sets with the process, who are
its neighbours by number.
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
    """One of the others."""

    def __init__(self, crowd: Others, number: int) -> None:
        self.crowd, self.name, self.boot = crowd, f"g{number}", number + 1
        self.transport: asyncio.DatagramTransport | None = None
        self.serial, self.began = 1000 * number, True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.crowd.received += len(data)
        try:
            _, _, body = decode("lab", data)
        except InvalidDatagram:
            return
        if isinstance(body, SwimMessage) and body.kind in (Said.PING, Said.PING_REQ):
            self.say(SwimMessage(Said.ACK, body.serial, "", (self.alive(),)))
        elif isinstance(body, Digest) and not body.is_complete:
            self.say(MatchingBuckets(tuple(range(BUCKETS)), True))
        elif isinstance(body, UsageMessage):
            self.crowd.words += len(body.entries)
        elif isinstance(body, UsageRequest):
            self.mail((), next_one=body.serial != self.serial)

    def alive(self) -> MemberUpdate:
        """This member is there, by its own word."""
        return MemberUpdate(self.name, MemberState.ALIVE, 0, self.boot)

    def mail(self, words: tuple[UsageEntry, ...], next_one: bool = True) -> None:
        """Use that this member let in; the next message, or the last one again."""
        self.serial += next_one
        self.say(UsageMessage(self.serial, self.began, True, words))
        self.began = False

    def say(self, body: Any) -> None:
        """One datagram to the process."""
        if self.transport is not None:
            self.transport.sendto(encode("lab", self.name, self.boot, body), ("127.0.0.1", self.crowd.port))


class Others:
    """All but one of `count` members, with so many accounts in use."""

    def __init__(self, count: int, accounts: int, port: int, seed: int = 1, spread: int = 3) -> None:
        """`spread`: gateways of an account's set."""
        near = [*range(1, spread), *range(count - spread + 1, count)]
        self.near = sorted({number for number in near if 0 < number < count})
        self.words = 0  # that the process told
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
        """The rows of `[[fleet.members]]`."""
        return "".join(
            f'[[fleet.members]]\nname = "g{number}"\naddress = "127.0.0.1:{port}"\n'
            for number, port in self.ports.items()
        )

    async def talk(self, seconds: float, rows_s: float, probes_s: float = 5.0) -> None:
        """Says what so many members would say to one, for so long: use of the accounts, a few rows a message,
        and probes."""
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
                self.others[self.rng.choice(self.near) - 1].mail(tuple(batch))
            while probed < probes_s * passed:
                probed += 1.0
                other = self.rng.choice(self.others)
                other.say(SwimMessage(Said.PING, next(self.serials), "", (other.alive(),)))
            await asyncio.sleep(0.02)

    def stop(self) -> None:
        """Closes all sockets."""
        for other in self.others:
            if other.transport is not None:
                other.transport.close()
