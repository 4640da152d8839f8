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
from typing import NamedTuple

from . import notification as told

# A watch waits so long for news; what it waits for counts as told 2 s after that. Each end of a wait costs
# the service a call, so the wait grows with the fleet, in these bounds: all together end so many a second.
WATCH_WAIT_S = (4.0, 20.0)
WATCH_ENDS_PER_S = 3.0
MAX_OVERLOADED_WAIT_S = 55.0  # the longest wait at a service that turns calls away
URGENT_SHARE = 0.25  # the first part of a spread belongs to those without a list
POLL_RATE_SHARE = 0.8  # of the rate is what turns take; the ends of waits need some
WATCH_RATE_SHARE = 0.25  # ... and no more than this
RATE_DECREASE_FACTOR = 4.0  # of the rate, at each call that is turned away
RATE_INCREASE_SHARE = 0.1  # of what is left then, at each answer
MAX_OVERLOADED_SPREAD_S = 60.0  # of calls that all make after news, at a service that turned calls away
REPEATED_FAILURE_MIN_SHARE = (
    0.75  # who comes again and again takes the last part of the longest pause, so that few calls are made
)
BACKOFF_S = (0.1, 1.0)  # pauses between tries at a service that does not answer


class PollingTerms(NamedTuple):
    """What turns are drawn by."""

    gateway_count: int
    gateway_index: int | None = None  # of this gateway among them, from 0; None: not known
    rate_per_s: float = 15.0  # calls a second, of all together, that the service is taken to bear at first
    # What the service has to tell counts as told after this, for a gateway that starts too. None: nobody says
    # so, a saved list may be of long ago, and no call is put off but those that the service turns away.
    max_list_age_s: float | None = None
    # Lists are pushed: the service is an agent on this machine, which answers at once and at no cost. What it
    # has counts as told whether or not a call is out.
    is_pushed: bool = False


def max_first_polls_per_s(terms: PollingTerms, listed: bool = True) -> float:
    """First calls in a second, at most, of gateways that all begin in one moment and know their numbers."""
    if terms.max_list_age_s is None:
        return float(terms.gateway_count)
    spread = max(1e-9, terms.max_list_age_s - told.ANSWER_ALLOWANCE_S)
    most = max(POLL_RATE_SHARE * terms.rate_per_s, terms.gateway_count / (1.0 - URGENT_SHARE) / spread)
    return min(
        float(terms.gateway_count), most * (1.0 if listed else (1.0 - URGENT_SHARE) / URGENT_SHARE) + 1.0
    )


