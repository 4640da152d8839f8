"""Commands that wait on their connection before they are begun: their time counts from their arrival."""

from __future__ import annotations

import asyncio

import pytest

from glenchute.listeners.resp2.arrival_times import RESOLUTION_S, ArrivalTimes
from glenchute.listeners.resp2.connection import MAX_PENDING_COMMANDS
from tests.crossings import encode_command
from tests.loopback import CUSTOMER, SERVED, ScriptedEngine, run_scenario, send_to, site, wait_until

HELD_S = 0.5
SLACK_MS = 150.0  # the platform's
DEADLINE_MS = 20_000


def command(number: int, deadline_ms: int = DEADLINE_MS) -> bytes:
    """Returns a read of this number."""
    fields = b"c=read,t=basic,d=%d" % deadline_ms
    return encode_command(b"CALL.GET", CUSTOMER, b"%016x" % number, fields)


@pytest.mark.parametrize("is_read", [True, False])
def test_a_command_that_waits_tells_its_server_what_is_left(is_read: bool) -> None:
    """Guards against telling servers more time than clients have left, as commands wait behind the 64 pending
    ones, whether they have been read (in one write with them) or not (in a later one)."""

    async def scenario() -> None:
        may_answer = asyncio.Event()
        told_ms: dict[int, int] = {}

        async def answer(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            told_ms[int(words[2], 16)] = int(words[3].rpartition(b"=")[2])
            await may_answer.wait()
            return SERVED

        async with site(answer, decisions=ScriptedEngine(send_to("s0"))) as gateway_site:
            client = await gateway_site.client()
            pending = b"".join(command(number) for number in range(MAX_PENDING_COMMANDS))
            held = command(1000) + command(1001, 300)
            client.writer.write(pending + held if is_read else pending)
            await wait_until(lambda: len(told_ms) == MAX_PENDING_COMMANDS)
            if not is_read:
                client.writer.write(held)
            sent_at = asyncio.get_running_loop().time()
            await asyncio.sleep(HELD_S)
            may_answer.set()
            held_ms = 1000.0 * (asyncio.get_running_loop().time() - sent_at)
            replies = [await client.reply() for _ in range(MAX_PENDING_COMMANDS + 2)]
            assert replies[:-1] == [b"value"] * (MAX_PENDING_COMMANDS + 1)
            assert told_ms[1000] <= DEADLINE_MS - held_ms + SLACK_MS
            assert str(replies[-1]) == "BUSY"  # its client had given up: it was not sent to any server
            assert 1001 not in told_ms

    run_scenario(scenario())


def test_bytes_arrive_once_whether_they_are_read_at_once_or_later() -> None:
    times = ArrivalTimes()
    times.record_read(1.0, 100)
    times.record_unread(2.0, 50)  # bytes 100 to 150 wait in the kernel
    times.record_unread(3.0, 80)
    times.record_read(9.0, 90)  # all of those, and ten that nobody saw arrive
    assert times.last_byte_at(unparsed_bytes=90) == 1.0
    assert times.last_byte_at(unparsed_bytes=41) == 2.0
    assert times.last_byte_at(unparsed_bytes=40) == 2.0
    assert times.last_byte_at(unparsed_bytes=39) == 3.0
    assert times.last_byte_at(unparsed_bytes=10) == 3.0
    assert times.last_byte_at(unparsed_bytes=0) == 9.0


def test_a_trickle_of_bytes_takes_bounded_memory() -> None:
    times = ArrivalTimes()
    for step in range(10_000):
        times.record_read(0.001 * step, 1)
    assert len(times._chunks) <= 10.0 / RESOLUTION_S + 1
    assert 9.999 - RESOLUTION_S <= times.last_byte_at(unparsed_bytes=0) <= 9.999
