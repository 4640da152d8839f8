"""Streamed values: parsing at any split, fair read permits, and relaying over loopback sockets with peers
that stall, send wrong lengths, break off and disconnect."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from glenchute.policy.actions import Action, StartAttempt
from glenchute.policy.connections.stream_read_permits import PARKED_PER_PERMIT, StreamReadPermits
from glenchute.policy.events import AttemptEnded, Event, Outcome, Request, ResponseStarted
from glenchute.protocol import resp2 as resp
from glenchute.protocol.streamed_reply import MAX_STREAMED_BYTES, StreamedReply
from glenchute.upstreams import streamed_value
from tests.crossings import reset_connection
from tests.loopback import (
    CUSTOMER,
    GET,
    ORDER,
    SERVED,
    Client,
    ScriptedEngine,
    Site,
    generate_request_ids,
    run_scenario,
    send_to,
    site,
    wait_until,
)

TAIL = b"\r\n*-1\r\n$20\r\ninflight=7,queue=2.5\r\n"


def body(length: int, seed: int = 1) -> bytes:
    """Returns a value of this length that contains everything that could mislead a parser."""
    noise = random.Random(seed).randbytes(4096) + b"\r\n$-1\r\n*3\r\n-ERR failed\r\nHTTP/1.1 200 OK\r\n\r\n"
    return (noise * (length // len(noise) + 1))[:length]


def head(length: int) -> bytes:
    return b"*3\r\n$%d\r\n" % length


VALUE = body(70_000)
ANSWER = head(len(VALUE)) + VALUE + TAIL


# --- the parser --------------------------------------------------------------------------------------------


def parse_pieces(pieces: list[bytes]) -> tuple[bytes, StreamedReply]:
    """Parses a reply that is received in these pieces; returns the value and the parser's state."""
    parser, reply, chunks = resp.Parser(), None, []
    for piece in pieces:
        if reply is not None:
            chunks.append(reply.feed(piece))
            continue
        parser.feed(piece)
        try:
            assert parser.next_message() is False
        except resp.ValueTooLongError:
            parsed = StreamedReply.parse_head(parser.take_unparsed())
            assert parsed is not None
            reply = parsed[0]
            chunks.append(reply.feed(parsed[1]))
    assert reply is not None
    return b"".join(chunks), reply


def split(data: bytes, at: list[int]) -> list[bytes]:
    offsets = [0, *sorted(at), len(data)]
    return [data[a:b] for a, b in itertools.pairwise(offsets) if a < b]


@pytest.mark.parametrize("at", [*range(1, 20), *range(len(ANSWER) - 40, len(ANSWER))])
def test_a_split_near_any_edge(at: int) -> None:
    value, reply = parse_pieces(split(ANSWER, [at]))
    assert value == VALUE and reply.is_complete and not reply.has_surplus
    assert reply.trailer == [None, b"inflight=7,queue=2.5"]


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.integers(1, len(ANSWER) - 1), max_size=40))
def test_any_splits(at: list[int]) -> None:
    value, reply = parse_pieces(split(ANSWER, at))
    assert value == VALUE and reply.is_complete and reply.trailer == [None, b"inflight=7,queue=2.5"]


def test_byte_by_byte_and_with_surplus() -> None:
    value, reply = parse_pieces([ANSWER[i : i + 1] for i in range(len(ANSWER))])
    assert value == VALUE and reply.is_complete and not reply.has_surplus
    _, reply = parse_pieces([ANSWER + b"+OK\r\n"])
    assert reply.is_complete and reply.has_surplus


@pytest.mark.parametrize(
    "data",
    [
        b"*3\r\n$%d\r\n" % (MAX_STREAMED_BYTES + 1),
        b"*2\r\n$70000\r\n",
        b"*3\r\n$-1\r\n$70000\r\n",
        b"*3\r\n$5\r\nvalue\r\n*-1\r\n$70000\r\n",
        b"$70000\r\n",
        b"*3\r\n$3000000000\r\n",
    ],
)
def test_other_long_elements_are_invalid(data: bytes) -> None:
    parser = resp.Parser()
    parser.feed(data)
    with pytest.raises(resp.ProtocolError):
        parser.next_message()
    assert StreamedReply.parse_head(parser.take_unparsed()) is None


