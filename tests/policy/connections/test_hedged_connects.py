"""Tests of hedged connects: their delay, their budget, and races on real sockets."""

from __future__ import annotations

import asyncio
import math
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest
import uvloop
from hypothesis import given
from hypothesis import strategies as st

from glenchute.core.limits import UpstreamLimits
from glenchute.core.types import AttemptResult
from glenchute.policy.connections.hedged_connects import (
    DELAY_FACTOR,
    DEPOSIT_PER_CONNECT,
    MAX_BALANCE,
    MIN_DELAY_S,
    ConnectTimeEstimate,
    HedgeBudget,
)
from glenchute.policy.events import Outcome
from glenchute.upstreams.connection import Connection
from glenchute.upstreams.connection_pool import ConnectionPool
from glenchute.upstreams.server_pools import ServerPools
from lab.peers import RespPeer, reply_with, run_scenario, wait_until
from tests.crossings import encode_command
from tests.loopback import CUSTOMER, GET, SERVED, ScriptedEngine, send_to, site

COMMAND = b"*1\r\n$8\r\nCALL.GET\r\n"
CONNECT_S = 0.4
CLOCK_STEP_S = 0.001  # resolution of the loop's clock


def clock_step(time_s: float) -> int:
    """Returns the step of the loop's clock that a time stands for, without the rounding errors of sums."""
    return round(time_s / CLOCK_STEP_S)


# --- delay and budget ------------------------------------------------------------------------------------


@given(st.lists(st.floats(0.0, 10.0)), st.floats(0.0, CONNECT_S))
def test_a_hedge_is_delayed_enough_and_still_useful(connect_times_s: list[float], connect_s: float) -> None:
    estimate = ConnectTimeEstimate(CONNECT_S)
    for seconds in connect_times_s:
        estimate.record_connected(seconds)
    delay_s = estimate.hedge_delay_s(connect_s)
    assert delay_s is None or MIN_DELAY_S <= delay_s <= connect_s / 2.0


@pytest.mark.parametrize("slow_fraction", [0.0, 1 / 3])
def test_the_hedge_delay_follows_the_median_and_not_the_outliers(slow_fraction: float) -> None:
    estimate = ConnectTimeEstimate(CONNECT_S)
    for number in range(300):
        estimate.record_connected(CONNECT_S if number % 3 < 3 * slow_fraction else 0.005)
    delay_s = estimate.hedge_delay_s(CONNECT_S)
    assert delay_s is not None and DELAY_FACTOR * 0.004 < delay_s < DELAY_FACTOR * 0.008


def test_the_estimate_recovers_from_connect_times_of_zero() -> None:
    estimate = ConnectTimeEstimate(CONNECT_S)
    for _ in range(10_000):
        estimate.record_connected(0.0)
    assert estimate.hedge_delay_s(CONNECT_S) == MIN_DELAY_S
    for _ in range(30):
        estimate.record_connected(0.02)
    assert estimate.median_s > 0.02 / 1.2


def test_connects_abandoned_at_once_do_not_change_the_estimate() -> None:
    estimate = ConnectTimeEstimate(CONNECT_S)
    first = estimate.hedge_delay_s(CONNECT_S)
    for _ in range(100):
        estimate.record_abandoned(0.0001)
    assert estimate.hedge_delay_s(CONNECT_S) == first
    estimate.record_abandoned(CONNECT_S)
    assert first is not None and estimate.median_s > first / DELAY_FACTOR


@given(st.lists(st.booleans()))
def test_hedges_are_at_most_a_share_of_the_connections_that_came_up(events: list[bool]) -> None:
    budget, spent, connected = HedgeBudget(), 0, 0
    for came_up in events:
        if came_up:
            budget.deposit()
            connected += 1
        else:
            spent += budget.try_withdraw()
        assert spent <= 1 + DEPOSIT_PER_CONNECT * connected and budget.balance <= MAX_BALANCE


# --- sockets ---------------------------------------------------------------------------------------------


class GatedLoop(uvloop.Loop):
    """An event loop that holds each connect to the server until the test opens its gate."""

    def __init__(self) -> None:
        super().__init__()
        self.connect_gates: list[asyncio.Future[None]] = []
        self.port = 0

    async def create_connection(  # type: ignore[override]
        self, factory: Any, host: Any = None, port: Any = None, **more: Any
    ) -> Any:
        if port == self.port and factory is not None:
            gate: asyncio.Future[None] = self.create_future()
            self.connect_gates.append(gate)
            await gate
        return await super().create_connection(factory, host, port, **more)


