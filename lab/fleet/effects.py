"""A service that leased tasks call.

It records every act with its fencing token, start and end. Without fencing it refuses nothing, so that two
concurrent holders show up in the records.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

from lab.fleet.holders import Act
from lab.peers import Peer


class EffectService(Peer):
    """Serves acts, one line of JSON each, and replies "ok" at the end of an act."""

    def __init__(self, act_s: float = 0.05, fencing: bool = False) -> None:
        super().__init__()
        self.act_s, self.fencing = act_s, fencing
        self.acts: list[Act] = []
        self.refused: list[int] = []  # tokens of the refused acts
        self.highest: dict[str, int] = {}
        self.on_act: Callable[[str], None] = lambda holder: None  # called at the start of each act
        self.poison = ""  # acts of this task fail

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        while line := await reader.readline():
            request = json.loads(line)
            task, token, holder = request["task"], request["token"], request["holder"]
            if self.fencing and token < self.highest.get(task, 0):
                self.refused.append(token)
                writer.write(b"an older token\n")
                continue
            self.highest[task] = max(token, self.highest.get(task, 0))
            began = loop.time()
            # The act counts from now on, even if its caller dies.
            self.acts.append(Act(task, token, holder, began, began + self.act_s))
            self.on_act(holder.partition("#")[0])
            await asyncio.sleep(self.act_s)  # stands for the act
            writer.write(b"poison\n" if task == self.poison else b"ok\n")
