"""Long values to clients that read at once, beside clients that take seconds to read theirs."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common_2"))

import small_site as site  # noqa: E402

VALUE_BYTES = 2 * 1024 * 1024
SLOW_CLIENTS, QUICK_CLIENTS = 130, 10
PAUSE_S = 4.5  # a slow client reads its first bytes, then nothing for so long, then all the rest
HELD_BACK_S = 2.0  # the page's limit
MEMORY_MB, SOCKETS = 96, 512  # half of 192 MB and 1,024


async def give_long_value(command: list[bytes], writer: asyncio.StreamWriter) -> None:
    """Gives the whole value at once."""
    await asyncio.sleep(0.02)
    writer.write(
        b"*3\r\n$%d\r\n" % VALUE_BYTES + bytes(VALUE_BYTES) + b"\r\n*-1\r\n$18\r\ninflight=1,queue=0\r\n"
    )


class Reader:
    """One client with one request for a long value."""

    def __init__(self, name: str, account: int, pause_s: float) -> None:
        self.name, self.account, self.pause_s = name, account, pause_s
        self.first_s = self.longest_gap_s = 0.0
        self.received, self.end = 0, "no end"

    async def run(self, port: int) -> None:
        """Asks and reads until the value is whole or the connection ends."""
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            site.use_small_segments(sock)
            await loop.sock_connect(sock, ("127.0.0.1", port))
            fields = b"c=report-read,t=korporativni,d=3000,units=1,spread=1,first=0"
            await loop.sock_sendall(
                sock, site.encode(b"CALL.GET", b"%016x" % self.account, self.name.encode(), fields)
            )
            asked = time.monotonic()
            whole = len(b"$%d\r\n" % VALUE_BYTES) + VALUE_BYTES + 2
            while self.received < whole:
                waiting = time.monotonic()
                try:
                    data = await loop.sock_recv(sock, 65536)
                except ConnectionError:
                    data = b""
                now = time.monotonic()
                if not self.received:
                    self.first_s = now - asked
                    if data[:1] == b"-":
                        self.end = f"answered {data[:20]!r}"
                        return
                else:
                    self.longest_gap_s = max(self.longest_gap_s, now - waiting)
                if not data:
                    self.end = f"cut off after {self.received} of {whole} bytes"
                    return
                is_first = not self.received
                self.received += len(data)
                if is_first and self.pause_s:
                    await asyncio.sleep(self.pause_s)
            self.end = "whole"


async def case(record: site.Record) -> bool:
    """Returns whether no quick client's value was cut off or held back."""
    servers = [site.Server(f"s-{i}", give_long_value) for i in range(6)]
    pause_s = PAUSE_S if site.TROUBLE else 0.0
    slow = [Reader(f"slow-{i}", 1000 + i, pause_s) for i in range(SLOW_CLIENTS)]
    quick = [Reader(f"quick-{i}", 5000 + i, 0.0) for i in range(QUICK_CLIENTS)]
    async with site.Site(servers, MEMORY_MB, SOCKETS) as gateway:
        tasks = []
        for reader in slow:
            tasks.append(asyncio.create_task(reader.run(gateway.port)))
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.3)
        record.note(f"{len(slow)} clients have asked; {len(quick)} that read at once ask now")
        for reader in quick:
            tasks.append(asyncio.create_task(reader.run(gateway.port)))
            await asyncio.sleep(0.005)
        await asyncio.wait(tasks, timeout=40.0)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks, timeout=5.0)
        for reader in (*slow, *quick):
            record.note(
                f"{reader.name}: first byte {reader.first_s:.2f} s; longest gap {reader.longest_gap_s:.2f} s;"
                f" {reader.end}"
            )
        record.note("log of the gateway:\n" + gateway.log())
    if sum(reader.received > 0 and not reader.end.startswith("answered") for reader in quick) < QUICK_CLIENTS:
        raise RuntimeError("a quick client's value has not begun")
    broken = [r for r in quick if r.longest_gap_s >= HELD_BACK_S or r.end != "whole"]
    record.note(
        f"{len(broken)} of {len(quick)} values to clients that read at once were held back or cut off"
    )
    return not broken


if __name__ == "__main__":
    sys.exit(site.main(HERE, case))
