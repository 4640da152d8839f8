"""Hollow gateways: the program of `glenchute run` without the sockets of clients and servers."""

from __future__ import annotations

import asyncio
import heapq
import math
import random
import zlib
from collections import Counter
from collections.abc import Callable, Collection, Iterator
from dataclasses import replace
from typing import Any

from glenchute.cli.operator_reload import read_operator
from glenchute.cli.program import LIST_WAIT_S, GatewayProgram
from glenchute.config.platform import PlatformConfig
from glenchute.core.types import (
    Address,
    AttemptContext,
    AttemptResult,
    Call,
    DecisionHandler,
    Failed,
    FinalResponse,
    Rejected,
    ResponseSource,
    UpstreamAttempt,
)
from glenchute.policy.actions import Action
from glenchute.policy.engine import DecisionEngine as Policy
from glenchute.policy.events import EndpointList, EndpointListKind, Event, Outcome
from glenchute.upstreams.server_pools import ServerPools
from lab.load import Account, RequestKind
from lab.scale.site import Arrival, Draw, Site, arrivals, sets
from lab.scale.stand_ins import Timeline

LATE_S = 1.0  # requests that are late by more than this are skipped, and counted as "not asked"


class HollowCall(Call):
    """Request without its bytes."""

    def encode(self, left_ms: int) -> bytes:
        return b""


class HollowAttempt:
    """Attempt of a hollow gateway at a hollow server; it ends after a random time."""

    def __init__(
        self, servers: HollowServers, server: str, timeout_s: float, done: Callable[[AttemptResult], None]
    ) -> None:
        self.servers, self.server, self.timeout_s, self.done = servers, server, timeout_s, done
        self.started_at = servers.loop.time()
        self.is_written = False
        self.on_response_started: Callable[[ResponseSource], None] | None = None
        self.is_wanted: Callable[[], bool] | None = None  # no clients, so none can disconnect
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Starts the timer in place of sending a request."""
        self.started_at = self.servers.loop.time()
        if self.servers.away(self.server):
            self.timer = self.servers.loop.call_later(0.0005, self.end, Outcome.UNREACHABLE)
            return
        self.is_written = True
        self.servers.out += 1
        service = self.servers.service_s()
        late = service > self.timeout_s
        self.timer = self.servers.loop.call_later(
            min(service, self.timeout_s), self.end, Outcome.TIMEOUT if late else Outcome.OK
        )

    def end(self, ending: Outcome) -> None:
        """Reports the result, once."""
        if self.timer is None:
            return
        self.timer = None
        if self.is_written:
            self.servers.out -= 1
        if ending is Outcome.OK:
            self.done(AttemptResult(ending, b"$6\r\nhollow\r\n", b"inflight=1,queue=0", True))
        else:
            self.done(AttemptResult(ending))

    def stop(self, ending: Outcome) -> None:
        """Ends the attempt early."""
        if self.timer is not None:
            self.timer.cancel()
            self.servers.loop.call_soon(self.end, ending)


class HollowServers:
    """Stands in for `ServerPools` in a hollow gateway."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, rng: random.Random, mean_s: float, away: Callable[[str], bool]
    ) -> None:
        self.loop, self.rng, self.half, self.away = loop, rng, 0.5 * mean_s, away
        self.at: dict[str, Address] = {}
        self.draining: set[str] = set()
        self.out = 0

    def service_s(self) -> float:
        """Returns a random service time, distributed as at the stand-ins of servers."""
        return self.half + self.rng.expovariate(1.0 / self.half)

    def create_attempt(
        self,
        server: str,
        payload: Callable[[int], bytes],
        timeout_s: float,
        done: Callable[[AttemptResult], None],
        write_by: float,
        context: AttemptContext | None = None,
    ) -> UpstreamAttempt | None:
        """Returns an attempt, or None if the server is not listed or the time to write is over."""
        if server not in self.at or self.loop.time() >= write_by:
            return None
        return HollowAttempt(self, server, timeout_s, done)

    def activate_server(self, server: str, address: Address, has_restarted: bool) -> None:
        """Adds a server that takes requests."""
        self.at[server] = address
        self.draining.discard(server)

    def activate_servers(
        self,
        addresses: dict[str, Address],
        has_restarted: Callable[[str], bool],
        retained: Collection[str] | None,
    ) -> None:
        """Adds servers that take requests; with `retained`, forgets all others."""
        if retained is not None:
            self.at = {}
            self.draining.intersection_update(retained)
        self.at.update(addresses)
        self.draining.difference_update(addresses)

    def drain_server(self, server: str) -> None:
        """Marks a server as draining."""
        self.at.pop(server, None)
        self.draining.add(server)

    def remove_server(self, server: str) -> None:
        """Removes a server."""
        self.at.pop(server, None)
        self.draining.discard(server)

    def is_stopping(self, server: str) -> bool:
        """Returns whether a server takes no new requests."""
        return server not in self.at

    def server_ids(self) -> list[str]:
        """Returns the ids of all servers, draining ones included."""
        return [*self.at, *self.draining]

    def address(self, server: str) -> Address | None:
        """Returns the address of a server that takes requests."""
        return self.at.get(server)

    def close(self) -> None:
        """Does nothing, as no connections are open."""


