"""Long values: taken apart at any cut, read by turns, and passed on over sockets with peers that stall, lie,
stop and leave."""

from __future__ import annotations

import asyncio
import itertools
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
from glenchute.policy.connections.stream_read_permits import StreamReadPermits
from glenchute.policy.events import AttemptEnded, Event, Outcome, Request, ResponseStarted
from glenchute.protocol import resp2 as resp
from glenchute.protocol.streamed_reply import MAX_STREAMED_BYTES, StreamedReply
from glenchute.upstreams import streamed_value
from tests.loopback import (
    CUSTOMER,
    GET,
    ORDER,
    SERVED,
    Client,
    Script,
    Site,
    numbered,
    play,
    send_to,
    site,
    until,
)

TAIL = b"\r\n*-1\r\n$20\r\ninflight=7,queue=2.5\r\n"


def body(length: int, seed: int = 1) -> bytes:
    """A value that holds all that could mislead a parser."""
    noise = random.Random(seed).randbytes(4096) + b"\r\n$-1\r\n*3\r\n-ERR failed\r\nHTTP/1.1 200 OK\r\n\r\n"
    return (noise * (length // len(noise) + 1))[:length]


def head(length: int) -> bytes:
    return b"*3\r\n$%d\r\n" % length


VALUE = body(70_000)
ANSWER = head(len(VALUE)) + VALUE + TAIL


# --- the framer --------------------------------------------------------------------------------------------


def taken(pieces: list[bytes]) -> tuple[bytes, StreamedReply]:
    """What comes of an answer that comes in these pieces."""
    parser, reply, out = resp.Parser(), None, []
    for piece in pieces:
        if reply is not None:
            out.append(reply.feed(piece))
            continue
        parser.feed(piece)
        try:
            assert parser.next_message() is False
        except resp.ValueTooLongError:
            found = StreamedReply.parse_head(parser.take_unparsed())
            assert found is not None
            reply = found[0]
            out.append(reply.feed(found[1]))
    assert reply is not None
    return b"".join(out), reply


def cut(data: bytes, at: list[int]) -> list[bytes]:
    marks = [0, *sorted(at), len(data)]
    return [data[a:b] for a, b in itertools.pairwise(marks) if a < b]


@pytest.mark.parametrize("at", [*range(1, 20), *range(len(ANSWER) - 40, len(ANSWER))])
def test_a_split_near_any_edge(at: int) -> None:
    value, reply = taken(cut(ANSWER, [at]))
    assert value == VALUE and reply.is_complete and not reply.has_surplus
    assert reply.trailer == [None, b"inflight=7,queue=2.5"]


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.integers(1, len(ANSWER) - 1), max_size=40))
def test_any_splits(at: list[int]) -> None:
    value, reply = taken(cut(ANSWER, at))
    assert value == VALUE and reply.is_complete and reply.trailer == [None, b"inflight=7,queue=2.5"]


def test_byte_by_byte_and_with_surplus() -> None:
    value, reply = taken([ANSWER[i : i + 1] for i in range(len(ANSWER))])
    assert value == VALUE and reply.is_complete and not reply.has_surplus
    _, reply = taken([ANSWER + b"+OK\r\n"])
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


# --- turns -------------------------------------------------------------------------------------------------


class Reading(RuleBasedStateMachine):
    """Values that ask, get pieces and end, against what the turns promise."""

    def __init__(self) -> None:
        super().__init__()
        self.turns: StreamReadPermits[int] = StreamReadPermits(3)
        self.serial = 0
        self.moves: dict[int, int] = {}  # pieces that others got since this one began to wait
        self.reads: set[int] = set()

    @rule()
    def asks(self) -> None:
        self.serial += 1
        if self.turns.acquire(self.serial):
            self.reads.add(self.serial)
        else:
            self.moves[self.serial] = 0

    @precondition(lambda self: self.reads)
    @rule(pick=st.integers(0, 9))
    def got(self, pick: int) -> None:
        key = sorted(self.reads)[pick % len(self.reads)]
        ahead = len(self.moves)
        if not self.turns.rotate_after_chunk(key):
            assert ahead, "nobody waits, and yet it may not go on"
            self.reads.discard(key)
            self.moves[key] = 0
        self.wake()

    @precondition(lambda self: self.reads or self.moves)
    @rule(pick=st.integers(0, 99))
    def ends(self, pick: int) -> None:
        keys = sorted(self.reads | set(self.moves))
        key = keys[pick % len(keys)]
        self.turns.release(key)
        self.reads.discard(key)
        self.moves.pop(key, None)
        self.wake()

    def wake(self) -> None:
        while (key := self.turns.grant_next()) is not None:
            assert key == next(iter(self.moves)), "not the one that has waited for longest"
            del self.moves[key]
            self.reads.add(key)

    @invariant()
    def bounded_and_busy(self) -> None:
        assert set(self.turns.readers) == self.reads and len(self.reads) <= 3
        assert list(self.turns.waiters) == list(self.moves)
        assert not self.moves or len(self.reads) == 3, "a place is free and somebody waits"


