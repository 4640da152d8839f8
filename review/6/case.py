"""Charges behind a long value on one connection; the server of the value resets in the middle of it."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common_2"))

import small_site as site  # noqa: E402

VALUE_BYTES = 2 * 1024 * 1024
GIVEN_BYTES = 512 * 1024  # what the server gives before it resets
CLIENTS, CHARGES = 5, 3
READ_FIELDS = b"c=report-read,t=korporativni,d=3000,units=1,spread=1,first=0"
CHARGE_FIELDS = b"c=check-charge,t=korporativni,d=6000,units=1,spread=1,first=0"


class Client:
    """A client that sends a read and three charges at once, and reads all that comes."""

    def __init__(self, number: int) -> None:
        self.number, self.received, self.end = number, bytearray(), "still open"
        self.charges = [b"charge-%d-%d" % (number, i) for i in range(CHARGES)]

    async def run(self, port: int) -> None:
        """Sends the commands and reads to the end of the last answer or of the connection."""
        account = b"%016x" % (1000 + self.number)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        commands = [site.encode(b"CALL.GET", account, b"read-%d" % self.number, READ_FIELDS)]
        commands += [site.encode(b"CALL.POST", account, name, CHARGE_FIELDS, b"one") for name in self.charges]
        writer.write(b"".join(commands))
        try:
            async with asyncio.timeout(8.0):
                while self.received.count(b"charged ") < CHARGES:
                    data = await reader.read(65536)
                    if not data:
                        self.end = "the gateway has ended the connection"
                        break
                    self.received += data
                else:
                    self.end = "all answered"
        except ConnectionError:
            self.end = "reset"
        except TimeoutError:
            pass
        writer.close()


async def case(record: site.Record) -> bool:
    """Returns whether each charge that ran was answered."""
    served: dict[bytes, float] = {}

    async def answer(command: list[bytes], writer: asyncio.StreamWriter) -> None:
        name = command[2]
        if name.startswith(b"charge"):
            await asyncio.sleep(0.05)
            value = b"charged " + name
            writer.write(b"*3\r\n$%d\r\n%b\r\n*-1\r\n$18\r\ninflight=1,queue=0\r\n" % (len(value), value))
            served[name] = time.monotonic()
            return
        writer.write(b"*3\r\n$%d\r\n" % VALUE_BYTES + bytes(GIVEN_BYTES))
        await asyncio.sleep(1.0)
        if site.TROUBLE:
            writer.transport.abort()
        else:
            writer.write(bytes(VALUE_BYTES - GIVEN_BYTES) + b"\r\n*-1\r\n$18\r\ninflight=1,queue=0\r\n")

    clients = [Client(number) for number in range(CLIENTS)]
    async with site.Site([site.Server(f"s-{i}", answer) for i in range(6)]) as gateway:
        await asyncio.gather(*[client.run(gateway.port) for client in clients])
        record.note("log of the gateway:\n" + gateway.log())
    lost = 0
    for client in clients:
        record.note(f"client {client.number}: {len(client.received)} bytes received; {client.end}")
        for name in client.charges:
            is_answered = b"charged " + name in client.received
            lost += name in served and not is_answered
            record.note(
                f"{name.decode()}: {'served' if name in served else 'not served'} by a server,"
                f" {'answered' if is_answered else 'NOT ANSWERED'}"
            )
    record.note(f"{lost} of {CLIENTS * CHARGES} charges were served by a server and never answered")
    if not served:
        raise RuntimeError("no charge was run")
    return not lost


if __name__ == "__main__":
    sys.exit(site.main(HERE, case))