class PartialList:
    """Passes on only part of the servers to the decision module where the list is longer than `most`. Real
    gateways measure the choice among all servers; here it would be most of the run's CPU. Without `most`, or
    with a shorter list, the module gets all servers."""

    def __init__(self, module: DecisionHandler, number: int, most: int) -> None:
        self.module, self.number, self.most, self.step = module, number, most, 1
        self.ended = False

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handles an event as the module does, and nothing after `ended`."""
        if self.ended:
            return []
        if isinstance(event, EndpointList) and self.most and event.kind is not EndpointListKind.FAILED:
            if event.kind is not EndpointListKind.CHANGES:
                self.step = max(1, math.ceil(len(event.endpoints) / self.most))
            if self.step > 1:
                kept = tuple(
                    e
                    for e in event.endpoints
                    if zlib.crc32(e.address.encode()) % self.step == self.number % self.step
                )
                if not kept and event.kind is EndpointListKind.CHANGES:
                    return []
                event = EndpointList(event.kind, kept, event.total_endpoints)
        return self.module.handle(now_ms, event)


class HollowGateway(GatewayProgram):
    """Hollow gateway. `up` starts it, `down` ends it."""

    def __init__(
        self,
        site: Site,
        config: PlatformConfig,
        loop: asyncio.AbstractEventLoop,
        timeline: Timeline,
        operator: Any,
    ) -> None:
        self.site, self.timeline = site, timeline
        self.rng = random.Random(config.seed)
        self.part = PartialList(
            Policy(config.settings, config.seed), config.gateway_number or 0, site.most_known
        )
        super().__init__(config, loop, self.part, operator=operator)

    def create_upstream(self, pipelined: dict[str, Any] | None) -> ServerPools:
        hollow = HollowServers(self.loop, self.rng, self.site.service_ms / 1000.0, self.away)
        return hollow  # type: ignore[return-value]

    def create_subset(self, *args: Any, **kwargs: Any) -> DecisionHandler:
        """Skips the subset where `most_known` limits the servers anyway. Its start with 5,700 servers and
        each change of the list would cost as much as at a real gateway, times 500 hollow ones."""
        module: DecisionHandler = args[0]
        return module if self.site.most_known else super().create_subset(*args, **kwargs)

    def away(self, server: str) -> bool:
        """Returns whether a server's rack or zone is away."""
        return bool(self.site.troubles) and self.timeline.gone(int(server[2:], 16))

    def up(self) -> None:
        """Starts the gateway as `GatewayProgram.start` does, without its listener."""
        if self.config.cached_endpoints is not None:
            self.gateway.update_endpoints(self.config.cached_endpoints)
        self.discovery.start(self.config.cached_endpoints, LIST_WAIT_S, False)

    def down(self) -> None:
        """Closes the connections; the module gets no further events."""
        self.part.ended = True
        self.listener.close()
        self.discovery.close()
        if self.counter is not None:
            self.counter.close()


