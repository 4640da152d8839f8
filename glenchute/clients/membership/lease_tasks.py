"""Runs leased tasks: the acceptor, candidates and steps of this process. Only the member that holds the lease
of a task runs its steps, on behalf of all members.

A step gets a `LeaseGuard` and calls `begin_effect(longest_s)` just before each effect. The call returns the
fencing token that the effect has to carry, or raises `LeaseLost`. A step is cancelled when its lease ends or
when it exceeds its time limit. A step that raises or exceeds its limit releases the lease. A task whose
holders failed more than `MAX_FAILED_HOLDERS` times in a row is parked and logged as an error, until an
operator unparks it. The first step of a holder is recorded as failed before it runs, and that record is
gossiped, so that a step that kills its process counts as a failure too.
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

NO_TOKEN = -1  # below all tokens
FIRST_STEP_DELAY_S = 0.3  # a new holder's record reaches the other members before its first step runs


def clock() -> float:
    """Returns the seconds of a monotonic clock that also counts while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LeaseLost(Exception):  # noqa: N818
    """Raised where no effect may start: the lease has ended, is being released or ends too soon, or the task
    is parked."""


class LeaseGuard:
    """A step's access to its lease. `completed_steps`: steps of the task that this process has completed."""

    def __init__(self, candidate: TaskCandidate, completed_steps: int) -> None:
        self.candidate, self.completed_steps = candidate, completed_steps

    def begin_effect(self, longest_s: float) -> int:
        """Returns the fencing token for an effect that starts now and takes at most `longest_s`. Raises
        LeaseLost where the effect may not start."""
        token = self.candidate.fencing_token(clock(), longest_s)
        if token is None:
            raise LeaseLost
        return token

    def note_effects_ended(self) -> None:
        """Notes that all started effects are over, so that the lease may be released."""
        self.candidate.note_effects_ended(clock())


Step = Callable[[LeaseGuard], Awaitable[None]]


class TaskSettings(NamedTuple):
    """The settings of one task in the operator's file."""

    name: str
    interval_s: float
    max_step_s: float  # a step that takes longer is cancelled
    step: Step | None  # None: the process only holds the lease


class LeaseTask:
    """The state of a task in this process."""

    def __init__(self, settings: TaskSettings, candidate: TaskCandidate) -> None:
        self.settings, self.candidate = settings, candidate
        self.record = TaskRecord()
        self.next_step_at = 0.0
        self.step_job: asyncio.Task[None] | None = None
        self.completed_steps = self.failed_steps = 0
        # The token of the lease whose first step the record counts as failed, as it has not been completed.
        self.assumed_failed_token = NO_TOKEN
        self.last_result = "never acted"


