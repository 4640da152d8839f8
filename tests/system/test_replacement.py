"""Replacement of a gateway process by a successor on the same listening socket: real processes under load."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path

import pytest

from glenchute.config.platform import ConfigError, build, passed_socket
from lab.nodes import Node, ServiceProfile
from lab.peers import server_row, wait_until
from lab.site import GatewayProcess, LabSite, free_port
from tests.loopback import CUSTOMER, Client, config, generate_request_ids, raw_config, run_scenario

FIELDS = b"c=report-read,t=korporativni,d=2000"


class ReplacementSite:
    """A site whose platform holds the clients' listening socket, and the gateway processes started on it."""

    def __init__(self, lab: LabSite, folder: Path) -> None:
        self.lab, self.folder = lab, folder
        self.listening_socket = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.port = int(self.listening_socket.getsockname()[1])
        self.processes: list[GatewayProcess] = []
        self.ids = generate_request_ids()
        self.sent = self.answered = self.repeated = self.rejected = 0

    async def start(self) -> GatewayProcess:
        """Starts another gateway process beside those running and waits until it is ready."""
        folder = self.folder / str(len(self.processes))
        folder.mkdir()
        platform = self.lab.platform()
        operations_port = free_port()
        platform.update(listen=f"127.0.0.1:{self.port}", operator=f"127.0.0.1:{operations_port}")
        gateway = GatewayProcess(folder, platform)
        gateway.passed_socket, gateway.temp_folder = self.listening_socket, self.folder
        gateway.start()
        self.processes.append(gateway)
        async with asyncio.timeout(15.0):
            while not await is_ready(operations_port):
                await asyncio.sleep(0.01)
        return gateway

    async def client(self, stopped: asyncio.Event) -> None:
        """Sends requests one after the other on one connection until `stopped` is set. A request on a closed
        connection is sent once more on a new one, as the protocol tells clients to do."""
        client = await Client.connect(self.port)
        while not stopped.is_set():
            self.sent += 1
            answer = await self.ask(client)
            if answer is None:
                self.repeated += 1
                client.writer.close()
                client = await Client.connect(self.port)
                answer = await self.ask(client)
            assert answer is not None, "the repeated request was lost too"
            if isinstance(answer, bytes):
                self.answered += 1
            else:
                assert str(answer).startswith("BUSY"), answer
                self.rejected += 1
            await asyncio.sleep(0.002)
            if client.reader.at_eof():
                client.writer.close()
                client = await Client.connect(self.port)
        client.writer.close()

    async def ask(self, client: Client) -> object:
        try:
            return await client.ask(b"CALL.GET", CUSTOMER, next(self.ids), FIELDS)
        except ConnectionError:
            return None


