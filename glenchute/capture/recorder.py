"""Recording: between the core and the module, in memory or on disk, never in the way.

The loop's thread appends a tuple for each event and encodes a batch now and then; files are written by a
thread of their own behind a queue of bounded length. Where that is full, the rest of the segment is dropped
and counted, and the next begins with a snapshot: slow disks cost records, never requests.
"""

from __future__ import annotations

import contextlib
import hashlib
import logging
import os
import queue
import secrets
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any, NamedTuple

from glenchute.core.types import DecisionHandler
from glenchute.policy.actions import Action, Reject
from glenchute.policy.events import Event, Request
from glenchute.policy.settings import Settings

from . import snapshot
from .codec import Head, batch, module_digest, note

log = logging.getLogger("glenchute")

BATCH = 256  # records of a frame
QUEUE = 64  # frames that may wait for the disk
JUDGED_S = 5.0  # the refusal rate is taken over this long ...
LEAST_JUDGED = 50  # ... and so many requests
TRIGGER_GAP_S = 60.0  # a trigger of one kind writes no more often


class Rule(NamedTuple):
    """What is kept. `ring`: in memory, written on a trigger; else on disk as it comes."""

    folder: str
    ring: bool = True
    segment_s: float = 10.0
    segment_bytes: int = 4 * 1024 * 1024
    segments: int = 12  # kept; the oldest goes
    refusal_share: float = 1.0  # a trigger; 1: none
    account_key: bytes | None = None  # the module is told a keyed hash of each account in its place


class Writer:
    """Writes files in a thread of its own."""

    def __init__(self, folder: Path, segments: int) -> None:
        self.folder, self.segments = folder, segments
        self.queue: queue.Queue[tuple[str, bytes] | None] = queue.Queue(QUEUE)
        self.names: deque[str] = deque()
        self.failed = 0
        self.thread = threading.Thread(target=self.run, name="capture", daemon=True)
        self.thread.start()

    def put(self, name: str, data: bytes) -> bool:
        """Hands over bytes for a file; False where the queue is full."""
        try:
            self.queue.put_nowait((name, data))
        except queue.Full:
            return False
        return True

    def run(self) -> None:
        """The thread."""
        while (item := self.queue.get()) is not None:
            name, data = item
            try:
                with open(self.folder / name, "ab") as file:
                    file.write(data)
                if name not in self.names:
                    self.names.append(name)
                    while len(self.names) > self.segments:
                        with contextlib.suppress(FileNotFoundError):
                            os.unlink(self.folder / self.names.popleft())
            except OSError as error:
                self.failed += 1
                if self.failed == 1:
                    log.error("the capture can't be written: %s", error)

    def close(self, patience_s: float) -> None:
        """Writes what waits, but not for ever."""
        with contextlib.suppress(queue.Full):
            self.queue.put(None, timeout=patience_s)
        self.thread.join(patience_s)


def hashed(account: str, key: bytes) -> str:
    """What stands for an account where captures leave the house: BLAKE2b (RFC 7693) with a key. The module is
    told this and nothing else, so that a replay is exact: a capture hashed afterwards would not replay, as
    the starts of an account's windows and its names on the counter hang on its name."""
    return hashlib.blake2b(account.encode(), key=key[:64], digest_size=8).hexdigest()


