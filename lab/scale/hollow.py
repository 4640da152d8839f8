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
from lab.scale.site import Arrival, Site, TenantDraw, arrivals, gateway_set
from lab.scale.stand_ins import Timeline

MAX_DELAY_S = 1.0  # a request whose time is further in the past is skipped, and counted as "not asked"
CONNECT_FAILURE_S = 0.0005  # time until an attempt at a server that is down ends


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
        self.is_written = False  # whether the request counts as sent
        self.on_response_started: Callable[[ResponseSource], None] | None = None
        self.is_wanted: Callable[[], bool] | None = None  # no clients, so none can disconnect
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Starts a timer for the end of the attempt, in place of sending a request."""
        self.started_at = self.servers.loop.time()
        if self.servers.is_down(self.server):
            self.timer = self.servers.loop.call_later(CONNECT_FAILURE_S, self.end, Outcome.UNREACHABLE)
            return
        self.is_written = True
        self.servers.attempts_in_flight += 1
        service_s = self.servers.draw_service_s()
        outcome = Outcome.TIMEOUT if service_s > self.timeout_s else Outcome.OK
        self.timer = self.servers.loop.call_later(min(service_s, self.timeout_s), self.end, outcome)

    def end(self, outcome: Outcome) -> None:
        """Reports the result, once."""
        if self.timer is None:
            return
        self.timer = None
        if self.is_written:
            self.servers.attempts_in_flight -= 1
        if outcome is Outcome.OK:
            self.done(AttemptResult(outcome, b"$6\r\nhollow\r\n", b"inflight=1,queue=0", True))
        else:
            self.done(AttemptResult(outcome))

    def stop(self, outcome: Outcome) -> None:
        """Ends the attempt early."""
        if self.timer is not None:
            self.timer.cancel()
            self.servers.loop.call_soon(self.end, outcome)


class HollowServers:
    """Stands in for `ServerPools` in a hollow gateway."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        rng: random.Random,
        mean_s: float,
        is_down: Callable[[str], bool],
    ) -> None:
        self.loop, self.rng, self.half_mean_s, self.is_down = loop, rng, 0.5 * mean_s, is_down
        self.addresses: dict[str, Address] = {}  # of the servers that take requests
        self.draining: set[str] = set()
        self.attempts_in_flight = 0

    def draw_service_s(self) -> float:
        """Returns a random service time: half of the mean plus an exponential part, as `lab.nodes.Node` has
        it."""
        return self.half_mean_s + self.rng.expovariate(1.0 / self.half_mean_s)

    def create_attempt(
        self,
        server: str,
        payload: Callable[[int], bytes],
        timeout_s: float,
        done: Callable[[AttemptResult], None],
        write_by: float,
        context: AttemptContext | None = None,
    ) -> UpstreamAttempt | None:
        """Returns an attempt, or None if the server takes no requests or the time to write is over."""
        if server not in self.addresses or self.loop.time() >= write_by:
            return None
        return HollowAttempt(self, server, timeout_s, done)

    def activate_server(self, server: str, address: Address, has_restarted: bool) -> None:
        """Adds a server that takes requests."""
        self.addresses[server] = address
        self.draining.discard(server)

    def activate_servers(
        self,
        addresses: dict[str, Address],
        has_restarted: Callable[[str], bool],
        retained: Collection[str] | None,
    ) -> None:
        """Adds servers that take requests; with `retained`, forgets all others."""
        if retained is not None:
            self.addresses = {}
            self.draining.intersection_update(retained)
        self.addresses.update(addresses)
        self.draining.difference_update(addresses)

    def drain_server(self, server: str) -> None:
        """Marks a server as draining."""
        self.addresses.pop(server, None)
        self.draining.add(server)

    def remove_server(self, server: str) -> None:
        """Removes a server."""
        self.addresses.pop(server, None)
        self.draining.discard(server)

    def is_stopping(self, server: str) -> bool:
        """Returns whether a server takes no new requests."""
        return server not in self.addresses

    def server_ids(self) -> list[str]:
        """Returns the ids of all servers, draining ones included."""
        return [*self.addresses, *self.draining]

    def address(self, server: str) -> Address | None:
        """Returns the address of a server that takes requests."""
        return self.addresses.get(server)

    def close(self) -> None:
        """Does nothing, as no connections are open."""