@pytest.mark.parametrize("tail", [b"xy", b"\rx", b"\r\n-ERR\r\n", b"\r\n:1\r\n$70000\r\n", b"\r\n$x\r\n"])
def test_a_wrong_length_or_end_is_detected(tail: bytes) -> None:
    reply = StreamedReply(4)
    with pytest.raises(resp.ProtocolError):
        reply.feed(b"abcd" + tail)


@pytest.mark.parametrize("usage", [b"", b"*", b"*-1\r\n", b"*1\r\n", b"$", b"$-1\r\n", b"$-1\r\n$18\r\n"])
def test_a_value_is_complete_before_its_trailer(usage: bytes) -> None:
    reply = StreamedReply(4)
    reply.feed(b"abcd\r")
    assert not reply.is_value_complete
    reply.feed(b"\n" + usage)
    assert reply.is_value_complete and not reply.is_complete


def test_a_length_that_reaches_into_the_trailer_is_no_complete_value() -> None:
    """Guards against serving a value with bytes of the trailer, as its length prefix is too large."""
    reply = StreamedReply(4 + len(b"\r\n*-1"))
    reply.feed(b"abcd" + TAIL)
    assert not reply.is_value_complete and not reply.is_complete


# --- read permits ------------------------------------------------------------------------------------------


class ReadPermitsMachine(RuleBasedStateMachine):
    """Streams acquire permits, receive chunks, stop reading and end; checks the contract of
    `StreamReadPermits`."""

    def __init__(self) -> None:
        super().__init__()
        self.permits: StreamReadPermits[int] = StreamReadPermits(3)
        self.last_key = 0
        self.waiting: dict[int, int] = {}  # the streams without a permit, the longest waiting first
        self.reading: set[int] = set()
        self.parked: set[int] = set()
        self.blocked: set[int] = set()  # these do not read and keep their permit

    @rule()
    def acquire(self) -> None:
        self.last_key += 1
        if self.permits.acquire(self.last_key):
            self.reading.add(self.last_key)
        else:
            self.waiting[self.last_key] = 0

    @precondition(lambda self: self.reading)
    @rule(pick=st.integers(0, 9))
    def receive_chunk(self, pick: int) -> None:
        key = sorted(self.reading)[pick % len(self.reading)]
        waiting_count = len(self.waiting)
        if not self.permits.rotate_after_chunk(key):
            assert waiting_count, "the permit was taken away though no stream waits"
            self.reading.discard(key)
            self.waiting[key] = 0
        self.grant()

    @precondition(lambda self: self.reading or self.waiting or self.blocked)
    @rule(pick=st.integers(0, 99))
    def stop_reading(self, pick: int) -> None:
        keys = sorted(self.reading | set(self.waiting) | self.blocked)
        key = keys[pick % len(keys)]
        is_parked = self.permits.park(key)
        if self.waiting.pop(key, None) is not None:
            assert is_parked
        elif is_parked:
            self.parked.add(key)
        if not is_parked:
            assert len(self.parked) == 6, "a stream keeps its permit though it could be parked"
        self.reading.discard(key)
        self.blocked = self.blocked - {key} if is_parked else self.blocked | {key}
        self.grant()

    @precondition(lambda self: self.parked or self.blocked)
    @rule(pick=st.integers(0, 99))
    def read_again(self, pick: int) -> None:
        keys = sorted(self.parked | self.blocked)
        key = keys[pick % len(keys)]
        if self.permits.acquire(key):
            self.reading.add(key)
        else:
            assert key not in self.blocked, "a stream lost the permit that it had kept"
            self.waiting[key] = 0
        self.parked.discard(key)
        self.blocked.discard(key)
        self.grant()

    @precondition(lambda self: self.reading)
    @rule()
    def one_that_receives_nothing_releases_its_permit(self) -> None:
        key = self.permits.longest_without_chunk()
        assert key in self.reading
        self.permits.release(key)
        self.reading.discard(key)
        self.grant()

    @precondition(lambda self: self.reading or self.waiting or self.parked or self.blocked)
    @rule(pick=st.integers(0, 99))
    def end(self, pick: int) -> None:
        keys = sorted(self.reading | set(self.waiting) | self.parked | self.blocked)
        key = keys[pick % len(keys)]
        self.permits.release(key)
        for group in (self.reading, self.parked, self.blocked):
            group.discard(key)
        self.waiting.pop(key, None)
        self.grant()

    def grant(self) -> None:
        while (key := self.permits.grant_next()) is not None:
            assert key == next(iter(self.waiting)), "the permit was not granted to the longest waiting stream"
            del self.waiting[key]
            self.reading.add(key)

    @invariant()
    def permits_are_bounded_and_in_use(self) -> None:
        assert set(self.permits.readers) == self.reading
        assert set(self.permits.parked) == self.parked and set(self.permits.blocked) == self.blocked
        assert list(self.permits.waiters) == list(self.waiting)
        used = len(self.reading) + len(self.blocked) + math.ceil(len(self.parked) / PARKED_PER_PERMIT)
        assert used <= 3 and math.ceil(len(self.parked) / PARKED_PER_PERMIT) <= 2
        assert not self.waiting or used == 3, "a permit is free though a stream waits"


ReadPermitsMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestReadPermits = ReadPermitsMachine.TestCase


# --- over sockets ------------------------------------------------------------------------------------------


@asynccontextmanager
async def streaming_site(
    answer: Callable[[asyncio.StreamWriter, bytes], Any], **changes: Any
) -> AsyncIterator[tuple[Site, ScriptedEngine]]:
    """Runs a gateway with one server, which replies with what `answer` returns or writes for a request id."""

    async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        encoded = await answer(writer, words[2])
        return encoded if isinstance(encoded, bytes) else None

    script = ScriptedEngine(send_to("s0", changes.pop("timeout_ms", 0.0)))
    async with site(reply, decisions=script, **changes) as gateway_site:
        yield gateway_site, script


async def answer_completely(writer: asyncio.StreamWriter, name: bytes) -> bytes:
    return ANSWER


def ask(client: Client, ids: Any, fields: bytes = GET) -> None:
    client.send(b"CALL.GET" if fields is GET else b"CALL.POST", CUSTOMER, next(ids), fields)


def outcomes(script: ScriptedEngine) -> list[Outcome]:
    return [event.outcome for event in script.events_of(AttemptEnded)]


def test_a_long_value_is_relayed_completely_and_the_connection_reused() -> None:
    async def scenario() -> None:
        async with streaming_site(answer_completely) as (gateway_site, script):
            client, ids = await gateway_site.client(), generate_request_ids()
            for _ in range(3):
                ask(client, ids)
                assert await client.reply() == VALUE
                await asyncio.sleep(0.05)
            assert outcomes(script) == [Outcome.OK] * 3
            assert all(
                event.active_requests == 7.0 and event.is_final for event in script.events_of(AttemptEnded)
            )
            assert len(script.events_of(ResponseStarted)) == 3
            assert len(gateway_site.servers[0].writers) == 1
            assert not gateway_site.program.listener.open_ids

    run_scenario(scenario())


def test_a_streamed_value_is_a_response_of_its_server() -> None:
    """Guards against taking servers that give long values only for ones that do not respond."""

    async def scenario() -> None:
        async with streaming_site(answer_completely) as (gateway_site, script):
            client, ids = await gateway_site.client(), generate_request_ids()
            started_at = gateway_site.program.gateway.last_response_at
            ask(client, ids)
            assert await client.reply() == VALUE
            await wait_until(lambda: outcomes(script) == [Outcome.OK])
            gateway = gateway_site.program.gateway
            assert gateway.last_response_at > started_at > gateway.last_failure_at

    run_scenario(scenario())