class HedgeRace:
    """One server, one pool, and one attempt whose connects the test controls."""

    def __init__(self, loop: GatedLoop, server: RespPeer, connections: int) -> None:
        self.loop, self.server = loop, server
        self.servers = ServerPools(loop, UpstreamLimits(CONNECT_S, 15.0, 0.25, connections))
        self.servers.activate_server("s0", ("127.0.0.1", server.port), False)
        self.results: list[AttemptResult] = []
        self.attempt = self.start_attempt()
        self.started_by = time.monotonic()  # the loop's clock, read after the attempt has set its timers

    @property
    def pool(self) -> ConnectionPool:
        return self.servers.pools["s0"]

    def start_attempt(self, timeout_s: float = 60.0) -> Any:
        new_attempt = self.servers.create_attempt("s0", lambda left: COMMAND, timeout_s, self.results.append)
        assert new_attempt is not None
        new_attempt.start()
        return new_attempt

    def complete_connect(self, index: int) -> None:
        self.loop.connect_gates[index].set_result(None)

    def fail_connect(self, index: int) -> None:
        self.loop.connect_gates[index].set_exception(ConnectionRefusedError())

    async def wait_for_hedge(self) -> None:
        await wait_until(lambda: len(self.loop.connect_gates) == 2)

    async def expect_result(self, outcome: Outcome, calls: int) -> None:
        """Asserts one result, `calls` commands at the server, and no leaked connection."""
        await wait_until(lambda: self.results)
        await wait_until(lambda: not self.servers.connecting)
        await wait_until(lambda: self.servers.connection_count() == len(self.pool.idle))
        assert [result.outcome for result in self.results] == [outcome]
        assert len(self.server.calls()) == calls


RaceScenario = Callable[[HedgeRace], Awaitable[None]]


async def both_connect_at_once(race: HedgeRace) -> None:
    """One connection carries the request; nothing is written on the other, which is closed."""
    race.complete_connect(0)
    race.complete_connect(1)
    await race.expect_result(Outcome.OK, 1)
    assert len({number for what, number, _ in race.server.log if what == "command"}) == 1


async def second_connects_first(race: HedgeRace) -> None:
    """The first connect is cancelled, and nothing is written on its connection later."""
    race.complete_connect(1)
    await race.expect_result(Outcome.OK, 1)
    assert race.loop.connect_gates[0].cancelled()


async def first_connects_before_second(race: HedgeRace) -> None:
    """The second connect is cancelled."""
    race.complete_connect(0)
    await race.expect_result(Outcome.OK, 1)
    assert race.loop.connect_gates[1].cancelled()


async def first_fails(race: HedgeRace) -> None:
    """The second connection carries the request."""
    race.fail_connect(0)
    await wait_until(lambda: len(race.servers.connecting) == 1)
    assert not race.results
    race.complete_connect(1)
    await race.expect_result(Outcome.OK, 1)


async def second_fails(race: HedgeRace) -> None:
    """The first connection carries the request."""
    race.fail_connect(1)
    await wait_until(lambda: len(race.servers.connecting) == 1)
    assert not race.results
    race.complete_connect(0)
    await race.expect_result(Outcome.OK, 1)


async def both_fail(race: HedgeRace) -> None:
    """The attempt ends as unreachable without waiting for the timeout."""
    race.attempt.connect_timer.cancel()
    race.fail_connect(0)
    race.fail_connect(1)
    await race.expect_result(Outcome.UNREACHABLE, 0)


async def neither_connects_in_time(race: HedgeRace) -> None:
    """The timeout counts from the first connect: a hedge does not extend it."""
    expires_at, latest_at = race.attempt.connect_timer.when(), race.started_by + CONNECT_S
    assert clock_step(race.attempt.started_at + CONNECT_S) <= clock_step(expires_at)
    assert expires_at <= latest_at + CLOCK_STEP_S
    await race.expect_result(Outcome.UNREACHABLE, 0)
    assert all(gate.cancelled() for gate in race.loop.connect_gates)


async def client_disconnects(race: HedgeRace) -> None:
    """Both connects are cancelled."""
    race.attempt.stop(Outcome.NOT_SENT)
    await race.expect_result(Outcome.NOT_SENT, 0)
    assert all(gate.cancelled() for gate in race.loop.connect_gates)


async def client_disconnects_as_one_connects(race: HedgeRace) -> None:
    """The client disconnects when a connection is established but its task has not resumed: nothing is
    written on it, and it is no longer counted."""

    class StoppingSet(set[Connection]):
        def add(self, conn: Connection) -> None:
            super().add(conn)
            race.attempt.stop(Outcome.NOT_SENT)

    race.pool.open = StoppingSet()
    race.complete_connect(0)
    await race.expect_result(Outcome.NOT_SENT, 0)


async def drain_grace_ends(race: HedgeRace) -> None:
    """The server drains and its grace period ends: nothing is written on connections established later."""
    race.pool.stop()
    race.pool.stop_at = race.loop.time() - 0.001
    race.complete_connect(0)
    race.complete_connect(1)
    await race.expect_result(Outcome.UNREACHABLE, 0)


RACES: tuple[RaceScenario, ...] = (
    both_connect_at_once, second_connects_first, first_connects_before_second, first_fails, second_fails,
    both_fail, neither_connects_in_time, client_disconnects, client_disconnects_as_one_connects,
    drain_grace_ends,
)  # fmt: skip


