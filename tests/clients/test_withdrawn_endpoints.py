"""The discovery client of a process that takes over: what it withdraws of its saved list."""

from __future__ import annotations

import asyncio
import random

import pytest

from glenchute.clients.discovery import DiscoveryClient, UnconfirmedListError
from glenchute.clients.membership.endpoint_sync import EndpointSync
from glenchute.core.types import EndpointUpdate
from glenchute.policy.endpoints.list_confirmation import ListConfirmation
from glenchute.policy.endpoints.polling import PollingSettings
from glenchute.policy.events import Endpoint, EndpointList, EndpointListKind, EndpointState
from glenchute.policy.lifecycle.handover import ActiveEndpoints
from glenchute.policy.membership.endpoint_sharing import SharedEndpoint, SharedEndpointList
from glenchute.protocol.endpoint_list import decode_list
from lab.peers import server_row

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


def shared_endpoint(name: str, state: int) -> SharedEndpoint:
    return SharedEndpoint(50, name, "127.0.0.1:80", "a", 0, 1.0, 0.0, state)


def discovery_client(
    loop: asyncio.AbstractEventLoop,
    saved: EndpointUpdate | None,
    confirmation: ListConfirmation | None = None,
) -> DiscoveryClient:
    client = DiscoveryClient(loop, ADDRESS, lambda update: None, PollingSettings(1), 1, confirmation)
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


def test_lists_that_members_share_are_handed_over() -> None:
    """Guards against a process that withdraws the servers in use from its saved list, as its predecessor had
    them from other members and handed over the list that it had started with."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        predecessor = discovery_client(loop, SAVED)
        shared_list = SharedEndpointList("g0", 0.0, random.Random(1))
        sync = EndpointSync(shared_list, lambda: 0.0, lambda row: None, lambda to, message: None, list)
        sync.attach_discovery(SAVED, predecessor)
        applied: list[EndpointUpdate] = []
        sync.apply_update = applied.append
        shared_list.version = 50
        sync.handle_shared([], [shared_endpoint("s5", 0), shared_endpoint("s0", 2), shared_endpoint("s1", 1)])
        assert len(applied) == 1
        handed = predecessor.active_endpoints()
        assert handed == ActiveEndpoints(SOURCE, 50, frozenset({"s5"}))
        saved = EndpointList(EndpointListKind.CACHED, (Endpoint("s5", "a"), Endpoint("s0", "a")))
        successor = discovery_client(loop, EndpointUpdate(49, saved, {"s5": ADDRESS, "s0": ADDRESS}))
        update = successor.withdraw_inactive(handed)
        assert update is not None and [endpoint.address for endpoint in update.event.endpoints] == ["s0"]
        predecessor.close()
        successor.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("by_members", [True, False])
def test_endpoints_that_nobody_has_confirmed_as_withdrawn_are_handed_over_as_such(by_members: bool) -> None:
    """Guards against requests to a server that an unconfirmed list or members withdraw, by a process that
    starts then, and against a server that stays withdrawn though that was wrong."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        confirmation = ListConfirmation()
        confirmation.apply(SAVED.version, SAVED.event)
        predecessor = discovery_client(loop, SAVED, confirmation)
        if by_members:
            sync = EndpointSync(None, lambda: 0.0, lambda row: None, lambda to, message: None, list)
            sync.attach_discovery(SAVED, predecessor)
            assert sync.drains.receive(0.0, "s1", 42, 1.0, 0.0, "g1")
        else:
            older = {"version": 3, "full": True, "servers": [server_row("s1", 81, "Terminating")]}
            with pytest.raises(UnconfirmedListError):
                predecessor._validate(200, lambda: decode_list(older))
            assert predecessor.version is None  # the complete list is asked for again, to confirm it
        handed = predecessor.active_endpoints()
        assert handed == ActiveEndpoints(SOURCE, 41, frozenset({"s0"}), is_settled=False)
        successor = discovery_client(loop, SAVED)
        update = successor.withdraw_inactive(handed)
        assert update is not None and [endpoint.address for endpoint in update.event.endpoints] == ["s1"]
        assert successor.version is None  # the next poll asks for the complete list
        assert successor.active_endpoints() == handed  # for a process that replaces this one by then
        predecessor.close()
        successor.close()

    asyncio.run(scenario())


def test_endpoints_of_another_address_are_not_handed_over_before_its_first_answer() -> None:
    async def scenario() -> None:
        client = discovery_client(asyncio.get_running_loop(), SAVED)
        client.change_address(("127.0.0.1", 8501))
        assert client.active_endpoints() is None
        client.close()

    asyncio.run(scenario())


def test_a_list_of_discovery_that_agrees_with_the_members_needs_no_confirmation() -> None:
    """Guards against a list that is taken for unusual because it differs from one that is no longer in
    force."""

    async def scenario() -> None:
        confirmation = ListConfirmation()
        confirmation.apply(SAVED.version, SAVED.event)
        client = discovery_client(asyncio.get_running_loop(), SAVED, confirmation)
        names = ("s5", "s6", "s7")
        shared = [Endpoint(name, "a") for name in names]
        removed = [Endpoint(name, "a", state=EndpointState.REMOVED) for name in ("s0", "s1", "s2")]
        changes = EndpointList(EndpointListKind.CHANGES, (*shared, *removed))
        client.adopt(EndpointUpdate(50, changes, dict.fromkeys(names, ADDRESS)))
        assert confirmation.accepts(51, EndpointList(EndpointListKind.FULL, tuple(shared)), serving=True)
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
