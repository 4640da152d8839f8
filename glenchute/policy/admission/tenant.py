"""The quota state of one tenant at this gateway."""

from __future__ import annotations

import math

from ..record import record
from ..settings import Plan
from .epoch_markers import WindowCounter


@record(slots=True)
class Tenant:
    """What this gateway knows of one customer."""

    key: str
    plan: Plan
    spread: int
    at: float  # when the stores were last brought up to date
    store: float  # what the customer's global store is thought to hold
    part: float  # what this gateway's part of it holds; counts while the counter is mute
    guard: float  # this gateway's part of the ceiling's store
    seen: float
    credit: float = 1.0  # a trickle's share adds up here until it makes a request
    own: float = 0.0  # own demand, units a second
    others: float = 0.0  # the other gateways' use, units a second
    drained: float = 0.0  # units taken from the store for that since the last word
    open: int = 0  # own attempts out
    size: float = 1.0  # its largest request, units
    told_own: float = 0.0  # of the units that the counter told of lately, the own ones ...
    told_all: float = 0.0  # ... and all of them
    span: float = 1000.0  # length of its windows
    window: float = -math.inf  # start of the window whose name on the counter is in use
    name: int = 0  # the counter's name for that window: units sent on or asked for, by all gateways
    word: WindowCounter | None = None  # what its totals can be trusted to say
    whole: bool = False  # the last answer's call added all that its request asks for
    fresh: float = 0.0  # own units not yet added
    under_way: int = 0  # calls without an answer so far
    mine: float = 0.0  # own units added since the last answer
    by_counter: float = 0.0  # units of the others in this window, by the counter ...
    by_members: float = 0.0  # ... and by the members' own words; the larger one counts
    before: float = math.nan  # the same of the window before; nan: nothing was heard in it
    heard: float = 0.0  # the share of the gateways whose words these are, this one included
    heard_at: float = -1e9  # as of then
    total: float = 0.0  # the last total
    total_at: float = -1e9
    called_at: float = -1e9
