"""Simultaneous starts of hundreds of gateways with a discovery service of limited call rate.

`PollSimulation` simulates the polling of many gateways against a service in simulated time. `ListService` is
the service for real gateway processes, and `GatewayFleet` runs these. The service records answered and
rejected calls.
"""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import itertools
import json
import random
import signal
from collections import Counter
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from glenchute.policy.endpoints.polling import PollingSettings, PollScheduler
from lab.nodes import Node, ServiceProfile
from lab.peers import http_response
from lab.services import CounterService, DiscoveryService
from lab.site import SETTINGS, GatewayProcess, LabSite


class DiscoveryCall(NamedTuple):
    """A call as the discovery service recorded it; `at` is in seconds since the service started."""

    at: float
    outcome: str  # "answered", "rejected" or "unavailable"
    since: int | None = None  # version of the list that the caller already has


def busiest_second(times: Iterable[float]) -> tuple[int, float]:
    """Returns the most calls in any one second and the start of that second; 0 and 0.0 without calls."""
    ordered = sorted(times)
    max_count, begin, low = 0, 0.0, 0
    for high, at in enumerate(ordered):
        while ordered[low] <= at - 1.0:
            low += 1
        if high - low + 1 > max_count:
            max_count, begin = high - low + 1, ordered[low]
    return max_count, begin


def max_calls_per_s(calls: Iterable[DiscoveryCall], first: float = 0.0, last: float = float("inf")) -> int:
    """Returns the most calls in any one second from `first` to `last`."""
    return busiest_second(call.at for call in calls if first <= call.at < last)[0]


def rejection_fraction(calls: Iterable[DiscoveryCall], first: float = 0.0) -> float:
    """Returns the fraction of calls since `first` that were rejected."""
    counts = Counter(call.outcome for call in calls if call.at >= first)
    return counts["rejected"] / max(1, sum(counts.values()))


