"""The audit, a leased task: replicas that stay diverged, and usage that the shared counter does not confirm.

It only reads and logs, so its effects need no fencing token.
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

MAX_DIVERGENCE_S = 10.0  # a replica that differs for longer is logged
READ_TTL_MS = 1000.0


class AuditTask:
    """The audit of one process; `step` runs while it holds the task's lease."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, gossip: Gossip, replica: Replica, reporter: UsageReporter
    ) -> None:
        self.loop, self.gossip, self.replica, self.reporter = loop, gossip, replica, reporter
        self.usage_audit = UsageAudit()
        self.counter: SharedCounter | None = None
        self.reported_diverged: set[str] = set()

    async def step(self, guard: LeaseGuard) -> None:
        """One round of both audits. LeaseLost where the counter answers nothing here."""
        self.audit_replicas()
        if self.counter is not None and self.gossip.is_complete:
            await self.audit_usage(guard)

    def audit_replicas(self) -> None:
        """Logs, once, each member whose replica has differed for longer than convergence takes."""
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
        """Compares windows that are over with the counter, and logs accounts that differ."""
        rows = (self.replica.rows[key].row for key in self.replica.keys_by_age[RowKind.USE])
        queries = [
            query
            for query in self.usage_audit.due_queries(self.reporter.now_ms, rows)
            if query.reported_units >= REPORTED_SHARE * window_allowance_units(query.plan)
        ]  # of windows with less not all usage is reported
        totals = await asyncio.gather(*map(self.read_total, queries))
        if queries and guard.step and totals.count(None) == len(totals):
            raise LeaseLost  # another may reach the counter; a first step that fails would count
        for query, total in zip(queries, totals, strict=True):
            found = self.usage_audit.receive_total(query, total)
            if found is not None:
                log_event("audit.use", account=found.account, counter=round(found.counter_units, 1),
                          members=round(found.member_units, 1),
                          holds="less" if found.is_counter_lower else "more")  # fmt: skip

    async def read_total(self, query: CounterQuery) -> float | None:
        """The counter's total; None where it does not answer. It is read by adding nothing."""
        assert self.counter is not None
        answer: asyncio.Future[float | None] = self.loop.create_future()

        def done(total: float, outcome: Outcome, took_ms: float) -> None:
            if not answer.done():
                answer.set_result(total if outcome is Outcome.OK else None)

        self.counter.increment(query.counter_name, 0.0, READ_TTL_MS, done, lambda *late: None)
        return await answer
