"""Hedged connects: when, how often, and races on real sockets."""

from __future__ import annotations

import asyncio
import math
import socket
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
from lab.peers import RespPeer, always, play, until
from tests.crossings import packed
from tests.loopback import CUSTOMER, GET, SERVED, Script, send_to, site

COMMAND = b"*1\r\n$8\r\nCALL.GET\r\n"
CONNECT_S = 0.4


# --- the choice ------------------------------------------------------------------------------------------


@given(st.lists(st.floats(0.0, 10.0)), st.floats(0.0, CONNECT_S))
def test_a_hedge_is_delayed_enough_and_still_useful(took: list[float], connect_s: float) -> None:
    estimate = ConnectTimeEstimate(CONNECT_S)
    for seconds in took:
        estimate.record_connected(seconds)
    wait = estimate.hedge_delay_s(connect_s)
    assert wait is None or MIN_DELAY_S <= wait <= connect_s / 2.0


@pytest.mark.parametrize("late", [0.0, 1 / 3])
def test_the_hedge_delay_follows_the_median_and_not_the_outliers(late: float) -> None:
    estimate = ConnectTimeEstimate(CONNECT_S)
    for number in range(300):
        estimate.record_connected(CONNECT_S if number % 3 < 3 * late else 0.005)
    wait = estimate.hedge_delay_s(CONNECT_S)
    assert wait is not None and DELAY_FACTOR * 0.004 < wait < DELAY_FACTOR * 0.008


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
    budget, spent, came = HedgeBudget(), 0, 0
    for came_up in events:
        if came_up:
            budget.deposit()
            came += 1
        else:
            spent += budget.try_withdraw()
        assert spent <= 1 + DEPOSIT_PER_CONNECT * came and budget.balance <= MAX_BALANCE


# --- sockets ---------------------------------------------------------------------------------------------


class GatedLoop(uvloop.Loop):
    """Lets each connect to a server proceed when the test says so."""

    def __init__(self) -> None:
        super().__init__()
        self.gates: list[asyncio.Future[None]] = []
        self.port = 0

    async def create_connection(  # type: ignore[override]
        self, factory: Any, host: Any = None, port: Any = None, **more: Any
    ) -> Any:
        if port == self.port and factory is not None:
            gate: asyncio.Future[None] = self.create_future()
            self.gates.append(gate)
            await gate
        return await super().create_connection(factory, host, port, **more)


class Scene:
    """One server, one pool, one attempt whose connects the test controls."""

    def __init__(self, loop: GatedLoop, server: RespPeer, connections: int) -> None:
        self.loop, self.server = loop, server
        self.servers = ServerPools(loop, UpstreamLimits(CONNECT_S, 15.0, 0.25, connections))
        self.servers.activate_server("s0", ("127.0.0.1", server.port), False)
        self.results: list[AttemptResult] = []
        self.attempt = self.begin()

    @property
    def pool(self) -> ConnectionPool:
        return self.servers.pools["s0"]

    def begin(self, timeout_s: float = 60.0) -> Any:
        made = self.servers.create_attempt("s0", lambda left: COMMAND, timeout_s, self.results.append)
        assert made is not None
        made.start()
        return made

    def let_connect(self, number: int) -> None:
        self.loop.gates[number].set_result(None)

    def fail(self, number: int) -> None:
        self.loop.gates[number].set_exception(ConnectionRefusedError())

    async def second_connect(self) -> None:
        await until(lambda: len(self.loop.gates) == 2)

    async def ended(self, ending: Outcome, calls: int) -> None:
        """One result, so many commands at the server, no connection leaked."""
        await until(lambda: self.results)
        await until(lambda: not self.servers.connecting)
        await until(lambda: self.servers.connection_count() == len(self.pool.idle))
        assert [result.outcome for result in self.results] == [ending]
        assert len(self.server.calls()) == calls


Act = Callable[[Scene], Awaitable[None]]


async def first_with_second(scene: Scene) -> None:
    """Both come up in one moment: one carries the request, the other is closed unwritten."""
    scene.let_connect(0)
    scene.let_connect(1)
    await scene.ended(Outcome.OK, 1)
    assert len({number for what, number, _ in scene.server.log if what == "command"}) == 1


async def second_first(scene: Scene) -> None:
    """The second comes up: the first is cancelled, and nothing is written on it later."""
    scene.let_connect(1)
    await scene.ended(Outcome.OK, 1)
    assert scene.loop.gates[0].cancelled()


async def first_after_all(scene: Scene) -> None:
    """The first comes up while the second does: the second is cancelled."""
    scene.let_connect(0)
    await scene.ended(Outcome.OK, 1)
    assert scene.loop.gates[1].cancelled()


async def first_fails(scene: Scene) -> None:
    """The other may yet carry the request."""
    scene.fail(0)
    await until(lambda: len(scene.servers.connecting) == 1)
    assert not scene.results
    scene.let_connect(1)
    await scene.ended(Outcome.OK, 1)


async def second_fails(scene: Scene) -> None:
    """The same the other way round."""
    scene.fail(1)
    await until(lambda: len(scene.servers.connecting) == 1)
    assert not scene.results
    scene.let_connect(0)
    await scene.ended(Outcome.OK, 1)


async def both_fail(scene: Scene) -> None:
    """One result, unreachable, without a timer."""
    scene.attempt.connect_timer.cancel()
    scene.fail(0)
    scene.fail(1)
    await scene.ended(Outcome.UNREACHABLE, 0)


async def neither_in_time(scene: Scene) -> None:
    """The timeout counts from the first: a hedge does not extend it."""
    connect_timer_at = scene.attempt.connect_timer.when()
    assert connect_timer_at == pytest.approx(scene.attempt.started_at + CONNECT_S, abs=0.005)
    await scene.ended(Outcome.UNREACHABLE, 0)
    assert all(gate.cancelled() for gate in scene.loop.gates)


