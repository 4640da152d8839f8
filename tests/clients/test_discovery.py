"""The discovery client over loopback sockets: versions, errors, changes of its address."""

from __future__ import annotations

import socket
from pathlib import Path
from typing import Any

import pytest

from glenchute.policy.endpoints import polling
from glenchute.policy.events import EndpointList, EndpointListKind
from glenchute.protocol.endpoint_list import EndpointListError, decode_list
from tests.loopback import (
    CUSTOMER,
    GET,
    SERVED,
    DiscoveryPeer,
    ScriptedEngine,
    discovery_answer,
    http_response,
    reply_with,
    run_scenario,
    server_row,
    site,
    wait_until,
)

ROOT = Path(__file__).resolve().parents[2]


def test_the_watch_survives_errors_and_continues_from_the_version_in_force() -> None:
    async def scenario() -> None:
        rows = [server_row("a", 80), server_row("b", 81)]
        discovery = DiscoveryPeer(
            http_response(b"oops", "503 Service Unavailable"),
            http_response(b"{not json"),
            http_response(b'{"version":1,"full":true,"servers":[{"id":"a","state":"Ready"}]}'),
            http_response(b"[]"),
            discovery_answer(5, rows),
            discovery_answer(5, [], full=False),
            discovery_answer(9, [server_row("a", 80, "Terminating")], full=False),
            http_response(b"", "500 Internal Server Error"),
            discovery_answer(3, rows[:1]),
            discovery_answer(4, [server_row("c", 82, started_ms=5.0)], full=False),
        )
        script = ScriptedEngine(lambda event: [])
        async with site(decisions=script, discovery=discovery):
            await wait_until(lambda: len(discovery.request_targets) == 11)
            received = [
                (event.kind, [endpoint.address for endpoint in event.endpoints])
                for event in script.events_of(EndpointList)
            ]
            assert received == [
                (EndpointListKind.CACHED, []),
                (EndpointListKind.FULL, ["a", "b"]),
                (EndpointListKind.CHANGES, ["a"]),
                (EndpointListKind.FULL, ["a"]),
                (EndpointListKind.CHANGES, ["c"]),
            ]
            since = [target.partition("since=")[2].partition("&")[0] for target in discovery.request_targets]
            assert since == ["1", "1", "1", "1", "1", "5", "5", "9", "9", "3", "4"]

    run_scenario(scenario())


def test_an_older_version_than_the_one_in_force_requests_the_complete_list() -> None:
    """As after discovery has reset its versions: the changes since the version in force are unknown."""

    async def scenario() -> None:
        rows = [server_row("a", 80), server_row("b", 81)]
        discovery = DiscoveryPeer(
            discovery_answer(9, rows),
            discovery_answer(2, [], full=False),
            discovery_answer(2, rows[:1]),
            discovery_answer(3, [], full=False),
        )
        script = ScriptedEngine(lambda event: [])
        async with site(decisions=script, discovery=discovery):
            await wait_until(lambda: len(discovery.request_targets) == 5)
            since = [target.partition("since=")[2].partition("&")[0] for target in discovery.request_targets]
            assert since == ["1", "9", "", "2", "3"]

    run_scenario(scenario())


def test_an_address_that_refuses_connections_after_a_503_is_polled_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The address changes to one that refuses connections during the delay after a 503."""

    async def scenario() -> None:
        overloaded = DiscoveryPeer(http_response(b"", "503 Service Unavailable"))
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))  # reserves a port on which nothing listens
            async with site(discovery=overloaded) as gateway_site:
                await wait_until(lambda: gateway_site.program.discovery.failed_polls == 1)
                gateway_site.program.discovery.change_address(taken.getsockname())
                await wait_until(lambda: gateway_site.program.discovery.failed_polls > 3)

    monkeypatch.setattr(polling, "RATE_DECREASE_FACTOR", 1e6)  # the delay lasts for seconds
    run_scenario(scenario())


def test_a_start_requests_only_changes_to_the_saved_list() -> None:
    async def scenario() -> None:
        discovery = DiscoveryPeer(discovery_answer(8, [server_row("b", 81)], full=False))
        saved = decode_list({"version": 7, "full": True, "servers": []}, saved=True)
        async with site(discovery=discovery, cached_endpoints=saved) as gateway_site:
            await wait_until(lambda: len(discovery.request_targets) == 2)
            assert "since=7&" in discovery.request_targets[0] and "since=8&" in discovery.request_targets[1]
            # The first poll must not wait for a change, as the start of the process waits for its answer.
            assert discovery.request_targets[0].endswith("timeout_ms=1")
            assert not discovery.request_targets[1].endswith("timeout_ms=1")
            assert gateway_site.program.servers.server_ids() == ["b"]

    run_scenario(scenario())


def test_a_gateway_serves_while_discovery_is_unavailable() -> None:
    async def scenario() -> None:
        discovery = DiscoveryPeer(discovery_answer(1, []))
        discovery.answers.clear()
        async with site(reply_with(SERVED), discovery=discovery) as gateway_site:
            client = await gateway_site.client()
            assert await client.ask(b"CALL.GET", CUSTOMER, b"1", GET) == b"value"

    run_scenario(scenario())


@pytest.mark.parametrize("addr", ["x", "x:", ":5", "h:0", "h:99999", "h:p", None])
def test_lists_with_invalid_addresses_are_rejected(addr: Any) -> None:
    unreadable = {"version": 1, "full": True, "servers": [server_row("a", 1) | {"addr": addr}]}
    with pytest.raises(EndpointListError):
        decode_list(unreadable)


def test_answers_from_a_former_address_are_dropped() -> None:
    async def scenario() -> None:
        old, new = DiscoveryPeer(discovery_answer(9, [server_row("a", 80)])), DiscoveryPeer()
        await new.start()
        script = ScriptedEngine(lambda event: [])
        async with site(decisions=script, discovery=old) as gateway_site:
            await wait_until(lambda: len(old.request_targets) == 2)
            gateway_site.program.discovery.change_address(("127.0.0.1", new.port))
            old.answers.append(discovery_answer(10, [], full=True))
            await wait_until(lambda: new.request_targets)
            # The list in force stays until one is received from the new address.
            assert list(gateway_site.program.servers.pools) == ["a"]
            new.answers.append(discovery_answer(2, [server_row("b", 81)]))
            await wait_until(lambda: list(gateway_site.program.servers.pools) == ["b"])
            assert new.request_targets[0] == "/v1/servers"
        await new.stop()

    run_scenario(scenario())