async def is_ready(port: int) -> bool:
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except ConnectionError:
        return False
    writer.write(b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n")
    answer = await reader.read()
    writer.close()
    return answer.startswith(b"HTTP/1.1 200")


@asynccontextmanager
async def replacement_site(folder: Path) -> AsyncIterator[ReplacementSite]:
    async with LabSite([Node(f"s{i}", ServiceProfile({"report-read": 8.0})) for i in range(2)]) as lab:
        gateway_site = ReplacementSite(lab, folder)
        try:
            yield gateway_site
        finally:
            for process in gateway_site.processes:
                process.send_signal(signal.SIGKILL)
            gateway_site.listening_socket.close()


def test_two_replacements_in_a_row_under_load(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with replacement_site(tmp_path) as gateway_site:
            old = await gateway_site.start()
            stopped = asyncio.Event()
            clients = [asyncio.create_task(gateway_site.client(stopped)) for _ in range(8)]
            for _ in range(2):
                new = await gateway_site.start()
                before = gateway_site.sent
                assert await old.stop() == 0
                assert gateway_site.sent > before
                old = new
            stopped.set()
            await asyncio.gather(*clients)
            assert (
                gateway_site.sent == gateway_site.answered + gateway_site.rejected
                and gateway_site.answered > 0
            )
            # How many requests were sent on a closed connection depends on the machine's load, so their
            # number is not checked. Each was answered on its second connection, or `client` would have
            # failed.
            assert await old.stop() == 0
            for process in gateway_site.processes:
                assert "Traceback" not in process.log_file.read_text()

    run_scenario(scenario())


@pytest.mark.parametrize("state", ["Terminating", "Gone"])
def test_a_successor_sends_nothing_to_servers_whose_drain_its_predecessor_was_told_of(
    tmp_path: Path, state: str
) -> None:
    """Guards against attempts at a draining server by a process that starts with an old saved list while
    discovery is down."""

    async def scenario() -> None:
        async with replacement_site(tmp_path) as gateway_site:
            discovery, (kept, drained) = gateway_site.lab.discovery, gateway_site.lab.nodes
            old = await gateway_site.start()
            version = discovery.update_rows([server_row(drained.name, drained.port, state)])
            await wait_until(lambda: version in discovery.first_answer_at)
            client = await Client.connect(gateway_site.port)
            assert await gateway_site.ask(client) == b"report of 0000000000000001"
            client.writer.close()
            await discovery.stop()
            received = drained.received_count
            await gateway_site.start()
            assert await old.stop() == 0
            client = await Client.connect(gateway_site.port)
            for _ in range(40):
                assert isinstance(await gateway_site.ask(client), bytes)
            client.writer.close()
            assert drained.received_count == received and kept.received_count >= 40

    run_scenario(scenario())


@pytest.mark.parametrize("after_ready", [False, True])
def test_a_successor_that_dies_leaves_the_predecessor_serving(tmp_path: Path, after_ready: bool) -> None:
    async def scenario() -> None:
        async with replacement_site(tmp_path) as gateway_site:
            old = await gateway_site.start()
            stopped = asyncio.Event()
            if after_ready:
                new = await gateway_site.start()
                new.send_signal(signal.SIGKILL)  # no request has been sent, so none can be lost
                assert new.process is not None
                new.process.wait()
            else:
                platform = gateway_site.lab.platform()
                platform.update(listen=f"127.0.0.1:{gateway_site.port}", operator=f"127.0.0.1:{free_port()}")
                folder = tmp_path / "dies"
                folder.mkdir()
                new = GatewayProcess(folder, platform)
                new.passed_socket, new.temp_folder = gateway_site.listening_socket, tmp_path
                new.start()
                new.send_signal(signal.SIGKILL)
            clients = [asyncio.create_task(gateway_site.client(stopped)) for _ in range(4)]
            while gateway_site.answered < 50:
                await asyncio.sleep(0.01)
            stopped.set()
            await asyncio.gather(*clients)
            assert gateway_site.repeated == 0
            assert await old.stop() == 0

    run_scenario(scenario())


def test_only_a_listening_socket_at_the_address_is_accepted() -> None:
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        socket.socket() as not_listening,
        socket.socket(type=socket.SOCK_DGRAM) as datagram,
        open(os.devnull) as file,
    ):
        not_listening.bind(("127.0.0.1", 0))
        valid = replace(config(1, 1, []), passed_descriptor=listener.fileno(), listen=listener.getsockname())
        accepted_socket = passed_socket(valid)
        assert accepted_socket is not None and accepted_socket.detach() == listener.fileno()
        assert passed_socket(replace(valid, passed_descriptor=None)) is None
        for invalid, reason in (
            (
                replace(valid, passed_descriptor=not_listening.fileno(), listen=not_listening.getsockname()),
                "does not listen",
            ),
            (replace(valid, passed_descriptor=datagram.fileno()), "no TCP socket"),
            (replace(valid, passed_descriptor=file.fileno()), "no socket"),
            (replace(valid, passed_descriptor=99_999), "no socket"),
            (replace(valid, listen=("127.0.0.1", 1)), "not at `listen`"),
        ):
            with pytest.raises(ConfigError, match=reason):
                passed_socket(invalid)
        # The listening socket was not closed.
        assert listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    for text in ("-1", "x", "4 ", "٤"):
        with pytest.raises(ValueError):
            build(raw_config(1, 1, []), {"EDGE_PASSED_SOCKET": text})
    assert build(raw_config(1, 1, []), {}).passed_descriptor is None
    assert build(raw_config(1, 1, []), {"EDGE_PASSED_SOCKET": "4"}).passed_descriptor == 4


def test_an_invalid_descriptor_ends_the_start_with_one_log_line(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        gateway = GatewayProcess(tmp_path, raw_config(1, 1, [], listen=1))
        gateway.passed_socket = listener
        gateway.start()
        assert gateway.process is not None and gateway.process.wait(15) == 2
        lines = gateway.log_file.read_text().splitlines()
        assert len(lines) == 1 and "not at `listen`" in lines[0]
