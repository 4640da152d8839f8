"""Pipelined connections over loopback sockets: what servers ran by their own log, and what clients
received."""

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
    Script,
    Site,
    numbered,
    play,
    send_to,
    site,
    until,
)

SHARED = '[pipeline]\nclasses = ["read", "order"]\ndepth = 8\nat_risk = 16\nsettle_ms = 0\n'
Wire = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class ScriptedServer(Peer):
    """A server that the test controls. It answers by itself only if `answers`; `ran` logs the complete
    commands by connection; the first connections are aborted after as many bytes as `cuts` says."""

    def __init__(self, answers: bool = False) -> None:
        super().__init__()
        self.answers = answers
        self.ran: list[tuple[int, list[bytes]]] = []
        self.cuts: list[int] = []
        self.ended: set[int] = set()
        self.reads = True

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = len(self.writers) - 1
        left = self.cuts.pop(0) if self.cuts else 1 << 40
        parser = hiredis.Reader()
        try:
            while True:
                if not self.reads:
                    writer.transport.pause_reading()  # type: ignore[attr-defined]
                    await until(lambda: self.reads)
                    writer.transport.resume_reading()  # type: ignore[attr-defined]
                data = await reader.read(min(left, 65536)) if left else b""
                parser.feed(data)
                left -= len(data)
                while (words := parser.gets()) is not False:
                    self.ran.append((number, words))
                    if self.answers:
                        writer.write(value(words[2]))
                if not data or not left:
                    writer.transport.abort()
                    return
        finally:
            self.ended.add(number)

    def ids(self, connection: int | None = None) -> list[bytes]:
        """The ids of the requests that came completely, in order."""
        return [words[2] for number, words in self.ran if connection in (None, number)]

    def send(self, data: bytes, connection: int = 0) -> None:
        self.writers[connection].write(data)


def value(text: bytes) -> bytes:
    return b"*3\r\n$%d\r\n%b\r\n*-1\r\n*-1\r\n" % (len(text), text)


def add_samples(program: Any, connect_ms: float = 2000.0) -> PipelinedServers:
    """Makes the scheduler share: enough samples of each class, and a high connect time."""
    upstream = program.servers
    assert isinstance(upstream, PipelinedServers)
    now = 1000.0 * asyncio.get_running_loop().time()
    for name in ("read", "order"):
        for share in range(60):
            upstream.scheduler.times.add(now, name, "s0", 20.0 + share / 3.0, False)
    for server in upstream.pools:
        upstream.scheduler.server(server).depth_limit.limit = 8.0
        upstream.scheduler.server(server).connect_ms = connect_ms
    return upstream


def change_rules(upstream: PipelinedServers, **changes: Any) -> None:
    """Other rules than those of the operator's file, for all parts of the scheduler."""
    scheduler = upstream.scheduler
    rules = scheduler.rules._replace(**changes)
    scheduler.rules = scheduler.chooser.rules = scheduler.stalls.rules = rules


