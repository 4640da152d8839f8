"""A process that takes over from another on the same listening socket: real processes, under load."""

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
from lab.nodes import Node, Trade
from lab.site import GatewayProcess, LabSite, free_port
from tests.loopback import CUSTOMER, Client, config, numbered, play, raw_config

FIELDS = b"c=report-read,t=korporativni,d=2000"


class Replaced:
    """A site whose platform holds the clients' socket, and the processes started on it."""

    def __init__(self, lab: LabSite, folder: Path) -> None:
        self.lab, self.folder = lab, folder
        self.door = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.port = int(self.door.getsockname()[1])
        self.started: list[GatewayProcess] = []
        self.ids = numbered()
        self.asked = self.answered = self.crossed = self.refused = 0

    async def start(self) -> GatewayProcess:
        """One more process beside those that run; waits for its yes."""
        folder = self.folder / str(len(self.started))
        folder.mkdir()
        platform = self.lab.platform()
        second = free_port()
        platform.update(listen=f"127.0.0.1:{self.port}", operator=f"127.0.0.1:{second}")
        one = GatewayProcess(folder, platform)
        one.passed, one.shared = self.door, self.folder
        one.start()
        self.started.append(one)
        async with asyncio.timeout(15.0):
            while not await says_yes(second):
                await asyncio.sleep(0.01)
        return one

    async def client(self, until_: asyncio.Event) -> None:
        """Asks without a pause, keeps its connection, and opens another where that was closed: a request that
        met a closed connection is sent once more, as PROTOCOL's clients do."""
        client = await Client.connect(self.port)
        while not until_.is_set():
            self.asked += 1
            answer = await self.ask(client)
            if answer is None:
                self.crossed += 1
                client.writer.close()
                client = await Client.connect(self.port)
                answer = await self.ask(client)
            assert answer is not None, "lost"
            if isinstance(answer, bytes):
                self.answered += 1
            else:
                assert str(answer).startswith("BUSY"), answer
                self.refused += 1
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


async def says_yes(port: int) -> bool:
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except ConnectionError:
        return False
    writer.write(b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n")
    answer = await reader.read()
    writer.close()
    return answer.startswith(b"HTTP/1.1 200")


@asynccontextmanager
async def replaced(folder: Path) -> AsyncIterator[Replaced]:
    async with LabSite([Node(f"s{i}", Trade({"report-read": 8.0})) for i in range(2)]) as lab:
        one = Replaced(lab, folder)
        try:
            yield one
        finally:
            for process in one.started:
                process.signal(signal.SIGKILL)
            one.door.close()


def test_two_replacements_in_a_row_under_load(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with replaced(tmp_path) as one:
            old = await one.start()
            over = asyncio.Event()
            clients = [asyncio.create_task(one.client(over)) for _ in range(8)]
            for _ in range(2):
                new = await one.start()
                before = one.asked
                assert await old.stop() == 0
                assert one.asked > before
                old = new
            over.set()
            await asyncio.gather(*clients)
            assert one.asked == one.answered + one.refused and one.answered > 0
            # How many requests cross a close hangs on the machine's load, so no number is asserted: each of
            # them was answered on its second connection, or `client` would have called it lost.
            assert await old.stop() == 0
            for process in one.started:
                assert "Traceback" not in process.log.read_text()

    play(scenario())


@pytest.mark.parametrize("after_yes", [False, True])
def test_a_new_process_that_dies_leaves_the_old_one_serving(tmp_path: Path, after_yes: bool) -> None:
    async def scenario() -> None:
        async with replaced(tmp_path) as one:
            old = await one.start()
            over = asyncio.Event()
            if after_yes:
                new = await one.start()
                new.signal(signal.SIGKILL)  # nothing was asked yet: nothing it had accepted is lost
                assert new.process is not None
                new.process.wait()
            else:
                platform = one.lab.platform()
                platform.update(listen=f"127.0.0.1:{one.port}", operator=f"127.0.0.1:{free_port()}")
                folder = tmp_path / "dies"
                folder.mkdir()
                new = GatewayProcess(folder, platform)
                new.passed, new.shared = one.door, tmp_path
                new.start()
                new.signal(signal.SIGKILL)
            clients = [asyncio.create_task(one.client(over)) for _ in range(4)]
            while one.answered < 50:
                await asyncio.sleep(0.01)
            over.set()
            await asyncio.gather(*clients)
            assert one.crossed == 0
            assert await old.stop() == 0

    play(scenario())


def test_only_a_listening_socket_at_the_address_is_taken() -> None:
    with (
        socket.create_server(("127.0.0.1", 0)) as door,
        socket.socket() as deaf,
        socket.socket(type=socket.SOCK_DGRAM) as other,
        open(os.devnull) as file,
    ):
        deaf.bind(("127.0.0.1", 0))
        good = replace(config(1, 1, []), passed_descriptor=door.fileno(), listen=door.getsockname())
        found = passed_socket(good)
        assert found is not None and found.detach() == door.fileno()
        assert passed_socket(replace(good, passed_descriptor=None)) is None
        for wrong, why in (
            (replace(good, passed_descriptor=deaf.fileno(), listen=deaf.getsockname()), "does not listen"),
            (replace(good, passed_descriptor=other.fileno()), "no TCP socket"),
            (replace(good, passed_descriptor=file.fileno()), "no socket"),
            (replace(good, passed_descriptor=99_999), "no socket"),
            (replace(good, listen=("127.0.0.1", 1)), "not at `listen`"),
        ):
            with pytest.raises(ConfigError, match=why):
                passed_socket(wrong)
        assert door.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)  # and it was not closed
    for text in ("-1", "x", "4 ", "٤"):
        with pytest.raises(ValueError):
            build(raw_config(1, 1, []), {"EDGE_PASSED_SOCKET": text})
    assert build(raw_config(1, 1, []), {}).passed_descriptor is None
    assert build(raw_config(1, 1, []), {"EDGE_PASSED_SOCKET": "4"}).passed_descriptor == 4


def test_a_wrong_descriptor_ends_the_start_with_one_line(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as door:
        one = GatewayProcess(tmp_path, raw_config(1, 1, [], listen=1))
        one.passed = door
        one.start()
        assert one.process is not None and one.process.wait(15) == 2
        lines = one.log.read_text().splitlines()
        assert len(lines) == 1 and "not at `listen`" in lines[0]
