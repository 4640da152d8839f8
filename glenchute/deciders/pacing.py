"""When a gateway calls discovery, and what of its answers it believes: for fleets that start, lose their
watch or are moved in one moment. No I/O; seconds by one clock of this process.

Nothing is shared between gateways: each knows the fleet's size and its own number, so that turns drawn by
each alone are spread over what the service bears. The rate of the whole fleet is held by additive increase
and multiplicative decrease (Chiu and Jain, 1989), each gateway by its share; jitter keeps them out of step.

What a service sees of N gateways, at a rate of R calls a second and lists that may be B old, both stated:

- N that start at once: at most `calls_bound` in any second, which is the larger of `LOAD` R and
  4/3 N / (B - 2 s), and one. Where the size is set wrong by a factor, so is this, until the service has
  turned calls away: each time divides the rate by `DECREASE`. Where no age is stated, whoever is turned away
  comes again within `UNSTATED_SPREAD_S`, whatever the service says of it: its news count as told by then.
- N that lose their watch, hear the same news or are moved at once: as many on average; a second's number
  is drawn.
- A start over and over with a pause shorter than its turn makes no call; a longer one, one call each.
- Without a list (its turn comes in the first quarter, which the others leave free) four times as many, if
  all have none.
- On quiet days the ends of waits: N / W, W from 4 to 20 s, or more if that is over a quarter of R.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from heathglade.interface import ListKind, ServerList, ServerState

# A watch waits so long for news; what it waits for counts as told 2 s after that. Each end of a wait costs
# the service a call, so the wait grows with the fleet, in these bounds: all together end so many a second.
WAIT_S = (4.0, 20.0)
CALLS_PER_S = 3.0
PUSHED_WAIT_S = 3.0  # where lists are pushed: half of the time after which what a silent watch misses counts
CROWDED_WAIT_S = 55.0  # the longest wait at a service that turns calls away
ANSWER_S = 2.0  # a crowded service takes so long for an answer
URGENT = 0.25  # the first part of a spread belongs to those without a list
LOAD = 0.8  # of the rate is what turns take; the ends of waits need some
WATCHES = 0.25  # ... and no more than this
DECREASE = 4.0  # of the rate, at each call that is turned away
INCREASE = 0.1  # of what is left then, at each answer
MOST_SPREAD_S = 60.0
TOLD_S = 6.0  # what the service has to tell counts as told so much later, whether or not it was heard
UNSTATED_SPREAD_S = TOLD_S - ANSWER_S  # so that no pause makes news late where nobody states more
BACKOFF_S = (0.1, 1.0)  # pauses between tries at a service that does not answer
MOST_RETRY_AFTER_S = 60.0


class Terms(NamedTuple):
    """What turns are drawn by."""

    gateways: int
    number: int | None = None  # of this gateway among them, from 0; None: not known
    rate: float = 15.0  # calls a second, of all together, that the service is taken to bear at first
    # What the service has to tell counts as told after this, for a gateway that starts too. None: nobody says
    # so, a saved list may be of long ago, and no call is put off but those that the service turns away.
    list_age_s: float | None = None
    # Lists are pushed: the service is an agent on this machine, which answers at once and at no cost. What it
    # has counts as told whether or not a call is out.
    pushed: bool = False


def calls_bound(terms: Terms, listed: bool = True) -> float:
    """Calls in any one second, at most, by gateways that all begin in one moment and know their numbers."""
    if terms.list_age_s is None:
        return float(terms.gateways)
    most = max(LOAD * terms.rate, terms.gateways / (1.0 - URGENT) / max(1e-9, terms.list_age_s - ANSWER_S))
    return min(float(terms.gateways), most * (1.0 if listed else (1.0 - URGENT) / URGENT) + 1.0)


class Pacing:
    """The calls of one gateway."""

    def __init__(self, terms: Terms, rng: random.Random) -> None:
        self.terms, self.rng = terms, rng
        self.gateways = max(1, terms.gateways)
        self.rate = terms.rate
        self.step = 0.0  # by which it grows
        self.crowded = False  # calls were turned away, and the rate is not yet what it was
        self.backoff = BACKOFF_S[0]

    @property
    def spread(self) -> float:
        """Over how long the calls of a fleet in step are spread. No longer than a list may be old, unless the
        service has shown that it can't answer all by then."""
        spread = self.gateways / (LOAD * self.rate)
        return min(spread, self.most)

    @property
    def most(self) -> float:
        """The longest spread."""
        if self.crowded:
            return UNSTATED_SPREAD_S if self.terms.list_age_s is None else MOST_SPREAD_S
        return self.calm

    @property
    def calm(self) -> float:
        """The longest spread of calls that the service has not turned away: a change in the meantime is heard
        of no later than a list may be old. Where nobody says how old that is, nothing is put off."""
        age = self.terms.list_age_s
        return 0.0 if age is None else max(0.0, age - ANSWER_S)

    def first(self, listed: bool) -> float:
        """The pause before a start's first call. `listed`: a list that can be served by is at hand."""
        number = self.terms.number
        at = self.rng.random()
        if number is not None and 0 <= number < self.gateways:
            at = (number + at) / self.gateways
        if self.gateways == 1:
            return 0.0
        # The first part is left free, and the others' calls are no denser for that where time allows.
        spread = min(self.spread / (1.0 - URGENT), self.most)
        return spread * (URGENT + (1.0 - URGENT) * at if listed else URGENT * at)

    def in_step(self) -> float:
        """The pause before a call that all gateways would make now: their watches have told the same news,
        or they were moved."""
        return self.rng.random() * min(self.spread, self.calm) if self.gateways > 1 else 0.0

    def moved(self) -> float:
        """Another service from now on, of which nothing is known: the pause before its first call."""
        self.rate, self.crowded, self.backoff = self.terms.rate, False, BACKOFF_S[0]
        return self.in_step()

    def answered(self) -> None:
        """The service answers."""
        self.backoff = BACKOFF_S[0]
        self.rate = min(self.terms.rate, self.rate + self.step)
        self.crowded = self.crowded and self.rate < self.terms.rate

    def busy(self, retry_after_s: float | None, listed: bool) -> float:
        """A call was turned away: the pause before the next. Who has a list leaves the first part of the
        spread to those that have none."""
        self.crowded = True
        stated = self.terms.list_age_s is not None
        least_rate = self.gateways / (LOAD * self.most) if stated else self.terms.rate / DECREASE
        self.rate = max(least_rate, self.rate / DECREASE)
        self.step = INCREASE * self.rate
        first = max(BACKOFF_S[0], min(MOST_RETRY_AFTER_S, retry_after_s or 0.0))
        part = self.rng.uniform(URGENT if stated and listed else 0.1, 1.0)
        if stated and not listed:
            part *= URGENT
        pause = first + part * max(self.spread, BACKOFF_S[0])
        return pause if stated else min(pause, UNSTATED_SPREAD_S)

    def failed(self) -> float:
        """No connection, or no sound answer: the pause before the next try. All may have lost the service in
        this moment, and all wait for its return, so that they must not come in the same second."""
        lost = self.backoff == BACKOFF_S[0]
        share = self.rng.random() if lost else self.rng.uniform(0.5, 1.5)
        pause = max(share * min(self.spread, self.calm), self.backoff * self.rng.uniform(0.5, 1.0))
        self.backoff = BACKOFF_S[0] if self.terms.pushed else min(BACKOFF_S[1], 2.0 * self.backoff)
        return pause

    def patience(self) -> float:
        """How long a watch waits for news. Gateways that began together must not end together."""
        wait = min(WAIT_S[1], max(WAIT_S[0], self.gateways / CALLS_PER_S))
        if self.terms.pushed:
            wait = PUSHED_WAIT_S
        if self.terms.list_age_s is not None:
            wait = max(wait, min(CROWDED_WAIT_S, self.gateways / (WATCHES * self.rate)))
        return wait * self.rng.uniform(0.75, 1.0)


