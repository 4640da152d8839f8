"""When a gateway calls discovery, and what of its answers it believes: for fleets that start, lose their
watch or are moved in one moment. No I/O; seconds by one clock of this process.

Nothing is shared between gateways: each knows the fleet's size and its own number, so that turns drawn by
each alone are spread over what the service bears. The rate of the whole fleet is held by additive increase
and multiplicative decrease (Chiu and Jain, 1989), each gateway by its share; jitter keeps them out of step.

What a service sees of N gateways, at a rate of R calls a second and lists that may be B old, both stated:

- N that start at once: at most `calls_bound` in any second, which is the larger of `LOAD` R and
  4/3 N / (B - 2 s), and one. These are first calls. Where the size is set wrong by a factor, so is this,
  until the service has turned calls away: each time divides the rate by `DECREASE`.
- N that hear the same news at once: as many; on average, where they don't know their numbers.
- N that lose their watch or are turned away: the same, but each comes again within `told.longest_pause`
  (4 s), whatever the service says of it and whatever is stated: its news count as told by then. So the
  terms go before the rate: R below N / (4 s) / `LOAD` does not bear them. While calls fail or are turned
  away, again and again, each makes one in 3 to 4 s.
- N that are moved: within 2 s, for the same reason.
- A start over and over with a pause shorter than its turn makes no call; a longer one, one call each.
- Without a list (its turn comes in the first quarter, which the others leave free) four times as many, if
  all have none.
- On quiet days the ends of waits: N / W, W from 4 to 20 s, or more if that is over a quarter of R.
"""

from __future__ import annotations

import random
from dataclasses import replace
from typing import NamedTuple

from ..events import Endpoint, EndpointList, EndpointListKind, EndpointState
from . import notification as told

# A watch waits so long for news; what it waits for counts as told 2 s after that. Each end of a wait costs
# the service a call, so the wait grows with the fleet, in these bounds: all together end so many a second.
WAIT_S = (4.0, 20.0)
CALLS_PER_S = 3.0
CROWDED_WAIT_S = 55.0  # the longest wait at a service that turns calls away
URGENT = 0.25  # the first part of a spread belongs to those without a list
LOAD = 0.8  # of the rate is what turns take; the ends of waits need some
WATCHES = 0.25  # ... and no more than this
DECREASE = 4.0  # of the rate, at each call that is turned away
INCREASE = 0.1  # of what is left then, at each answer
MOST_SPREAD_S = 60.0  # of calls that all make after news, at a service that turned calls away
AGAIN = 0.75  # who comes again and again takes the last part of the longest pause, so that few calls are made
BACKOFF_S = (0.1, 1.0)  # pauses between tries at a service that does not answer


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
    """First calls in a second, at most, of gateways that all begin in one moment and know their numbers."""
    if terms.list_age_s is None:
        return float(terms.gateways)
    spread = max(1e-9, terms.list_age_s - told.ANSWER_S)
    most = max(LOAD * terms.rate, terms.gateways / (1.0 - URGENT) / spread)
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
        self.doubted = False  # the last call came to nothing

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
            return told.longest_pause() if self.terms.list_age_s is None else MOST_SPREAD_S
        return self.calm

    @property
    def calm(self) -> float:
        """The longest spread of calls that the service has not turned away: a change in the meantime is heard
        of no later than a list may be old. Where nobody says how old that is, nothing is put off."""
        age = self.terms.list_age_s
        return 0.0 if age is None else max(0.0, age - told.ANSWER_S)

    def turn(self) -> float:
        """Where in a spread this gateway's turn is: by its number, where it knows that, else drawn."""
        number, at = self.terms.number, self.rng.random()
        if number is not None and 0 <= number < self.gateways:
            at = (number + at) / self.gateways
        return at

    def first(self, listed: bool) -> float:
        """The pause before a start's first call. `listed`: a list that can be served by is at hand."""
        at = self.turn()
        if self.gateways == 1:
            return 0.0
        # The first part is left free, and the others' calls are no denser for that where time allows.
        spread = min(self.spread / (1.0 - URGENT), self.most)
        return spread * (URGENT + (1.0 - URGENT) * at if listed else URGENT * at)

    def in_step(self) -> float:
        """The pause before a call that all gateways would make now: their watches have told the same news."""
        return self.turn() * min(self.spread, self.calm) if self.gateways > 1 else 0.0

    def moved(self) -> float:
        """Another service from now on, of which nothing is known: the pause before its first call."""
        self.rate, self.crowded, self.backoff = self.terms.rate, False, BACKOFF_S[0]
        self.doubted = False
        return self.turn() * min(self.spread, self.calm, told.longest_pause(moved=True))

    def answered(self) -> None:
        """The service answers."""
        self.backoff = BACKOFF_S[0]
        self.doubted = False
        self.rate = min(self.terms.rate, self.rate + self.step)
        self.crowded = self.crowded and self.rate < self.terms.rate

    def busy(self, retry_after_s: float | None, listed: bool) -> float:
        """A call was turned away: the pause before the next. Who has a list leaves the first part of the
        spread to those that have none."""
        if self.terms.pushed:
            return self.failed()  # nobody else asks this agent, and what it has counts at once
        again, self.doubted, self.crowded = self.doubted, True, True
        stated = self.terms.list_age_s is not None
        least_rate = self.gateways / (LOAD * self.most) if stated else self.terms.rate / DECREASE
        self.rate = max(least_rate, self.rate / DECREASE)
        self.step = INCREASE * self.rate
        # What it asks for is kept as far as the terms allow, with room left to be out of step.
        most = told.longest_pause()
        first = max(BACKOFF_S[0], min(0.5 * most, retry_after_s or 0.0))
        # Those that came to nothing before are spread already.
        part = self.rng.uniform(AGAIN if again else URGENT if stated and listed else 0.1, 1.0)
        if stated and not listed:
            part *= URGENT
        return first + part * min(max(self.spread, BACKOFF_S[0]), most - first)

    def failed(self) -> float:
        """No connection, or no sound answer: the pause before the next try. All may have lost the service in
        this moment, and all wait for its return, so that they must not come in the same second."""
        again, self.doubted = self.doubted, True
        spread = min(self.spread, self.calm)
        if again:  # as many calls as by draws from the whole spread
            pause = self.rng.uniform(AGAIN, 1.0) * min(2.0 * spread / (1.0 + AGAIN), told.longest_pause())
        else:
            pause = self.turn() * min(spread, told.longest_pause())
        pause = max(pause, self.backoff * self.rng.uniform(0.5, 1.0))
        self.backoff = BACKOFF_S[0] if self.terms.pushed else min(BACKOFF_S[1], 2.0 * self.backoff)
        return pause

    def patience(self) -> float:
        """How long a watch waits for news. Gateways that began together must not end together."""
        wait = min(WAIT_S[1], max(WAIT_S[0], self.gateways / CALLS_PER_S))
        if self.terms.pushed:
            wait = told.PUSHED_WAIT_S
        if self.terms.list_age_s is not None:
            wait = max(wait, min(CROWDED_WAIT_S, self.gateways / (WATCHES * self.rate)))
        if self.doubted:
            wait = min(wait, told.wait_in_doubt())
        return wait * self.rng.uniform(0.75, 1.0)


