"""The discovery client on sockets: polls without an answer, late, reset or concurrent ones, changes of the
address, and lists in different JSON and HTTP encodings."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from glenchute.cli.program import LIST_WAIT_S
from glenchute.clients.discovery import MAX_UNDIVIDED_BODY_BYTES, DiscoveryClient
from glenchute.policy.endpoints import notification, watch
from glenchute.policy.endpoints.polling import PollScheduler
from glenchute.protocol.endpoint_list import CurrentList, EndpointListError, decode_list
from lab.peers import discovery_answer, http_response, reply_with, run_scenario, server_row, wait_until
from tests.loopback import ScriptedEngine, config, site

from .manual_discovery import ManualDiscovery, endpoint_states


@pytest.fixture
def short_deadlines(monkeypatch: pytest.MonkeyPatch) -> None:
    """Sets the deadlines to a tenth of their values."""
    for name, value in (
        ("NOTIFIED_AFTER_S", 0.6),
        ("NOTIFIED_AFTER_WAIT_S", 0.2),
        ("NOTIFIED_AFTER_MOVE_S", 0.4),
        ("ANSWER_ALLOWANCE_S", 0.2),
        ("PUSHED_WATCH_WAIT_S", 0.3),
    ):
        monkeypatch.setattr(notification, name, value)


DRAIN_OF_A = discovery_answer(9, [server_row("a", 80, "Terminating")], full=False)
BOTH_ACTIVE = discovery_answer(5, [server_row("a", 80), server_row("b", 81)])
STALE = discovery_answer(6, [server_row("a", 80)], full=False)
# Rows that cannot be decoded: an invalid address, a missing field, a wrong type, an invalid number.
UNREADABLE = [
    server_row("b", 81) | {"addr": "nowhere"},
    {"id": "b", "state": "Ready"},
    ["b"],
    server_row("b", 81) | {"started_ms": "soon"},
]


async def serve_first_list(discovery: ManualDiscovery) -> None:
    """Brings a list into force and leaves a watch in flight: the poll of index 1. On a loaded machine the
    first poll may be hedged before the process reads its answer; such polls are removed."""
    number = 0
    while "since=5&" not in (await discovery.poll(number), discovery.polls[number][0])[1]:
        if not discovery.polls[number][1].transport.is_closing():
            await discovery.answer(number, BOTH_ACTIVE)
        number += 1
    del discovery.polls[1:number]


async def silent_then_hedged(discovery: ManualDiscovery, script: ScriptedEngine) -> None:
    """Both polls are answered at the same time; the older version in the older one must revert nothing."""
    await discovery.poll(2)
    discovery.polls[2][1].write(DRAIN_OF_A)
    discovery.polls[1][1].write(STALE)  # both are read in one loop iteration, in any order
    await wait_until(lambda: endpoint_states(script)["a"] == "draining")
    assert "since=9&" in (await discovery.poll(3), discovery.polls[3][0])[1]
    await wait_until(lambda: discovery.open_connections == 1)


async def late_answer_before_hedged(discovery: ManualDiscovery, script: ScriptedEngine) -> None:
    """The late poll is answered while the hedged one is in flight; the connection of the latter is closed."""
    await discovery.poll(2)
    discovery.polls[1][1].write(DRAIN_OF_A)
    await wait_until(lambda: endpoint_states(script)["a"] == "draining")
    assert (await discovery.poll(3)) is discovery.polls[1][1]
    await wait_until(lambda: discovery.open_connections == 1)


async def reset_within_answer(discovery: ManualDiscovery, script: ScriptedEngine) -> None:
    discovery.polls[1][1].write(DRAIN_OF_A[:-20])
    await asyncio.sleep(0.01)
    discovery.reset(1)
    assert endpoint_states(script)["a"] == "active"
    await discovery.answer(2, DRAIN_OF_A)


def without_length(data: bytes) -> bytes:
    """Returns the answer without Content-Length, so that the end of the connection ends its body."""
    return b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + data.partition(b"\r\n\r\n")[2]


async def answer_ended_by_close(discovery: ManualDiscovery, script: ScriptedEngine) -> None:
    discovery.polls[1][1].write(without_length(DRAIN_OF_A))
    discovery.polls[1][1].close()


async def answer_ended_by_reset(discovery: ManualDiscovery, script: ScriptedEngine) -> None:
    """A body that is ended by a connection reset is invalid, even if its JSON is complete."""
    discovery.polls[1][1].write(without_length(STALE.replace(b'"version": 6', b'"version": 8')))
    await asyncio.sleep(0.02)
    discovery.reset(1)
    await discovery.poll(2)
    assert "since=5&" in discovery.polls[2][0]
    await discovery.answer(2, DRAIN_OF_A)


async def silent_within_answer(discovery: ManualDiscovery, script: ScriptedEngine) -> None:
    """A part of an answer and then nothing: the poll is hedged once its time is over."""
    discovery.polls[1][1].write(DRAIN_OF_A[:-20])
    await discovery.answer(2, DRAIN_OF_A)


async def byte_by_byte(discovery: ManualDiscovery, script: ScriptedEngine) -> None:
    """An answer that is received byte by byte and is complete in time."""
    for start in range(len(DRAIN_OF_A)):
        discovery.polls[1][1].write(DRAIN_OF_A[start : start + 1])
        if start % 20 == 0:
            await asyncio.sleep(0)


async def silent_for_several_polls(discovery: ManualDiscovery, script: ScriptedEngine) -> None:
    """At most two polls are in flight; the one that is answered after the outage takes effect."""
    for number in range(2, 7):
        await discovery.poll(number)
        await wait_until(lambda: discovery.open_connections <= watch.MAX_IN_FLIGHT)
    last = len(discovery.polls) - 1
    discovery.polls[last][1].write(DRAIN_OF_A)


async def hedged_connection_refused(discovery: ManualDiscovery, script: ScriptedEngine) -> None:
    """The connection for the hedged poll is refused; the first poll is answered late."""
    assert discovery.server is not None
    discovery.server.close()
    await asyncio.sleep(0.5)
    discovery.polls[1][1].write(DRAIN_OF_A)


@pytest.mark.parametrize(
    "scene",
    [
        silent_then_hedged,
        late_answer_before_hedged,
        reset_within_answer,
        answer_ended_by_close,
        answer_ended_by_reset,
        silent_within_answer,
        byte_by_byte,
        silent_for_several_polls,
        hedged_connection_refused,
    ],
)
def test_a_drain_is_received_whatever_becomes_of_the_poll(scene: Any, short_deadlines: None) -> None:
    async def scenario() -> None:
        discovery, script = ManualDiscovery(), ScriptedEngine(lambda event: [])
        task = asyncio.create_task(serve_first_list(discovery))
        async with site(decisions=script, discovery=discovery):  # type: ignore[arg-type]
            await task
            await scene(discovery, script)
            await wait_until(lambda: endpoint_states(script)["a"] == "draining")
            assert endpoint_states(script)["b"] == "active"

    run_scenario(scenario())


REJECTED = http_response(b"", "503 Service Unavailable").replace(b"\r\n", b"\r\nRetry-After: 30\r\n", 1)
# Results of the polls from the watch on, until the outage ends, with None for a poll that gets no answer; the
# next poll reports the drain.
OUTAGES: dict[str, list[bytes | type[ConnectionResetError] | None]] = {
    "rejected": [REJECTED, REJECTED, REJECTED],
    "reset": [ConnectionResetError, ConnectionResetError, ConnectionResetError],
    "invalid": [
        http_response(b"{}"),
        http_response(b"[1, 2"),
        http_response(b"\xff", "500 Internal Server Error"),
    ],
    "rejected, then silent": [REJECTED, None],
    "reset, then silent": [ConnectionResetError, None],
    "rejected at last": [ConnectionResetError, http_response(b"{}"), REJECTED],
}


@pytest.mark.parametrize("name", OUTAGES)
def test_a_drain_at_the_end_of_an_outage_is_received_in_time_with_a_list_age(
    name: str, short_deadlines: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One of 200 gateways, with a service that takes 15 polls a second and a maximum list age of 30 s. The
    deadlines are a tenth of their values, but the test waits for the full time, so that it also passes on a
    loaded machine."""

    async def scenario() -> None:
        discovery, script = ManualDiscovery(), ScriptedEngine(lambda event: [])
        task = asyncio.create_task(serve_first_list(discovery))
        operator = "[discovery]\ncalls_per_s = 15\nlist_age_s = 30\n"
        platform_settings = replace(config(1, 1, []).settings, gateway_count=200)
        changes: dict[str, Any] = {"settings": platform_settings, "gateway_number": 150, "operator": operator}
        async with site(decisions=script, discovery=discovery, **changes) as gateway_site:  # type: ignore[arg-type]
            await task
            assert not gateway_site.program.discovery.scheduler.settings.is_pushed
            number = 1
            for result in OUTAGES[name]:
                await discovery.poll(number)
                if result is ConnectionResetError:
                    discovery.reset(number)
                elif isinstance(result, bytes):
                    await discovery.answer(number, result)
                number += 1
            async with asyncio.timeout(6.0):
                await discovery.answer(number, DRAIN_OF_A)
                await wait_until(lambda: endpoint_states(script)["a"] == "draining")

    # The delays of a start and after a change have tests of their own.
    monkeypatch.setattr(PollScheduler, "first_poll_delay_s", lambda self, listed: 0.0)
    monkeypatch.setattr(PollScheduler, "synchronized_delay_s", lambda self: 0.0)
    run_scenario(scenario())


