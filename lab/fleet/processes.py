"""Runs a fleet of real processes behind scripted links, and records the history of events.

Each gateway is a process of ``python -m glenchute`` with `[fleet]` in its operator's file. Each pair of
gateways has a `DatagramLink`, and each gateway a `StreamLink` to the counter. A test causes faults by calls;
the history is written by this class, never by the gateways.
"""

from __future__ import annotations

import asyncio
import itertools
import signal
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Any

from glenchute.control.client import ControlError, call_verb
from lab.coldstart import ListService
from lab.counter import CounterPartitions, PartitionedCounter
from lab.links import DatagramLink, StreamLink
from lab.load import Account, Load, Outcome, RequestKind
from lab.nodes import Node, ServiceProfile
from lab.site import SETTINGS, GatewayProcess, LabSite, free_port

READS = (RequestKind("report-read", 1.0, 2000),)


class FleetSite:
    """Gateway processes, three nodes, a counter, and optionally discovery."""

    def __init__(
        self, folder: Path, gateways: int, seed: int = 1, fleet: bool = True,
        settings: dict[str, Any] | None = None, more: str = "", lists: float = 0.0,
        tail: str = "",
    ) -> None:  # fmt: skip
        """Creates a fleet.

        `more` has further lines of `[fleet]`, `tail` the tables after it. `lists` is the number of calls per
        second that discovery can serve, or 0 for no limit.
        """
        self.tail = tail
        self.folder, self.count, self.seed, self.on, self.more = folder, gateways, seed, fleet, more
        self.settings = {**(settings or SETTINGS), "balancers": gateways}
        self.calls_per_s = lists
        self.lists: ListService | None = None
        self.counter_partitions = CounterPartitions(1)
        self.counter = PartitionedCounter(self.counter_partitions)
        nodes = [
            Node(f"s{i}", ServiceProfile({"report-read": 4.0, "check-charge": 4.0}, slots=32))
            for i in range(3)
        ]
        self.site = LabSite(nodes)
        self.gateways: list[GatewayProcess] = []
        self.links: dict[tuple[int, int], DatagramLink] = {}
        self.to_counter: list[StreamLink] = []
        self.history: list[tuple[float, str, str]] = []  # seconds since the start, subject, event
        self.outcomes: list[Outcome] = []
        self.began = 0.0
        self.serial = 0

    async def __aenter__(self) -> FleetSite:
        self.began = asyncio.get_running_loop().time()
        await self.site.__aenter__()
        await self.counter.start()
        if self.calls_per_s:
            self.lists = ListService(self.site.rows(), self.calls_per_s, 30)
            await self.lists.start()
        names = [f"g{i}" for i in range(self.count)]
        listens = [("127.0.0.1", free_port()) for _ in names]
        heard_at: list[dict[int, int]] = [
            {} for _ in names
        ]  # by gateway: the ports at which it reaches the others
        if self.on:
            for one, other in itertools.combinations(range(self.count), 2):
                ports = (free_port(), free_port())
                seed = self.seed * 10_000 + one * 60 + other
                link = DatagramLink((listens[one], listens[other]), ports, seed)
                await link.start()
                self.links[one, other] = link
                heard_at[one][other], heard_at[other][one] = ports
        for number, name in enumerate(names):
            to_counter = StreamLink(self.counter.port)
            await to_counter.start()
            self.to_counter.append(to_counter)
            own = self.folder / name
            own.mkdir()
            platform = self.site.platform({**self.settings, "me": number})
            platform |= {"name": name, "counter": f"127.0.0.1:{to_counter.port}"}
            if self.lists is not None:
                platform["discovery"] = f"127.0.0.1:{self.lists.port}"
            platform["seed"] = f"{self.seed * 100 + number:x}"
            operator = self.operator(name, listens[number][1], heard_at[number], own) if self.on else None
            self.gateways.append(GatewayProcess(own, platform, operator))
        return self

    def operator(self, name: str, port: int, others: dict[int, int], own: Path) -> str:
        """Returns the operator's file of a gateway."""
        rows = "".join(
            f'[[fleet.members]]\nname = "g{other}"\naddress = "127.0.0.1:{at}"\n'
            for other, at in others.items()
        )
        head = f'[fleet]\nfleet = "lab"\nname = "{name}"\nlisten = "127.0.0.1:{port}"\n{self.more}'
        return f'{head}control = "{own / "control"}"\n{rows}{self.tail}'

    async def __aexit__(self, *failure: object) -> None:
        for gateway in self.gateways:
            gateway.signal(signal.SIGCONT)
            gateway.signal(signal.SIGKILL)
            if gateway.process is not None:
                gateway.process.wait()
        for link in self.links.values():
            link.stop()
        for stream in (*self.to_counter, self.counter, *([self.lists] if self.lists is not None else [])):
            await stream.stop()
        await self.site.__aexit__()

    def note(self, who: str, what: str) -> None:
        """Adds an event to the history."""
        self.history.append((asyncio.get_running_loop().time() - self.began, who, what))

    # --- processes ----------------------------------------------------------------------------------------

    async def start(self, numbers: Iterable[int] | None = None) -> None:
        """Starts these gateways, or all, and waits until they are ready."""
        chosen = [self.gateways[n] for n in (range(self.count) if numbers is None else numbers)]
        for gateway in chosen:
            gateway.start()
            self.note(gateway.platform["name"], "started")
        await asyncio.gather(*(gateway.ready(30.0) for gateway in chosen))

    def send_signal(self, number: int, which: signal.Signals) -> None:
        """Sends a signal to a process; after SIGKILL, waits for its end."""
        gateway = self.gateways[number]
        self.note(f"g{number}", which.name)
        gateway.signal(which)
        if which is signal.SIGKILL and gateway.process is not None:
            gateway.process.wait()

    def split(self, groups: Sequence[Sequence[int]], cut: bool = True) -> None:
        """Cuts, or restores, every link between members of different groups."""
        group_of = {number: at for at, group in enumerate(groups) for number in group}
        for (one, other), link in self.links.items():
            if group_of[one] != group_of[other]:
                link.cut(cut=cut)
        self.note("links", f"{'split' if cut else 'healed'} {groups}")

    # --- state of the gateways ----------------------------------------------------------------------------

    def ask(self, number: int, verb: str) -> list[dict[str, Any]]:
        """Calls a `fleet` verb over a gateway's control socket; returns an empty list on failure."""
        try:
            return call_verb(str(self.folder / f"g{number}" / "control"), f"fleet {verb}", 1.0)
        except ControlError:
            return []

    async def asked(self, number: int, verb: str) -> list[dict[str, Any]]:
        """Calls `ask` in a thread, so that the links are not blocked."""
        return await asyncio.get_running_loop().run_in_executor(None, self.ask, number, verb)

    async def states(self, number: int) -> dict[str, str]:
        """Returns the states of the other members as one gateway sees them."""
        return {row["name"]: row["state"] for row in (await self.asked(number, "members"))[1:]}

    async def until(self, condition: Callable[[], Any], patience_s: float = 20.0) -> float:
        """Waits until a condition holds; returns the seconds taken, or raises AssertionError on timeout."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        while not await condition():
            assert loop.time() - began < patience_s, (
                f"condition does not hold within {patience_s} s: {condition}"
            )
            await asyncio.sleep(0.02)
        return loop.time() - began

    async def agree(self, numbers: Sequence[int], state: str = "alive") -> bool:
        """Returns whether each of these gateways sees all others of them in this state."""
        for number in numbers:
            seen = await self.states(number)
            if any(seen.get(f"g{other}") != state for other in numbers if other != number):
                return False
        return True

    async def same_digest(self, numbers: Sequence[int]) -> bool:
        """Returns whether the replicas of these gateways have the same digest."""
        rows = [await self.asked(number, "digest") for number in numbers]
        return all(rows) and len({row[0]["digest"] for row in rows}) == 1

    async def complete(self, numbers: Sequence[int]) -> bool:
        """Returns whether each of these gateways reports a complete replica."""
        rows = [await self.asked(number, "state") for number in numbers]
        return all(row and row[0]["known"] is True for row in rows)

    async def whole(self, numbers: Sequence[int], share: float) -> bool:
        """Returns whether each of these gateways knows the usage of this fraction of the fleet."""
        rows = [await self.asked(number, "state") for number in numbers]
        return all(row and row[0]["share"] >= share - 0.001 for row in rows)

    # --- load ---------------------------------------------------------------------------------------------

    async def load(
        self, seconds: float, rate: float, accounts: Sequence[Account], numbers: Iterable[int] | None = None,
        kinds: Sequence[RequestKind] = READS,
    ) -> list[Outcome]:  # fmt: skip
        """Runs the same load on each of these gateways concurrently; returns the outcomes."""
        loads = []
        for number in range(self.count) if numbers is None else numbers:
            port = self.gateways[number].port
            self.serial += 1
            seed = (
                self.seed * 7919 + self.serial
            )  # a new seed for each load, as it is part of the request ids
            loads.append(Load(lambda port=port: port, kinds, accounts, rate, seed))  # type: ignore[misc]
        await asyncio.gather(*(load.run(seconds) for load in loads))
        outcomes = [outcome for load in loads for outcome in load.outcomes]
        self.outcomes += outcomes
        return outcomes
