"""A client has sent many commands at once, half of the servers hang, and the gateway is told to end: does
each request that it has taken get an answer?

With TROUBLE=0 no SIGTERM is sent; the servers hang all the same.
"""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path
from typing import Any

from standins import (
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    Client,
    Record,
    Server,
    ServerConnection,
    Site,
    request,
    run_case,
)

TROUBLE = os.environ.get("TROUBLE") != "0"
COMMANDS = 100  # of one connection, each of another customer
PATIENCE_MS = 6000  # of `check-charge`
SERVICE_S = 0.2  # 140 to 250 ms of work
SERVERS, HANGING = 4, 2  # "a quarter to a half of the servers hang just then"
SIGNAL_AFTER_S = 0.3
KILL_AFTER_S = 3.7  # the longest deadline (3 s at most) and 0.7 s
SLACK_S = 0.5  # past its time, in which an answer still counts


class HangingServer(Server):
    """A server that takes work and answers none while it hangs."""

    hangs = False

    async def answer(
        self, conn: ServerConnection, words: list[bytes], before: asyncio.Task[None] | None
    ) -> None:
        """Serves one request, or never."""
        if self.hangs:
            await asyncio.Event().wait()
        await super().answer(conn, words, before)


async def case(record: Record) -> int:
    """Returns the exit status."""
    servers = [HangingServer(f"h{number}", record, SERVICE_S) for number in range(SERVERS)]
    async with Site(servers) as site:
        gateway = site.gateway()
        gateway.start()
        await gateway.ready()
        client = await Client.connect(gateway.port)
        answers: list[Any] = []

        def on_reply(reply: Any) -> None:
            record.add(f"answer r{len(answers)}: {reply!r}")
            answers.append(reply)

        client.on_reply = on_reply
        for server in servers[:HANGING]:
            server.hangs = True
        names = [f"r{number}" for number in range(COMMANDS)]
        commands = [
            request(1000 + number, name, "check-charge", PATIENCE_MS) for number, name in enumerate(names)
        ]
        client.write(b"".join(commands))
        record.add(f"sent {COMMANDS} commands at once on one connection, r0 to r{COMMANDS - 1}")
        await asyncio.sleep(SIGNAL_AFTER_S)
        told_at = record.now()
        if TROUBLE:
            record.add("SIGTERM")
            gateway.signal(signal.SIGTERM)
            while gateway.status() is None and record.now() < told_at + KILL_AFTER_S:
                await asyncio.sleep(0.01)
            record.add(f"exit status {gateway.status()}, {record.now() - told_at:.2f} s after SIGTERM")
            gateway.signal(signal.SIGKILL)
            await asyncio.sleep(0.5)  # to read what was written, until the end of the connection
        else:
            # Replies come in order, and the time for which one waits for those before it does not count.
            last = told_at + 2.0 * PATIENCE_MS / 1000.0 + SLACK_S
            while len(answers) < COMMANDS and record.now() < last and not client.is_closed:
                await asyncio.sleep(0.01)
        run = {request_id for server in servers for _, request_id, _ in server.runs}
        lost = names[len(answers) :]
        forwarded = [name for name in lost if name.encode() in run]
        for name in lost:
            record.add(f"BROKEN: {name} was taken and never answered; forwarded: {name in forwarded}")
        record.add(f"taken {COMMANDS}, answered {len(answers)}, lost {len(lost)}, of these "
                   f"forwarded to a server {len(forwarded)}")  # fmt: skip
        if not answers:
            return COULD_NOT_RUN
        # A request that was never forwarded may not have been read: its client may send it again elsewhere.
        return BROKEN if forwarded else HELD


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