def chunked(body: bytes, size: int) -> bytes:
    parts = [body[start : start + size] for start in range(0, len(body), size)]
    sent = b"".join(b"%x;note=1\r\n%b\r\n" % (len(part), part) for part in parts)
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + sent + b"0\r\n\r\n"


FORMS: dict[str, Callable[[Any], bytes]] = {
    "indented": lambda raw: http_response(json.dumps(raw, indent=4).encode()),
    "indented by tabs, in chunks": lambda raw: chunked(json.dumps(raw, indent="\t").encode(), 7),
    "with no space": lambda raw: http_response(json.dumps(raw, separators=(",", ":")).encode()),
    "in small chunks": lambda raw: chunked(json.dumps(raw).encode(), 1 + len(raw["servers"]) // 40),
    "a line break behind": lambda raw: http_response(json.dumps(raw, indent=2).encode() + b"\r\n\r\n"),
    "ended by close": lambda raw: without_length(http_response(json.dumps(raw, indent=1).encode())),
}


@pytest.mark.parametrize("padding_rows", [0, 200])
@pytest.mark.parametrize("form", FORMS)
def test_a_list_is_decoded_in_any_form_and_in_pieces(form: str, padding_rows: int) -> None:
    """A short list, and one that is decoded in parts. Both lack `b`, which is thereby removed."""

    async def scenario() -> None:
        discovery, script = ManualDiscovery(), ScriptedEngine(lambda event: [])
        task = asyncio.create_task(serve_first_list(discovery))
        async with site(decisions=script, discovery=discovery) as gateway_site:  # type: ignore[arg-type]
            await task
            others = [server_row(f"m{n}", 1000 + n) | {"note": "x" * 400} for n in range(padding_rows)]
            rows = [server_row("a", 80, "Terminating"), *others]
            data = FORMS[form]({"version": 9, "full": True, "servers": rows})
            assert (len(data) > MAX_UNDIVIDED_BODY_BYTES) is (padding_rows > 0)
            writer = await discovery.poll(1)
            for start in range(0, len(data), 1 + len(data) // 50):
                writer.write(data[start : start + 1 + len(data) // 50])
                await asyncio.sleep(0)
            if form == "ended by close":
                writer.close()
            await wait_until(lambda: endpoint_states(script)["a"] == "draining")
            assert "b" not in gateway_site.program.servers.server_ids()
            assert len(gateway_site.program.servers.server_ids()) == 1 + padding_rows

    run_scenario(scenario())


@pytest.mark.parametrize("unreadable_row", UNREADABLE)
@pytest.mark.parametrize("full", [False, True])
def test_an_unreadable_row_hides_no_drain_in_another(
    unreadable_row: Any, full: bool, short_deadlines: None
) -> None:
    async def scenario() -> None:
        discovery, script = ManualDiscovery(), ScriptedEngine(lambda event: [])
        task = asyncio.create_task(serve_first_list(discovery))
        async with site(decisions=script, discovery=discovery) as gateway_site:  # type: ignore[arg-type]
            await task
            rows = {
                "version": 9,
                "full": full,
                "servers": [server_row("a", 80, "Terminating"), unreadable_row],
            }
            await discovery.answer(1, http_response(json.dumps(rows).encode()))
            await wait_until(lambda: endpoint_states(script)["a"] == "draining")
            assert endpoint_states(script)["b"] == "active"
            assert set(gateway_site.program.servers.server_ids()) == {
                "a",
                "b",
            }
            assert "since=9&" in (await discovery.poll(2), discovery.polls[2][0])[1]

    run_scenario(scenario())


def test_a_list_without_a_readable_row_is_rejected() -> None:
    """Guards against a gateway that stops serving because the format of the list has changed."""
    with pytest.raises(EndpointListError):
        decode_list({"version": 1, "full": True, "servers": UNREADABLE}, current=None)
    with pytest.raises(EndpointListError):
        decode_list({"version": 1, "full": True, "servers": UNREADABLE}, current=CurrentList())


@pytest.mark.parametrize("case", ["silent", "connecting", "twice", "back"])
def test_a_new_address_supersedes_whatever_was_in_flight(case: str, short_deadlines: None) -> None:
    async def scenario() -> None:
        old, other, new, script = (
            ManualDiscovery(),
            ManualDiscovery(),
            ManualDiscovery(),
            ScriptedEngine(lambda event: []),
        )
        task = asyncio.create_task(serve_first_list(old))
        async with site(decisions=script, discovery=old) as gateway_site:  # type: ignore[arg-type]
            await task
            for peer in (other, new):
                await peer.start()
            discovery, first = gateway_site.program.discovery, gateway_site.program.discovery.address
            last = new
            if case == "silent":
                await old.poll(2)  # one poll is late, and a hedged one is in flight
            if case == "connecting":
                discovery.change_address(("127.0.0.1", other.port))
                await wait_until(lambda: bool(discovery.connect_tasks))
            if case == "twice":
                discovery.change_address(("127.0.0.1", other.port))
                await other.poll(0)
            if case == "back":
                discovery.change_address(("127.0.0.1", new.port))
                await new.poll(0)
                last = old
            before = len(last.polls)
            discovery.change_address(first if case == "back" else ("127.0.0.1", new.port))
            # Answers from the former addresses must be ignored.
            for peer in {old, other, new} - {last}:
                for writer in [writer for _, writer in peer.polls if not writer.transport.is_closing()]:
                    writer.write(
                        discovery_answer(
                            99, [server_row("a", 80, "Terminating"), server_row("b", 81, "Terminating")]
                        )
                    )
            await last.poll(before)
            assert last.polls[before][0] == "/v1/servers"  # versions are only valid at one address
            await last.answer(
                before, discovery_answer(3, [server_row("a", 80, "Terminating"), server_row("b", 81)])
            )
            await wait_until(lambda: endpoint_states(script)["a"] == "draining")
            assert endpoint_states(script)["b"] == "active"
            await wait_until(lambda: sum(peer.open_connections for peer in (old, other, new)) == 1)

            for peer in (other, new):
                await peer.stop()

    run_scenario(scenario())


def test_a_start_receives_a_drain_before_it_serves_by_a_saved_list(monkeypatch: pytest.MonkeyPatch) -> None:
    """The saved list has an active endpoint that drains by now. The wait of the start begins when the poll is
    sent, so a process that is slow to send it, as on a fifth of a core, does not wait less for the answer."""

    async def scenario() -> None:
        discovery, script = ManualDiscovery(), ScriptedEngine(lambda event: [])
        task = asyncio.create_task(
            discovery.answer(0, discovery_answer(2, [server_row("s0", 80, "Terminating")], full=False))
        )
        async with site(reply_with(None), decisions=script, discovery=discovery):  # type: ignore[arg-type]
            assert endpoint_states(script)["s0"] == "draining"
        await task

    def delayed_open_connection(self: DiscoveryClient, connection_id: int, wait_s: float) -> None:
        self.loop.call_later(2.0 * LIST_WAIT_S, open_connection, self, connection_id, wait_s)

    open_connection = DiscoveryClient.open_connection
    monkeypatch.setattr(DiscoveryClient, "open_connection", delayed_open_connection)
    run_scenario(scenario())