class LeaseTaskRunner:
    """The acceptor, the candidates and the running steps of this process."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        boot: int,
        terms: LeaseTerms,
        tasks: Sequence[TaskSettings],
        rng: random.Random,
        send: Callable[[str, LeaseMessage], None],
        publish: Callable[[Row], None],
        read_row: Callable[[str], Row | None],
        present_members: Callable[[], Sequence[str]],
    ) -> None:
        """Creates the candidates of `tasks`, and the acceptor where `terms` name this process as one.

        `send` sends a message to a member, `publish` gossips a task's record, `read_row` returns the gossiped
        record of a task, `present_members` the other members that are not known to be dead or to have
        left."""
        self.loop, self.name, self.send, self.publish = loop, name, send, publish
        self.read_row, self.present_members = read_row, present_members
        now = clock()
        self.acceptor = Acceptor(name, terms, now) if name in terms.acceptors else None
        self.tasks: dict[str, LeaseTask] = {}
        for settings in tasks:
            proposer = Proposer(name, boot, settings.name, terms, terms.max_span_s)
            candidate = TaskCandidate(proposer, random.Random(rng.random()), now)
            self.tasks[settings.name] = LeaseTask(settings, candidate)
        self.known_members: tuple[str, ...] | None = None  # those that the candidates were last chosen from
        self.is_leaving = False
        self.own_messages: list[Outgoing[LeaseMessage]] = []  # messages from this process to itself

    # --- messages and time -------------------------------------------------------------------------------

    def receive(self, sender: str, message: LeaseMessage) -> None:
        """Handles a message from a member or from this process, and sends the replies."""
        now = clock()
        if message.kind in ACCEPTOR_MESSAGE_KINDS:
            if self.acceptor is not None:
                self.send_all(self.acceptor.receive(now, sender, message))
            return
        task = self.tasks.get(message.task)
        if task is not None and not self.is_leaving:
            self.send_all(task.candidate.receive(now, sender, message))

    def send_all(self, out: list[Outgoing[LeaseMessage]]) -> None:
        """Sends messages. Those to this process are handled one after the other before this returns."""
        is_outermost = not self.own_messages
        for outgoing in out:
            if outgoing.to == self.name:
                self.own_messages.append(outgoing)
            else:
                self.send(outgoing.to, outgoing.message)
        while is_outermost and self.own_messages:
            self.receive(self.name, self.own_messages[0].message)
            self.own_messages.pop(0)

    def tick(self) -> None:
        """Does all that is due: lease messages, and the start and cancellation of steps. To be called several
        times a second."""
        now = clock()
        if self.acceptor is not None:
            self.send_all(self.acceptor.tick(now))
        present = tuple(self.present_members())
        if present != self.known_members:
            self.known_members = present
            for task in self.tasks.values():
                task.candidate.update_members(present)
        for task in self.tasks.values():
            self.adopt_record(task)
            task.candidate.is_paused = task.record.is_parked or self.is_leaving
            self.send_all(task.candidate.tick(now))
            is_holder = task.candidate.proposer.is_holder(now)
            if not is_holder and task.step_job is not None:
                task.step_job.cancel()  # its effects were over before the lease ended
            elif is_holder and task.step_job is None and now >= task.next_step_at and not self.is_leaving:
                self.begin_step(task, now)

    def is_holder(self, task: str) -> bool:
        """Returns whether this process holds a task's lease."""
        lease_task = self.tasks.get(task)
        return lease_task is not None and lease_task.candidate.proposer.is_holder(clock())

    # --- steps -------------------------------------------------------------------------------------------

    def adopt_record(self, task: LeaseTask) -> None:
        """Adopts the gossiped record of the task where it is newer than the one here."""
        row = self.read_row(task.settings.name)
        if row is not None and row.version > task.record.version():
            was_parked, task.record = task.record.is_parked, TaskRecord.from_row(row.version, row.value)
            if task.record.is_parked and not was_parked:
                log_event("task.parked", task=task.settings.name, failures=task.record.failures)

    def publish_record(self, task: LeaseTask, record: TaskRecord) -> None:
        """Stores the task's new record and gossips it."""
        task.record = record
        self.publish(Row(RowKind.TASK, task.settings.name, "", record.version(), float(record.failures)))

    def begin_step(self, task: LeaseTask, now: float) -> None:
        """Starts the task's step, where it has one."""
        if task.settings.step is None:
            return
        task.next_step_at = now + task.settings.interval_s
        task.step_job = self.loop.create_task(self.run_step(task))

    async def run_step(self, task: LeaseTask) -> None:
        """Runs one step and records its outcome."""
        lease = task.candidate.proposer.lease
        try:
            if lease is not None and task.record.token < lease.token:
                self.publish_record(task, task.record.taken_over_by(lease.token).after_step(False))
                task.assumed_failed_token = lease.token
                if task.record.is_parked:
                    log_event("task.parked", task=task.settings.name, failures=task.record.failures)
                    raise LeaseLost
                await asyncio.sleep(FIRST_STEP_DELAY_S)
            assert task.settings.step is not None
            async with asyncio.timeout(task.settings.max_step_s):
                await task.settings.step(LeaseGuard(task.candidate, task.completed_steps))
        except LeaseLost:
            task.last_result = "lost the lease"
            self.release_lease(task)
        except asyncio.CancelledError:
            task.last_result = "cancelled: the lease ended"
        except Exception as error:  # the lease has to be released whatever a step raises
            task.failed_steps += 1
            task.last_result = f"failed: {error!r:.100}"
            log_event("task.failed", task=task.settings.name, error=repr(error)[:200])
            is_counted = task.assumed_failed_token == task.record.token
            self.publish_record(task, task.record if is_counted else task.record.after_step(False))
            self.release_lease(task)
        else:
            task.completed_steps += 1
            task.assumed_failed_token = NO_TOKEN
            task.last_result = "acted"
            self.publish_record(task, task.record.after_step(True))
        finally:
            task.step_job = None

    def release_lease(self, task: LeaseTask) -> None:
        """Releases the lease once no effect may still run, so that another candidate can acquire it."""
        self.send_all(task.candidate.release(clock()))

    def leave(self) -> None:
        """Prepares for the end of this process: starts no more steps, and releases each lease once its
        effects are over."""
        self.is_leaving = True
        for task in self.tasks.values():
            self.release_lease(task)

    def resume(self) -> None:
        """Undoes `leave` where this process does not end after all: it competes for leases again."""
        self.is_leaving = False

    def is_releasing(self) -> bool:
        """Returns whether the release of a lease waits for an effect to end."""
        return any(task.candidate.is_releasing for task in self.tasks.values())

    def close(self) -> None:
        """Cancels the running steps."""
        for task in self.tasks.values():
            if task.step_job is not None:
                task.step_job.cancel()

    # --- operator commands -------------------------------------------------------------------------------

    def show_tasks(self) -> list[dict[str, Any]]:
        """Returns a row per task, for `fleet tasks`."""
        now = clock()
        rows = []
        for task in self.tasks.values():
            proposer = task.candidate.proposer
            is_holder = proposer.is_holder(now)
            remaining_s = proposer.lease.expires_at - now if is_holder and proposer.lease is not None else 0.0
            other_holder = proposer.other_holder.proposer if proposer.other_holder_until > now else ""
            reason = "" if is_holder or other_holder else self.no_holder_reason(task)
            rows.append(
                {
                    "task": task.settings.name,
                    "holder": self.name if is_holder else other_holder,
                    "token": proposer.lease.token
                    if proposer.lease is not None
                    else proposer.other_holder.number,
                    "left_s": round(
                        max(remaining_s, proposer.other_holder_until - now if other_holder else 0.0), 2
                    ),
                    "candidate": task.candidate.is_candidate,
                    "parked": task.record.is_parked,
                    "steps": task.completed_steps,
                    "failed": task.failed_steps,
                    "last": task.last_result,
                    "nobody": reason,
                }
            )
        return rows

    def no_holder_reason(self, task: LeaseTask) -> str:
        """Returns why this process knows no holder of the task's lease."""
        if task.record.is_parked:
            return "parked"
        if not task.candidate.is_candidate:
            return "others seek it"
        if self.acceptor is not None and not self.acceptor.has_recovered:
            return "voters are silent after a start"
        return "no majority has answered yet"

    def show_leases(self) -> list[dict[str, Any]]:
        """Returns a row per lease that this process accepted as an acceptor, for `fleet leases`. Where there
        is none, one row tells whether the acceptor has recovered."""
        if self.acceptor is None:
            return []
        now = clock()
        return [
            {"task": task, "holder": accepted.ballot.proposer, "ballot": accepted.ballot.number,
             "left_s": round(accepted.expires_at - now, 2)}
            for task, accepted in self.acceptor.accepted.items() if accepted.expires_at > now
        ] or [{"task": "", "holder": "", "ballot": 0, "left_s": 0.0,
               "ready": self.acceptor.has_recovered, "anew": self.acceptor.has_lost_history}]  # fmt: skip

    def release(self, task: str) -> list[dict[str, Any]]:
        """Handles `fleet release`: releases the lease where this process holds it."""
        lease_task = self.tasks.get(task)
        if lease_task is None or not lease_task.candidate.proposer.is_holder(clock()):
            return [{"released": False}]
        self.release_lease(lease_task)
        return [{"released": True}]

    def unpark(self, task: str) -> list[dict[str, Any]]:
        """Handles `fleet unpark`: lets a parked task run again."""
        lease_task = self.tasks.get(task)
        if lease_task is None or not lease_task.record.is_parked:
            return [{"unparked": False}]
        self.publish_record(lease_task, lease_task.record.unparked())
        return [{"unparked": True}]


def call_service_step(task: str, holder: str, address: tuple[str, int], longest_s: float) -> Step:
    """Returns a step that calls a service: it sends a line of JSON with task, token, holder and step, and
    expects the reply "ok". The service has to reject a token lower than the highest that it has seen; see
    docs/operators/leases.md."""

    async def step(guard: LeaseGuard) -> None:
        # A connection has no effect on the service, so it needs no token.
        reader, writer = await asyncio.open_connection(*address)
        try:
            token = guard.begin_effect(longest_s)
            request = {"task": task, "token": token, "holder": holder, "step": guard.completed_steps}
            writer.write(json.dumps(request).encode() + b"\n")
            async with asyncio.timeout(longest_s):
                reply = await reader.readline()
            if reply.strip() != b"ok":
                raise RuntimeError(f"the service replied {reply[:100]!r}, expected b'ok'")
            guard.note_effects_ended()
        finally:
            writer.close()

    return step