@asynccontextmanager
async def hedge_race(loop: GatedLoop, connections: int = 100) -> AsyncIterator[HedgeRace]:
    server = RespPeer(reply_with(SERVED))
    await server.start()
    loop.port = server.port
    race = HedgeRace(loop, server, connections)
    try:
        yield race
    finally:
        race.servers.close()
        await server.stop()


def run_race(race_scenario: RaceScenario, connections: int = 100) -> None:
    """Runs a scenario on a new `HedgeRace`; the timeout only keeps a broken test from hanging."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, GatedLoop)
        async with hedge_race(loop, connections) as race:
            await race_scenario(race)

    with asyncio.Runner(loop_factory=GatedLoop) as runner:
        runner.run(asyncio.wait_for(scenario(), 15.0))


@pytest.mark.parametrize("race_scenario", RACES, ids=lambda race_scenario: race_scenario.__name__)
def test_races_of_a_hedged_connect(race_scenario: RaceScenario) -> None:
    async def wait_and_race(race: HedgeRace) -> None:
        await race.wait_for_hedge()
        await race_scenario(race)

    run_race(wait_and_race)


def test_no_hedge_beyond_the_connection_limit() -> None:
    """The connection limit is reached, so the attempt waits for its first connect."""

    async def race_scenario(race: HedgeRace) -> None:
        await wait_until(lambda: race.attempt.hedge_timer is None)
        assert len(race.loop.connect_gates) == 1 and race.servers.connection_count() == 1
        race.complete_connect(0)
        await race.expect_result(Outcome.OK, 1)

    run_race(race_scenario, connections=1)


def test_a_server_to_which_no_connection_comes_up_gets_one_hedge() -> None:
    """The server's initial hedge is spent, and only established connections add to its hedge budget."""

    async def race_scenario(race: HedgeRace) -> None:
        await race.wait_for_hedge()
        for _ in range(3):
            await wait_until(lambda: race.results)
            race.results.clear()
            connect_count = len(race.loop.connect_gates)
            race.attempt = race.start_attempt()
            await wait_until(lambda: race.results)
            assert len(race.loop.connect_gates) == connect_count + 1
        assert race.servers.hedged_connects == 1

    run_race(race_scenario)


def test_a_draining_server_gets_no_hedge() -> None:
    """The server drains during the first connect, which may still carry the request; no other is opened."""

    async def race_scenario(race: HedgeRace) -> None:
        race.pool.stop()
        race.pool.stop_at = math.inf
        await wait_until(lambda: race.attempt.hedge_timer is None)
        assert len(race.loop.connect_gates) == 1
        race.complete_connect(0)
        await race.expect_result(Outcome.OK, 1)

    run_race(race_scenario)


def test_a_connection_that_became_idle_is_used_instead_of_a_hedge() -> None:
    """The idle connection carries the request, and no second connect is started."""

    async def race_scenario(race: HedgeRace) -> None:
        conn = Connection(race.pool)
        await uvloop.Loop.create_connection(race.loop, lambda: conn, *race.pool.address)
        race.pool.release(conn)
        await race.expect_result(Outcome.OK, 1)
        assert len(race.loop.connect_gates) == 1 and race.servers.hedged_connects == 0

    run_race(race_scenario)


def test_a_connect_cancelled_before_its_first_step_is_not_counted_forever() -> None:
    """The client disconnects in the loop iteration of its request, so the connect task never runs."""

    async def race_scenario(race: HedgeRace) -> None:
        race.start_attempt().stop(Outcome.NOT_SENT)
        await wait_until(lambda: race.loop.connect_gates)
        race.complete_connect(0)
        await wait_until(lambda: len(race.results) == 2)
        await wait_until(lambda: not race.servers.connecting)

    run_race(race_scenario)


def test_clients_that_disconnect_at_once_leak_no_connection() -> None:
    """There are more such clients than connections to servers; a client that waits is served afterwards."""

    async def scenario() -> None:
        async with site(reply_with(SERVED), decisions=ScriptedEngine(send_to("s0"))) as gateway_site:
            servers = gateway_site.program.servers
            for number in range(int(1.5 * servers.max_connections())):
                with socket.create_connection(("127.0.0.1", gateway_site.port)) as client:
                    client.sendall(encode_command(b"CALL.GET", CUSTOMER, b"%d" % number, GET))
                if number % 20 == 0:
                    await asyncio.sleep(0)
            await wait_until(
                lambda: (
                    not gateway_site.program.listener.clients
                    and not gateway_site.program.gateway.active_requests
                )
            )
            waiting_client = await gateway_site.client()
            assert await waiting_client.ask(b"CALL.GET", CUSTOMER, b"last", GET) == b"value"
            await wait_until(
                lambda: servers.connection_count() == sum(len(pool.idle) for pool in servers.pools.values())
            )

    run_scenario(scenario())
