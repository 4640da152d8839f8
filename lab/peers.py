"""Scripted peers on loopback sockets: servers, counter, discovery and clients.

They have no behavior beyond their script. They wait for conditions and never for a fixed time.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine, Iterator
from typing import Any

import hiredis
import uvloop

from lab.ports import free_port


def run_scenario(scenario: Coroutine[Any, Any, None]) -> None:
    """Runs a scenario, with a time limit that keeps a broken test from hanging."""
    uvloop.run(asyncio.wait_for(scenario, 60.0))


async def wait_until(condition: Callable[[], object]) -> None:
    """Waits until a condition holds."""
    while not condition():
        await asyncio.sleep(0.002)


class Peer:
    """A TCP server on a free port; subclasses handle each connection in `serve`."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.writers: list[asyncio.StreamWriter] = []
        self.connection_tasks: set[asyncio.Task[Any]] = set()
        self.port = 0

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", port or free_port())
        self.port = self.server.sockets[0].getsockname()[1]

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        task = asyncio.current_task()
        assert task is not None
        self.connection_tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # expected when the other end disconnects or this peer stops
        finally:
            self.connection_tasks.discard(task)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.close()
        for task in list(self.connection_tasks):
            task.cancel()
        if self.connection_tasks:
            await asyncio.wait(self.connection_tasks, timeout=1.0)


async def read_commands(reader: asyncio.StreamReader) -> AsyncIterator[list[bytes]]:
    """Yields the commands that arrive on a connection."""
    parser = hiredis.Reader()
    while data := await reader.read(65536):
        parser.feed(data)
        while (command := parser.gets()) is not False:
            yield command


Reply = Callable[[list[bytes], asyncio.StreamWriter], Awaitable[bytes | None]]


class RespPeer(Peer):
    """Answers each command with the result of `reply`; None leaves it unanswered.

    `log` has the commands and the closed connections in order, as (event, connection number, command).
    """

    def __init__(self, reply: Reply) -> None:
        super().__init__()
        self.reply = reply
        self.log: list[tuple[str, int, list[bytes]]] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = len(self.writers)
        try:
            async for command in read_commands(reader):
                self.log.append(("command", number, command))
                reply = await self.reply(command, writer)
                if reply is not None:
                    writer.write(reply)
        finally:
            self.log.append(("closed", number, []))

    def calls(self) -> list[list[bytes]]:
        """Returns the received commands except PING."""
        return [command for event, _, command in self.log if event == "command" and command != [b"PING"]]


def reply_with(reply: bytes | None) -> Reply:
    """Returns a reply function that answers every command alike."""

    async def answer(command: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        return reply

    return answer


class DiscoveryPeer(Peer):
    """Discovery that gives the next of `answers` to each call; further calls wait until answers are added."""

    def __init__(self, *answers: bytes) -> None:
        super().__init__()
        self.answers = list(answers)
        self.request_targets: list[str] = []  # request targets (paths and queries) of the calls

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            self.request_targets.append(head.split(b" ")[1].decode())
            number = len(self.request_targets) - 1
            await wait_until(lambda: len(self.answers) > number)  # noqa: B023
            writer.write(self.answers[number])


def http_response(body: bytes, status: str = "200 OK") -> bytes:
    return b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status.encode(), len(body), body)


def discovery_answer(version: int, rows: list[dict[str, Any]], full: bool = True) -> bytes:
    """Returns discovery's answer with a complete list, or with changes if not `full`."""
    return http_response(json.dumps({"version": version, "full": full, "servers": rows}).encode())


def server_row(server: str, port: int, state: str = "Ready", started_ms: float = 0.0) -> dict[str, Any]:
    """Returns discovery's row of a server on loopback."""
    return {"id": server, "addr": f"127.0.0.1:{port}", "zone": "a", "kind": "m", "cell": 0, "state": state,
            "weight": 1.0, "started_ms": started_ms}  # fmt: skip


class Client:
    """A client connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.parser = hiredis.Reader()

    @classmethod
    async def connect(cls, port: int) -> Client:
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def send(self, *command: bytes) -> None:
        self.writer.write(hiredis.pack_command(command))  # type: ignore[arg-type]

    async def reply(self) -> Any:
        """Returns the next reply; None at the end of the connection."""
        while (reply := self.parser.gets()) is False:
            data = await self.reader.read(65536)
            if not data:
                return None
            self.parser.feed(data)
        return reply

    async def ask(self, *command: bytes) -> Any:
        """Sends a command and returns the next reply; None at the end of the connection."""
        self.send(*command)
        return await self.reply()

    async def ended(self) -> bool:
        """Returns whether the gateway closed the connection without sending more."""
        try:
            return not await self.reader.read(1)
        except ConnectionError:
            return True


def generate_request_ids() -> Iterator[bytes]:
    """Yields unique request ids."""
    serial = 0
    while True:
        serial += 1
        yield b"%016x" % serial
