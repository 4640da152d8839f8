"""Tasks that one member does for all: this process' voter and keepers, and the steps that they let run.

A step gets a guard, not a flag: `guard.act(longest_s)` just before each effect tells the token that the
effect is to carry, or raises `LeaseLost`. A step is cancelled when its lease ends, and when it takes longer
than it said. One that raises, or hangs, gives the lease back; a task whose holders failed `PARKED_AFTER`
times in a row is parked, with an alarm, until an operator says otherwise. The first step of a holding is
marked as failed before it runs, and that is told to others: so one that kills its process counts too.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, NamedTuple

from glenchute.policy.membership.leases import Acceptor, LeaseMessage, LeaseTerms, Proposer
from glenchute.policy.membership.leases import LeaseMessageKind as Said
from glenchute.policy.membership.outgoing import Outgoing
from glenchute.policy.membership.replica import Row, RowKind
from glenchute.policy.membership.task_candidates import TaskCandidate, TaskRecord

from .log_events import log_event

SETTLE_S = 0.3  # for the mark of a first step to reach others before it runs
TO_VOTERS = (Said.PREPARE, Said.PROPOSE, Said.RELEASE, Said.RECALL, Said.RECALLED)
MOST_ANSWER = 1024


def clock() -> float:
    """Seconds of a clock that nobody sets and that runs on while the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LeaseLost(Exception):  # noqa: N818
    """No effect may begin any more."""


class LeaseGuard:
    """What a step asks before each effect."""

    def __init__(self, keeper: TaskCandidate, step: int) -> None:
        self.keeper, self.step = keeper, step

    def act(self, longest_s: float) -> int:
        """The token for an effect that begins now and ends within so long. LeaseLost if none may begin."""
        token = self.keeper.guard(clock(), longest_s)
        if token is None:
            raise LeaseLost
        return token

    def ended(self) -> None:
        """The effects that were begun are over."""
        self.keeper.ended(clock())


Step = Callable[[LeaseGuard], Awaitable[None]]


class TaskSettings(NamedTuple):
    """One task; seconds."""

    name: str
    interval: float
    longest: float  # a step that takes longer is cancelled
    step: Step | None  # None: holding the lease is all that there is to do


class LeaseTask:
    """A task at this process."""

    def __init__(self, task: TaskSettings, keeper: TaskCandidate) -> None:
        self.task, self.keeper = task, keeper
        self.record = TaskRecord()
        self.due = 0.0
        self.job: asyncio.Task[None] | None = None
        self.steps = self.failed = 0
        self.last = "never acted"