@asynccontextmanager
async def pipelined_site(
    *servers: ScriptedServer, decisions: DecisionHandler | None = None, operator: str = SHARED, **changes: Any
) -> AsyncIterator[tuple[Site, PipelinedServers]]:
    """A gateway with pipelined connections to these servers."""

    async def unused(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        return None

    async with site(*[unused] * len(servers), decisions=decisions, operator=operator, **changes) as one:
        for number, server in enumerate(servers):
            await server.start()
            one.program.servers.activate_server(f"s{number}", ("127.0.0.1", server.port), False)
        try:
            yield one, add_samples(one.program)
        finally:
            for server in servers:
                server.reads = True
                await server.stop()


async def burst(client: Client, *words: tuple[bytes, ...]) -> None:
    """Commands in one write."""
    client.writer.write(b"".join(packed(each) for each in words))


def packed(words: tuple[bytes, ...]) -> bytes:
    return bytes(hiredis.pack_command(words))  # type: ignore[arg-type]


def reads(ids: list[bytes]) -> list[tuple[bytes, ...]]:
    return [(b"CALL.GET", CUSTOMER, name, GET) for name in ids]


def outcomes(script: Script) -> dict[str, Outcome]:
    return {event.request_id: event.outcome for event in script.of(AttemptEnded)}


def test_a_burst_is_written_at_once_and_answered_in_order() -> None:
    async def scenario() -> None:
        server = ScriptedServer(answers=True)
        async with pipelined_site(server, decisions=Script(send_to("s0"))) as (one, upstream):
            client = await one.client()
            await burst(client, *reads([b"a", b"b", b"c", b"d", b"e"]))
            assert [await client.reply() for _ in range(5)] == [b"a", b"b", b"c", b"d", b"e"]
            assert (
                len(server.writers) == 1
                and upstream.runtime.counts["writes"] == 1
                and upstream.runtime.counts["commands"] == 5
            )
            assert server.ids() == [b"a", b"b", b"c", b"d", b"e"]
            assert not upstream.runtime.attempts and not one.program.gateway.attempts_in_flight
            await burst(client, *reads([b"f"]))
            assert await client.reply() == b"f" and len(server.writers) == 1  # on the same, idle again

    play(scenario())


def test_outcomes_for_every_form_of_reply() -> None:
    """Three attempts on a connection: what comes back, and the outcome of each."""
    ok, busy, failed = value(b"v"), b"-BUSY\r\n", b"-ERR failed\r\n"
    e = Outcome
    table: list[tuple[bytes, bool, list[Outcome]]] = [
        (ok + ok + ok, False, [e.OK, e.OK, e.OK]),
        (ok + busy + ok, False, [e.OK, e.REJECTED, e.OK]),
        (failed + ok + busy, False, [e.ERROR, e.OK, e.REJECTED]),
        (ok + ok + ok + ok, False, [e.OK, e.OK, e.OK]),  # one too many: the connection ends
        (ok + b"noise\r\n", False, [e.OK, e.ERROR, e.RESET]),
        (ok + b"-ERR what\r\n" + ok, False, [e.OK, e.ERROR, e.RESET]),
        (b"$-1\r\n" + ok, False, [e.ERROR, e.RESET, e.RESET]),
        (ok, True, [e.OK, e.RESET, e.RESET]),
        (ok + ok[:9], True, [e.OK, e.RESET, e.RESET]),  # a reply that had begun
        (b"", True, [e.RESET, e.RESET, e.RESET]),
        (b"*3\r\n$3000000000\r\n", False, [e.ERROR, e.RESET, e.RESET]),
        (ok + ok[:9], False, [e.OK, e.ERROR, e.RESET]),  # it stops midway
    ]

    async def row(data: bytes, ends: bool, expected: list[Outcome]) -> None:
        server, script = ScriptedServer(), Script(send_to("s0"))
        patient = SHARED + "least_stall_ms = 1500\n"  # or a reply that stops midway would count as a stall
        async with pipelined_site(server, decisions=script, operator=patient) as (one, upstream):
            client = await one.client()
            await burst(client, *reads([b"a", b"b", b"c"]))
            await until(lambda: len(server.ran) == 3)
            server.send(data)
            if ends:
                server.writers[0].close()
            await until(lambda: len(outcomes(script)) == 3)
            assert [outcomes(script)[str(n)] for n in (1, 2, 3)] == expected, data
            for ending in expected:
                reply = await client.reply()
                assert (reply == b"v") is (ending is e.OK)
                if ending in (e.ERROR, e.RESET):
                    assert not str(reply).startswith("BUSY")  # it may have run: that is no refusal
            if data not in (ok + ok + ok, ok + busy + ok, failed + ok + busy):
                await until(lambda: not upstream.pools["s0"].open)
                await until(lambda: 0 in server.ended)
            assert not upstream.runtime.attempts

    async def scenario() -> None:
        await asyncio.gather(*[row(*each) for each in table])

    play(scenario())


def test_connections_cut_at_every_byte_of_a_batch() -> None:
    """The server's log against the clients' replies, with the real decision engine: the first connections end
    after N bytes, for every N. Nothing unsafe runs twice, a key is repeated only as a repeat, a refusal means
    that none ran."""

    async def scenario() -> None:
        server = ScriptedServer(answers=True)
        async with pipelined_site(server) as (one, upstream):
            names = numbered()
            client = await one.client()

            async def five(cuts: list[int]) -> dict[bytes, Any]:
                ids = [next(names) for _ in range(5)]
                await until(lambda: not upstream.runtime.attempts)
                for pool in upstream.pools.values():
                    pool.close_idle()
                await until(lambda: not any(pool.open for pool in upstream.pools.values()))
                add_samples(one.program)
                server.cuts[:] = cuts
                order = re.sub(rb"k=[^,]*", b"k=" + ids[2], ORDER)
                await burst(
                    client, *reads(ids[:2]), (b"CALL.POST", CUSTOMER, ids[2], order, b"body"),
                    (b"CALL.POST", CUSTOMER, ids[3], CHARGE, b"body"), *reads(ids[4:]),
                )  # fmt: skip
                return {name: await client.reply() for name in ids}

            name = b"%016x" % 1
            batch = [*reads([name] * 3), (b"CALL.POST", CUSTOMER, name, ORDER, b"body")]
            whole = sum(len(packed(words)) for words in batch)
            served = 0
            for offset in range(0, whole + 12):
                replies = await five([offset, offset])
                ran = Counter(server.ids())
                charge = list(replies)[3]
                assert ran[charge] <= 1, offset
                for name, reply in replies.items():
                    if reply == name:
                        served += 1
                        assert ran[name] >= 1, offset
                    elif str(reply).startswith("BUSY"):
                        assert ran[name] == 0, offset
            assert served > 3 * whole  # most go again and are served
            assert upstream.runtime.counts["commands"] > upstream.runtime.counts["writes"]
            assert not one.program.gateway.active_requests and not one.program.gateway.attempts_in_flight

    play(scenario())


def test_a_stalled_head_delays_no_request_past_its_deadline() -> None:
    """One node of two holds its first command for ever: all five are served elsewhere, long before time."""

    async def scenario() -> None:
        stuck, sound = ScriptedServer(), ScriptedServer(answers=True)
        async with pipelined_site(stuck, sound) as (one, upstream):
            # The first goes to the stuck one, and so does what comes while that has the shorter line.
            one.program.gateway.update_endpoints(_news(one, "s1", EndpointState.REMOVED))
            add_samples(one.program)
            loop = asyncio.get_running_loop()
            client = await one.client()
            began = loop.time()
            await burst(client, *reads([b"a", b"b", b"c", b"d", b"e"]))
            await until(lambda: len(stuck.ran) == 5)
            one.program.gateway.update_endpoints(_news(one, "s1", EndpointState.ACTIVE, sound.port))
            assert [await client.reply() for _ in range(5)] == [b"a", b"b", b"c", b"d", b"e"]
            assert loop.time() - began < 2.0  # of 20 s that they would wait
            assert upstream.scheduler.counts["cut at a stall"] == 1
            assert sorted(sound.ids()) == [b"a", b"b", b"c", b"d", b"e"] and 0 in stuck.ended

    play(scenario())


def _news(one: Site, server: str, state: EndpointState, port: int = 0) -> Any:
    from glenchute.core.types import EndpointUpdate

    entry = Endpoint(server, "a", state=state)
    return EndpointUpdate(9, EndpointList(EndpointListKind.CHANGES, (entry,)), {server: ("127.0.0.1", port)})


def test_attempts_behind_a_stalled_head_are_hedged_where_allowed() -> None:
    async def scenario() -> None:
        server, script = ScriptedServer(), Script(send_to("s0"))
        async with pipelined_site(server, decisions=script) as (one, upstream):
            change_rules(upstream, may_hedge=True)
            client = await one.client()
            await burst(client, *reads([b"a", b"b", b"c"]))
            await until(lambda: len(script.of(AttemptStalled)) == 2)
            assert {event.request_id for event in script.of(AttemptStalled)} == {"2", "3"}
            server.send(value(b"a") + value(b"b") + value(b"c"))
            assert [await client.reply() for _ in range(3)] == [b"a", b"b", b"c"]
            assert not server.ended  # the line went on

    play(scenario())


def test_the_client_of_the_third_of_five_disconnects() -> None:
    async def scenario() -> None:
        server, script = ScriptedServer(), Script(send_to("s0"))
        async with pipelined_site(server, decisions=script) as (one, upstream):
            stays, leaves = await one.client(), await one.client()
            await burst(stays, *reads([b"a", b"b"]))
            await until(lambda: len(server.ran) == 2)
            await burst(leaves, *reads([b"c"]))
            await until(lambda: len(server.ran) == 3)
            await burst(stays, *reads([b"d", b"e"]))
            await until(lambda: len(server.ran) == 5)
            leaves.writer.close()
            await until(lambda: script.of(ClientDisconnected))
            server.send(b"".join(value(name) for name in (b"a", b"b", b"c", b"d", b"e")))
            assert [await stays.reply() for _ in range(4)] == [b"a", b"b", b"d", b"e"]
            assert all(ending is Outcome.OK for ending in outcomes(script).values())
            assert len(upstream.pools["s0"].idle) == 1 and not upstream.runtime.attempts

    play(scenario())


def test_a_cancelled_attempt_keeps_its_position_until_its_reply() -> None:
    """A cancellation in the middle aborts no other; its outcome is reported once its reply has come."""

    async def scenario() -> None:
        server, script = ScriptedServer(), Script(send_to("s0"))
        async with pipelined_site(server, decisions=script) as (one, _lines):
            client = await one.client()
            await burst(client, *reads([b"a", b"b", b"c"]))
            await until(lambda: len(server.ran) == 3)
            middle = one.program.gateway.attempts_in_flight["2", 0]
            middle.stop(Outcome.CANCELLED)
            assert "2" not in outcomes(script) and middle.is_written
            server.send(b"".join(value(name) for name in (b"a", b"b", b"c")))
            await until(lambda: len(outcomes(script)) == 3)
            assert [outcomes(script)[n] for n in "123"] == [Outcome.OK, Outcome.CANCELLED, Outcome.OK]
            assert not server.ended

    play(scenario())


def test_a_reply_in_forty_segments_and_one_of_64_kib() -> None:
    async def scenario() -> None:
        server = ScriptedServer()
        async with pipelined_site(server, decisions=Script(send_to("s0"))) as (one, _):
            client = await one.client()
            await burst(client, *reads([b"a", b"b", b"c"]))
            await until(lambda: len(server.ran) == 3)
            large = b"x" * 65536
            data = value(b"a" * 40) + value(large) + value(b"c")
            cuts = [*range(2, 80, 2), len(data)]
            for start, end in zip([0, *cuts], cuts, strict=False):
                server.send(data[start:end])
                await asyncio.sleep(0.001)
            assert [await client.reply() for _ in range(3)] == [b"a" * 40, large, b"c"]

    play(scenario())


def test_a_drain_while_a_batch_is_half_written() -> None:
    """The server does not read. What has not been written goes elsewhere at once; the rest of the bytes must
    not be sent after the grace period, so the connection is aborted by then."""

    async def scenario() -> None:
        server, script = ScriptedServer(), Script(send_to("s0"))
        server.reads = False
        operator = SHARED.replace(', "order"', "") + "gather_bytes = 262144\nleast_stall_ms = 2500\n"
        async with pipelined_site(server, decisions=script, operator=operator) as (one, upstream):
            clients = [await one.client() for _ in range(8)]
            change_rules(upstream, max_depth=200, max_queued_per_server=200)
            upstream.scheduler.server("s0").depth_limit.max_depth = 200
            upstream.scheduler.server("s0").depth_limit.limit = 200.0
            body = b"y" * 60_000
            for number, client in enumerate(clients):
                words = [(b"CALL.GET", CUSTOMER, b"%d-%d" % (number, n), GET, body) for n in range(20)]
                await burst(client, *words)
            pool = upstream.pools["s0"]
            assert isinstance(pool, PipelinedPool)
            await until(lambda: len(upstream.runtime.attempts) == 160)
            await until(lambda: any(conn.is_buffer_full for conn in pool.by_id.values()))
            conn = next(iter(pool.by_id.values()))
            held = len(conn.pipeline.pending)
            assert held > 0
            named = {ref: live.call.request_id for ref, live in one.program.gateway.active_requests.items()}
            loop = asyncio.get_running_loop()
            told = loop.time()
            one.program.gateway.update_endpoints(_news(one, "s0", EndpointState.DRAINING))
            await until(lambda: len(outcomes(script)) >= held)
            assert loop.time() - told < 0.2
            assert list(outcomes(script).values()).count(Outcome.UNREACHABLE) >= held
            await until(lambda: len(outcomes(script)) == 160)
            assert 0.1 < loop.time() - told < 0.6 and Outcome.RESET in outcomes(script).values()
            server.reads = True
            await until(lambda: 0 in server.ended)
            whole = set(server.ids())
            for ref, ending in outcomes(script).items():
                if ending is Outcome.UNREACHABLE:
                    assert named[ref] not in whole, "told as never sent, and it ran"

    play(scenario())


def test_a_thousand_reads_in_one_burst() -> None:
    async def scenario() -> None:
        servers = [ScriptedServer(answers=True), ScriptedServer(answers=True)]
        async with pipelined_site(*servers, operator=SHARED.replace("at_risk = 16", "at_risk = 64")) as (
            one,
            upstream,
        ):
            clients = [await one.client() for _ in range(20)]
            names = numbered()
            ids = [[next(names) for _ in range(50)] for _ in clients]
            for client, mine in zip(clients, ids, strict=True):
                await burst(client, *reads(mine))
            peak = 0
            for client, mine in zip(clients, ids, strict=True):
                replies = []
                for _ in mine:
                    replies.append(await client.reply())
                    peak = max(peak, upstream.connection_count())
                odd = [(reply, name) for reply, name in zip(replies, mine, strict=True)
                       if reply != name and not isinstance(reply, hiredis.ReplyError)]  # fmt: skip
                assert not odd  # refused, or failed on a busy machine; never another's value
            ran = Counter(servers[0].ids() + servers[1].ids())
            # A stall of this very machine is one of the server's, too: reads then go again.
            assert max(ran.values()) <= one.program.gateway.max_attempts and len(ran) > 100
            assert not upstream.runtime.attempts and not one.program.gateway.active_requests
            # An idle one at one server may be closed to make room for one at the other: what is open counts.
            assert peak <= upstream.limits.max_connections
            assert (
                sum(len(server.writers) - len(server.ended) for server in servers)
                <= upstream.limits.max_connections
            )

    play(scenario())


def test_shutdown_answers_all_attempts_in_flight() -> None:
    async def scenario() -> None:
        server = ScriptedServer()
        async with pipelined_site(server, decisions=Script(send_to("s0"))) as (one, _):
            client = await one.client()
            await burst(client, *reads([b"a", b"b", b"c"]))
            await until(lambda: len(server.ran) == 3)
            leaving = asyncio.create_task(one.program.shut_down())
            await asyncio.sleep(0.1)
            server.send(value(b"a") + value(b"b"))
            assert [await client.reply() for _ in range(2)] == [b"a", b"b"]
            server.send(value(b"c"))
            assert await client.reply() == b"c"
            await leaving
            assert await client.ended()

    play(scenario())


def test_a_server_closes_an_idle_connection_under_a_batch() -> None:
    async def scenario() -> None:
        server, script = ScriptedServer(answers=True), Script(send_to("s0"))
        async with pipelined_site(server, decisions=script) as (one, _lines):
            client = await one.client()
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
            assert all(ending is Outcome.RESET or name not in ran
                       for ending, name in zip(ended, (b"b", b"c"), strict=True))  # fmt: skip

    play(scenario())


@pytest.mark.parametrize("refused", [True, False])
def test_a_failed_connect_ends_all_attempts_queued_on_it(refused: bool) -> None:
    async def scenario() -> None:
        server, script = ScriptedServer(), Script(send_to("s0"))
        async with pipelined_site(server, decisions=script) as (one, upstream):
            await server.stop()
            if not refused:  # a backlog that is full answers nothing; here the connect is called off
                upstream.limits = type(upstream.limits)(0.0, 10.0, 0.25, 100)
            client = await one.client()
            await burst(client, *reads([b"a", b"b", b"c"]))
            replies = [str(await client.reply()) for _ in range(3)]
            assert all(reply.startswith("ERR") for reply in replies)
            assert set(outcomes(script).values()) == {Outcome.UNREACHABLE}
            assert not upstream.connecting and not upstream.scheduler.connections

    play(scenario())


def test_non_idempotent_attempts_get_a_connection_of_their_own() -> None:
    async def scenario() -> None:
        server, script = ScriptedServer(), Script(send_to("s0"))
        async with pipelined_site(server, decisions=script) as (one, _):
            client = await one.client()
            charge = (b"CALL.POST", CUSTOMER, b"x", CHARGE, b"body")
            await burst(client, *reads([b"a"]), charge, (*charge[:2], b"y", *charge[3:]), *reads([b"b"]))
            await until(lambda: len(server.ran) == 4)
            by_id = [set(server.ids(number)) for number in range(len(server.writers))]
            assert {b"x"} in by_id and {b"y"} in by_id

    play(scenario())
