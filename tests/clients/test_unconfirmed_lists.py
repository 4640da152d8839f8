"""Unconfirmed endpoint lists in a gateway process: their drains take effect before the confirming answer."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from typing import Any, NamedTuple

import pytest

from glenchute.cli.program import GatewayProgram
from glenchute.core.types import EndpointUpdate
from glenchute.policy.endpoints import notification
from glenchute.policy.endpoints.polling import PollScheduler
from glenchute.policy.events import EndpointList
from tests.loopback import (
    ScriptedEngine,
    config,
    http_response,
    reply_with,
    run_scenario,
    server_row,
    site,
    wait_until,
)

from .manual_discovery import ManualDiscovery, endpoint_states

FOUR = [server_row(name, 80 + at) for at, name in enumerate("abcd")]
OPERATOR = "[discovery]\ncalls_per_s = 15\nlist_age_s = 30\ndoubt = true\n"


def complete_list(version: int, *rows: dict[str, Any]) -> bytes:
    return http_response(json.dumps({"version": version, "full": True, "servers": rows}).encode())


def drain_row(name: str, state: str = "Terminating") -> dict[str, Any]:
    return server_row(name, 80 + "abcd".index(name), state)


class ConfirmationCase(NamedTuple):
    """An unconfirmed list, the answer to the confirming poll, and the states in force after each of them.

    States are those of a, b, c and d: A active, D draining, - removed.
    """

    first: bytes
    before: str
    second: bytes
    after: str


CONFIRMATION_CASES: dict[str, ConfirmationCase] = {
    "older, with a drain": ConfirmationCase(
        complete_list(4, drain_row("a"), *FOUR[1:]),
        "DAAA",
        complete_list(4, drain_row("a"), *FOUR[1:]),
        "DAAA",
    ),
    "few, with a drain, true": ConfirmationCase(
        complete_list(6, drain_row("a")), "DAAA", complete_list(7, drain_row("a")), "D---"
    ),
    "few, with one removed, false": ConfirmationCase(
        complete_list(6, drain_row("a", "Gone")), "DAAA", complete_list(7, *FOUR), "AAAA"
    ),
    "all drain, true": ConfirmationCase(
        complete_list(4, *map(drain_row, "abcd")), "AAAA", complete_list(4, *map(drain_row, "abcd")), "DDDD"
    ),
    "few, no drain, true": ConfirmationCase(
        complete_list(6, FOUR[0]), "AAAA", complete_list(6, FOUR[0]), "A---"
    ),
    "no address in the drain's row": ConfirmationCase(
        complete_list(4, *FOUR[1:], {"id": "a", "state": "Terminating"}),
        "DAAA",
        complete_list(4, *FOUR[1:], {"state": "?"}),
        "DAAA",
    ),
}


@pytest.mark.parametrize("name", CONFIRMATION_CASES)
def test_a_drain_in_an_unconfirmed_list_holds_before_its_confirmation(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a drain that waits for the confirming answer: the test sends that answer only after the
    drain is in force. The confirming poll must be sent at once, as any delay is 1000 s here. Other members
    must not be sent unconfirmed lists."""
    monkeypatch.setattr(PollScheduler, "first_poll_delay_s", lambda self, listed: 0.0)
    monkeypatch.setattr(PollScheduler, "synchronized_delay_s", lambda self: 0.0)
    monkeypatch.setattr(PollScheduler, "record_failure", lambda self: 1000.0)
    monkeypatch.setattr(notification, "NOTIFIED_AFTER_S", 1000.0)
    case, versions_for_members, listed = (
        CONFIRMATION_CASES[name],
        list[int](),
        GatewayProgram.update_endpoints,
    )

    def recorded(self: GatewayProgram, update: EndpointUpdate) -> None:
        """Records the versions of the lists that are shared with other members."""
        versions_for_members.append(update.version)
        listed(self, update)

    monkeypatch.setattr(GatewayProgram, "update_endpoints", recorded)

    async def scenario() -> None:
        manual, script = ManualDiscovery(), ScriptedEngine(lambda event: [])
        task = asyncio.create_task(manual.answer(0, complete_list(5, *FOUR)))
        platform_settings = replace(config(1, 1, []).settings, gateway_count=200)
        changes: dict[str, Any] = {
            "settings": platform_settings,
            "gateway_number": 150,
            "operator": OPERATOR,
            "cached_endpoints": None,
        }
        async with site(reply_with(None), decisions=script, discovery=manual, **changes) as gateway_site:  # type: ignore[arg-type]
            await task
            discovery, servers = gateway_site.program.discovery, gateway_site.program.servers

            def summary() -> str:
                reported = endpoint_states(script)
                for name in "abcd":  # the pools and the decision engine must agree
                    assert servers.is_stopping(name) is (
                        name not in servers.server_ids() or reported[name] != "active"
                    )
                return "".join(
                    "-" if n not in servers.server_ids() else reported[n][0].upper() for n in "abcd"
                )

            await wait_until(lambda: discovery.version == 5)
            await manual.answer(1, case.first)
            await manual.poll(2)
            assert (
                manual.polls[2][0] == "/v1/servers"
                and summary() == case.before
                and versions_for_members == [5]
            )
            await manual.answer(2, case.second)
            await wait_until(lambda: discovery.version is not None)
            assert summary() == case.after and versions_for_members == [5, discovery.version]
            assert len(script.events_of(EndpointList)) <= 5

    run_scenario(scenario())