class Doubt:
    """Whether a whole list is taken at its word. For services that may answer half a list, an older or an
    empty one; whoever follows a service that is always right has no need of it.

    Such a list is taken when the answer to a later call says the same; an empty one only when the servers
    held have not answered either. So a lying answer costs one call, and a true one comes so much later.
    """

    HALF = 0.5

    def __init__(self) -> None:
        self.version = -1  # of the list in force
        self.servers: set[str] = set()  # ... and who is on it
        self.seen: tuple[int, frozenset[str]] | None = None  # a list in doubt

    def takes(self, version: int, news: ServerList, serving: bool) -> bool:
        """Whether this answer may come into force. `serving`: servers of the list held answer now."""
        if news.kind is ListKind.FULL:
            one = version, frozenset(entry.server for entry in news.entries)
            odd = version < self.version or len(self.servers & one[1]) < self.HALF * len(self.servers)
            if odd and (one != self.seen or (not one[1] and serving)):
                self.seen = one
                return False
        self.follow(version, news)
        return True

    def follow(self, version: int, news: ServerList) -> None:
        """This is in force now."""
        if news.kind is not ListKind.CHANGES:
            self.servers = set()
        for entry in news.entries:
            (self.servers.discard if entry.state is ServerState.GONE else self.servers.add)(entry.server)
        self.version, self.seen = version, None