class PollScheduler:
    """The calls of one gateway."""

    def __init__(self, terms: PollingTerms, rng: random.Random) -> None:
        self.terms, self.rng = terms, rng
        self.gateway_count = max(1, terms.gateway_count)
        self.rate_per_s = terms.rate_per_s
        self.rate_increment_per_s = 0.0  # by which it grows
        self.is_overloaded = False  # calls were turned away, and the rate is not yet what it was
        self.backoff_s = BACKOFF_S[0]
        self.last_poll_failed = False  # the last call came to nothing

    @property
    def spread_s(self) -> float:
        """Over how long the calls of a fleet in step are spread. No longer than a list may be old, unless the
        service has shown that it can't answer all by then."""
        spread = self.gateway_count / (POLL_RATE_SHARE * self.rate_per_s)
        return min(spread, self.max_spread_s)

    @property
    def max_spread_s(self) -> float:
        """The longest spread."""
        if self.is_overloaded:
            return told.max_backoff_s() if self.terms.max_list_age_s is None else MAX_OVERLOADED_SPREAD_S
        return self.max_calm_spread_s

    @property
    def max_calm_spread_s(self) -> float:
        """The longest spread of calls that the service has not turned away: a change in the meantime is heard
        of no later than a list may be old. Where nobody says how old that is, nothing is put off."""
        age = self.terms.max_list_age_s
        return 0.0 if age is None else max(0.0, age - told.ANSWER_ALLOWANCE_S)

    def draw_phase(self) -> float:
        """Where in a spread this gateway's turn is: by its number, where it knows that, else drawn."""
        number, at = self.terms.gateway_index, self.rng.random()
        if number is not None and 0 <= number < self.gateway_count:
            at = (number + at) / self.gateway_count
        return at

    def first_poll_delay_s(self, listed: bool) -> float:
        """The pause before a start's first call. `listed`: a list that can be served by is at hand."""
        at = self.draw_phase()
        if self.gateway_count == 1:
            return 0.0
        # The first part is left free, and the others' calls are no denser for that where time allows.
        spread = min(self.spread_s / (1.0 - URGENT_SHARE), self.max_spread_s)
        return spread * (URGENT_SHARE + (1.0 - URGENT_SHARE) * at if listed else URGENT_SHARE * at)

    def synchronized_delay_s(self) -> float:
        """The pause before a call that all gateways would make now: their watches have told the same news."""
        return (
            self.draw_phase() * min(self.spread_s, self.max_calm_spread_s) if self.gateway_count > 1 else 0.0
        )

    def reset_for_new_address(self) -> float:
        """Another service from now on, of which nothing is known: the pause before its first call."""
        self.rate_per_s, self.is_overloaded, self.backoff_s = self.terms.rate_per_s, False, BACKOFF_S[0]
        self.last_poll_failed = False
        return self.draw_phase() * min(self.spread_s, self.max_calm_spread_s, told.max_backoff_s(moved=True))

    def record_answer(self) -> None:
        """The service answers."""
        self.backoff_s = BACKOFF_S[0]
        self.last_poll_failed = False
        self.rate_per_s = min(self.terms.rate_per_s, self.rate_per_s + self.rate_increment_per_s)
        self.is_overloaded = self.is_overloaded and self.rate_per_s < self.terms.rate_per_s

    def record_rejection(self, retry_after_s: float | None, listed: bool) -> float:
        """A call was turned away: the pause before the next. Who has a list leaves the first part of the
        spread to those that have none."""
        if self.terms.is_pushed:
            return self.record_failure()  # nobody else asks this agent, and what it has counts at once
        again, self.last_poll_failed, self.is_overloaded = self.last_poll_failed, True, True
        stated = self.terms.max_list_age_s is not None
        least_rate = (
            self.gateway_count / (POLL_RATE_SHARE * self.max_spread_s)
            if stated
            else self.terms.rate_per_s / RATE_DECREASE_FACTOR
        )
        self.rate_per_s = max(least_rate, self.rate_per_s / RATE_DECREASE_FACTOR)
        self.rate_increment_per_s = RATE_INCREASE_SHARE * self.rate_per_s
        # What it asks for is kept as far as the terms allow, with room left to be out of step.
        most = told.max_backoff_s()
        first = max(BACKOFF_S[0], min(0.5 * most, retry_after_s or 0.0))
        # Those that came to nothing before are spread already.
        part = self.rng.uniform(
            REPEATED_FAILURE_MIN_SHARE if again else URGENT_SHARE if stated and listed else 0.1, 1.0
        )
        if stated and not listed:
            part *= URGENT_SHARE
        return first + part * min(max(self.spread_s, BACKOFF_S[0]), most - first)

    def record_failure(self) -> float:
        """No connection, or no sound answer: the pause before the next try. All may have lost the service in
        this moment, and all wait for its return, so that they must not come in the same second."""
        again, self.last_poll_failed = self.last_poll_failed, True
        spread = min(self.spread_s, self.max_calm_spread_s)
        if again:  # as many calls as by draws from the whole spread
            pause = self.rng.uniform(REPEATED_FAILURE_MIN_SHARE, 1.0) * min(
                2.0 * spread / (1.0 + REPEATED_FAILURE_MIN_SHARE), told.max_backoff_s()
            )
        else:
            pause = self.draw_phase() * min(spread, told.max_backoff_s())
        pause = max(pause, self.backoff_s * self.rng.uniform(0.5, 1.0))
        self.backoff_s = BACKOFF_S[0] if self.terms.is_pushed else min(BACKOFF_S[1], 2.0 * self.backoff_s)
        return pause

    def watch_wait_s(self) -> float:
        """How long a watch waits for news. Gateways that began together must not end together."""
        wait = min(WATCH_WAIT_S[1], max(WATCH_WAIT_S[0], self.gateway_count / WATCH_ENDS_PER_S))
        if self.terms.is_pushed:
            wait = told.PUSHED_WATCH_WAIT_S
        if self.terms.max_list_age_s is not None:
            wait = max(
                wait, min(MAX_OVERLOADED_WAIT_S, self.gateway_count / (WATCH_RATE_SHARE * self.rate_per_s))
            )
        if self.last_poll_failed:
            wait = min(wait, told.max_wait_after_failure_s())
        return wait * self.rng.uniform(0.75, 1.0)