def test_replies_stay_in_order_around_a_streamed_one() -> None:
    async def scenario() -> None:
        gates = {b"%016x" % n: asyncio.Event() for n in (1, 2, 3)}

        async def answer(writer: asyncio.StreamWriter, name: bytes) -> bytes:
            await gates[name].wait()
            return ANSWER if name == b"%016x" % 2 else SERVED

        async with streaming_site(answer) as (gateway_site, script):
            client, ids = await gateway_site.client(), generate_request_ids()
            for _ in range(3):
                ask(client, ids)
            gates[b"%016x" % 3].set()
            gates[b"%016x" % 2].set()  # its reply is not next in order, so the server must wait with the rest
            await wait_until(lambda: script.events_of(ResponseStarted))
            await asyncio.sleep(0.05)
            assert not client.reader._buffer  # type: ignore[attr-defined]
            gates[b"%016x" % 1].set()
            assert [await client.reply() for _ in range(3)] == [b"value", VALUE, b"value"]

    run_scenario(scenario())


@pytest.mark.parametrize("fields", [GET, ORDER])
def test_an_attempt_is_retried_before_its_first_byte_and_never_after(fields: bytes) -> None:
    async def scenario() -> None:
        partial_replies = [b"*3\r\n$70", head(70_000) + VALUE[:30_000]]

        async def answer(writer: asyncio.StreamWriter, name: bytes) -> None:
            writer.write(partial_replies.pop(0))
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.close()

        attempts: dict[str, int] = {}

        def decide(event: Event) -> list[Action]:
            if isinstance(event, Request) or (isinstance(event, AttemptEnded) and not event.is_final):
                attempts[event.request_id] = attempts.get(event.request_id, 0) + 1
                return [StartAttempt(event.request_id, "s0", 0.0)]
            return []

        script = ScriptedEngine(decide)

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> None:
            await answer(writer, words[2])

        async with site(reply, decisions=script) as gateway_site:
            client, ids = await gateway_site.client(), generate_request_ids()
            ask(client, ids, fields)
            # The end of the connection shows the client that the value is incomplete.
            received = await client.reader.read()
            assert received == b"$70000\r\n" + VALUE[:30_000]
            await wait_until(lambda: len(script.events_of(AttemptEnded)) == 2)
            last = script.events_of(AttemptEnded)[-1]
            assert last.is_final and last.outcome is Outcome.RESET
            assert list(attempts.values()) == [2] and not gateway_site.program.gateway.active_requests

    run_scenario(scenario())


def test_server_pauses_in_the_head_the_body_and_the_trailer() -> None:
    async def scenario() -> None:
        parts = [ANSWER[:6], ANSWER[6:300], ANSWER[300:40_000], ANSWER[40_000:-1], ANSWER[-1:]]

        async def answer(writer: asyncio.StreamWriter, name: bytes) -> None:
            for n, part in enumerate(parts):
                writer.write(part)
                await asyncio.sleep(0.1 if n == 0 else 0.4)  # a buffered reply would have failed after 0.25 s

        async with streaming_site(answer) as (gateway_site, script):
            client, ids = await gateway_site.client(), generate_request_ids()
            ask(client, ids)
            assert await client.reply() == VALUE
            await wait_until(lambda: outcomes(script) == [Outcome.OK])
            duration_ms = script.events_of(AttemptEnded)[0].duration_ms
            assert duration_ms < 1000.0, "the duration is not the time to the first bytes"

    run_scenario(scenario())


