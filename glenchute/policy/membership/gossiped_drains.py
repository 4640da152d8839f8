"""Endpoints that gossip reports as draining or removed, until discovery confirms or revokes it. No I/O; times
are seconds of this process' clock.

Members learn of a drain at different times, and a member's report lets all others stop using the endpoint at
once. But the report may be wrong, from a replica older than a restart of discovery or a corrupted one, and
nothing would ever revoke it, as discovery reports only changes. So gossiped drains are provisional until
discovery confirms or revokes them:

- Discovery's own answer for a version settles all gossiped drains of that version and of older ones.
- A gossiped drain that is still newer than discovery's version `SETTLE_S` after its creation is revoked: the
  endpoint is restored as discovery had it, and gossip about it is ignored for `DISTRUST_S`.
- Provisional drains withhold at most `MAX_WITHHELD_SHARE` of the endpoints; further ones are counted and left
  to discovery, so a real rollout that drains more is learned as without members.

So wrong drains cost at most that share of the endpoints, until discovery's next answer at least `SETTLE_S`
after them, and break no guarantee: a withheld endpoint gets no requests. While discovery does not answer, a
gossiped drain stays in force, and the share still bounds its cost.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from ..events import Endpoint, EndpointState

SETTLE_S = 6.0  # time by which discovery has notified every member of a change
DISTRUST_S = 60.0  # time for which gossip about an endpoint is ignored after a revoked drain
MAX_WITHHELD_SHARE = 0.5
MAX_DRAINS = 5_000
RANKED_STATES = (EndpointState.DRAINING, EndpointState.REMOVED)  # the states of a row's ranks 1 and 2


class GossipedDrain(NamedTuple):
    """A provisional drain: the member that sent it, and when it was created."""

    version: int
    state: EndpointState
    sender: str
    created_at: float


class RevokedDrain(NamedTuple):
    """A gossiped drain that discovery did not confirm."""

    endpoint: str
    drain: GossipedDrain


class GossipedDrains:
    """Discovery's list as received here, and the gossiped drains that are applied on top of it."""

    def __init__(self) -> None:
        self.version = -1  # version of discovery's last answer
        self.active_endpoints: dict[str, Endpoint] = {}  # by address: active endpoints of discovery's list
        # By address: drains that discovery has neither confirmed nor revoked yet.
        self.provisional: dict[str, GossipedDrain] = {}
        self.distrusted_until: dict[str, float] = {}  # by endpoint: until when gossip about it is ignored
        self.revoked_count = self.over_limit_count = 0

    def apply_discovery_list(self, version: int, full: bool, entries: Iterable[Endpoint]) -> None:
        """Records discovery's list (`full`) or changes before the caller applies them. They settle the
        drains of the endpoints that they name."""
        entries = tuple(entries)
        if full:
            self.active_endpoints.clear()
            self.provisional.clear()  # a full list states each endpoint's state
        for entry in entries:
            self.provisional.pop(entry.address, None)
            if entry.state is EndpointState.ACTIVE:
                self.active_endpoints[entry.address] = entry
            else:
                self.active_endpoints.pop(entry.address, None)
        self.version = version

    def receive(
        self, now: float, endpoint: str, version: int, rank: float, age_s: float, sender: str
    ) -> bool:
        """Handles a gossiped drain that was created `age_s` ago, and returns whether it is applied. `rank` is
        1 for draining, 2 for removed."""
        known = self.provisional.get(endpoint)
        if version <= self.version or endpoint not in self.active_endpoints or not 1.0 <= rank <= 2.0:
            return False
        if now < self.distrusted_until.get(endpoint, -math.inf):
            return False
        state = RANKED_STATES[rank >= 2.0]
        if known is not None:
            is_more_restrictive = state is EndpointState.REMOVED and known.state is not EndpointState.REMOVED
            if not is_more_restrictive:
                return False
        elif len(self.provisional) >= min(MAX_DRAINS, MAX_WITHHELD_SHARE * len(self.active_endpoints)):
            self.over_limit_count += 1
            return False
        self.provisional[endpoint] = GossipedDrain(version, state, sender, now - age_s)
        return True

    def confirm_version(self, now: float, version: int) -> tuple[list[Endpoint], list[RevokedDrain]]:
        """Handles discovery's answer that `version` is its newest; returns the endpoints that are restored
        and the drains that are revoked."""
        self.version = version
        restored: list[Endpoint] = []
        revoked: list[RevokedDrain] = []
        for endpoint, drain in list(self.provisional.items()):
            # Up to its newest version all of discovery's changes have been received, so a real drain of that
            # version or an older one would have been settled by `apply_discovery_list`.
            if drain.version <= version or now - drain.created_at >= SETTLE_S:
                del self.provisional[endpoint]
                restored.append(self.active_endpoints[endpoint])
                revoked.append(RevokedDrain(endpoint, drain))
        for row in revoked:
            self.distrusted_until[row.endpoint] = now + DISTRUST_S
        self.revoked_count += len(revoked)
        self.distrusted_until = {name: until for name, until in self.distrusted_until.items() if until > now}
        return restored, revoked
