"""Pipelined connections over loopback sockets: the commands that servers logged, compared with the replies
that clients received."""

from __future__ import annotations

import asyncio
import re
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import hiredis
import pytest

from glenchute.core.types import DecisionHandler
from glenchute.policy.events import (
    AttemptEnded,
    AttemptStalled,
    ClientDisconnected,
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointState,
    Outcome,
)
from glenchute.upstreams.pipelined_pool import PipelinedPool
from glenchute.upstreams.pipelined_servers import PipelinedServers
from tests.loopback import (
    CHARGE,
    CUSTOMER,
    GET,
    ORDER,
    Client,
    Peer,
    ScriptedEngine,
    Site,
    generate_request_ids,
    run_scenario,
    send_to,
    site,
    wait_until,
)

PIPELINED = '[pipeline]\nclasses = ["read", "order"]\ndepth = 8\nat_risk = 16\nsettle_ms = 0\n'
Wire = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class ScriptedServer(Peer):
    """A server that the test controls.

    It replies by itself only if `answers` is set. `ran` logs the complete commands with the numbers of their
    connections. Each new connection takes the next number from `cuts`, if there is one, and is aborted after
    that many received bytes. `ended` holds the numbers of closed connections.
    """

    def __init__(self, answers: bool = False) -> None:
        super().__init__()
        self.answers = answers
        self.ran: list[tuple[int, list[bytes]]] = []
        self.cuts: list[int] = []
        self.ended: set[int] = set()
        self.reads = True

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = len(self.writers) - 1
        remaining = self.cuts.pop(0) if self.cuts else 1 << 40
        parser = hiredis.Reader()
        try:
            while True:
                if not self.reads:
                    writer.transport.pause_reading()  # type: ignore[attr-defined]
                    await wait_until(lambda: self.reads)
                    writer.transport.resume_reading()  # type: ignore[attr-defined]
                data = await reader.read(min(remaining, 65536)) if remaining else b""
                parser.feed(data)
                remaining -= len(data)
                while (words := parser.gets()) is not False:
                    self.ran.append((number, words))
                    if self.answers:
                        writer.write(value(words[2]))
                if not data or not remaining:
                    writer.transport.abort()
                    return
        finally:
            self.ended.add(number)

    def ids(self, connection: int | None = None) -> list[bytes]:
        """Returns the ids of the requests that were received completely, in order."""
        return [words[2] for number, words in self.ran if connection in (None, number)]

    def send(self, data: bytes, connection: int = 0) -> None:
        self.writers[connection].write(data)


def value(text: bytes) -> bytes:
    return b"*3\r\n$%d\r\n%b\r\n*-1\r\n*-1\r\n" % (len(text), text)


def add_samples(program: Any, connect_ms: float = 2000.0) -> PipelinedServers:
    """Makes the scheduler share connections, by enough samples of each class and a high connect time."""
    upstream = program.servers
    assert isinstance(upstream, PipelinedServers)
    now = 1000.0 * asyncio.get_running_loop().time()
    for name in ("read", "order"):
        for sample in range(60):
            upstream.scheduler.times.add(now, name, "s0", 20.0 + sample / 3.0, False)
    for server in upstream.pools:
        upstream.scheduler.server(server).depth_limit.limit = 8.0
        upstream.scheduler.server(server).connect_ms = connect_ms
    return upstream


def change_rules(upstream: PipelinedServers, **changes: Any) -> None:
    """Replaces rules of the operator's file in all parts of the scheduler."""
    scheduler = upstream.scheduler
    rules = scheduler.rules._replace(**changes)
    scheduler.rules = scheduler.chooser.rules = scheduler.stalls.rules = rules


