"""A second connection beside a late one: when, how often, and what crosses it, on real sockets."""

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
from glenchute.upstreams.limits import UpstreamLimits
from glenchute.upstreams.server_pools import ServerPools
from lab.peers import RespPeer, always, play, until
from tests.crossings import packed
from tests.loopback import CUSTOMER, GET, SERVED, Script, send_to, site

COMMAND = b"*1\r\n$8\r\nCALL.GET\r\n"
CONNECT_S = 0.4


# --- the choice ------------------------------------------------------------------------------------------


@given(st.lists(st.floats(0.0, 10.0)), st.floats(0.0, CONNECT_S))
def test_a_second_comes_late_enough_and_while_it_is_of_use(took: list[float], connect_s: float) -> None:
    usual = ConnectTimeEstimate(CONNECT_S)
    for seconds in took:
        usual.record_connected(seconds)
    wait = usual.hedge_delay_s(connect_s)
    assert wait is None or MIN_DELAY_S <= wait <= connect_s / 2.0


@pytest.mark.parametrize("late", [0.0, 1 / 3])
def test_what_is_late_follows_what_connections_take_and_not_the_late_ones(late: float) -> None:
    usual = ConnectTimeEstimate(CONNECT_S)
    for number in range(300):
        usual.record_connected(CONNECT_S if number % 3 < 3 * late else 0.005)
    wait = usual.hedge_delay_s(CONNECT_S)
    assert wait is not None and DELAY_FACTOR * 0.004 < wait < DELAY_FACTOR * 0.008


def test_however_long_connections_took_no_time_it_is_seen_when_they_do() -> None:
    usual = ConnectTimeEstimate(CONNECT_S)
    for _ in range(10_000):
        usual.record_connected(0.0)
    assert usual.hedge_delay_s(CONNECT_S) == MIN_DELAY_S
    for _ in range(30):
        usual.record_connected(0.02)
    assert usual.median_s > 0.02 / 1.2


def test_clients_that_leave_at_once_tell_nothing_of_what_connections_take() -> None:
    usual = ConnectTimeEstimate(CONNECT_S)
    first = usual.hedge_delay_s(CONNECT_S)
    for _ in range(100):
        usual.record_abandoned(0.0001)
    assert usual.hedge_delay_s(CONNECT_S) == first
    usual.record_abandoned(CONNECT_S)
    assert first is not None and usual.median_s > first / DELAY_FACTOR


@given(st.lists(st.booleans()))
def test_seconds_are_at_most_a_share_of_the_connections_that_came_up(events: list[bool]) -> None:
    budget, spent, came = HedgeBudget(), 0, 0
    for came_up in events:
        if came_up:
            budget.deposit()
            came += 1
        else:
            spent += budget.try_withdraw()
        assert spent <= 1 + DEPOSIT_PER_CONNECT * came and budget.balance <= MAX_BALANCE


# --- sockets ---------------------------------------------------------------------------------------------


class HeldLoop(uvloop.Loop):
    """Lets each connect to a server go on when the test says so."""

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
    """One server, one pool, one attempt whose connects the test lets go on."""

    def __init__(self, loop: HeldLoop, server: RespPeer, connections: int) -> None:
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

    def go_on(self, number: int) -> None:
        self.loop.gates[number].set_result(None)

    def fail(self, number: int) -> None:
        self.loop.gates[number].set_exception(ConnectionRefusedError())

    async def second(self) -> None:
        await until(lambda: len(self.loop.gates) == 2)

    async def ended(self, ending: Outcome, calls: int) -> None:
        """One ending, so many commands at the server, nothing left behind."""
        await until(lambda: self.results)
        await until(lambda: not self.servers.connecting)
        await until(lambda: self.servers.connection_count() == len(self.pool.idle))
        assert [result.outcome for result in self.results] == [ending]
        assert len(self.server.calls()) == calls


Act = Callable[[Scene], Awaitable[None]]


async def first_with_second(scene: Scene) -> None:
    """Both come up in one moment: one carries the request, the other is closed unwritten."""
    scene.go_on(0)
    scene.go_on(1)
    await scene.ended(Outcome.OK, 1)
    assert len({number for what, number, _ in scene.server.log if what == "command"}) == 1


async def second_first(scene: Scene) -> None:
    """The second comes up: the first is given up, its wait is over, and nothing goes out on it later."""
    scene.go_on(1)
    await scene.ended(Outcome.OK, 1)
    assert scene.loop.gates[0].cancelled()


async def first_after_all(scene: Scene) -> None:
    """The first comes up while the second does: the second is given up."""
    scene.go_on(0)
    await scene.ended(Outcome.OK, 1)
    assert scene.loop.gates[1].cancelled()


async def first_fails(scene: Scene) -> None:
    """The other may yet carry the request."""
    scene.fail(0)
    await until(lambda: len(scene.servers.connecting) == 1)
    assert not scene.results
    scene.go_on(1)
    await scene.ended(Outcome.OK, 1)


async def second_fails(scene: Scene) -> None:
    """The same the other way round."""
    scene.fail(1)
    await until(lambda: len(scene.servers.connecting) == 1)
    assert not scene.results
    scene.go_on(0)
    await scene.ended(Outcome.OK, 1)


