"""The audit, a task under a lease: finds replicas that stay diverged, and usage that the shared counter does
not confirm.

The audit only reads and logs, so it needs no fencing token.
"""

from __future__ import annotations

import asyncio

from glenchute.core.types import SharedCounter
from glenchute.policy.events import Outcome
from glenchute.policy.membership.gossip import Gossip
from glenchute.policy.membership.replica import Replica, RowKind
from glenchute.policy.membership.usage import REPORTED_SHARE, window_allowance_units
from glenchute.policy.membership.usage_audit import CounterQuery, UsageAudit

from .lease_tasks import LeaseGuard, LeaseLost
from .log_events import log_event
from .usage_reports import UsageReporter

MAX_DIVERGENCE_S = 10.0  # gossip has converged by then; a replica that still differs is logged
READ_TTL_MS = 1000.0


class AuditTask:
    """The audit in one process. `step` is called while the process holds the task's lease."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, gossip: Gossip, replica: Replica, reporter: UsageReporter
    ) -> None:
        self.loop, self.gossip, self.replica, self.reporter = loop, gossip, replica, reporter
        self.usage_audit = UsageAudit()
        self.counter: SharedCounter | None = None
        self.reported_diverged: set[str] = set()

    async def step(self, guard: LeaseGuard) -> None:
        """Runs one round of both audits. Raises LeaseLost where the counter answers none of its reads."""
        self.audit_replicas()
        if self.counter is not None and self.gossip.is_complete:
            await self.audit_usage(guard)

    def audit_replicas(self) -> None:
        """Logs, once, each member whose replica has differed for longer than `MAX_DIVERGENCE_S`."""
        now = self.loop.time()
        diverged = {
            name: divergence.bucket_count
            for name, divergence in self.gossip.diverged.items()
            if now - divergence.since > MAX_DIVERGENCE_S
        }
        for name in sorted(diverged.keys() - self.reported_diverged):
            log_event("audit.apart", member=name, parts=diverged[name])
        self.reported_diverged = set(diverged)

    async def audit_usage(self, guard: LeaseGuard) -> None:
        """Compares members' usage in past windows with the counter's totals; logs accounts that differ."""
        rows = (self.replica.rows[key].row for key in self.replica.keys_by_age[RowKind.USE])
        # Windows with less usage are left out: members need not report all of it.
        queries = [
            query
            for query in self.usage_audit.due_queries(self.reporter.now_ms, rows)
            if query.reported_units >= REPORTED_SHARE * window_allowance_units(query.plan)
        ]
        totals = await asyncio.gather(*map(self.read_total, queries))
        if queries and guard.completed_steps and totals.count(None) == len(totals):
            # Releases the lease, as another member may reach the counter. But not in a holder's first step,
            # which is recorded as failed before it runs: that record would stay, and a few such holders in a
            # row would park the task.
            raise LeaseLost
        for query, total in zip(queries, totals, strict=True):
            mismatch = self.usage_audit.receive_total(self.reporter.now_ms, query, total)
            if mismatch is not None:
                log_event("audit.use", account=mismatch.account, counter=round(mismatch.counter_units, 1),
                          members=round(mismatch.member_units, 1),
                          holds="less" if mismatch.is_counter_lower else "more")  # fmt: skip

    async def read_total(self, query: CounterQuery) -> float | None:
        """Returns the counter's total, read by an increment of 0; None where the counter does not answer."""
        assert self.counter is not None
        answer: asyncio.Future[float | None] = self.loop.create_future()

        def on_reply(total: float, outcome: Outcome, duration_ms: float) -> None:
            if not answer.done():
                answer.set_result(total if outcome is Outcome.OK else None)

        self.counter.increment(query.counter_name, 0.0, READ_TTL_MS, on_reply, lambda *late_reply: None)
        return await answer