@asynccontextmanager
async def pipelined_site(
    *servers: ScriptedServer,
    decisions: DecisionHandler | None = None,
    operator: str = PIPELINED,
    **changes: Any,
) -> AsyncIterator[tuple[Site, PipelinedServers]]:
    """Runs a gateway with pipelined connections to these servers until the context ends."""

    async def unused(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        return None

    async with site(
        *[unused] * len(servers), decisions=decisions, operator=operator, **changes
    ) as gateway_site:
        for number, server in enumerate(servers):
            await server.start()
            gateway_site.program.servers.activate_server(f"s{number}", ("127.0.0.1", server.port), False)
        try:
            yield gateway_site, add_samples(gateway_site.program)
        finally:
            for server in servers:
                server.reads = True
                await server.stop()


async def burst(client: Client, *commands: tuple[bytes, ...]) -> None:
    """Sends commands in one write."""
    client.writer.write(b"".join(packed(command) for command in commands))


def packed(words: tuple[bytes, ...]) -> bytes:
    return bytes(hiredis.pack_command(words))  # type: ignore[arg-type]


def reads(ids: list[bytes]) -> list[tuple[bytes, ...]]:
    return [(b"CALL.GET", CUSTOMER, name, GET) for name in ids]


def outcomes(script: ScriptedEngine) -> dict[str, Outcome]:
    return {event.request_id: event.outcome for event in script.events_of(AttemptEnded)}


def test_a_burst_is_written_at_once_and_answered_in_order() -> None:
    async def scenario() -> None:
        server = ScriptedServer(answers=True)
        async with pipelined_site(server, decisions=ScriptedEngine(send_to("s0"))) as (
            gateway_site,
            upstream,
        ):
            client = await gateway_site.client()
            await burst(client, *reads([b"a", b"b", b"c", b"d", b"e"]))
            assert [await client.reply() for _ in range(5)] == [b"a", b"b", b"c", b"d", b"e"]
            assert (
                len(server.writers) == 1
                and upstream.runtime.counts["writes"] == 1
                and upstream.runtime.counts["commands"] == 5
            )
            assert server.ids() == [b"a", b"b", b"c", b"d", b"e"]
            assert not upstream.runtime.attempts and not gateway_site.program.gateway.attempts_in_flight
            await burst(client, *reads([b"f"]))
            # The connection was idle again and is reused.
            assert await client.reply() == b"f" and len(server.writers) == 1

    run_scenario(scenario())


def test_outcomes_for_every_form_of_reply() -> None:
    """Each case has three attempts on one connection: the bytes that the server sends, whether it then closes
    the connection, and the outcomes."""
    ok, busy, failed = value(b"v"), b"-BUSY\r\n", b"-ERR failed\r\n"
    e = Outcome
    table: list[tuple[bytes, bool, list[Outcome]]] = [
        (ok + ok + ok, False, [e.OK, e.OK, e.OK]),
        (ok + busy + ok, False, [e.OK, e.REJECTED, e.OK]),
        (failed + ok + busy, False, [e.ERROR, e.OK, e.REJECTED]),
        (ok + ok + ok + ok, False, [e.OK, e.OK, e.OK]),  # a surplus reply: the connection closes
        (ok + b"noise\r\n", False, [e.OK, e.ERROR, e.RESET]),
        (ok + b"-ERR what\r\n" + ok, False, [e.OK, e.ERROR, e.RESET]),
        (b"$-1\r\n" + ok, False, [e.ERROR, e.RESET, e.RESET]),
        (ok, True, [e.OK, e.RESET, e.RESET]),
        (ok + ok[:9], True, [e.OK, e.RESET, e.RESET]),  # an incomplete reply
        (b"", True, [e.RESET, e.RESET, e.RESET]),
        (b"*3\r\n$3000000000\r\n", False, [e.ERROR, e.RESET, e.RESET]),
        (ok + ok[:9], False, [e.OK, e.ERROR, e.RESET]),  # the second reply stalls
    ]

    async def check_case(data: bytes, closes: bool, expected: list[Outcome]) -> None:
        server, script = ScriptedServer(), ScriptedEngine(send_to("s0"))
        operator = PIPELINED + "least_stall_ms = 1500\n"  # longer than the stalled reply takes to fail
        async with pipelined_site(server, decisions=script, operator=operator) as (gateway_site, upstream):
            client = await gateway_site.client()
            await burst(client, *reads([b"a", b"b", b"c"]))
            await wait_until(lambda: len(server.ran) == 3)
            server.send(data)
            if closes:
                server.writers[0].close()
            await wait_until(lambda: len(outcomes(script)) == 3)
            assert [outcomes(script)[str(n)] for n in (1, 2, 3)] == expected, data
            for outcome in expected:
                reply = await client.reply()
                assert (reply == b"v") is (outcome is e.OK)
                if outcome in (e.ERROR, e.RESET):
                    assert not str(reply).startswith("BUSY")  # it may have run, so it must not be rejected
            if data not in (ok + ok + ok, ok + busy + ok, failed + ok + busy):
                await wait_until(lambda: not upstream.pools["s0"].open)
                await wait_until(lambda: 0 in server.ended)
            assert not upstream.runtime.attempts

    async def scenario() -> None:
        await asyncio.gather(*[check_case(*case) for case in table])

    run_scenario(scenario())


def test_connections_cut_at_every_byte_of_a_batch() -> None:
    """The first connections close after N bytes, for every N, with the real decision engine. No request that
    is not idempotent runs twice, each served request has run, and a rejected one has not run."""

    async def scenario() -> None:
        server = ScriptedServer(answers=True)
        async with pipelined_site(server) as (gateway_site, upstream):
            names = generate_request_ids()
            client = await gateway_site.client()

            async def send_five(cuts: list[int]) -> dict[bytes, Any]:
                ids = [next(names) for _ in range(5)]
                await wait_until(lambda: not upstream.runtime.attempts)
                for pool in upstream.pools.values():
                    pool.close_idle()
                await wait_until(lambda: not any(pool.open for pool in upstream.pools.values()))
                add_samples(gateway_site.program)
                server.cuts[:] = cuts
                order = re.sub(rb"k=[^,]*", b"k=" + ids[2], ORDER)
                await burst(
                    client, *reads(ids[:2]), (b"CALL.POST", CUSTOMER, ids[2], order, b"body"),
                    (b"CALL.POST", CUSTOMER, ids[3], CHARGE, b"body"), *reads(ids[4:]),
                )  # fmt: skip
                return {name: await client.reply() for name in ids}

            name = b"%016x" % 1
            batch = [*reads([name] * 3), (b"CALL.POST", CUSTOMER, name, ORDER, b"body")]
            batch_bytes = sum(len(packed(words)) for words in batch)
            served = 0
            for offset in range(0, batch_bytes + 12):
                replies = await send_five([offset, offset])
                ran = Counter(server.ids())
                charge = list(replies)[3]
                assert ran[charge] <= 1, offset
                for name, reply in replies.items():
                    if reply == name:
                        served += 1
                        assert ran[name] >= 1, offset
                    elif str(reply).startswith("BUSY"):
                        assert ran[name] == 0, offset
            assert served > 3 * batch_bytes  # most are retried and served
            assert upstream.runtime.counts["commands"] > upstream.runtime.counts["writes"]
            assert (
                not gateway_site.program.gateway.active_requests
                and not gateway_site.program.gateway.attempts_in_flight
            )

    run_scenario(scenario())


def test_a_stalled_head_delays_no_request_past_its_deadline() -> None:
    """Guards against requests that wait behind a stalled head until they time out. One of two servers never
    answers its first command: all five requests are retried at the other, long before their deadline."""

    async def scenario() -> None:
        stalled, healthy = ScriptedServer(), ScriptedServer(answers=True)
        async with pipelined_site(stalled, healthy) as (gateway_site, upstream):
            # While the healthy server is not listed, all five requests are sent to the stalled one.
            gateway_site.program.gateway.update_endpoints(
                endpoint_update(gateway_site, "s1", EndpointState.REMOVED)
            )
            add_samples(gateway_site.program)
            loop = asyncio.get_running_loop()
            client = await gateway_site.client()
            started_at = loop.time()
            await burst(client, *reads([b"a", b"b", b"c", b"d", b"e"]))
            await wait_until(lambda: len(stalled.ran) == 5)
            gateway_site.program.gateway.update_endpoints(
                endpoint_update(gateway_site, "s1", EndpointState.ACTIVE, healthy.port)
            )
            assert [await client.reply() for _ in range(5)] == [b"a", b"b", b"c", b"d", b"e"]
            assert loop.time() - started_at < 2.0  # the requests' deadline is 20 s
            assert upstream.scheduler.counts["cut at a stall"] == 1
            assert sorted(healthy.ids()) == [b"a", b"b", b"c", b"d", b"e"] and 0 in stalled.ended

    run_scenario(scenario())


def endpoint_update(gateway_site: Site, server: str, state: EndpointState, port: int = 0) -> Any:
    from glenchute.core.types import EndpointUpdate

    entry = Endpoint(server, "a", state=state)
    return EndpointUpdate(9, EndpointList(EndpointListKind.CHANGES, (entry,)), {server: ("127.0.0.1", port)})


def test_attempts_behind_a_stalled_head_are_hedged_where_allowed() -> None:
    async def scenario() -> None:
        server, script = ScriptedServer(), ScriptedEngine(send_to("s0"))
        async with pipelined_site(server, decisions=script) as (gateway_site, upstream):
            change_rules(upstream, may_hedge=True)
            client = await gateway_site.client()
            await burst(client, *reads([b"a", b"b", b"c"]))
            await wait_until(lambda: len(script.events_of(AttemptStalled)) == 2)
            assert {event.request_id for event in script.events_of(AttemptStalled)} == {"2", "3"}
            server.send(value(b"a") + value(b"b") + value(b"c"))
            assert [await client.reply() for _ in range(3)] == [b"a", b"b", b"c"]
            assert not server.ended  # the connection stays open

    run_scenario(scenario())


def test_the_client_of_the_third_of_five_disconnects() -> None:
    async def scenario() -> None:
        server, script = ScriptedServer(), ScriptedEngine(send_to("s0"))
        async with pipelined_site(server, decisions=script) as (gateway_site, upstream):
            staying_client, leaving_client = await gateway_site.client(), await gateway_site.client()
            await burst(staying_client, *reads([b"a", b"b"]))
            await wait_until(lambda: len(server.ran) == 2)
            await burst(leaving_client, *reads([b"c"]))
            await wait_until(lambda: len(server.ran) == 3)
            await burst(staying_client, *reads([b"d", b"e"]))
            await wait_until(lambda: len(server.ran) == 5)
            leaving_client.writer.close()
            await wait_until(lambda: script.events_of(ClientDisconnected))
            server.send(b"".join(value(name) for name in (b"a", b"b", b"c", b"d", b"e")))
            assert [await staying_client.reply() for _ in range(4)] == [b"a", b"b", b"d", b"e"]
            assert all(outcome is Outcome.OK for outcome in outcomes(script).values())
            assert len(upstream.pools["s0"].idle) == 1 and not upstream.runtime.attempts

    run_scenario(scenario())


def test_a_cancelled_attempt_keeps_its_position_until_its_reply() -> None:
    """A cancellation aborts no other attempt; its outcome is reported once its reply is received."""

    async def scenario() -> None:
        server, script = ScriptedServer(), ScriptedEngine(send_to("s0"))
        async with pipelined_site(server, decisions=script) as (gateway_site, _upstream):
            client = await gateway_site.client()
            await burst(client, *reads([b"a", b"b", b"c"]))
            await wait_until(lambda: len(server.ran) == 3)
            middle = gateway_site.program.gateway.attempts_in_flight["2", 0]
            middle.stop(Outcome.CANCELLED)
            assert "2" not in outcomes(script) and middle.is_written
            server.send(b"".join(value(name) for name in (b"a", b"b", b"c")))
            await wait_until(lambda: len(outcomes(script)) == 3)
            assert [outcomes(script)[n] for n in "123"] == [Outcome.OK, Outcome.CANCELLED, Outcome.OK]
            assert not server.ended

    run_scenario(scenario())


def test_a_reply_in_forty_segments_and_one_of_64_kib() -> None:
    async def scenario() -> None:
        server = ScriptedServer()
        async with pipelined_site(server, decisions=ScriptedEngine(send_to("s0"))) as (gateway_site, _):
            client = await gateway_site.client()
            await burst(client, *reads([b"a", b"b", b"c"]))
            await wait_until(lambda: len(server.ran) == 3)
            large = b"x" * 65536
            data = value(b"a" * 40) + value(large) + value(b"c")
            cuts = [*range(2, 80, 2), len(data)]
            for start, end in zip([0, *cuts], cuts, strict=False):
                server.send(data[start:end])
                await asyncio.sleep(0.001)
            assert [await client.reply() for _ in range(3)] == [b"a" * 40, large, b"c"]

    run_scenario(scenario())


def test_a_drain_while_a_batch_is_half_written() -> None:
    """The server does not read. Commands that are not written end at once, so that they can be retried at
    other servers. Buffered bytes must not be sent after the grace period, so the connection is aborted by
    then."""

    async def scenario() -> None:
        server, script = ScriptedServer(), ScriptedEngine(send_to("s0"))
        server.reads = False
        operator = PIPELINED.replace(', "order"', "") + "gather_bytes = 262144\nleast_stall_ms = 2500\n"
        async with pipelined_site(server, decisions=script, operator=operator) as (gateway_site, upstream):
            clients = [await gateway_site.client() for _ in range(8)]
            change_rules(upstream, max_depth=200, max_queued_per_server=200)
            upstream.scheduler.server("s0").depth_limit.max_depth = 200
            upstream.scheduler.server("s0").depth_limit.limit = 200.0
            body = b"y" * 60_000
            for number, client in enumerate(clients):
                words = [(b"CALL.GET", CUSTOMER, b"%d-%d" % (number, n), GET, body) for n in range(20)]
                await burst(client, *words)
            pool = upstream.pools["s0"]
            assert isinstance(pool, PipelinedPool)
            await wait_until(lambda: len(upstream.runtime.attempts) == 160)
            await wait_until(lambda: any(conn.is_buffer_full for conn in pool.by_id.values()))
            conn = next(iter(pool.by_id.values()))
            pending = len(conn.pipeline.pending)
            assert pending > 0
            request_ids = {
                engine_id: active_request.call.request_id
                for engine_id, active_request in gateway_site.program.gateway.active_requests.items()
            }
            loop = asyncio.get_running_loop()
            drained_at = loop.time()
            gateway_site.program.gateway.update_endpoints(
                endpoint_update(gateway_site, "s0", EndpointState.DRAINING)
            )
            await wait_until(lambda: len(outcomes(script)) >= pending)
            assert loop.time() - drained_at < 0.2
            assert list(outcomes(script).values()).count(Outcome.UNREACHABLE) >= pending
            await wait_until(lambda: len(outcomes(script)) == 160)
            assert 0.1 < loop.time() - drained_at < 0.6 and Outcome.RESET in outcomes(script).values()
            server.reads = True
            await wait_until(lambda: 0 in server.ended)
            received = set(server.ids())
            for engine_id, outcome in outcomes(script).items():
                if outcome is Outcome.UNREACHABLE:
                    assert request_ids[engine_id] not in received, "ran though it ended as UNREACHABLE"

    run_scenario(scenario())


def test_a_thousand_reads_in_one_burst() -> None:
    async def scenario() -> None:
        servers = [ScriptedServer(answers=True), ScriptedServer(answers=True)]
        async with pipelined_site(*servers, operator=PIPELINED.replace("at_risk = 16", "at_risk = 64")) as (
            gateway_site,
            upstream,
        ):
            clients = [await gateway_site.client() for _ in range(20)]
            names = generate_request_ids()
            ids = [[next(names) for _ in range(50)] for _ in clients]
            for client, client_ids in zip(clients, ids, strict=True):
                await burst(client, *reads(client_ids))
            max_open = 0
            for client, client_ids in zip(clients, ids, strict=True):
                replies = []
                for _ in client_ids:
                    replies.append(await client.reply())
                    max_open = max(max_open, upstream.connection_count())
                mismatches = [(reply, name) for reply, name in zip(replies, client_ids, strict=True)
                       if reply != name and not isinstance(reply, hiredis.ReplyError)]  # fmt: skip
                # Some requests may be rejected or fail on a busy machine, but none gets another's value.
                assert not mismatches
            ran = Counter(servers[0].ids() + servers[1].ids())
            # If this machine stalls, the servers appear stalled too, and reads are retried.
            assert max(ran.values()) <= gateway_site.program.gateway.max_attempts and len(ran) > 100
            assert not upstream.runtime.attempts and not gateway_site.program.gateway.active_requests
            # An idle connection to one server may be closed for one to the other: only open ones count.
            assert max_open <= upstream.limits.max_connections
            assert (
                sum(len(server.writers) - len(server.ended) for server in servers)
                <= upstream.limits.max_connections
            )

    run_scenario(scenario())


def test_shutdown_answers_all_attempts_in_flight() -> None:
    async def scenario() -> None:
        server = ScriptedServer()
        async with pipelined_site(server, decisions=ScriptedEngine(send_to("s0"))) as (gateway_site, _):
            client = await gateway_site.client()
            await burst(client, *reads([b"a", b"b", b"c"]))
            await wait_until(lambda: len(server.ran) == 3)
            shutdown = asyncio.create_task(gateway_site.program.shut_down())
            await asyncio.sleep(0.1)
            server.send(value(b"a") + value(b"b"))
            assert [await client.reply() for _ in range(2)] == [b"a", b"b"]
            server.send(value(b"c"))
            assert await client.reply() == b"c"
            await shutdown
            assert await client.ended()

    run_scenario(scenario())


def test_a_server_closes_an_idle_connection_while_a_batch_is_written() -> None:
    async def scenario() -> None:
        server, script = ScriptedServer(answers=True), ScriptedEngine(send_to("s0"))
        async with pipelined_site(server, decisions=script) as (gateway_site, _upstream):
            client = await gateway_site.client()
            await burst(client, *reads([b"a"]))
            assert await client.reply() == b"a"
            server.answers = False
            server.writers[0].close()
            await burst(client, *reads([b"b", b"c"]))
            for _ in range(2):
                assert str(await client.reply()) == "ERR failed"
            ended = [outcomes(script)[n] for n in "23"]
            assert set(ended) <= {Outcome.RESET, Outcome.UNREACHABLE}
            ran = server.ids()
            assert all(outcome is Outcome.RESET or name not in ran
                       for outcome, name in zip(ended, (b"b", b"c"), strict=True))  # fmt: skip

    run_scenario(scenario())


@pytest.mark.parametrize("refused", [True, False])
def test_a_failed_connect_ends_all_attempts_queued_on_it(refused: bool) -> None:
    async def scenario() -> None:
        server, script = ScriptedServer(), ScriptedEngine(send_to("s0"))
        async with pipelined_site(server, decisions=script) as (gateway_site, upstream):
            await server.stop()
            if not refused:  # the connect times out, as with a full backlog, which answers nothing
                upstream.limits = type(upstream.limits)(0.0, 10.0, 0.25, 100)
            client = await gateway_site.client()
            await burst(client, *reads([b"a", b"b", b"c"]))
            replies = [str(await client.reply()) for _ in range(3)]
            assert all(reply.startswith("ERR") for reply in replies)
            assert set(outcomes(script).values()) == {Outcome.UNREACHABLE}
            assert not upstream.connecting and not upstream.scheduler.connections

    run_scenario(scenario())


def test_non_idempotent_attempts_get_a_connection_of_their_own() -> None:
    async def scenario() -> None:
        server, script = ScriptedServer(), ScriptedEngine(send_to("s0"))
        async with pipelined_site(server, decisions=script) as (gateway_site, _):
            client = await gateway_site.client()
            charge = (b"CALL.POST", CUSTOMER, b"x", CHARGE, b"body")
            await burst(client, *reads([b"a"]), charge, (*charge[:2], b"y", *charge[3:]), *reads([b"b"]))
            await wait_until(lambda: len(server.ran) == 4)
            by_connection = [set(server.ids(number)) for number in range(len(server.writers))]
            assert {b"x"} in by_connection and {b"y"} in by_connection

    run_scenario(scenario())