class Doubt:
    """Whether a whole list is taken at its word. For services that may answer half a list, an older or an
    empty one; whoever follows a service that is always right has no need of it.

    Such a list is taken when the answer to a later call is not odd beside it; an empty one only when the
    servers held have not answered either. So a lying answer costs one call, and a true one comes so much
    later: that call goes with no pause (`Watch.doubted`).

    What a doubted list forbids holds before that (`forbids`): it may forbid, never loosen.
    """

    HALF = 0.5
    WORDS = 2  # answers that an odd list takes to be in force

    def __init__(self) -> None:
        self.version = -1  # of the list in force
        self.servers: dict[str, Endpoint] = {}  # ... and who is on it, as they may be used
        self.working = 0  # of these, how many took work when it came into force
        self.seen: tuple[int, frozenset[str]] | None = None  # a list in doubt

    def takes(self, version: int, news: EndpointList, serving: bool) -> bool:
        """Whether this answer may come into force. `serving`: servers of the list held answer now."""
        if news.kind is EndpointListKind.FULL:
            names = frozenset(entry.address for entry in news.endpoints)
            odd = version < self.version or self.lacking(names, frozenset(self.servers))
            if odd and not (self.said_again(version, names) and (names or not serving)):
                self.seen = version, names
                return False
        self.follow(version, news)
        return True

    def lacking(self, names: frozenset[str], of: frozenset[str]) -> bool:
        """Whether less than half of these are named."""
        return len(of & names) < self.HALF * len(of)

    def said_again(self, version: int, names: frozenset[str]) -> bool:
        """Whether a list bears out the one in doubt. Not word for word: while servers come and go each answer
        of a sound service has another version, and none would ever be taken."""
        if self.seen is None or version < self.seen[0]:
            return False
        return not self.lacking(names, self.seen[1]) and (bool(self.seen[1]) or not names)

    def forbids(self, news: EndpointList) -> tuple[Endpoint, ...]:
        """Servers that a doubted list has draining or gone, and that were used until now: they get nothing
        new from now on, and the next list that is taken tells whether they come back. None, where fewer than
        half of those that took work would be left: a false list must not end service, and the second word is
        asked for at once."""
        named = {entry.address for entry in news.endpoints if entry.state is not EndpointState.ACTIVE}
        working = [entry for entry in self.servers.values() if entry.state is EndpointState.ACTIVE]
        stopped = [entry for entry in working if entry.address in named]
        if len(working) - len(stopped) < self.HALF * self.working:
            return ()
        found = tuple(replace(entry, state=EndpointState.DRAINING) for entry in stopped)
        self.servers.update({entry.address: entry for entry in found})
        return found

    def follow(self, version: int, news: EndpointList) -> None:
        """This is in force now."""
        if news.kind is not EndpointListKind.CHANGES:
            self.servers = {}
        for entry in news.endpoints:
            if entry.state is EndpointState.REMOVED:
                self.servers.pop(entry.address, None)
            else:
                self.servers[entry.address] = entry
        self.working = sum(entry.state is EndpointState.ACTIVE for entry in self.servers.values())
        self.version, self.seen = version, None