Reading.TestCase.settings = settings(max_examples=60, stateful_step_count=40, deadline=None, derandomize=True)
TestReading = Reading.TestCase


# --- over sockets ------------------------------------------------------------------------------------------


@asynccontextmanager
async def serving(
    answer: Callable[[asyncio.StreamWriter, bytes], Any], **changes: Any
) -> AsyncIterator[tuple[Site, Script]]:
    """A gateway whose one server answers with what `answer` writes, told the request's id."""

    async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        found = await answer(writer, words[2])
        return found if isinstance(found, bytes) else None

    script = Script(send_to("s0", changes.pop("timeout_ms", 0.0)))
    async with site(reply, decisions=script, **changes) as one:
        yield one, script


async def whole(writer: asyncio.StreamWriter, name: bytes) -> bytes:
    return ANSWER


def ask(client: Client, ids: Any, fields: bytes = GET) -> None:
    client.send(b"CALL.GET" if fields is GET else b"CALL.POST", CUSTOMER, next(ids), fields)


def ended(script: Script) -> list[Outcome]:
    return [event.outcome for event in script.of(AttemptEnded)]


def test_a_long_value_is_relayed_completely_and_the_connection_reused() -> None:
    async def scenario() -> None:
        async with serving(whole) as (one, script):
            client, ids = await one.client(), numbered()
            for _ in range(3):
                ask(client, ids)
                assert await client.reply() == VALUE
                await asyncio.sleep(0.05)
            assert ended(script) == [Outcome.OK] * 3
            assert all(event.active_requests == 7.0 and event.is_final for event in script.of(AttemptEnded))
            assert len(script.of(ResponseStarted)) == 3
            assert len(one.servers[0].writers) == 1
            assert not one.program.listener.open_ids

    play(scenario())


def test_replies_stay_in_order_around_a_streamed_one() -> None:
    async def scenario() -> None:
        gates = {b"%016x" % n: asyncio.Event() for n in (1, 2, 3)}

        async def answer(writer: asyncio.StreamWriter, name: bytes) -> bytes:
            await gates[name].wait()
            return ANSWER if name == b"%016x" % 2 else SERVED

        async with serving(answer) as (one, script):
            client, ids = await one.client(), numbered()
            for _ in range(3):
                ask(client, ids)
            gates[b"%016x" % 3].set()
            gates[b"%016x" % 2].set()  # its turn has not come: its server waits
            await until(lambda: script.of(ResponseStarted))
            await asyncio.sleep(0.05)
            assert not client.reader._buffer  # type: ignore[attr-defined]
            gates[b"%016x" % 1].set()
            assert [await client.reply() for _ in range(3)] == [b"value", VALUE, b"value"]

    play(scenario())


@pytest.mark.parametrize("fields", [GET, ORDER])
def test_an_attempt_is_retried_before_its_first_byte_and_never_after(fields: bytes) -> None:
    async def scenario() -> None:
        sent = [b"*3\r\n$70", head(70_000) + VALUE[:30_000]]

        async def answer(writer: asyncio.StreamWriter, name: bytes) -> None:
            writer.write(sent.pop(0))
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.close()

        tries: dict[str, int] = {}

        def decide(event: Event) -> list[Action]:
            if isinstance(event, Request) or (isinstance(event, AttemptEnded) and not event.is_final):
                tries[event.request_id] = tries.get(event.request_id, 0) + 1
                return [StartAttempt(event.request_id, "s0", 0.0)]
            return []

        script = Script(decide)

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> None:
            await answer(writer, words[2])

        async with site(reply, decisions=script) as one:
            client, ids = await one.client(), numbered()
            ask(client, ids, fields)
            got = await client.reader.read()  # to the end of the connection: the client can tell
            assert got == b"$70000\r\n" + VALUE[:30_000]
            await until(lambda: len(script.of(AttemptEnded)) == 2)
            last = script.of(AttemptEnded)[-1]
            assert last.is_final and last.outcome is Outcome.RESET
            assert list(tries.values()) == [2] and not one.program.gateway.active_requests

    play(scenario())


def test_server_pauses_in_the_head_the_body_and_the_trailer() -> None:
    async def scenario() -> None:
        parts = [ANSWER[:6], ANSWER[6:300], ANSWER[300:40_000], ANSWER[40_000:-1], ANSWER[-1:]]

        async def answer(writer: asyncio.StreamWriter, name: bytes) -> None:
            for n, part in enumerate(parts):
                writer.write(part)
                await asyncio.sleep(0.1 if n == 0 else 0.4)  # a short answer would have failed at 0.25 s

        async with serving(answer) as (one, script):
            client, ids = await one.client(), numbered()
            ask(client, ids)
            assert await client.reply() == VALUE
            await until(lambda: ended(script) == [Outcome.OK])
            took = script.of(AttemptEnded)[0].duration_ms
            assert took < 1000.0, "the time is that of the first bytes"

    play(scenario())


