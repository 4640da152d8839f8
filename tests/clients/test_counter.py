"""The counter client over loopback sockets."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from glenchute.clients import counter
from glenchute.clients.counter import CounterClient
from glenchute.policy.events import Outcome
from tests.loopback import (
    RespPeer,
    reply_with,
    run_scenario,
    wait_until,
)

ROOT = Path(__file__).resolve().parents[2]


def test_replies_match_calls_in_order_late_ones_too() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def reply(command: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            if command[0] == b"PING":
                return b"+PONG\r\n"
            if command[1] == b"2":
                await release.wait()
            return b"-BUSY\r\n" if command[1] == b"6" else b"$1\r\n%b\r\n" % command[1]

        peer = RespPeer(reply)
        await peer.start()
        loop = asyncio.get_running_loop()
        client = CounterClient(loop, ("127.0.0.1", peer.port), 0.05)
        results: list[tuple[int, float, Outcome]] = []

        def call(key: int) -> None:
            client.increment(
                key, 1.5, 4000.0, lambda total, outcome, latency_ms: results.append((key, total, outcome))
            )

        call(2)
        assert results == [(2, 0.0, Outcome.UNREACHABLE)]  # nothing was sent, as no connection was open
        await wait_until(lambda: all(connection.is_ready() for connection in client.connections))
        call(2)
        await wait_until(lambda: len(results) == 2)
        client.timeout_s = 30.0
        call(4)
        call(6)
        release.set()
        await wait_until(lambda: len(results) == 4)
        assert results[1:] == [(2, 0.0, Outcome.TIMEOUT), (4, 4.0, Outcome.OK), (6, 0.0, Outcome.REJECTED)]
        assert peer.calls()[0] == [b"INCRTTL", b"2", b"1.500", b"4000"]
        client.close()
        await peer.stop()

    run_scenario(scenario())


def test_a_call_on_a_lost_connection_times_out_and_the_next_uses_a_new_one() -> None:
    async def scenario() -> None:
        has_hung_up = False

        async def reply(command: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
            nonlocal has_hung_up
            if command[0] == b"PING":
                return b"+PONG\r\n"
            if not has_hung_up:
                has_hung_up = True
                writer.close()
                return None
            return b"$1\r\n3\r\n"

        peer = RespPeer(reply)
        await peer.start()
        client = CounterClient(asyncio.get_running_loop(), ("127.0.0.1", peer.port), 30.0)
        results: list[tuple[float, Outcome]] = []
        for _ in range(2):
            await wait_until(lambda: all(connection.is_ready() for connection in client.connections))
            client.increment(2, 1.0, 1.0, lambda total, outcome, latency_ms: results.append((total, outcome)))
            count = len(results)
            await wait_until(lambda: len(results) > count)  # noqa: B023
        assert results == [(0.0, Outcome.TIMEOUT), (3.0, Outcome.OK)]
        assert len(peer.calls()) == 2  # the first call was not repeated
        client.close()
        await peer.stop()

    run_scenario(scenario())


INVALID_REPLIES = [
    b"$3\r\nnan\r\n",
    b"$3\r\ninf\r\n",
    b"$0\r\n\r\n",
    b"$-1\r\n",
    b"+3\r\n",
    b":3\r\n",
    b"-NOISE\r\n",
    b"-BUSY?\r\n",
    b"$9\r\n1\r\n$1\r\n12",
    b"\x00\xff",
    b"*1\r\n$1\r\n3\r\n",
]


@pytest.mark.parametrize("invalid_reply", INVALID_REPLIES)
def test_an_invalid_reply_times_out_the_call_and_ends_the_connection(invalid_reply: bytes) -> None:
    async def scenario() -> None:
        answers = [invalid_reply, b"$3\r\n4.5\r\n"]

        async def reply(command: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            return b"+PONG\r\n" if command[0] == b"PING" else answers.pop(0)

        peer = RespPeer(reply)
        await peer.start()
        client = CounterClient(asyncio.get_running_loop(), ("127.0.0.1", peer.port), 30.0)
        results: list[tuple[float, Outcome]] = []
        for _ in range(2):
            await wait_until(lambda: all(connection.is_ready() for connection in client.connections))
            client.increment(5, 1.0, 1.0, lambda total, outcome, latency_ms: results.append((total, outcome)))
            count = len(results)
            await wait_until(lambda: len(results) > count)  # noqa: B023
        assert results == [(0.0, Outcome.TIMEOUT), (4.5, Outcome.OK)]
        assert len(peer.writers) == counter.DEFAULT_CONNECTIONS + 1
        client.close()
        await peer.stop()

    run_scenario(scenario())


def test_a_slow_key_delays_only_the_calls_on_its_connection() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def reply(command: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            if command[0] == b"PING":
                return b"+PONG\r\n"
            if command[1] == b"0":
                await release.wait()
            return b"$1\r\n1\r\n"

        peer = RespPeer(reply)
        await peer.start()
        client = CounterClient(asyncio.get_running_loop(), ("127.0.0.1", peer.port), 30.0)
        await wait_until(lambda: all(connection.is_ready() for connection in client.connections))
        results: list[int] = []

        def call(key: int) -> None:
            client.increment(key, 1.0, 1.0, lambda total, outcome, latency_ms: results.append(key))

        for key in (0, 2, 4, 6, 8):
            call(key)
        await wait_until(lambda: sorted(results) == [2, 4, 6, 8])
        release.set()
        await wait_until(lambda: len(results) == 5)
        client.close()
        await peer.stop()

    run_scenario(scenario())


def test_a_silent_connection_is_reopened(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        peer = RespPeer(reply_with(None))
        await peer.start()
        client = CounterClient(asyncio.get_running_loop(), ("127.0.0.1", peer.port), 0.01)
        await wait_until(lambda: len(peer.writers) > 2 * counter.DEFAULT_CONNECTIONS)
        client.close()
        await peer.stop()

    monkeypatch.setattr(counter, "REPLY_TIMEOUT_S", 0.0)
    monkeypatch.setattr(counter, "PING_INTERVAL_S", 0.01)
    run_scenario(scenario())


def test_calls_in_flight_end_on_the_connections_to_the_former_address() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def delayed_reply(command: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
            if command[0] == b"INCRTTL":
                await release.wait()
            return b"+PONG\r\n" if command[0] == b"PING" else b"$1\r\n7\r\n"

        async def reply_three(command: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            return b"+PONG\r\n" if command[0] == b"PING" else b"$1\r\n3\r\n"

        former_peer, new_peer = RespPeer(delayed_reply), RespPeer(reply_three)
        await former_peer.start()
        await new_peer.start()
        client = CounterClient(asyncio.get_running_loop(), ("127.0.0.1", former_peer.port), 30.0)
        results: list[tuple[int, float, Outcome]] = []

        def call(key: int) -> None:
            client.increment(
                key, 1.0, 1.0, lambda total, outcome, latency_ms: results.append((key, total, outcome))
            )

        await wait_until(lambda: all(connection.is_ready() for connection in client.connections))
        call(2)
        call(4)
        await wait_until(lambda: len(former_peer.calls()) == 2)
        client.change_address(("127.0.0.1", new_peer.port))
        await wait_until(lambda: all(connection.is_ready() for connection in client.connections))
        # Ends the call for this key on the former connection, so that replies for one key keep their order.
        call(4)
        await wait_until(lambda: len(results) == 2)
        assert results == [(4, 0.0, Outcome.TIMEOUT), (4, 3.0, Outcome.OK)]
        release.set()
        await wait_until(lambda: len(results) == 3)
        await wait_until(
            lambda: [what for what, *_ in former_peer.log].count("closed") == counter.DEFAULT_CONNECTIONS
        )
        assert results[2] == (2, 7.0, Outcome.OK) and len(new_peer.calls()) == 1
        client.close()
        await former_peer.stop()
        await new_peer.stop()

    run_scenario(scenario())