class PartialList:
    """Passes on only part of the servers to the decision module where the list has more than `max_servers`.

    The choice among all servers is measured at the real gateways; here it would take most of the run's CPU.
    With `max_servers` of 0, the module gets all servers.
    """

    def __init__(self, module: DecisionHandler, number: int, max_servers: int) -> None:
        self.module, self.number, self.max_servers = module, number, max_servers
        self.divisor = 1  # the module gets one server of this many, chosen by a hash of the address
        self.is_stopped = False

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Passes an event on to the module; drops it if `is_stopped`."""
        if self.is_stopped:
            return []
        if isinstance(event, EndpointList) and self.max_servers and event.kind is not EndpointListKind.FAILED:
            if event.kind is not EndpointListKind.CHANGES:
                self.divisor = max(1, math.ceil(len(event.endpoints) / self.max_servers))
            if self.divisor > 1:
                kept = tuple(
                    e
                    for e in event.endpoints
                    if zlib.crc32(e.address.encode()) % self.divisor == self.number % self.divisor
                )
                if not kept and event.kind is EndpointListKind.CHANGES:
                    return []
                event = EndpointList(event.kind, kept, event.total_endpoints)
        return self.module.handle(now_ms, event)


class HollowGateway(GatewayProgram):
    """Hollow gateway. `start_hollow` and `stop_hollow` take the place of `start` and `shut_down`."""

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
        self.partial_list = PartialList(
            Policy(config.settings, config.seed), config.gateway_number or 0, site.most_known
        )
        super().__init__(config, loop, self.partial_list, operator=operator)

    def create_upstream(self, pipelined: dict[str, Any] | None) -> ServerPools:
        mean_s = self.site.service_ms / 1000.0
        return HollowServers(self.loop, self.rng, mean_s, self.is_server_down)  # type: ignore[return-value]

    def create_subset(self, *args: Any, **kwargs: Any) -> DecisionHandler:
        """Returns the module without a subset where `most_known` limits the servers anyway. A subset's start
        with 5,700 servers and each change of the list would cost each of 500 hollow gateways as much as a
        real one."""
        module: DecisionHandler = args[0]
        return module if self.site.most_known else super().create_subset(*args, **kwargs)

    def is_server_down(self, server: str) -> bool:
        """Returns whether a fault of its rack or zone has taken a server down."""
        return bool(self.site.faults) and self.timeline.is_server_down(int(server[2:], 16))

    def start_hollow(self) -> None:
        """Starts the gateway as `GatewayProgram.start` does, without its listener."""
        if self.config.cached_endpoints is not None:
            self.gateway.update_endpoints(self.config.cached_endpoints)
        self.discovery.start(self.config.cached_endpoints, LIST_WAIT_S, False)

    def stop_hollow(self) -> None:
        """Closes the connections; the module gets no further events."""
        self.partial_list.is_stopped = True
        self.listener.close()
        self.discovery.close()
        if self.counter is not None:
            self.counter.close()


class HollowGroup:
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
        self.outcomes: Counter[str] = Counter()  # requests, by how they ended; "asked" counts all
        self.draw = TenantDraw(site, numbers)
        self.serial = 0

    def create_gateway(self, number: int) -> HollowGateway:
        """Creates a gateway with its own settings and seed; the saved list is shared."""
        config = self.config
        settings = replace(config.settings, zone=self.site.zone_name(self.site.gateway_zone(number)))
        config = replace(
            config, name=f"h{number}", settings=settings, gateway_number=number, seed=7919 * number + 17
        )
        return HollowGateway(self.site, config, self.loop, self.timeline, self.operator)

    async def start_gateways(self, numbers: list[int]) -> None:
        """Starts gateways as close together as one process can."""
        for number in numbers:
            self.gateways[number] = self.create_gateway(number)
        for number in numbers:
            self.gateways[number].start_hollow()
            await asyncio.sleep(0)

    async def play_restarts(self) -> None:
        """Stops and starts the gateways of a zone as the site's restart faults say, in order of time."""
        for fault in sorted((f for f in self.site.faults if f.kind == "restart"), key=lambda f: f.start_s):
            await self.timeline.wait_until(fault.start_s)
            affected = [n for n in self.numbers if self.site.gateway_zone(n) == fault.zone]
            for number in affected:
                self.gateways.pop(number).stop_hollow()
            await self.timeline.wait_until(fault.end_s)
            await self.start_gateways(affected)

    async def send_requests(self) -> None:
        """Sends the requests of all gateways in order of time."""
        rate = self.site.hollow_rate
        if rate <= 0 or not self.numbers:
            return
        start_s = self.timeline.load_start_s(self.loop.time())
        streams = [self.numbered_arrivals(number, rate) for number in self.numbers]
        for number, (at_s, kind, account) in heapq.merge(*streams, key=lambda entry: entry[1].at_s):
            pause_s = start_s + at_s - self.loop.time()
            if pause_s > 0:
                await asyncio.sleep(pause_s)
            elif pause_s < -MAX_DELAY_S and not self.site.requests:
                self.outcomes["not asked"] += 1  # the process is too slow for the load
                continue
            self.send_request(number, kind, account)

    def numbered_arrivals(self, number: int, rate: float) -> Iterator[tuple[int, Arrival]]:
        """Yields the requests to a gateway, with its number."""
        return ((number, arrival) for arrival in arrivals(self.site, self.draw, number, rate))

    def send_request(self, number: int, kind: RequestKind, account: Account) -> None:
        """Sends one request to a gateway."""
        gateway = self.gateways.get(number)
        if gateway is None:
            return  # the gateway is stopped by a restart fault; its clients use others meanwhile
        self.serial += 1
        spread, _ = gateway_set(account)
        call = HollowCall(b"%016x" % self.serial, kind.class_name, account.plan, account.account_id.decode(),
                     float(kind.deadline_ms), 1.0, spread)  # fmt: skip
        self.outcomes["asked"] += 1
        gateway.gateway.accept(call, self.on_response)

    @property
    def unanswered(self) -> int:
        """Returns the number of requests without an answer."""
        return self.outcomes["asked"] - sum(self.outcomes[end] for end in ("served", "refused", "failed"))

    def on_response(self, response: FinalResponse) -> None:
        """Counts how a request ended."""
        self.outcomes[{Rejected: "refused", Failed: "failed"}.get(type(response), "served")] += 1

    def close(self) -> None:
        """Stops all gateways."""
        for gateway in self.gateways.values():
            gateway.stop_hollow()