async def both_fail(scene: Scene) -> None:
    """One ending, by which nothing has run; no timer has to tell."""
    scene.attempt.connect_timer.cancel()
    scene.fail(0)
    scene.fail(1)
    await scene.ended(Outcome.UNREACHABLE, 0)


async def neither_in_time(scene: Scene) -> None:
    """The time-out counts from the first: a second does not make it longer."""
    connect_timer_at = scene.attempt.connect_timer.when()
    assert connect_timer_at == pytest.approx(scene.attempt.started_at + CONNECT_S, abs=0.005)
    await scene.ended(Outcome.UNREACHABLE, 0)
    assert all(gate.cancelled() for gate in scene.loop.gates)


async def client_leaves(scene: Scene) -> None:
    """Both are given up."""
    scene.attempt.stop(Outcome.NOT_SENT)
    await scene.ended(Outcome.NOT_SENT, 0)
    assert all(gate.cancelled() for gate in scene.loop.gates)


async def client_leaves_as_one_comes_up(scene: Scene) -> None:
    """The connection is up, its task has not gone on yet: nothing is written on it, and it counts no more."""

    class Trip(set[Connection]):
        def add(self, conn: Connection) -> None:
            super().add(conn)
            scene.attempt.stop(Outcome.NOT_SENT)

    scene.pool.open = Trip()
    scene.go_on(0)
    await scene.ended(Outcome.NOT_SENT, 0)


async def grace_over(scene: Scene) -> None:
    """The server drains meanwhile, and its grace ends: nothing is written on what comes up."""
    scene.pool.stop()
    scene.pool.stop_at = scene.loop.time() - 0.001
    scene.go_on(0)
    scene.go_on(1)
    await scene.ended(Outcome.UNREACHABLE, 0)


CROSSINGS: tuple[Act, ...] = (
    first_with_second, second_first, first_after_all, first_fails, second_fails, both_fail, neither_in_time,
    client_leaves, client_leaves_as_one_comes_up, grace_over,
)  # fmt: skip


@asynccontextmanager
async def scene(loop: HeldLoop, connections: int = 100) -> AsyncIterator[Scene]:
    server = RespPeer(always(SERVED))
    await server.start()
    loop.port = server.port
    made = Scene(loop, server, connections)
    try:
        yield made
    finally:
        made.servers.close()
        await server.stop()


def played(act: Act, connections: int = 100) -> None:
    """An act on a fresh scene; the limit only keeps a broken test from hanging."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, HeldLoop)
        async with scene(loop, connections) as made:
            await act(made)

    with asyncio.Runner(loop_factory=HeldLoop) as runner:
        runner.run(asyncio.wait_for(scenario(), 15.0))


@pytest.mark.parametrize("act", CROSSINGS, ids=lambda act: act.__name__)
def test_what_crosses_a_second_connection(act: Act) -> None:
    async def both(made: Scene) -> None:
        await made.second()
        await act(made)

    played(both)


def test_no_second_without_room() -> None:
    """The descriptors are used up: the attempt waits on alone."""

    async def act(made: Scene) -> None:
        await until(lambda: made.attempt.hedge_timer is None)
        assert len(made.loop.gates) == 1 and made.servers.connection_count() == 1
        made.go_on(0)
        await made.ended(Outcome.OK, 1)

    played(act, connections=1)


def test_a_server_on_which_nothing_comes_up_is_not_asked_for_more() -> None:
    """Its one second is spent; after a connection came up, every other one may be late."""

    async def act(made: Scene) -> None:
        await made.second()
        for _ in range(3):
            await until(lambda: made.results)
            made.results.clear()
            asked = len(made.loop.gates)
            made.attempt = made.begin()
            await until(lambda: made.results)
            assert len(made.loop.gates) == asked + 1
        assert made.servers.hedged_connects == 1

    played(act)


def test_a_drain_ends_seconds() -> None:
    """The server drains while the first comes up: it may still carry the request, no other is opened."""

    async def act(made: Scene) -> None:
        made.pool.stop()
        made.pool.stop_at = math.inf
        await until(lambda: made.attempt.hedge_timer is None)
        assert len(made.loop.gates) == 1
        made.go_on(0)
        await made.ended(Outcome.OK, 1)

    played(act)


def test_one_that_has_come_free_carries_the_request_of_a_late_one() -> None:
    """No second is opened then."""

    async def act(made: Scene) -> None:
        conn = Connection(made.pool)
        await uvloop.Loop.create_connection(made.loop, lambda: conn, *made.pool.address)
        made.pool.give_back(conn)
        await made.ended(Outcome.OK, 1)
        assert len(made.loop.gates) == 1 and made.servers.hedged_connects == 0

    played(act)


def test_given_up_before_its_first_step_a_connect_is_not_counted_for_good() -> None:
    """The client leaves in the turn in which its request came: the task never runs any of its code."""

    async def act(made: Scene) -> None:
        made.begin().stop(Outcome.NOT_SENT)
        await until(lambda: made.loop.gates)
        made.go_on(0)
        await until(lambda: len(made.results) == 2)
        await until(lambda: not made.servers.connecting)

    played(act)


def test_clients_that_leave_at_once_take_no_place_for_good() -> None:
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
