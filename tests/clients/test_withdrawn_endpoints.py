"""The discovery client of a process that takes over: what it withdraws of its saved list."""

from __future__ import annotations

import asyncio

import pytest

from glenchute.clients.discovery import DiscoveryClient
from glenchute.core.types import EndpointUpdate
from glenchute.policy.endpoints.polling import PollingSettings
from glenchute.policy.events import Endpoint, EndpointList, EndpointListKind, EndpointState
from glenchute.policy.lifecycle.handover import ActiveEndpoints

ADDRESS = "127.0.0.1", 8500
SOURCE = "127.0.0.1:8500"
SAVED = EndpointUpdate(
    41,
    EndpointList(
        EndpointListKind.CACHED,
        (Endpoint("s0", "a"), Endpoint("s1", "a"), Endpoint("s2", "a", state=EndpointState.DRAINING)),
    ),
    {name: ("127.0.0.1", port) for port, name in enumerate(("s0", "s1", "s2"), 1)},
)


def discovery_client(loop: asyncio.AbstractEventLoop, saved: EndpointUpdate | None) -> DiscoveryClient:
    client = DiscoveryClient(loop, ADDRESS, lambda update: None, PollingSettings(1), 1)
    client.start(saved, 0.3)
    return client


@pytest.mark.parametrize(
    ("handed", "withdrawn"),
    [
        (ActiveEndpoints(SOURCE, 43, frozenset({"s1", "new"})), ["s0"]),
        (ActiveEndpoints(SOURCE, 41, frozenset({"s1"})), ["s0"]),
        (ActiveEndpoints(SOURCE, 43, frozenset()), ["s0", "s1"]),
        (ActiveEndpoints(SOURCE, 43, frozenset({"s0", "s1"})), []),
        (ActiveEndpoints(SOURCE, 40, frozenset({"s1"})), []),  # older than the saved list
        (ActiveEndpoints("127.0.0.1:8501", 43, frozenset({"s1"})), []),  # versions of another address
    ],
)
def test_saved_endpoints_that_the_predecessor_could_not_use_are_withdrawn(
    handed: ActiveEndpoints, withdrawn: list[str]
) -> None:
    async def scenario() -> None:
        client = discovery_client(asyncio.get_running_loop(), SAVED)
        update = client.withdraw_inactive(handed)
        endpoints = update.event.endpoints if update is not None else ()
        assert [(endpoint.address, endpoint.state) for endpoint in endpoints] == [
            (name, EndpointState.DRAINING) for name in withdrawn
        ]
        assert client.version == 41  # the next poll asks for all changes since the saved list
        active = client.active_endpoints()
        assert active == ActiveEndpoints(SOURCE, 41, frozenset({"s0", "s1"}) - set(withdrawn))
        client.close()

    asyncio.run(scenario())


def test_nothing_is_withdrawn_without_a_saved_list_or_after_an_answer_of_discovery() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        handed = ActiveEndpoints(SOURCE, 43, frozenset({"s1"}))
        without_list = discovery_client(loop, None)
        assert without_list.withdraw_inactive(handed) is None and without_list.active_endpoints() is None
        answered = discovery_client(loop, SAVED)
        answered.first_answer.set()
        assert answered.withdraw_inactive(handed) is None
        without_list.close()
        answered.close()

    asyncio.run(scenario())
