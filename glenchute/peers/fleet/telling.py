"""The decision module behind the fleet's words: what goes on is written down for the others, and before each
request the module is told what the others let in. No socket and no clock of its own."""

from __future__ import annotations

from collections.abc import Callable

from glenchute.core.types import Decisions
from glenchute.deciders.fleet.replica import Row
from glenchute.deciders.fleet.use import Use
from heathglade import interface as api
from heathglade.windows import window_start

MOST_OPEN = 20_000


class Telling:
    """The decision module, with the fleet's ears before it."""

    def __init__(
        self, module: Decisions, made: api.Settings, use: Use, tell: Callable[[Row], None],
        share: Callable[[], float],
    ) -> None:  # fmt: skip
        self.module, self.use, self.tell, self.share = module, use, tell, share
        self.plans = {plan.name: plan for plan in made.plans}
        self.open: dict[str, tuple[str, api.Plan, float]] = {}  # requests that have not gone on; units

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """One event for the module."""
        if isinstance(event, api.Request):
            plan = self.plans.get(event.plan)
            if plan is not None and plan.rate and len(self.open) < MOST_OPEN:
                window, share = window_start(now_ms, event.customer, plan), self.share()
                units = self.use.by_others(event.customer, window)
                last = window_start(window - 1.0, event.customer, plan)
                before = self.use.by_others(event.customer, last)
                self.module.handle(now_ms, api.Used(event, window, units, before, share))
                self.open[event.request_id] = event.customer, plan, event.units
        elif isinstance(event, api.RequestGone):
            self.open.pop(event.request_id, None)
        actions = self.module.handle(now_ms, event)
        for action in actions:
            if isinstance(action, api.Send | api.Refuse | api.Fail):
                found = self.open.pop(action.request_id, None)
                if found is not None and isinstance(action, api.Send):
                    self.tell(self.use.let_in(found[0], window_start(now_ms, *found[:2]), found[2]))
        return actions