async def client_disconnects(scene: Scene) -> None:
    """Both are cancelled."""
    scene.attempt.stop(Outcome.NOT_SENT)
    await scene.ended(Outcome.NOT_SENT, 0)
    assert all(gate.cancelled() for gate in scene.loop.gates)


async def client_disconnects_as_one_comes_up(scene: Scene) -> None:
    """The connection is up, its task has not resumed yet: nothing is written on it, and it is not counted any
    more."""

    class Trip(set[Connection]):
        def add(self, conn: Connection) -> None:
            super().add(conn)
            scene.attempt.stop(Outcome.NOT_SENT)

    scene.pool.open = Trip()
    scene.let_connect(0)
    await scene.ended(Outcome.NOT_SENT, 0)


async def grace_over(scene: Scene) -> None:
    """The server drains meanwhile, and its grace ends: nothing is written on what comes up."""
    scene.pool.stop()
    scene.pool.stop_at = scene.loop.time() - 0.001
    scene.let_connect(0)
    scene.let_connect(1)
    await scene.ended(Outcome.UNREACHABLE, 0)


CROSSINGS: tuple[Act, ...] = (
    first_with_second, second_first, first_after_all, first_fails, second_fails, both_fail, neither_in_time,
    client_disconnects, client_disconnects_as_one_comes_up, grace_over,
)  # fmt: skip


@asynccontextmanager
async def scene(loop: GatedLoop, connections: int = 100) -> AsyncIterator[Scene]:
    server = RespPeer(always(SERVED))
    await server.start()
    loop.port = server.port
    made = Scene(loop, server, connections)
    try:
        yield made
    finally:
        made.servers.close()
        await server.stop()


def run_act(act: Act, connections: int = 100) -> None:
    """An act on a fresh scene; the limit only keeps a broken test from hanging."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, GatedLoop)
        async with scene(loop, connections) as made:
            await act(made)

    with asyncio.Runner(loop_factory=GatedLoop) as runner:
        runner.run(asyncio.wait_for(scenario(), 15.0))


@pytest.mark.parametrize("act", CROSSINGS, ids=lambda act: act.__name__)
def test_races_of_a_hedged_connect(act: Act) -> None:
    async def both(made: Scene) -> None:
        await made.second_connect()
        await act(made)

    run_act(both)


def test_no_hedge_beyond_the_connection_limit() -> None:
    """The connection limit is reached: the attempt waits for its first connect."""

    async def act(made: Scene) -> None:
        await until(lambda: made.attempt.hedge_timer is None)
        assert len(made.loop.gates) == 1 and made.servers.connection_count() == 1
        made.let_connect(0)
        await made.ended(Outcome.OK, 1)

    run_act(act, connections=1)


def test_a_server_to_which_no_connection_comes_up_gets_one_hedge() -> None:
    """Its hedge is spent; after that only connections that came up earn more."""

    async def act(made: Scene) -> None:
        await made.second_connect()
        for _ in range(3):
            await until(lambda: made.results)
            made.results.clear()
            asked = len(made.loop.gates)
            made.attempt = made.begin()
            await until(lambda: made.results)
            assert len(made.loop.gates) == asked + 1
        assert made.servers.hedged_connects == 1

    run_act(act)


def test_a_draining_server_gets_no_hedge() -> None:
    """The server drains while the first comes up: it may still carry the request, no other is opened."""

    async def act(made: Scene) -> None:
        made.pool.stop()
        made.pool.stop_at = math.inf
        await until(lambda: made.attempt.hedge_timer is None)
        assert len(made.loop.gates) == 1
        made.let_connect(0)
        await made.ended(Outcome.OK, 1)

    run_act(act)


def test_a_connection_that_became_idle_is_used_instead_of_a_hedge() -> None:
    """No second connection is opened then."""

    async def act(made: Scene) -> None:
        conn = Connection(made.pool)
        await uvloop.Loop.create_connection(made.loop, lambda: conn, *made.pool.address)
        made.pool.release(conn)
        await made.ended(Outcome.OK, 1)
        assert len(made.loop.gates) == 1 and made.servers.hedged_connects == 0

    run_act(act)


def test_a_connect_cancelled_before_its_first_step_is_not_counted_forever() -> None:
    """The client leaves in the turn in which its request came: the task never runs any of its code."""

    async def act(made: Scene) -> None:
        made.begin().stop(Outcome.NOT_SENT)
        await until(lambda: made.loop.gates)
        made.let_connect(0)
        await until(lambda: len(made.results) == 2)
        await until(lambda: not made.servers.connecting)

    run_act(act)


def test_clients_that_disconnect_at_once_leak_no_connection() -> None:
    """More of them than there are connections to servers; then one that waits for its answer gets it."""

    async def scenario() -> None:
        async with site(always(SERVED), decisions=Script(send_to("s0"))) as one:
            servers = one.program.servers
            for number in range(int(1.5 * servers.max_connections())):
                with socket.create_connection(("127.0.0.1", one.port)) as client:
                    client.sendall(packed(b"CALL.GET", CUSTOMER, b"%d" % number, GET))
                if number % 20 == 0:
                    await asyncio.sleep(0)
            await until(lambda: not one.program.listener.clients and not one.program.gateway.active_requests)
            asker = await one.client()
            assert await asker.ask(b"CALL.GET", CUSTOMER, b"last", GET) == b"value"
            await until(
                lambda: servers.connection_count() == sum(len(pool.idle) for pool in servers.pools.values())
            )

    play(scenario())