class PollSimulation:
    """Poll schedulers of `count` gateways and one service with a queue, in simulated time.

    `rate` is the service's calls per second, `queue_limit` the length of its queue. `has_list` returns
    whether a gateway starts with a list.
    """

    def __init__(
        self, count: int, settings: Callable[[int], PollingSettings], rate: float, queue_limit: int = 30,
        seed: int = 1, has_list: Callable[[int], bool] = lambda number: True,
    ) -> None:  # fmt: skip
        self.rng = random.Random(seed)
        self.count, self.settings, self.rate, self.queue_limit, self.has_list = (
            count,
            settings,
            rate,
            queue_limit,
            has_list,
        )
        self.now = self.free_at = 0.0
        self.down = False
        self.calls: list[DiscoveryCall] = []
        self.first_answer_at: dict[int, float] = {}  # by gateway, since its start
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order = itertools.count()
        self.generation = [
            0
        ] * count  # number of starts of each gateway; events of earlier starts are ignored
        self.pollers: list[PollScheduler] = [self.new_poller(number) for number in range(count)]
        self.watches: dict[int, int] = {}  # generation of each gateway with an open watch

    def new_poller(self, number: int) -> PollScheduler:
        return PollScheduler(self.settings(number), random.Random(self.rng.getrandbits(60)))

    def schedule(self, seconds: float, action: Callable[..., None], *args: Any) -> None:
        """Schedules an action `seconds` from now."""
        heapq.heappush(self.events, (self.now + seconds, next(self.order), action, args))

    def start(self, numbers: Iterable[int]) -> None:
        """Starts or restarts gateways."""
        for number in numbers:
            self.generation[number] += 1
            self.pollers[number] = self.new_poller(number)
            self.watches.pop(number, None)
            self.first_answer_at.pop(number, None)
            delay_s = self.pollers[number].first_poll_delay_s(self.has_list(number))
            self.schedule(delay_s, self.call, number, self.generation[number])

    def call(self, number: int, generation: int) -> None:
        """Handles a gateway's call at the service."""
        if generation != self.generation[number]:
            return
        poller = self.pollers[number]
        if self.down:
            self.calls.append(DiscoveryCall(self.now, "unavailable"))
            self.schedule(poller.record_failure(), self.call, number, generation)
            return
        self.free_at = max(self.now, self.free_at)
        if (self.free_at - self.now) * self.rate > self.queue_limit:
            self.calls.append(DiscoveryCall(self.now, "rejected"))
            has_list = self.has_list(number) or number in self.first_answer_at
            self.schedule(poller.record_rejection(None, has_list), self.call, number, generation)
            return
        self.calls.append(DiscoveryCall(self.now, "answered"))
        self.free_at += 1.0 / self.rate
        # The wait is a parameter of the call, so it is drawn before the service answers.
        self.schedule(self.free_at - self.now, self.answer, number, generation, poller.watch_wait_s())

    def answer(self, number: int, generation: int, wait_s: float) -> None:
        """Handles the answer to a first call, or the start of the watch that a later call opens.

        The gateway calls again after `wait_s`, unless the watch ends before.
        """
        if generation == self.generation[number]:
            self.pollers[number].record_answer()
            self.first_answer_at.setdefault(number, self.now)
            self.watches[number] = generation
            self.schedule(wait_s, self.end_watch, number, generation, self.now)

    def end_watch(self, number: int, generation: int, since: float) -> None:
        """Ends a watch without changes, and polls again."""
        if self.watches.get(number) == generation:
            del self.watches[number]
            self.call(number, generation)

    def change_list(self) -> None:
        """Changes the list, which answers all watches at once."""
        watches, self.watches = self.watches, {}
        for number, generation in watches.items():
            self.schedule(self.pollers[number].synchronized_delay_s(), self.call, number, generation)

    def break_watches(self) -> None:
        """Breaks all watches, as a restart of the service does."""
        watches, self.watches = self.watches, {}
        for number, generation in watches.items():
            self.schedule(self.pollers[number].record_failure(), self.call, number, generation)

    def run(self, seconds: float) -> None:
        """Runs the simulation for `seconds`."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, action, args = heapq.heappop(self.events)
            action(*args)
        self.now = end


def run_start(simulation: PollSimulation) -> None:
    """Starts all gateways and runs for a minute."""
    simulation.start(range(simulation.count))
    simulation.run(60.0)


def run_outage(simulation: PollSimulation) -> None:
    """Makes the service unavailable for 30 s; only the calls after that are kept."""
    run_start(simulation)
    simulation.down = True
    simulation.break_watches()
    simulation.run(30.0)
    simulation.calls.clear()
    simulation.down = False
    simulation.run(60.0)


def run_release(simulation: PollSimulation) -> None:
    """Restarts 70 % of the gateways while the list changes."""
    run_start(simulation)
    simulation.calls.clear()
    simulation.start(range(0, simulation.count, 10))
    simulation.start(n for n in range(simulation.count) if n % 10 > 3)
    simulation.change_list()
    simulation.run(60.0)


class ListService(DiscoveryService):
    """Discovery with a limited call rate that rejects calls when its queue is full.

    `mode` is "" for correct answers, "silent" for no answers, and "empty" for empty lists. In the modes
    "half" and "older", every other answer on a connection has less than half of the list, or an older version
    with only the first server.
    """

    def __init__(self, rows: list[dict[str, Any]], rate: float, queue_limit: int) -> None:
        super().__init__(rows)
        self.rate, self.queue_limit, self.mode = rate, queue_limit, ""
        self.calls: list[DiscoveryCall] = []
        self.began = self.free_at = asyncio.get_running_loop().time()
        self.watching: set[asyncio.StreamWriter] = set()

    async def stop(self) -> None:
        await super().stop()
        self.writers, self.connection_tasks = [], set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop, is_wrong = asyncio.get_running_loop(), False
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            now = loop.time()
            query = parse_qs(urlsplit(head.split(b" ")[1].decode("ascii")).query)
            since = int(query["since"][0]) if "since" in query else None
            self.free_at = max(self.free_at, now)
            if (self.free_at - now) * self.rate > self.queue_limit:
                self.calls.append(DiscoveryCall(now - self.began, "rejected", since))
                writer.write(http_response(b"", "503 Service Unavailable"))
                continue
            self.calls.append(DiscoveryCall(now - self.began, "answered", since))
            self.free_at += 1.0 / self.rate
            await asyncio.sleep(self.free_at - now)  # simulated processing time of the service
            if self.mode == "silent":
                await asyncio.Event().wait()
            is_wrong = not is_wrong
            writer.write(http_response(json.dumps(await self.answer(since, query, is_wrong)).encode()))

    async def answer(self, since: int | None, query: dict[str, list[str]], is_wrong: bool) -> dict[str, Any]:
        """Returns the body of an answer, which is wrong in the modes "half" and "older" if `is_wrong`."""
        rows = list(self.rows.values())
        if self.mode == "empty":
            return {"version": self.version, "full": True, "servers": []}
        if self.mode == "half" and is_wrong:
            return {"version": self.version, "full": True, "servers": rows[: len(rows) // 2 - 1]}
        if self.mode == "older" and is_wrong:
            return {"version": self.version - 1, "full": True, "servers": rows[:1]}
        if since is None or not self.has_changes_since(since):
            return {"version": self.version, "full": True, "servers": rows}
        if since == self.version:
            with contextlib.suppress(TimeoutError):
                wait_s = min(60.0, float(query.get("timeout_ms", ["0"])[0]) / 1000.0)
                await asyncio.wait_for(self.changed.wait(), wait_s)
        changes = [row for version, row in self.change_log if version > since]
        return {"version": self.version, "full": False, "servers": changes}


class GatewayFleet:
    """Real gateway processes with stand-in servers, a counter and a `ListService`.

    `rate` and `queue_limit` are those of the `ListService`. `operator` is the text of the operator's file, or
    a function from a gateway's number to it.
    """

    def __init__(
        self, folder: Path, count: int, rate: float, queue_limit: int = 30,
        operator: str | Callable[[int], str] | None = None,
        settings: dict[str, Any] | None = None, has_saved_list: bool = True, servers: int = 4,
    ) -> None:  # fmt: skip
        nodes = [Node(f"s{i}", ServiceProfile({"report-read": 4.0}, slots=64)) for i in range(servers)]
        self.site = LabSite(nodes, CounterService())
        self.folder, self.count, self.rate, self.queue_limit = folder, count, rate, queue_limit
        self.operator, self.has_saved_list = operator, has_saved_list
        self.settings = {**SETTINGS, "balancers": count, **(settings or {})}
        self.gateways: list[GatewayProcess] = []

    async def __aenter__(self) -> GatewayFleet:
        await self.site.__aenter__()
        self.lists = ListService(self.site.rows(), self.rate, self.queue_limit)
        await self.lists.start()
        for number in range(self.count):
            folder = self.folder / f"g{number}"
            folder.mkdir()
            platform = self.site.platform({**self.settings, "me": number})
            platform |= {"name": f"g{number}", "discovery": f"127.0.0.1:{self.lists.port}"}
            platform["seed"] = f"{7919 * number + 17:x}"
            if not self.has_saved_list:
                del platform["known"]
            operator = self.operator(number) if callable(self.operator) else self.operator
            self.gateways.append(GatewayProcess(folder, platform, operator))
        return self

    async def __aexit__(self, *failure: object) -> None:
        for gateway in self.gateways:
            gateway.send_signal(signal.SIGCONT)
            gateway.send_signal(signal.SIGKILL)
        for gateway in self.gateways:
            if gateway.process is not None:
                gateway.process.wait()
        await self.lists.stop()
        await self.site.__aexit__()

    async def start(self, numbers: Iterable[int], timeout_s: float = 60.0) -> float:
        """Starts gateways and returns the seconds until all of them are ready to serve."""
        loop = asyncio.get_running_loop()
        started_at, gateways = loop.time(), [self.gateways[n] for n in numbers]
        for gateway in gateways:
            gateway.start()
            await asyncio.sleep(0)  # lets the discovery service answer between starts
        await asyncio.gather(*(gateway.ready(timeout_s) for gateway in gateways))
        return loop.time() - started_at

    def kill(self, numbers: Iterable[int]) -> None:
        """Kills gateways with SIGKILL and waits for them to exit."""
        for number in numbers:
            self.gateways[number].send_signal(signal.SIGKILL)
        for number in numbers:
            process = self.gateways[number].process
            assert process is not None
            process.wait()

    @property
    def now(self) -> float:
        """Seconds since the discovery service started."""
        return asyncio.get_running_loop().time() - self.lists.began

    async def until(self, condition: Callable[[], object], timeout_s: float = 40.0) -> None:
        """Waits until a condition holds; raises TimeoutError after `timeout_s`."""
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.01)
