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

from glenchute.policy.membership.leases import (
    ACCEPTOR_MESSAGE_KINDS,
    Acceptor,
    LeaseMessage,
    LeaseTerms,
    Proposer,
)
from glenchute.policy.membership.outgoing import Outgoing
from glenchute.policy.membership.replica import Row, RowKind
from glenchute.policy.membership.task_candidates import TaskCandidate, TaskRecord

from .log_events import log_event

SETTLE_S = 0.3  # for the mark of a first step to reach others before it runs
MOST_ANSWER = 1024


def clock() -> float:
    """Seconds of a clock that nobody sets and that runs on while the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LeaseLost(Exception):  # noqa: N818
    """No effect may begin any more."""


class LeaseGuard:
    """What a step asks before each effect."""

    def __init__(self, keeper: TaskCandidate, step: int) -> None:
        self.candidate, self.step = keeper, step

    def begin_effect(self, longest_s: float) -> int:
        """The token for an effect that begins now and ends within so long. LeaseLost if none may begin."""
        token = self.candidate.fencing_token(clock(), longest_s)
        if token is None:
            raise LeaseLost
        return token

    def note_effects_ended(self) -> None:
        """The effects that were begun are over."""
        self.candidate.note_effects_ended(clock())


Step = Callable[[LeaseGuard], Awaitable[None]]


class TaskSettings(NamedTuple):
    """One task; seconds."""

    name: str
    interval_s: float
    max_step_s: float  # a step that takes longer is cancelled
    step: Step | None  # None: holding the lease is all that there is to do


class LeaseTask:
    """A task at this process."""

    def __init__(self, task: TaskSettings, keeper: TaskCandidate) -> None:
        self.settings, self.candidate = task, keeper
        self.record = TaskRecord()
        self.next_step_at = 0.0
        self.step_job: asyncio.Task[None] | None = None
        self.completed_steps = self.failed_steps = 0
        self.last_result = "never acted"


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
        self.loop, self.name, self.send, self.publish = loop, name, send, tell
        self.read_row, self.present_members = read, there
        now = clock()
        self.acceptor = Acceptor(name, terms, now) if name in terms.acceptors else None
        self.tasks: dict[str, LeaseTask] = {}
        for task in tasks:
            seeker = Proposer(name, boot, task.name, terms, terms.max_span_s)
            self.tasks[task.name] = LeaseTask(task, TaskCandidate(seeker, random.Random(rng.random()), now))
        self.known_members: tuple[str, ...] | None = None  # the members by which candidates were last chosen
        self.is_leaving = False
        self.own_messages: list[Outgoing[LeaseMessage]] = []  # messages of this process to itself

    # --- messages and time -------------------------------------------------------------------------------

    def receive(self, sender: str, message: LeaseMessage) -> None:
        """A message of a member, or of this process."""
        now = clock()
        if message.kind in ACCEPTOR_MESSAGE_KINDS:
            outs = self.acceptor.receive(now, sender, message) if self.acceptor is not None else []
        else:
            found = self.tasks.get(message.task)
            outs = (
                found.candidate.receive(now, sender, message)
                if found is not None and not self.is_leaving
                else []
            )
        self.send_all(outs)

    def send_all(self, outs: list[Outgoing[LeaseMessage]]) -> None:
        """Sends messages; those to this process come at once, but never inside one another."""
        first = not self.own_messages
        for out in outs:
            if out.to == self.name:
                self.own_messages.append(out)
            else:
                self.send(out.to, out.message)
        while first and self.own_messages:
            self.receive(self.name, self.own_messages[0].message)
            self.own_messages.pop(0)

    def tick(self) -> None:
        """All that time brings about; call it some times a second."""
        now = clock()
        if self.acceptor is not None:
            self.send_all(self.acceptor.tick(now))
        there = tuple(self.present_members())
        if there != self.known_members:
            self.known_members = there
            for one in self.tasks.values():
                one.candidate.update_members(there)
        for one in self.tasks.values():
            self.follow_record(one)
            one.candidate.is_paused = one.record.is_parked or self.is_leaving
            self.send_all(one.candidate.tick(now))
            holds = one.candidate.proposer.is_holder(now)
            if not holds and one.step_job is not None:
                one.step_job.cancel()  # what it has begun ends before the lease does; it begins nothing more
            elif holds and one.step_job is None and now >= one.next_step_at and not self.is_leaving:
                self.begin_step(one, now)

    def is_holder(self, task: str) -> bool:
        """Whether this process holds a task's lease."""
        found = self.tasks.get(task)
        return found is not None and found.candidate.proposer.is_holder(clock())

    # --- steps -------------------------------------------------------------------------------------------

    def follow_record(self, one: LeaseTask) -> None:
        """What others told of a task."""
        row = self.read_row(one.settings.name)
        if row is not None and row.version > one.record.version():
            was, one.record = one.record.is_parked, TaskRecord.from_row(row.version, row.value)
            if one.record.is_parked and not was:
                log_event("task.parked", task=one.settings.name, failures=one.record.failures)

    def publish_record(self, one: LeaseTask, record: TaskRecord) -> None:
        """Tells what became of a task here."""
        one.record = record
        self.publish(Row(RowKind.TASK, one.settings.name, "", record.version(), float(record.failures)))

    def begin_step(self, one: LeaseTask, now: float) -> None:
        """A step begins, where there are any."""
        if one.settings.step is None:
            return
        one.next_step_at = now + one.settings.interval_s
        one.step_job = self.loop.create_task(self.run_step(one))

    async def run_step(self, one: LeaseTask) -> None:
        """One step to its end, whatever that is."""
        held = one.candidate.proposer.lease
        try:
            if held is not None and one.record.token < held.token:
                self.publish_record(one, one.record.taken_over_by(held.token).after_step(False))
                if one.record.is_parked:
                    log_event("task.parked", task=one.settings.name, failures=one.record.failures)
                    raise LeaseLost
                await asyncio.sleep(SETTLE_S)
            assert one.settings.step is not None
            async with asyncio.timeout(one.settings.max_step_s):
                await one.settings.step(LeaseGuard(one.candidate, one.completed_steps))
        except LeaseLost:
            one.last_result = "lost the lease"
            self.release_lease(one)
        except asyncio.CancelledError:
            one.last_result = "cancelled: the lease ended"
        except Exception as error:  # whatever a step does, it must not keep the lease
            one.failed_steps += 1
            one.last_result = f"failed: {error!r:.100}"
            log_event("task.failed", task=one.settings.name, error=repr(error)[:200])
            self.publish_record(one, one.record if one.completed_steps == 0 else one.record.after_step(False))
            self.release_lease(one)
        else:
            one.completed_steps += 1
            one.last_result = "acted"
            self.publish_record(one, one.record.after_step(True))
        finally:
            one.step_job = None

    def release_lease(self, one: LeaseTask) -> None:
        """Another is to try."""
        self.send_all(one.candidate.release(clock()))

    def leave(self) -> None:
        """This process ends: nothing more is begun, and leases go back as soon as what was begun is over."""
        self.is_leaving = True
        for one in self.tasks.values():
            self.release_lease(one)

    def resume(self) -> None:
        """It does not end after all."""
        self.is_leaving = False

    def is_releasing(self) -> bool:
        """Whether a lease waits for an effect to be over before it goes back."""
        return any(one.candidate.is_releasing for one in self.tasks.values())

    def close(self) -> None:
        """The end."""
        for one in self.tasks.values():
            if one.step_job is not None:
                one.step_job.cancel()

    # --- for operators -----------------------------------------------------------------------------------

    def show_tasks(self) -> list[dict[str, Any]]:
        """A row a task."""
        now = clock()
        rows = []
        for one in self.tasks.values():
            seeker = one.candidate.proposer
            holds = seeker.is_holder(now)
            left = seeker.lease.expires_at - now if holds and seeker.lease is not None else 0.0
            known = seeker.other_holder.proposer if seeker.other_holder_until > now else ""
            why = "" if holds or known else self.why_no_holder(one)
            rows.append(
                {
                    "task": one.settings.name,
                    "holder": self.name if holds else known,
                    "token": seeker.lease.token if seeker.lease is not None else seeker.other_holder.number,
                    "left_s": round(max(left, seeker.other_holder_until - now if known else 0.0), 2),
                    "candidate": one.candidate.is_candidate,
                    "parked": one.record.is_parked,
                    "steps": one.completed_steps,
                    "failed": one.failed_steps,
                    "last": one.last_result,
                    "nobody": why,
                }
            )
        return rows

    def why_no_holder(self, one: LeaseTask) -> str:
        """Why this process knows of no holder."""
        if one.record.is_parked:
            return "parked"
        if not one.candidate.is_candidate:
            return "others seek it"
        if self.acceptor is not None and not self.acceptor.has_recovered:
            return "voters are silent after a start"
        return "no majority has answered yet"

    def show_leases(self) -> list[dict[str, Any]]:
        """What this process has promised as a voter, a row a lease."""
        if self.acceptor is None:
            return []
        now = clock()
        return [
            {"task": task, "holder": held.ballot.proposer, "ballot": held.ballot.number,
             "left_s": round(held.expires_at - now, 2)}
            for task, held in self.acceptor.accepted.items() if held.expires_at > now
        ] or [{"task": "", "holder": "", "ballot": 0, "left_s": 0.0,
               "ready": self.acceptor.has_recovered, "anew": self.acceptor.has_lost_history}]  # fmt: skip

    def release(self, task: str) -> list[dict[str, Any]]:
        """An operator takes the lease away from this process."""
        found = self.tasks.get(task)
        if found is None or not found.candidate.proposer.is_holder(clock()):
            return [{"released": False}]
        self.release_lease(found)
        return [{"released": True}]

    def unpark(self, task: str) -> list[dict[str, Any]]:
        """An operator has looked at a parked task."""
        found = self.tasks.get(task)
        if found is None or not found.record.is_parked:
            return [{"unparked": False}]
        self.publish_record(found, found.record.unparked())
        return [{"unparked": True}]


def call_service_step(task: str, holder: str, address: tuple[str, int], longest_s: float) -> Step:
    """A step that calls a service: a line of JSON with task, token, holder and step, and the answer is "ok".
    The service has to refuse a token lower than one that it has seen; see docs/operators/leases.md."""

    async def step(guard: LeaseGuard) -> None:
        # Connecting acts on nothing, so it comes before the guard.
        reader, writer = await asyncio.open_connection(*address)
        try:
            token = guard.begin_effect(longest_s)
            said = {"task": task, "token": token, "holder": holder, "step": guard.step}
            writer.write(json.dumps(said).encode() + b"\n")
            async with asyncio.timeout(longest_s):
                answer = await reader.readline()
            if answer.strip() != b"ok":
                raise RuntimeError(f"the service says {answer[:100]!r}")
            guard.note_effects_ended()
        finally:
            writer.close()

    return step