def test_a_silent_server_is_aborted_and_the_client_notices(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(streamed_value, "SERVER_SILENCE_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        async def answer(writer: asyncio.StreamWriter, name: bytes) -> bytes:
            return ANSWER[:50_000]

        async with serving(answer) as (one, script):
            client, ids = await one.client(), numbered()
            ask(client, ids)
            got = await client.reader.read()
            assert 0 < len(got) < len(VALUE)
            await until(lambda: ended(script) == [Outcome.ERROR])

    play(scenario())


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

        async with serving(answer) as (one, script):
            client, ids = await one.client(), numbered()
            ask(client, ids)
            if late:
                got = await client.reader.read()
                assert got.startswith(b"$70000\r\n") and len(got) < len(b"$70000\r\n") + 70_000 + 2
            else:  # found out before anything was passed on
                assert str(await client.reply()) == "ERR failed"
            await until(lambda: ended(script) == [Outcome.ERROR])

    play(scenario())


def test_a_client_disconnects_or_a_deadline_passes_during_a_stream() -> None:
    async def scenario() -> None:
        go = asyncio.Event()

        async def answer(writer: asyncio.StreamWriter, name: bytes) -> bytes:
            writer.write(ANSWER[:40_000])
            await go.wait()
            return ANSWER[40_000:]

        async with serving(answer) as (one, script):
            ids = numbered()
            stays, leaves = await one.client(), await one.client()
            short = GET.replace(b"d=20000", b"d=1000")
            time_is_up = asyncio.get_running_loop().time() + 1.1
            stays.send(b"CALL.GET", CUSTOMER, next(ids), short)
            ask(leaves, ids)
            await until(lambda: len(script.of(ResponseStarted)) == 2)
            leaves.writer.transport.abort()
            await until(lambda: ended(script) == [Outcome.CANCELLED])
            # The time of the one that stays is up, but its first bytes were in time.
            await until(lambda: asyncio.get_running_loop().time() > time_is_up)
            go.set()
            assert await stays.reply() == VALUE
            await until(lambda: not one.program.listener.open_ids)

    play(scenario())


def test_blocked_readers_buffer_a_bounded_amount_and_short_requests_go_on() -> None:
    size = 2 * 1024 * 1024

    async def scenario() -> None:
        value = body(size)

        async def answer(writer: asyncio.StreamWriter, name: bytes) -> bytes:
            return SERVED if int(name, 16) > 1000 else head(size) + value + TAIL

        async with serving(answer) as (one, _):
            ids = numbered()
            stopped = [await one.client() for _ in range(12)]
            for client in stopped:
                client.writer.transport.pause_reading()  # type: ignore[attr-defined]
                ask(client, ids)
            usual = await one.client()
            for n in range(1001, 1051):
                assert await usual.ask(b"CALL.GET", CUSTOMER, b"%016x" % n, GET) == b"value"
            held = 0
            for place in one.program.listener.clients:
                if place.transport is not None:
                    held += place.transport.get_write_buffer_size()
            assert held <= 12 * 3 * 64 * 1024, held
            for client in stopped:
                client.writer.transport.resume_reading()  # type: ignore[attr-defined]
                assert await client.reply() == value  # and each gets the whole of it

    play(scenario())


def test_with_one_permit_all_streams_advance_and_a_blocked_reader_is_aborted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(streamed_value, "CLIENT_BLOCKED_TIMEOUT_S", 0.1)
    size = MAX_STREAMED_BYTES

    async def scenario() -> None:
        value = body(size)

        async def answer(writer: asyncio.StreamWriter, name: bytes) -> bytes:
            return head(size) + value + TAIL

        async with serving(answer) as (one, script):
            one.program.servers.read_permits.max_readers = 1
            ids = numbered()
            narrow = socket.socket()
            narrow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)  # or the machine takes it all
            narrow.connect(("127.0.0.1", one.port))
            stops = Client(*await asyncio.open_connection(sock=narrow))
            stops.writer.transport.pause_reading()  # type: ignore[attr-defined]
            ask(stops, ids)
            await until(lambda: script.of(ResponseStarted))
            others = [await one.client() for _ in range(5)]
            for client in others:
                ask(client, ids)
            assert await asyncio.gather(*(client.reply() for client in others)) == [value] * 5
            assert Outcome.ERROR in ended(script)  # the one that did not read was cut off for them

    play(scenario())


def test_shutdown_does_not_wait_forever_for_a_stream() -> None:
    async def scenario() -> None:
        async def answer(writer: asyncio.StreamWriter, name: bytes) -> bytes:
            return ANSWER[:50_000]

        async with serving(answer) as (one, script):
            client, ids = await one.client(), numbered()
            ask(client, ids)
            await until(lambda: script.of(ResponseStarted))
            await asyncio.wait_for(one.program.shut_down(), 5.0)
            got = await client.reader.read()
            assert len(got) < len(VALUE)

    play(scenario())


def test_pipelined_connections_do_not_stream_values() -> None:
    async def scenario() -> None:
        operator = '[pipeline]\nclasses = ["read"]\n'
        async with serving(whole, operator=operator) as (one, script):
            client, ids = await one.client(), numbered()
            ask(client, ids)
            assert str(await client.reply()) == "ERR failed"
            assert ended(script) == [Outcome.ERROR]

    play(scenario())