class Crowd:
    """Hollow gateways of one process, and their requests."""

    def __init__(
        self, site: Site, numbers: list[int], config: PlatformConfig, operator_path: str | None
    ) -> None:
        self.site, self.numbers = site, numbers
        self.timeline = Timeline(site)
        self.loop = asyncio.get_running_loop()
        self.config = config
        self.operator = read_operator(operator_path, config) if operator_path else None
        self.gateways: dict[int, HollowGateway] = {}
        self.answers: Counter[str] = Counter()
        self.draw = Draw(site, numbers)
        self.serial = 0

    def create_gateway(self, number: int) -> HollowGateway:
        """Creates a gateway with its own settings and seed; the saved list is shared."""
        config = self.config
        settings = replace(config.settings, zone=self.site.zone_name(self.site.gateway_zone(number)))
        config = replace(
            config, name=f"h{number}", settings=settings, gateway_number=number, seed=7919 * number + 17
        )
        return HollowGateway(self.site, config, self.loop, self.timeline, self.operator)

    async def begin(self, numbers: list[int]) -> None:
        """Starts gateways as close together as one process can."""
        for number in numbers:
            self.gateways[number] = self.create_gateway(number)
        for number in numbers:
            self.gateways[number].up()
            await asyncio.sleep(0)

    async def restarts(self) -> None:
        """Plays the site's restarts in order of time."""
        for trouble in sorted((t for t in self.site.troubles if t.what == "restart"), key=lambda t: t.at_s):
            await self.timeline.until(trouble.at_s)
            struck = [n for n in self.numbers if self.site.gateway_zone(n) == trouble.zone]
            for number in struck:
                self.gateways.pop(number).down()
            await self.timeline.until(trouble.to_s)
            await self.begin(struck)

    async def load(self) -> None:
        """Sends the requests of all gateways in order of time."""
        rate = self.site.hollow_rate
        if rate <= 0 or not self.numbers:
            return
        began = self.timeline.zero(self.loop.time())
        rows = [self.numbered_arrivals(number, rate) for number in self.numbers]
        for number, (at, kind, account) in heapq.merge(*rows, key=lambda row: row[1].at):
            pause = began + at - self.loop.time()
            if pause > 0:
                await asyncio.sleep(pause)
            elif pause < -LATE_S and not self.site.requests:
                self.answers["not asked"] += 1  # the process is too slow for the load
                continue
            self.ask(number, kind, account)

    def numbered_arrivals(self, number: int, rate: float) -> Iterator[tuple[int, Arrival]]:
        """Yields the requests to a gateway, with its number."""
        return ((number, arrival) for arrival in arrivals(self.site, self.draw, number, rate))

    def ask(self, number: int, kind: RequestKind, account: Account) -> None:
        """Sends one request to a gateway."""
        gateway = self.gateways.get(number)
        if gateway is None:
            return  # the gateway restarts; its clients use others meanwhile
        self.serial += 1
        spread, _ = sets(account)
        call = HollowCall(b"%016x" % self.serial, kind.class_name, account.plan, account.account_id.decode(),
                     float(kind.deadline_ms), 1.0, spread)  # fmt: skip
        self.answers["asked"] += 1
        gateway.gateway.accept(call, self.answered)

    @property
    def open(self) -> int:
        """Returns the number of requests without an answer."""
        return self.answers["asked"] - sum(self.answers[what] for what in ("served", "refused", "failed"))

    def answered(self, answer: FinalResponse) -> None:
        """Counts how a request ended."""
        self.answers[{Rejected: "refused", Failed: "failed"}.get(type(answer), "served")] += 1

    def close(self) -> None:
        """Ends all gateways."""
        for gateway in self.gateways.values():
            gateway.down()
