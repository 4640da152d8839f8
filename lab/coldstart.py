"""Hundreds of gateways that start at once, beside a list service that bears so many calls a second.

`Crowd` plays the pacing of many gateways against a service in simulated time. `ListService` is the service
for real processes, and `Herd` starts these. The service's books tell what it was asked and turned away.
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

from glenchute.policy.endpoints.polling import PollingTerms, PollScheduler
from lab.nodes import Node, Trade
from lab.peers import http
from lab.services import CounterService, DiscoveryService
from lab.site import SETTINGS, GatewayProcess, LabSite


class Call(NamedTuple):
    """One call as the service books it; seconds since it began."""

    at: float
    how: str  # answered, turned away, unheard
    since: int | None = None


def busiest_second(times: Iterable[float]) -> tuple[int, float]:
    """The most calls in any one second, and that second's beginning; 0 and 0.0 without calls."""
    ordered = sorted(times)
    most, begin, low = 0, 0.0, 0
    for high, at in enumerate(ordered):
        while ordered[low] <= at - 1.0:
            low += 1
        if high - low + 1 > most:
            most, begin = high - low + 1, ordered[low]
    return most, begin


def busiest(calls: Iterable[Call], first: float = 0.0, last: float = float("inf")) -> int:
    """The most calls in any one second from `first` to `last`."""
    return busiest_second(call.at for call in calls if first <= call.at < last)[0]


def turned_away(calls: Iterable[Call], first: float = 0.0) -> float:
    """The share of the calls that were."""
    kinds = Counter(call.how for call in calls if call.at >= first)
    return kinds["turned away"] / max(1, sum(kinds.values()))


class Crowd:
    """So many pacings and one service with a line, in simulated time."""

    def __init__(
        self, count: int, terms: Callable[[int], PollingTerms], rate: float, line: int = 30, seed: int = 1,
        listed: Callable[[int], bool] = lambda number: True,
    ) -> None:  # fmt: skip
        self.rng = random.Random(seed)
        self.count, self.terms, self.rate, self.line, self.has_list = count, terms, rate, line, listed
        self.now = self.free_at = 0.0
        self.down = False
        self.calls: list[Call] = []
        self.heard: dict[int, float] = {}  # when each had its first answer since it started
        self.due: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order = itertools.count()
        self.life = [0] * count  # a start ends all that was due of the process before
        self.pacing: list[PollScheduler] = [self.made(number) for number in range(count)]
        self.parked: dict[int, int] = {}  # watches; by gateway, its life

    def made(self, number: int) -> PollScheduler:
        return PollScheduler(self.terms(number), random.Random(self.rng.getrandbits(60)))

    def at(self, seconds: float, act: Callable[..., None], *args: Any) -> None:
        """Something due in so many seconds."""
        heapq.heappush(self.due, (self.now + seconds, next(self.order), act, args))

    def start(self, numbers: Iterable[int]) -> None:
        """These start, or start again."""
        for number in numbers:
            self.life[number] += 1
            self.pacing[number] = self.made(number)
            self.parked.pop(number, None)
            self.heard.pop(number, None)
            pause = self.pacing[number].first_poll_delay_s(self.has_list(number))
            self.at(pause, self.call, number, self.life[number])

    def call(self, number: int, life: int) -> None:
        """A call comes to the service."""
        if life != self.life[number]:
            return
        pacing = self.pacing[number]
        if self.down:
            self.calls.append(Call(self.now, "unheard"))
            self.at(pacing.record_failure(), self.call, number, life)
            return
        self.free_at = max(self.now, self.free_at)
        if (self.free_at - self.now) * self.rate > self.line:
            self.calls.append(Call(self.now, "turned away"))
            listed = self.has_list(number) or number in self.heard
            self.at(pacing.record_rejection(None, listed), self.call, number, life)
            return
        self.calls.append(Call(self.now, "answered"))
        self.free_at += 1.0 / self.rate
        # The wait goes with the call, so that it is drawn before it is known that the service answers.
        self.at(self.free_at - self.now, self.answer, number, life, pacing.watch_wait_s())

    def answer(self, number: int, life: int, wait_s: float) -> None:
        """The answer to a first call, or none yet to a watch."""
        if life == self.life[number]:
            self.pacing[number].record_answer()
            self.heard.setdefault(number, self.now)
            self.parked[number] = life
            self.at(wait_s, self.wait_ends, number, life, self.now)

    def wait_ends(self, number: int, life: int, since: float) -> None:
        """A watch without news."""
        if self.parked.get(number) == life:
            del self.parked[number]
            self.call(number, life)

    def news(self) -> None:
        """The list changes: all watches end in the same moment."""
        parked, self.parked = self.parked, {}
        for number, life in parked.items():
            self.at(self.pacing[number].synchronized_delay_s(), self.call, number, life)

    def lose(self) -> None:
        """The service has started again: all watches break off."""
        parked, self.parked = self.parked, {}
        for number, life in parked.items():
            self.at(self.pacing[number].record_failure(), self.call, number, life)

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        end = self.now + seconds
        while self.due and self.due[0][0] <= end:
            self.now, _, act, args = heapq.heappop(self.due)
            act(*args)
        self.now = end


def starts(crowd: Crowd) -> None:
    crowd.start(range(crowd.count))
    crowd.run(60.0)


def outage(crowd: Crowd) -> None:
    starts(crowd)
    crowd.down = True
    crowd.lose()
    crowd.run(30.0)
    crowd.calls.clear()
    crowd.down = False
    crowd.run(60.0)


