"""Records the bytes of messages: ``python -m tests.messages``, to be run at commit a44429f only.

Existing files are never replaced: later versions of the program have to write and read the same bytes.
"""

from __future__ import annotations

import asyncio

from . import control, counter, datagrams, handover, simulator
from .files import HERE, as_hex, as_text


def main() -> None:
    """Writes the files; fails if one of them exists."""
    requests, replies = control.session()
    lines, answers = simulator.session()
    files = {
        "handover.txt": as_text(handover.messages()),
        "handover_sockets.txt": as_text(handover.socket_names()),
        "handover_frames.hex": as_hex(
            [("from the process before", asyncio.run(handover.from_predecessor()))]
        ),
        "datagrams.hex": as_hex(datagrams.datagrams()),
        "counter_calls.txt": as_text(counter.counter_call_rows()),
        "counter_commands.hex": as_hex(counter.commands()),
        "counter_connections.txt": "".join(f"{index}\n" for index in counter.connections_used()),
        "counter_replies.hex": as_hex(counter.REPLIES),
        "counter_outcomes.txt": as_text(counter.outcomes(counter.REPLIES)),
        "control_requests.txt": as_text(requests),
        "control_replies.txt": as_text(replies),
        "simulator_in.txt": "".join(f"{line}\n" for line in lines),
        "simulator_out.txt": "".join(f"{line}\n" for line in answers),
    }
    for name, content in files.items():
        with (HERE / name).open("x") as file:
            file.write(content)
        print(name, len(content))


if __name__ == "__main__":
    main()