def test_a_silent_server_is_aborted_and_the_client_notices(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(streamed_value, "SERVER_SILENCE_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        async def answer(writer: asyncio.StreamWriter, name: bytes) -> bytes:
            return ANSWER[:50_000]

        async with streaming_site(answer) as (gateway_site, script):
            client, ids = await gateway_site.client(), generate_request_ids()
            ask(client, ids)
            received = await client.reader.read()
            assert 0 < len(received) < len(VALUE)
            await wait_until(lambda: outcomes(script) == [Outcome.ERROR])

    run_scenario(scenario())


def test_the_end_of_a_value_does_not_wait_for_the_load_report() -> None:
    """Guards against holding back the line break behind a value until the server's trailer has come."""

    async def scenario() -> None:
        client_has_value = asyncio.Event()

        async def answer(writer: asyncio.StreamWriter, name: bytes) -> bytes:
            writer.write(head(len(VALUE)) + VALUE + b"\r\n")
            await client_has_value.wait()
            return TAIL[2:]

        async with streaming_site(answer) as (gateway_site, script):
            client, ids = await gateway_site.client(), generate_request_ids()
            ask(client, ids)
            async with asyncio.timeout(10.0):
                assert await client.reply() == VALUE
            assert outcomes(script) == []
            client_has_value.set()
            await wait_until(lambda: outcomes(script) == [Outcome.OK])
            assert script.events_of(AttemptEnded)[0].active_requests == 7.0
            await asyncio.sleep(0.05)
            ask(client, ids)
            assert await client.reply() == VALUE
            assert len(gateway_site.servers[0].writers) == 1  # the connection was reused

    run_scenario(scenario())


@pytest.mark.parametrize("is_next", [True, False])
@pytest.mark.parametrize("end", ["close", "reset", "silence"])
def test_a_value_is_served_whole_though_its_trailer_never_comes(
    end: str, is_next: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against cutting off a value that is whole, as the load report behind it does not come."""
    monkeypatch.setattr(streamed_value, "SERVER_SILENCE_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        long_ended, first_may_end = asyncio.Event(), asyncio.Event()

        async def answer(writer: asyncio.StreamWriter, name: bytes) -> bytes | None:
            if name == b"%016x" % 1:
                await first_may_end.wait()
                return SERVED
            writer.write(head(len(VALUE)) + VALUE + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.05)
            if end == "close":
                writer.close()
            elif end == "reset":
                await reset_connection(writer)
            long_ended.set()
            return None

        async with streaming_site(answer) as (gateway_site, script):
            client, ids = await gateway_site.client(), generate_request_ids()
            if is_next:
                first_may_end.set()
            ask(client, ids)
            ask(client, ids)
            if is_next:
                assert await client.reply() == b"value"
                assert await client.reply() == VALUE
            await long_ended.wait()
            await wait_until(lambda: len(outcomes(script)) == 1 + is_next)
            first_may_end.set()
            if not is_next:
                assert [await client.reply() for _ in range(2)] == [b"value", VALUE]
            await wait_until(lambda: outcomes(script) == [Outcome.OK] * 2)
            assert await client.ask(b"PING") == b"PONG"  # the connection goes on
            await wait_until(lambda: not gateway_site.program.listener.open_ids)

    run_scenario(scenario())


@pytest.mark.parametrize("late", [False, True])
@pytest.mark.parametrize("extra", [b"x", b"\r\n+OK\r\n"])
def test_a_wrong_length_never_passes_for_a_complete_value(extra: bytes, late: bool) -> None:
    async def scenario() -> None:
        async def answer(writer: asyncio.StreamWriter, name: bytes) -> bytes:
            if not late:
                return head(len(VALUE)) + VALUE + extra + TAIL
            writer.write(head(len(VALUE)) + VALUE)
            await asyncio.sleep(0.1)
            return extra + TAIL

        async with streaming_site(answer) as (gateway_site, script):
            client, ids = await gateway_site.client(), generate_request_ids()
            ask(client, ids)
            if late:
                received = await client.reader.read()
                assert received.startswith(b"$70000\r\n") and len(received) < len(b"$70000\r\n") + 70_000 + 2
            else:  # detected before any byte was relayed
                assert str(await client.reply()) == "ERR failed"
            await wait_until(lambda: outcomes(script) == [Outcome.ERROR])

    run_scenario(scenario())


def test_a_client_disconnects_or_a_deadline_passes_during_a_stream() -> None:
    async def scenario() -> None:
        may_finish = asyncio.Event()

        async def answer(writer: asyncio.StreamWriter, name: bytes) -> bytes:
            writer.write(ANSWER[:40_000])
            await may_finish.wait()
            return ANSWER[40_000:]

        async with streaming_site(answer) as (gateway_site, script):
            ids = generate_request_ids()
            staying_client, leaving_client = await gateway_site.client(), await gateway_site.client()
            short_deadline = GET.replace(b"d=20000", b"d=1000")
            deadline = asyncio.get_running_loop().time() + 1.1
            staying_client.send(b"CALL.GET", CUSTOMER, next(ids), short_deadline)
            ask(leaving_client, ids)
            await wait_until(lambda: len(script.events_of(ResponseStarted)) == 2)
            leaving_client.writer.transport.abort()
            await wait_until(lambda: outcomes(script) == [Outcome.CANCELLED])
            # The deadline of the staying client has passed, but the first bytes were in time.
            await wait_until(lambda: asyncio.get_running_loop().time() > deadline)
            may_finish.set()
            assert await staying_client.reply() == VALUE
            await wait_until(lambda: not gateway_site.program.listener.open_ids)

    run_scenario(scenario())


def test_blocked_readers_buffer_a_bounded_amount_and_short_requests_go_on() -> None:
    size = 2 * 1024 * 1024

    async def scenario() -> None:
        value = body(size)

        async def answer(writer: asyncio.StreamWriter, name: bytes) -> bytes:
            return SERVED if int(name, 16) > 1000 else head(size) + value + TAIL

        async with streaming_site(answer) as (gateway_site, _):
            ids = generate_request_ids()
            blocked_clients = [await gateway_site.client() for _ in range(12)]
            for client in blocked_clients:
                client.writer.transport.pause_reading()  # type: ignore[attr-defined]
                ask(client, ids)
            other_client = await gateway_site.client()
            for n in range(1001, 1051):
                assert await other_client.ask(b"CALL.GET", CUSTOMER, b"%016x" % n, GET) == b"value"
            buffered_bytes = 0
            for connection in gateway_site.program.listener.clients:
                if connection.transport is not None:
                    buffered_bytes += connection.transport.get_write_buffer_size()
            assert buffered_bytes <= 12 * 3 * 64 * 1024, buffered_bytes
            for client in blocked_clients:
                client.writer.transport.resume_reading()  # type: ignore[attr-defined]
                assert await client.reply() == value  # each receives the complete value

    run_scenario(scenario())


def test_with_one_permit_all_streams_advance_and_a_blocked_reader_is_aborted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(streamed_value, "CLIENT_BLOCKED_TIMEOUT_S", 0.1)
    size = MAX_STREAMED_BYTES

    async def scenario() -> None:
        value = body(size)

        async def answer(writer: asyncio.StreamWriter, name: bytes) -> bytes:
            return head(size) + value + TAIL

        async with streaming_site(answer) as (gateway_site, script):
            gateway_site.program.servers.read_permits.max_readers = 1
            ids = generate_request_ids()
            blocked_client = await small_client(gateway_site)
            blocked_client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            ask(blocked_client, ids)
            await wait_until(lambda: script.events_of(ResponseStarted))
            other_clients = [await gateway_site.client() for _ in range(5)]
            for client in other_clients:
                ask(client, ids)
            assert await asyncio.gather(*(client.reply() for client in other_clients)) == [value] * 5
            # The stream that was not read was aborted for the others.
            assert Outcome.ERROR in outcomes(script)

    run_scenario(scenario())


async def small_client(gateway_site: Site) -> Client:
    """Returns a client with a small receive buffer: otherwise the kernel would take the whole value without
    the client reading."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(("127.0.0.1", gateway_site.port))
    return Client(*await asyncio.open_connection(sock=sock, limit=4096))


def test_clients_that_do_not_read_hold_up_no_other_streams(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against holding back long values as clients that pause keep all read permits, and against
    cutting these off for it."""
    monkeypatch.setattr(streamed_value, "CLIENT_BLOCKED_TIMEOUT_S", 0.05)
    size = MAX_STREAMED_BYTES

    async def scenario() -> None:
        value = body(size)

        async def answer(writer: asyncio.StreamWriter, name: bytes) -> bytes:
            return head(size) + value + TAIL

        async with streaming_site(answer) as (gateway_site, script):
            permits = gateway_site.program.servers.read_permits
            permits.max_readers = 4
            ids = generate_request_ids()
            pausing_clients = [await small_client(gateway_site) for _ in range(8)]
            for client in pausing_clients:
                client.writer.transport.pause_reading()  # type: ignore[attr-defined]
                ask(client, ids)
            await wait_until(lambda: len(permits.parked) == 8)
            reading_clients = [await gateway_site.client() for _ in range(5)]
            for client in reading_clients:
                ask(client, ids)
            async with asyncio.timeout(20.0):
                assert await asyncio.gather(*(client.reply() for client in reading_clients)) == [value] * 5
            assert len(permits.parked) == 8  # nobody was cut off
            for client in pausing_clients:
                client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            assert await asyncio.gather(*(client.reply() for client in pausing_clients)) == [value] * 8
            await wait_until(lambda: outcomes(script) == [Outcome.OK] * 13)
            assert not permits.readers and not permits.parked and not permits.waiters

    run_scenario(scenario())


def test_servers_that_pause_hold_up_no_other_streams() -> None:
    """Guards against holding back long values as streams whose servers send nothing keep all read permits."""
    size = MAX_STREAMED_BYTES

    async def scenario() -> None:
        value = body(size)
        may_go_on = asyncio.Event()

        async def answer(writer: asyncio.StreamWriter, name: bytes) -> bytes:
            if int(name, 16) <= 5:
                writer.write(head(size) + value[:100_000])
                await may_go_on.wait()
                return value[100_000:] + TAIL
            return head(size) + value + TAIL

        async with streaming_site(answer) as (gateway_site, script):
            gateway_site.program.servers.read_permits.max_readers = 2
            ids = generate_request_ids()
            slow_clients = [await gateway_site.client() for _ in range(5)]
            for client in slow_clients:
                ask(client, ids)
            await wait_until(lambda: len(script.events_of(ResponseStarted)) == 5)
            reading_clients = [await gateway_site.client() for _ in range(3)]
            for client in reading_clients:
                ask(client, ids)
            async with asyncio.timeout(30.0):
                assert await asyncio.gather(*(client.reply() for client in reading_clients)) == [value] * 3
            may_go_on.set()
            assert await asyncio.gather(*(client.reply() for client in slow_clients)) == [value] * 5

    run_scenario(scenario())


def test_a_silent_server_is_detected_though_its_stream_takes_turns(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(streamed_value, "SERVER_SILENCE_TIMEOUT_S", 0.4)

    async def scenario() -> None:
        async def answer(writer: asyncio.StreamWriter, name: bytes) -> bytes:
            return ANSWER[:50_000]

        async with streaming_site(answer) as (gateway_site, script):
            gateway_site.program.servers.read_permits.max_readers = 1
            ids = generate_request_ids()
            clients = [await gateway_site.client() for _ in range(4)]
            for client in clients:
                ask(client, ids)
            for client in clients:
                assert 0 < len(await client.reader.read()) < len(VALUE)
            await wait_until(lambda: outcomes(script) == [Outcome.ERROR] * 4)

    run_scenario(scenario())


def test_shutdown_does_not_wait_forever_for_a_stream() -> None:
    async def scenario() -> None:
        async def answer(writer: asyncio.StreamWriter, name: bytes) -> bytes:
            return ANSWER[:50_000]

        async with streaming_site(answer) as (gateway_site, script):
            client, ids = await gateway_site.client(), generate_request_ids()
            ask(client, ids)
            await wait_until(lambda: script.events_of(ResponseStarted))
            await asyncio.wait_for(gateway_site.program.shut_down(), 5.0)
            received = await client.reader.read()
            assert len(received) < len(VALUE)

    run_scenario(scenario())


def test_pipelined_connections_do_not_stream_values() -> None:
    async def scenario() -> None:
        operator = '[pipeline]\nclasses = ["read"]\n'
        async with streaming_site(answer_completely, operator=operator) as (gateway_site, script):
            client, ids = await gateway_site.client(), generate_request_ids()
            ask(client, ids)
            assert str(await client.reply()) == "ERR failed"
            assert outcomes(script) == [Outcome.ERROR]

    run_scenario(scenario())