class Recorder:
    """The module, seen from the core; each call is recorded. `clock` tells the loop's seconds."""

    def __init__(
        self, module: DecisionHandler, settings: Settings, seed: int, rule: Rule, clock: Callable[[], float]
    ) -> None:
        self.module, self.settings, self.seed = module, settings, seed
        self.rule, self.clock = rule, clock
        self.run = secrets.token_hex(4)
        self.version = module_digest()
        self.writer = Writer(Path(rule.folder), rule.segments)
        self.number = 0
        self.at = 0  # records so far
        self.pending: list[tuple[Any, ...]] = []
        self.ring: deque[tuple[str, list[bytes]]] = deque()  # segments in memory, the newest last
        self.name = ""
        self.size = 0
        self.opened_at = 0.0
        self.dropping = False  # the queue was full: this segment has ended
        self.dropped = 0  # records
        self.cold = True  # nothing has happened to the module yet
        self.triggered: dict[str, float] = {}
        self.judged = [0.0, 0.0, 0.0]  # since, requests, refusals

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """One event of the core's. The snapshot of a new segment is of the state before it."""
        rule = self.rule
        if rule.account_key is not None and type(event) is Request:
            event = replace(event, tenant=hashed(event.tenant, rule.account_key))
        full = self.size > rule.segment_bytes or self.clock() - self.opened_at > rule.segment_s
        if full or not self.name:
            self.open(now_ms)
        try:
            actions = self.module.handle(now_ms, event)
        except Exception:
            self.add(note(now_ms, event, None))
            self.trigger("module fault")
            self.name = ""  # what the fault left behind is in the next snapshot
            raise
        self.add(note(now_ms, event, actions))
        if self.rule.refusal_share < 1.0:
            self.judge(event, actions)
        return actions

    def add(self, record: tuple[Any, ...]) -> None:
        """Keeps a record."""
        self.at += 1
        self.pending.append(record)
        if len(self.pending) >= BATCH:
            self.flush()

    def flush(self) -> None:
        """Encodes what is pending."""
        records, self.pending = self.pending, []
        if not records:
            return
        data = batch(records)
        self.size += len(data)
        if self.rule.ring:
            self.ring[-1][1].append(data)
        elif self.dropping or not self.writer.put(self.name, data):
            self.drop(len(records))

    def drop(self, records: int) -> None:
        """The disk is too slow."""
        if not self.dropping:
            log.warning("the capture drops the rest of %s", self.name)
        self.dropping = True
        self.dropped += records

    def open(self, now_ms: float) -> None:
        """A new segment."""
        self.flush()
        state = None if self.cold else snapshot.dump(self.module)
        self.cold = False
        head = Head(self.run, self.number, self.at, now_ms, self.version, self.settings, self.seed, state)
        self.name = f"{self.run}-{self.number:06d}.glcap"
        self.number += 1
        self.size, self.opened_at, self.dropping = 0, self.clock(), False
        data = head.encode()
        if self.rule.ring:
            self.ring.append((self.name, [data]))
            while len(self.ring) > self.rule.segments:
                self.ring.popleft()
        elif not self.writer.put(self.name, data):
            self.drop(0)

    def trigger(self, why: str) -> None:
        """Writes what the ring holds, at most once a minute for each reason; what is written is let go."""
        now = self.clock()
        if now - self.triggered.get(why, -1e9) < TRIGGER_GAP_S:
            return
        self.triggered[why] = now
        self.flush()
        log.warning("capture: %s; %d segments are written to %s", why, len(self.ring), self.rule.folder)
        segments, self.ring = list(self.ring), deque()
        for name, frames in segments:
            if not self.writer.put(name, b"".join(frames)):
                log.warning("the capture drops %s", name)
        if self.rule.ring:
            self.name = ""  # the next event opens a new segment

    def judge(self, event: Event, actions: list[Action]) -> None:
        """Counts refusals; a share over the rule's is a trigger."""
        now, judged = self.clock(), self.judged
        judged[1] += isinstance(event, Request)
        judged[2] += sum(1 for action in actions if isinstance(action, Reject))
        if now - judged[0] >= JUDGED_S:
            since, requests, refusals = judged
            self.judged = [now, 0.0, 0.0]
            if since and requests >= LEAST_JUDGED and refusals > self.rule.refusal_share * requests:
                self.trigger("refusals")

    def close(self) -> None:
        """The end of the process."""
        self.flush()
        if self.dropped:
            log.warning("the capture has dropped %d records", self.dropped)
        self.writer.close(0.5)