def release(crowd: Crowd) -> None:
    """Seven in ten die and come back while the list changes."""
    starts(crowd)
    crowd.calls.clear()
    crowd.start(range(0, crowd.count, 10))
    crowd.start(n for n in range(crowd.count) if n % 10 > 3)
    crowd.news()
    crowd.run(60.0)


class ListService(DiscoveryService):
    """Discovery that takes calls up at a rate and turns those away that find a line before them.

    `mode`: "" sound, "silent" (takes calls, never answers), "empty", or "half" and "older", which are every
    other answer on a connection.
    """

    def __init__(self, rows: list[dict[str, Any]], rate: float, line: int) -> None:
        super().__init__(rows)
        self.rate, self.line, self.mode = rate, line, ""
        self.calls: list[Call] = []
        self.began = self.free_at = asyncio.get_running_loop().time()
        self.watching: set[asyncio.StreamWriter] = set()

    async def stop(self) -> None:
        await super().stop()
        self.writers, self.serving = [], set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop, lie = asyncio.get_running_loop(), False
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            now = loop.time()
            query = parse_qs(urlsplit(head.split(b" ")[1].decode("ascii")).query)
            since = int(query["since"][0]) if "since" in query else None
            self.free_at = max(self.free_at, now)
            if (self.free_at - now) * self.rate > self.line:
                self.calls.append(Call(now - self.began, "turned away", since))
                writer.write(http(b"", "503 Service Unavailable"))
                continue
            self.calls.append(Call(now - self.began, "answered", since))
            self.free_at += 1.0 / self.rate
            await asyncio.sleep(self.free_at - now)  # the service's work, not a test's wait
            if self.mode == "silent":
                await asyncio.Event().wait()
            lie = not lie
            writer.write(http(json.dumps(await self.answer(since, query, lie)).encode()))

    async def answer(self, since: int | None, query: dict[str, list[str]], lie: bool) -> dict[str, Any]:
        """What the list has to say, true or not."""
        rows = list(self.rows.values())
        if self.mode == "empty":
            return {"version": self.version, "full": True, "servers": []}
        if self.mode == "half" and lie:
            return {"version": self.version, "full": True, "servers": rows[: len(rows) // 2 - 1]}
        if self.mode == "older" and lie:
            return {"version": self.version - 1, "full": True, "servers": rows[:1]}
        if since is None or not self.kept(since):
            return {"version": self.version, "full": True, "servers": rows}
        if since == self.version:
            with contextlib.suppress(TimeoutError):
                wait_s = min(60.0, float(query.get("timeout_ms", ["0"])[0]) / 1000.0)
                await asyncio.wait_for(self.changed.wait(), wait_s)
        changes = [row for version, row in self.log if version > since]
        return {"version": self.version, "full": False, "servers": changes}


class Herd:
    """Real gateways beside three nodes, a counter and a list service."""

    def __init__(
        self, folder: Path, count: int, rate: float, line: int = 30,
        operator: str | Callable[[int], str] | None = None,
        settings: dict[str, Any] | None = None, known: bool = True, servers: int = 4,
    ) -> None:  # fmt: skip
        nodes = [Node(f"s{i}", Trade({"report-read": 4.0}, slots=64)) for i in range(servers)]
        self.site = LabSite(nodes, CounterService())
        self.folder, self.count, self.rate, self.line = folder, count, rate, line
        self.operator, self.known = operator, known
        self.settings = {**SETTINGS, "balancers": count, **(settings or {})}
        self.gateways: list[GatewayProcess] = []

    async def __aenter__(self) -> Herd:
        await self.site.__aenter__()
        self.lists = ListService(self.site.rows(), self.rate, self.line)
        await self.lists.start()
        for number in range(self.count):
            own = self.folder / f"g{number}"
            own.mkdir()
            platform = self.site.platform({**self.settings, "me": number})
            platform |= {"name": f"g{number}", "discovery": f"127.0.0.1:{self.lists.port}"}
            platform["seed"] = f"{7919 * number + 17:x}"
            if not self.known:
                del platform["known"]
            operator = self.operator(number) if callable(self.operator) else self.operator
            self.gateways.append(GatewayProcess(own, platform, operator))
        return self

    async def __aexit__(self, *failure: object) -> None:
        for gateway in self.gateways:
            gateway.signal(signal.SIGCONT)
            gateway.signal(signal.SIGKILL)
        for gateway in self.gateways:
            if gateway.process is not None:
                gateway.process.wait()
        await self.lists.stop()
        await self.site.__aexit__()

    async def start(self, numbers: Iterable[int], patience_s: float = 60.0) -> float:
        """Starts these; the seconds until all serve."""
        loop = asyncio.get_running_loop()
        began, chosen = loop.time(), [self.gateways[n] for n in numbers]
        for gateway in chosen:
            gateway.start()
            await asyncio.sleep(0)  # the service has to answer meanwhile
        await asyncio.gather(*(gateway.ready(patience_s) for gateway in chosen))
        return loop.time() - began

    def kill(self, numbers: Iterable[int]) -> None:
        """SIGKILL, waited for."""
        for number in numbers:
            self.gateways[number].signal(signal.SIGKILL)
        for number in numbers:
            process = self.gateways[number].process
            assert process is not None
            process.wait()

    @property
    def now(self) -> float:
        """Seconds since the service began."""
        return asyncio.get_running_loop().time() - self.lists.began

    async def until(self, condition: Callable[[], object], patience_s: float = 40.0) -> None:
        """Waits until something holds."""
        async with asyncio.timeout(patience_s):
            while not condition():
                await asyncio.sleep(0.01)
