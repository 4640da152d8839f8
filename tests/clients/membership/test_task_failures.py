"""How many failures a holder's steps count in a task's record, with a scripted lease."""

from __future__ import annotations

import asyncio
import random

import pytest

from glenchute.clients.membership import lease_tasks
from glenchute.clients.membership.lease_tasks import LeaseGuard, LeaseTask, LeaseTaskRunner, TaskSettings
from glenchute.policy.membership.leases import Ballot, LeaseTerms, OwnLease


class ScriptedHolder:
    """A runner of one task whose leases are given by hand, and whose steps fail or not as scripted."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.results: list[bool] = []  # of the next steps: whether they succeed
        settings = TaskSettings("t", 1.0, 5.0, self.step)
        self.runner = LeaseTaskRunner(
            loop, "g0", 1, LeaseTerms(("g0",)), [settings], random.Random(1),
            lambda to, message: None, lambda row: None, lambda name: None, lambda: (),
        )  # fmt: skip

    @property
    def task(self) -> LeaseTask:
        return self.runner.tasks["t"]

    async def step(self, guard: LeaseGuard) -> None:
        if not self.results.pop(0):
            raise RuntimeError("scripted")

    async def hold(self, token: int, *results: bool) -> int:
        """Holds the lease with this token for one step for each result; returns the record's failures."""
        self.task.candidate.proposer.lease = OwnLease(token, 1e12, Ballot(token, "g0", 1))
        for result in results:
            self.results = [result]
            await self.runner.run_step(self.task)
        return self.task.record.failures


@pytest.mark.parametrize(
    ("terms", "failures"),
    [
        ([(False,)], [1]),
        ([(True,), (False,)], [0, 1]),  # a term whose first step fails, after one that succeeded
        ([(True, True), (False,), (False,)], [0, 1, 2]),
        ([(True, False)], [1]),
        ([(False,), (True, False), (False,)], [1, 1, 2]),
    ],
)
def test_each_failed_holder_counts_once(
    terms: list[tuple[bool, ...]], failures: list[int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a member that regains a lease and fails its first step, and counts two failures: tasks
    were parked after half as many failed holders."""
    monkeypatch.setattr(lease_tasks, "FIRST_STEP_DELAY_S", 0.0)

    async def scenario() -> None:
        holder = ScriptedHolder(asyncio.get_running_loop())
        assert [await holder.hold(10 + n, *results) for n, results in enumerate(terms)] == failures

    asyncio.run(scenario())
