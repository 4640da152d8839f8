"""Servers that drain or are gone by members' words, until discovery has had its say. No I/O; seconds by one
clock of this process.

Members hear of a drain at moments that differ, and a word of one is a reason for all to hold back at once. It
may be untrue, of a copy from before a restart of discovery, or a flipped bit; and nobody would ever take it
back, as discovery tells changes only. So a word binds on trial:

- Discovery's own word for a version settles all words of that version and older ones.
- A word that is newer than what discovery says `SETTLE_S` or more after the word was made is denied: the
  server is given back as discovery had it, and no word of members on it counts for `DISTRUST_S`.
- Words on trial take away `MOST_SHARE` of the servers at most; those beyond it are counted and left to
  discovery. A true release of more than that is heard of as without members.

So a lying, flipped or stale word costs at most that share of the servers until the next sound answer of
discovery that comes `SETTLE_S` after it, and no rule: a server that is held back gets nothing. While
discovery says nothing at all a word stands, and the share still bounds what it costs.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ..events import Endpoint, EndpointState

SETTLE_S = 6.0  # a change counts as told to everybody after this
DISTRUST_S = 60.0
MAX_WITHHELD_SHARE = 0.5
MAX_DRAINS = 5_000
RANKED_STATES = (EndpointState.DRAINING, EndpointState.REMOVED)


class GossipedDrain(NamedTuple):
    """One server's word on trial: who passed it on here, and when it was made."""

    version: int
    state: EndpointState
    sender: str
    created_at: float


class RevokedDrain(NamedTuple):
    """A word that discovery did not bear out."""

    endpoint: str
    drain: GossipedDrain


class GossipedDrains:
    """The list as discovery told it here, and the words that stand against it."""

    def __init__(self) -> None:
        self.version = -1  # of discovery's last answer
        self.active_endpoints: dict[str, Endpoint] = {}  # servers that take work, by discovery
        self.on_trial: dict[str, GossipedDrain] = {}  # on trial, and in force
        self.distrusted_until: dict[str, float] = {}  # servers of which no member's word counts, until then
        self.revoked_count = self.over_limit_count = 0

    def apply_discovery_list(self, version: int, full: bool, entries: Iterable[Endpoint]) -> None:
        """A list or changes of discovery, before they come into force; they settle what they tell of."""
        entries = tuple(entries)
        if full:
            self.active_endpoints.clear()
            self.on_trial.clear()  # a whole list says of each server what is so
        for entry in entries:
            self.on_trial.pop(entry.address, None)
            if entry.state is EndpointState.ACTIVE:
                self.active_endpoints[entry.address] = entry
            else:
                self.active_endpoints.pop(entry.address, None)
        self.version = version

    def receive(self, now: float, server: str, version: int, rank: float, age_s: float, sender: str) -> bool:
        """A member's word; `rank` 1: it drains, 2: it is gone. Whether it comes into force now."""
        known = self.on_trial.get(server)
        if version <= self.version or server not in self.active_endpoints or not 1.0 <= rank <= 2.0:
            return False
        if now < self.distrusted_until.get(server, -1e9):
            return False
        state = RANKED_STATES[rank >= 2.0]
        if known is not None:
            stronger = state is EndpointState.REMOVED and known.state is not EndpointState.REMOVED
            if not stronger:
                return False
        elif len(self.on_trial) >= min(MAX_DRAINS, MAX_WITHHELD_SHARE * len(self.active_endpoints)):
            self.over_limit_count += 1
            return False
        self.on_trial[server] = GossipedDrain(version, state, sender, now - age_s)
        return True

    def confirm_version(self, now: float, version: int) -> tuple[list[Endpoint], list[RevokedDrain]]:
        """Discovery has just said that `version` is its newest. Servers that are given back, and why."""
        self.version = version
        back: list[Endpoint] = []
        denied: list[RevokedDrain] = []
        for server, word in list(self.on_trial.items()):
            # Where discovery is past it, it has told this process all changes on the way: had the word been
            # true, `listed` would have settled it.
            if word.version <= version or now - word.created_at >= SETTLE_S:
                del self.on_trial[server]
                back.append(self.active_endpoints[server])
                denied.append(RevokedDrain(server, word))
        for row in denied:
            self.distrusted_until[row.endpoint] = now + DISTRUST_S
        self.revoked_count += len(denied)
        self.distrusted_until = {name: until for name, until in self.distrusted_until.items() if until > now}
        return back, denied
