"""What the decision module keeps of customers, servers and requests: records, and no decision.

`policy.py` alone changes them. Times are milliseconds, rates are units a second.
"""

from __future__ import annotations

import math
from dataclasses import field

from .admission.epoch_markers import Name
from .interface import Plan, Request, RequestClass, ServerEntry
from .record import record


@record(slots=True)
class Customer:
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
    word: Name | None = None  # what its totals can be trusted to say
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


@record(slots=True)
class Server:
    """What this gateway knows of one server."""

    entry: ServerEntry
    size: float = 1.0  # as the list has it
    out: int = 0  # own attempts under way
    pace: float = 1.0  # time of answers against the fleet's mean for the same kind of request
    paced_at: float = 0.0  # as of then; what is old says less
    fails: float = 0.0  # recent share of failures, fading
    fails_at: float = 0.0
    refused: int = 0  # attempts in a row that did not connect
    look_at: float = 0.0  # until then nothing more is sent to one that did not connect
    avoid_to: float = 0.0  # the same by the words of others
    silent_since: float | None = None  # first sending since the last answer
    held: float = 0.0  # requests of other gateways there, by its last report
    held_at: float = -1e9
    turn: float = 0.0  # while it is cold: the part of a turn that has come up, by the moment ...
    turn_at: float = 0.0
    rate: float = 0.0  # answers a second, by the last one
    rated_at: float = 0.0


@record(slots=True)
class Open:
    """A request that awaits its final answer."""

    request: Request
    cls: RequestClass
    customer: Customer | None
    came: float
    deadline: float
    attempts: int = 0
    out: int = 0
    counted: bool = False  # its call has told the counter of it
    booked: bool = False  # its units are taken from the stores
    reached: bool = False  # an attempt came to a server, or may have
    tried: list[str] = field(default_factory=list)
    may_run_at: float | None = None  # when the first attempt was sent that may have run
    home: ServerEntry | None = None  # where that one went


@record(slots=True)
class Attempt:
    """An attempt under way; it may outlive its request."""

    opened: Open
    server: ServerEntry
    sent: float
    work: float  # mean time of such a request by then
    began: float = math.inf  # when a long answer's first bytes came; from then on it is not late
