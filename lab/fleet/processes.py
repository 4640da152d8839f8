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
    """Gateway processes, three servers, a counter, and discovery, optionally with a limited rate of calls."""

    def __init__(
        self, folder: Path, gateways: int, seed: int = 1, has_fleet: bool = True,
        settings: dict[str, Any] | None = None, fleet_options: str = "", discovery_calls_per_s: float = 0.0,
        operator_tables: str = "",
    ) -> None:  # fmt: skip
        """Creates a fleet.

        `fleet_options` has further lines of `[fleet]`, `operator_tables` the tables after it. Discovery can
        serve `discovery_calls_per_s`; 0 is unlimited. Without `has_fleet` gateways have no operator's file.
        """
        self.folder, self.count, self.seed = folder, gateways, seed
        self.has_fleet, self.fleet_options, self.operator_tables = has_fleet, fleet_options, operator_tables
        self.settings = {**(settings or SETTINGS), "balancers": gateways}
        self.discovery_calls_per_s = discovery_calls_per_s
        self.list_service: ListService | None = None
        self.counter_partitions = CounterPartitions(1)
        self.counter = PartitionedCounter(self.counter_partitions)
        nodes = [
            Node(f"s{i}", ServiceProfile({"report-read": 4.0, "check-charge": 4.0}, slots=32))
            for i in range(3)
        ]
        self.services = LabSite(nodes)
        self.gateways: list[GatewayProcess] = []
        self.member_links: dict[tuple[int, int], DatagramLink] = {}
        self.counter_links: list[StreamLink] = []
        self.history: list[tuple[float, str, str]] = []  # seconds since the start, subject, event
        self.outcomes: list[Outcome] = []
        self.started_at = 0.0
        self.load_count = 0

    async def __aenter__(self) -> FleetSite:
        self.started_at = asyncio.get_running_loop().time()
        await self.services.__aenter__()
        await self.counter.start()
        if self.discovery_calls_per_s:
            self.list_service = ListService(self.services.rows(), self.discovery_calls_per_s, 30)
            await self.list_service.start()
        names = [f"g{i}" for i in range(self.count)]
        addresses = [("127.0.0.1", free_port()) for _ in names]
        # By gateway: the ports of the links at which it reaches the others.
        link_ports: list[dict[int, int]] = [{} for _ in names]
        if self.has_fleet:
            for one, other in itertools.combinations(range(self.count), 2):
                ports = (free_port(), free_port())
                seed = self.seed * 10_000 + one * 60 + other
                link = DatagramLink((addresses[one], addresses[other]), ports, seed)
                await link.start()
                self.member_links[one, other] = link
                link_ports[one][other], link_ports[other][one] = ports
        for number, name in enumerate(names):
            to_counter = StreamLink(self.counter.port)
            await to_counter.start()
            self.counter_links.append(to_counter)
            gateway_folder = self.folder / name
            gateway_folder.mkdir()
            platform = self.services.platform({**self.settings, "me": number})
            platform |= {"name": name, "counter": f"127.0.0.1:{to_counter.port}"}
            if self.list_service is not None:
                platform["discovery"] = f"127.0.0.1:{self.list_service.port}"
            platform["seed"] = f"{self.seed * 100 + number:x}"
            operator = None
            if self.has_fleet:
                port = addresses[number][1]
                operator = self.operator_text(name, port, link_ports[number], gateway_folder)
            self.gateways.append(GatewayProcess(gateway_folder, platform, operator))
        return self

    def operator_text(self, name: str, port: int, link_ports: dict[int, int], gateway_folder: Path) -> str:
        """Returns the operator's file of a gateway that reaches each other member at a link's port."""
        member_tables = "".join(
            f'[[fleet.members]]\nname = "g{other}"\naddress = "127.0.0.1:{link_port}"\n'
            for other, link_port in link_ports.items()
        )
        head = f'[fleet]\nfleet = "lab"\nname = "{name}"\nlisten = "127.0.0.1:{port}"\n{self.fleet_options}'
        return f'{head}control = "{gateway_folder / "control"}"\n{member_tables}{self.operator_tables}'

    async def __aexit__(self, *failure: object) -> None:
        for gateway in self.gateways:
            gateway.send_signal(signal.SIGCONT)
            gateway.send_signal(signal.SIGKILL)
            if gateway.process is not None:
                gateway.process.wait()
        for link in self.member_links.values():
            link.stop()
        for peer in (*self.counter_links, self.counter):
            await peer.stop()
        if self.list_service is not None:
            await self.list_service.stop()
        await self.services.__aexit__()

    def record(self, subject: str, event: str) -> None:
        """Adds an event to the history."""
        self.history.append((asyncio.get_running_loop().time() - self.started_at, subject, event))

    # --- processes ----------------------------------------------------------------------------------------

    async def start(self, numbers: Iterable[int] | None = None) -> None:
        """Starts these gateways, or all, and waits until they are ready."""
        chosen = [self.gateways[n] for n in (range(self.count) if numbers is None else numbers)]
        for gateway in chosen:
            gateway.start()
            self.record(gateway.platform["name"], "started")
        await asyncio.gather(*(gateway.ready(30.0) for gateway in chosen))

    def send_signal(self, number: int, signal_number: signal.Signals) -> None:
        """Sends a signal to a process; after SIGKILL, waits for its end."""
        gateway = self.gateways[number]
        self.record(f"g{number}", signal_number.name)
        gateway.send_signal(signal_number)
        if signal_number is signal.SIGKILL and gateway.process is not None:
            gateway.process.wait()

    def split(self, groups: Sequence[Sequence[int]], cut: bool = True) -> None:
        """Cuts, or restores, every link between members of different groups."""
        group_of = {number: index for index, group in enumerate(groups) for number in group}
        for (one, other), link in self.member_links.items():
            if group_of[one] != group_of[other]:
                link.cut(cut=cut)
        self.record("links", f"{'split' if cut else 'healed'} {groups}")

    # --- state of the gateways ----------------------------------------------------------------------------

    def query_blocking(self, number: int, verb: str) -> list[dict[str, Any]]:
        """Sends a `fleet` query over a gateway's control socket; returns an empty list on failure."""
        try:
            return call_verb(str(self.folder / f"g{number}" / "control"), f"fleet {verb}", 1.0)
        except ControlError:
            return []

    async def query(self, number: int, verb: str) -> list[dict[str, Any]]:
        """Calls `query_blocking` in a thread, so that the links continue to forward."""
        return await asyncio.get_running_loop().run_in_executor(None, self.query_blocking, number, verb)

    async def states(self, number: int) -> dict[str, str]:
        """Returns the states of the other members as one gateway sees them, by name."""
        return {row["name"]: row["state"] for row in (await self.query(number, "members"))[1:]}

    async def wait_until(self, condition: Callable[[], Any], timeout_s: float = 20.0) -> float:
        """Waits until a condition holds; returns the seconds taken, or raises AssertionError on timeout."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        while not await condition():
            assert loop.time() - began < timeout_s, (
                f"condition does not hold within {timeout_s} s: {condition}"
            )
            await asyncio.sleep(0.02)
        return loop.time() - began

    async def all_see(self, numbers: Sequence[int], state: str = "alive") -> bool:
        """Returns whether each of these gateways sees all others of them in this state."""
        for number in numbers:
            seen = await self.states(number)
            if any(seen.get(f"g{other}") != state for other in numbers if other != number):
                return False
        return True

    async def have_same_digest(self, numbers: Sequence[int]) -> bool:
        """Returns whether the replicas of these gateways have the same digest."""
        rows = [await self.query(number, "digest") for number in numbers]
        return all(rows) and len({row[0]["digest"] for row in rows}) == 1

    async def are_complete(self, numbers: Sequence[int]) -> bool:
        """Returns whether each of these gateways reports a complete replica."""
        rows = [await self.query(number, "state") for number in numbers]
        return all(row and row[0]["known"] is True for row in rows)

    async def know_usage_of(self, numbers: Sequence[int], fraction: float) -> bool:
        """Returns whether each of these gateways knows the usage of this fraction of the fleet."""
        rows = [await self.query(number, "state") for number in numbers]
        return all(row and row[0]["share"] >= fraction - 0.001 for row in rows)

    # --- load ---------------------------------------------------------------------------------------------

    async def run_load(
        self, seconds: float, rate: float, accounts: Sequence[Account], numbers: Iterable[int] | None = None,
        kinds: Sequence[RequestKind] = READS,
    ) -> list[Outcome]:  # fmt: skip
        """Runs the same load on each of these gateways concurrently; returns the outcomes."""
        loads = []
        for number in range(self.count) if numbers is None else numbers:
            port = self.gateways[number].port
            self.load_count += 1
            # Each load has a seed of its own, as that is part of the request ids.
            seed = self.seed * 7919 + self.load_count
            loads.append(Load(lambda port=port: port, kinds, accounts, rate, seed))  # type: ignore[misc]
        await asyncio.gather(*(load.run(seconds) for load in loads))
        outcomes = [outcome for load in loads for outcome in load.outcomes]
        self.outcomes += outcomes
        return outcomes
