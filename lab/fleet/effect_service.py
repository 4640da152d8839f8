"""A service that leased tasks call.

It records every effect with its fencing token, start and end. Without fencing it rejects no call, so that two
concurrent holders show up in the records.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

from lab.fleet.lease_cluster import TaskEffect
from lab.peers import Peer


class EffectService(Peer):
    """Serves calls, one line of JSON each, and replies "ok" at the end of the effect."""

    def __init__(self, effect_s: float = 0.05, fencing: bool = False) -> None:
        super().__init__()
        self.effect_s, self.fencing = effect_s, fencing
        self.effects: list[TaskEffect] = []
        self.rejected_tokens: list[int] = []  # tokens of the rejected calls
        self.highest_tokens: dict[str, int] = {}  # by task
        self.on_effect: Callable[[str], None] = lambda holder: None  # called at the start of each effect
        self.failing_task = ""  # calls of this task fail

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        while line := await reader.readline():
            request = json.loads(line)
            task, token, holder = request["task"], request["token"], request["holder"]
            if self.fencing and token < self.highest_tokens.get(task, 0):
                self.rejected_tokens.append(token)
                writer.write(b"an older token\n")
                continue
            self.highest_tokens[task] = max(token, self.highest_tokens.get(task, 0))
            started_at = loop.time()
            # The effect happens from now on, even if its caller is killed.
            self.effects.append(TaskEffect(task, token, holder, started_at, started_at + self.effect_s))
            self.on_effect(holder.partition("#")[0])
            await asyncio.sleep(self.effect_s)  # stands for the effect
            writer.write(b"poison\n" if task == self.failing_task else b"ok\n")
