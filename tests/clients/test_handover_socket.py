"""The Unix socket over which a process hands its state to its successor."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from glenchute.clients import handover
from glenchute.policy.events import LimitShare, QuotaSnapshot
from glenchute.policy.lifecycle.handover import HandoverState, encode_handover, encode_shares
from tests.loopback import reply_with, run_scenario, site, wait_until

QUOTA = QuotaSnapshot("c", "rate", 2, 3.0, 0.0, 1.0, 0.5, 2.0, 4.0, 1000.0, 7.0)


def handover_server(loop: asyncio.AbstractEventLoop, raw: bytes, ended: list[str]) -> handover.HandoverServer:
    return handover.HandoverServer(loop, lambda: raw, lambda: ended.append("successor"))


def test_either_side_notices_the_end_of_the_other(tmp_path: Path) -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        ended: list[str] = []
        path = handover.socket_path(str(tmp_path), "g", ("127.0.0.1", 1))
        assert (
            path is not None
            and await handover.request_handover(loop, path, "g", lambda: ended.append("predecessor")) is None
        )
        predecessor = handover_server(loop, encode_handover("g", 0.5, [QUOTA]), ended)
        await predecessor.start(path)
        assert path.stat().st_mode & 0o077 == 0
        for side in ("successor", "predecessor"):
            connection = await handover.request_handover(loop, path, "g", lambda: ended.append("predecessor"))
            assert connection is not None and connection.state == HandoverState(0.5, (QUOTA,))
            # A second successor at the same time is refused.
            assert await handover.request_handover(loop, path, "g", lambda: ended.append("third")) is None
            assert not ended
            if side == "successor":
                connection.close()  # as when the successor ends: the predecessor accepts another
                await wait_until(lambda: ended)
                assert "successor" in ended and "third" not in ended
                ended.clear()
            else:
                predecessor.close()
                await wait_until(lambda: "predecessor" in ended)

    run_scenario(scenario())


@pytest.mark.parametrize("raw", [b"", b"{", b"{}\n", encode_handover("h", 0.5, [])])
def test_an_invalid_or_missing_message_means_a_start_without_handover(
    tmp_path: Path, raw: bytes, monkeypatch: Any
) -> None:
    monkeypatch.setattr(handover, "REQUEST_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        ended: list[str] = []
        path = tmp_path / "s"
        predecessor = handover_server(loop, raw, ended)
        await predecessor.start(path)
        assert await handover.request_handover(loop, path, "g", lambda: ended.append("predecessor")) is None
        predecessor.close()
        await asyncio.sleep(0.02)
        assert "predecessor" not in ended

    run_scenario(scenario())


@pytest.mark.parametrize("tenants", [1, 1000])
@pytest.mark.parametrize("sent_at_once", [False, True])
def test_shares_that_are_sent_right_before_the_end_arrive_before_it(
    tmp_path: Path, tenants: int, sent_at_once: bool
) -> None:
    """Guards against limits that are lost because a process ends with its last message unsent."""
    shares = tuple(LimitShare(f"tenant {number:016}", 19.123456789, 40.5) for number in range(tenants))
    state, last = encode_handover("g", 0.5, [QUOTA]), encode_shares("g", shares)

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        events: list[object] = []
        path = tmp_path / "s"
        predecessor = handover_server(loop, state + last if sent_at_once else state, [])
        await predecessor.start(path)
        connection = await handover.request_handover(
            loop, path, "g", lambda: events.append("ended"), events.append
        )
        assert connection is not None and connection.state == HandoverState(0.5, (QUOTA,))
        if not sent_at_once:
            predecessor.send(b"{}\n")  # not understood, and ignored
            predecessor.send(last)
        predecessor.close()
        await wait_until(lambda: "ended" in events)
        assert events == [shares, "ended"]

    run_scenario(scenario())


def test_a_leftover_socket_is_replaced_and_a_long_path_is_not_used(tmp_path: Path) -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        path = tmp_path / "s"
        path.write_text("left over")
        assert await handover.request_handover(loop, path, "g", lambda: None) is None
        one = handover_server(loop, encode_handover("g", 0.5, []), [])
        await one.start(path)
        assert await handover.request_handover(loop, path, "g", lambda: None) is not None
        one.close()
        assert handover.socket_path("/" + "x" * 200, "g", ("127.0.0.1", 1)) is None
        # A folder that does not exist raises no error: the process serves without a handover.
        await handover_server(loop, b"", []).start(tmp_path / "no" / "folder")

    run_scenario(scenario())


def test_without_process_replacement_no_handover_module_is_imported_and_no_socket_opened(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that imports modules of the handover, or opens its socket, although the
    platform does not replace processes."""
    code = (
        "import importlib.util, sys, glenchute.cli.run\n"
        "names = ('clients.handover', 'cli.handover', 'listeners.operations', 'upstreams.streamed_value')\n"
        "for name in ['glenchute.' + name for name in names]:\n"
        "    assert name not in sys.modules, name\n"
        "for name in ['glenchute.' + name for name in names]:\n"
        "    assert importlib.util.find_spec(name) is not None, name\n"
    )
    subprocess.run([sys.executable, "-c", code], check=True)
    monkeypatch.setenv("TMPDIR", str(tmp_path))

    async def scenario() -> None:
        async with site(reply_with(b"")) as one:
            assert one.program.handover is None and one.program.operations is None
            assert not list(tmp_path.iterdir())

    run_scenario(scenario())