class LeaseTaskRunner:
    """The voter, the keepers and the steps of this process."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        boot: int,
        terms: LeaseTerms,
        tasks: Sequence[TaskSettings],
        rng: random.Random,
        send: Callable[[str, LeaseMessage], None],
        tell: Callable[[Row], None],
        read: Callable[[str], Row | None],
        there: Callable[[], Sequence[str]],
    ) -> None:
        self.loop, self.name, self.send, self.tell = loop, name, send, tell
        self.read, self.there = read, there
        now = clock()
        self.voter = Acceptor(name, terms, now) if name in terms.voters else None
        self.running: dict[str, LeaseTask] = {}
        for task in tasks:
            seeker = Proposer(name, boot, task.name, terms, terms.longest)
            self.running[task.name] = LeaseTask(task, TaskCandidate(seeker, random.Random(rng.random()), now))
        self.placed: tuple[str, ...] | None = None  # the members by which candidates were last chosen
        self.leaving = False
        self.own: list[Outgoing[LeaseMessage]] = []  # messages of this process to itself

    # --- messages and time -------------------------------------------------------------------------------

    def heard(self, sender: str, message: LeaseMessage) -> None:
        """A message of a member, or of this process."""
        now = clock()
        if message.kind in TO_VOTERS:
            outs = self.voter.heard(now, sender, message) if self.voter is not None else []
        else:
            found = self.running.get(message.task)
            outs = found.keeper.heard(now, sender, message) if found is not None and not self.leaving else []
        self.post(outs)

    def post(self, outs: list[Outgoing[LeaseMessage]]) -> None:
        """Sends messages; those to this process come at once, but never inside one another."""
        first = not self.own
        for out in outs:
            if out.to == self.name:
                self.own.append(out)
            else:
                self.send(out.to, out.message)
        while first and self.own:
            self.heard(self.name, self.own[0].message)
            self.own.pop(0)

    def tick(self) -> None:
        """All that time brings about; call it some times a second."""
        now = clock()
        if self.voter is not None:
            self.post(self.voter.tick(now))
        there = tuple(self.there())
        if there != self.placed:
            self.placed = there
            for one in self.running.values():
                one.keeper.place(there)
        for one in self.running.values():
            self.follow(one)
            one.keeper.paused = one.record.parked or self.leaving
            self.post(one.keeper.tick(now))
            holds = one.keeper.seeker.holds(now)
            if not holds and one.job is not None:
                one.job.cancel()  # what it has begun ends before the lease does; it begins nothing more
            elif holds and one.job is None and now >= one.due and not self.leaving:
                self.begin(one, now)

    def holds(self, task: str) -> bool:
        """Whether this process holds a task's lease."""
        found = self.running.get(task)
        return found is not None and found.keeper.seeker.holds(clock())

    # --- steps -------------------------------------------------------------------------------------------

    def follow(self, one: LeaseTask) -> None:
        """What others told of a task."""
        row = self.read(one.task.name)
        if row is not None and row.version > one.record.version():
            was, one.record = one.record.parked, TaskRecord.of(row.version, row.value)
            if one.record.parked and not was:
                log_event("task.parked", task=one.task.name, failures=one.record.failures)

    def note(self, one: LeaseTask, record: TaskRecord) -> None:
        """Tells what became of a task here."""
        one.record = record
        self.tell(Row(RowKind.TASK, one.task.name, "", record.version(), float(record.failures)))

    def begin(self, one: LeaseTask, now: float) -> None:
        """A step begins, where there are any."""
        if one.task.step is None:
            return
        one.due = now + one.task.interval
        one.job = self.loop.create_task(self.stepped(one))

    async def stepped(self, one: LeaseTask) -> None:
        """One step to its end, whatever that is."""
        held = one.keeper.seeker.holding
        try:
            if held is not None and one.record.token < held.token:
                self.note(one, one.record.took(held.token).step(False))
                if one.record.parked:
                    log_event("task.parked", task=one.task.name, failures=one.record.failures)
                    raise LeaseLost
                await asyncio.sleep(SETTLE_S)
            assert one.task.step is not None
            async with asyncio.timeout(one.task.longest):
                await one.task.step(LeaseGuard(one.keeper, one.steps))
        except LeaseLost:
            one.last = "lost the lease"
            self.give_back(one)
        except asyncio.CancelledError:
            one.last = "cancelled: the lease ended"
        except Exception as error:  # whatever a step does, it must not keep the lease
            one.failed += 1
            one.last = f"failed: {error!r:.100}"
            log_event("task.failed", task=one.task.name, error=repr(error)[:200])
            self.note(one, one.record if one.steps == 0 else one.record.step(False))
            self.give_back(one)
        else:
            one.steps += 1
            one.last = "acted"
            self.note(one, one.record.step(True))
        finally:
            one.job = None

    def give_back(self, one: LeaseTask) -> None:
        """Another is to try."""
        self.post(one.keeper.release(clock()))

    def leave(self) -> None:
        """This process ends: nothing more is begun, and leases go back as soon as what was begun is over."""
        self.leaving = True
        for one in self.running.values():
            self.give_back(one)

    def back(self) -> None:
        """It does not end after all."""
        self.leaving = False

    def giving(self) -> bool:
        """Whether a lease waits for an effect to be over before it goes back."""
        return any(one.keeper.giving for one in self.running.values())

    def close(self) -> None:
        """The end."""
        for one in self.running.values():
            if one.job is not None:
                one.job.cancel()

    # --- for operators -----------------------------------------------------------------------------------

    def show_tasks(self) -> list[dict[str, Any]]:
        """A row a task."""
        now = clock()
        rows = []
        for one in self.running.values():
            seeker = one.keeper.seeker
            holds = seeker.holds(now)
            left = seeker.holding.until - now if holds and seeker.holding is not None else 0.0
            known = seeker.other.seeker if seeker.other_until > now else ""
            why = "" if holds or known else self.why(one)
            rows.append({
                "task": one.task.name, "holder": self.name if holds else known,
                "token": seeker.holding.token if seeker.holding is not None else seeker.other.number,
                "left_s": round(max(left, seeker.other_until - now if known else 0.0), 2),
                "candidate": one.keeper.candidate, "parked": one.record.parked, "steps": one.steps,
                "failed": one.failed, "last": one.last, "nobody": why,
            })  # fmt: skip
        return rows

    def why(self, one: LeaseTask) -> str:
        """Why this process knows of no holder."""
        if one.record.parked:
            return "parked"
        if not one.keeper.candidate:
            return "others seek it"
        if self.voter is not None and not self.voter.ready:
            return "voters are silent after a start"
        return "no majority has answered yet"

    def show_leases(self) -> list[dict[str, Any]]:
        """What this process has promised as a voter, a row a lease."""
        if self.voter is None:
            return []
        now = clock()
        return [
            {"task": task, "holder": held.ballot.seeker, "ballot": held.ballot.number,
             "left_s": round(held.until - now, 2)}
            for task, held in self.voter.accepted.items() if held.until > now
        ] or [{"task": "", "holder": "", "ballot": 0, "left_s": 0.0,
               "ready": self.voter.ready, "anew": self.voter.anew}]  # fmt: skip

    def release(self, task: str) -> list[dict[str, Any]]:
        """An operator takes the lease away from this process."""
        found = self.running.get(task)
        if found is None or not found.keeper.seeker.holds(clock()):
            return [{"released": False}]
        self.give_back(found)
        return [{"released": True}]

    def unpark(self, task: str) -> list[dict[str, Any]]:
        """An operator has looked at a parked task."""
        found = self.running.get(task)
        if found is None or not found.record.parked:
            return [{"unparked": False}]
        self.note(found, found.record.unparked())
        return [{"unparked": True}]


def call_service_step(task: str, holder: str, address: tuple[str, int], longest_s: float) -> Step:
    """A step that calls a service: a line of JSON with task, token, holder and step, and the answer is "ok".
    The service has to refuse a token lower than one that it has seen; see docs/operators/leases.md."""

    async def step(guard: LeaseGuard) -> None:
        # Connecting acts on nothing, so it comes before the guard.
        reader, writer = await asyncio.open_connection(*address)
        try:
            token = guard.act(longest_s)
            said = {"task": task, "token": token, "holder": holder, "step": guard.step}
            writer.write(json.dumps(said).encode() + b"\n")
            async with asyncio.timeout(longest_s):
                answer = await reader.readline()
            if answer.strip() != b"ok":
                raise RuntimeError(f"the service says {answer[:100]!r}")
            guard.ended()
        finally:
            writer.close()

    return step
