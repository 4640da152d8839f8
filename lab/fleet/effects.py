"""A service that tasks act on: it books every act with token, begin and end, and refuses nothing unless it
fences, so that two holders at once would be seen."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

from lab.fleet.holders import Act
from lab.peers import Peer


class EffectService(Peer):
    """One line of JSON an act; "ok" when it is over."""

    def __init__(self, act_s: float = 0.05, fencing: bool = False) -> None:
        super().__init__()
        self.act_s, self.fencing = act_s, fencing
        self.acts: list[Act] = []
        self.refused: list[int] = []  # tokens
        self.highest: dict[str, int] = {}
        self.on_act: Callable[[str], None] = lambda holder: None  # called while an act is under way
        self.poison = ""  # acts of this task fail

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        while line := await reader.readline():
            said = json.loads(line)
            task, token, holder = said["task"], said["token"], said["holder"]
            if self.fencing and token < self.highest.get(task, 0):
                self.refused.append(token)
                writer.write(b"an older token\n")
                continue
            self.highest[task] = max(token, self.highest.get(task, 0))
            began = loop.time()
            # It counts as under way from now on, whatever becomes of the one that asked.
            self.acts.append(Act(task, token, holder, began, began + self.act_s))
            self.on_act(holder.partition("#")[0])
            await asyncio.sleep(self.act_s)  # the act itself
            writer.write(b"poison\n" if task == self.poison else b"ok\n")
