"""Long values from servers that take three seconds between the value and the rest of their answer."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common_2"))

import small_site as site  # noqa: E402

VALUE_BYTES = 200 * 1024
CLIENTS = 5
PAUSE_S = 3.0 if site.TROUBLE else 0.0
HELD_BACK_S = 2.0  # the page's limit
FIELDS = b"c=report-read,t=korporativni,d=3000,units=1,spread=1,first=0"


async def case(record: site.Record) -> bool:
    """Returns whether no part of a value was held back."""
    given: dict[bytes, float] = {}  # when the server had written the whole value with its line end

    async def answer(command: list[bytes], writer: asyncio.StreamWriter) -> None:
        writer.write(b"*3\r\n$%d\r\n" % VALUE_BYTES + bytes(VALUE_BYTES) + b"\r\n")
        await writer.drain()
        given[command[2]] = time.monotonic()
        await asyncio.sleep(PAUSE_S)
        writer.write(b"*-1\r\n$18\r\ninflight=1,queue=0\r\n")

    held_back = 0

    async def ask(port: int, number: int) -> None:
        nonlocal held_back
        name = b"read-%d" % number
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(site.encode(b"CALL.GET", b"%016x" % (1000 + number), name, FIELDS))
        head = await reader.readuntil(b"\r\n")
        if not head.startswith(b"$"):
            raise RuntimeError(f"answered {head!r}")
        await reader.readexactly(VALUE_BYTES)
        value_at = time.monotonic()
        end = await reader.readexactly(2)
        waited_s = time.monotonic() - max(value_at, given[name])
        held_back += waited_s >= HELD_BACK_S
        record.note(
            f"{name.decode()}: the client had {VALUE_BYTES} bytes; their end {end!r} came {waited_s:.2f} s"
            " after the server had given it"
        )
        writer.close()

    servers = [site.Server(f"s-{i}", answer) for i in range(3)]
    async with site.Site(servers) as gateway:
        await asyncio.gather(*[ask(gateway.port, number) for number in range(CLIENTS)])
        record.note("log of the gateway:\n" + gateway.log())
    record.note(f"{held_back} of {CLIENTS} values were held back for {HELD_BACK_S:g} s or more")
    return not held_back


if __name__ == "__main__":
    sys.exit(site.main(HERE, case))
