"""Endpoints that drain or are removed by gossip, until discovery confirms or revokes it. No I/O; seconds of
this process' clock.

Members learn of a drain at different moments, and a member's report is a reason for all to stop using the
endpoint at once. But it may be wrong: of a replica from before a restart of discovery, or corrupted; and
nobody would ever take it back, as discovery reports changes only. So a gossiped drain is on trial:

- Discovery's own answer for a version settles all gossiped drains of that version and older ones.
- A gossiped drain that is newer than discovery's version `SETTLE_S` or more after it was created is revoked:
  the endpoint is restored as discovery had it, and gossip about it is ignored for `DISTRUST_S`.
- Drains on trial withhold at most `MAX_WITHHELD_SHARE` of the endpoints; those beyond are counted and left to
  discovery. A real release of more than that is learned as without members.

So a wrong drain costs at most that share of the endpoints until the next answer of discovery that comes
`SETTLE_S` after it, and breaks no rule: a withheld endpoint gets nothing. While discovery does not answer, a
gossiped drain stays, and the share still bounds its cost.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from ..events import Endpoint, EndpointState

SETTLE_S = 6.0  # a change counts as notified to everybody after this
DISTRUST_S = 60.0
MAX_WITHHELD_SHARE = 0.5
MAX_DRAINS = 5_000
RANKED_STATES = (EndpointState.DRAINING, EndpointState.REMOVED)  # rank 1 and 2 of a row


class GossipedDrain(NamedTuple):
    """A drain on trial: the member that sent it, and when it was created."""

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
        self.version = -1  # of discovery's last answer
        self.active_endpoints: dict[str, Endpoint] = {}  # by discovery
        self.on_trial: dict[str, GossipedDrain] = {}
        self.distrusted_until: dict[str, float] = {}  # endpoints whose gossip is ignored
        self.revoked_count = self.over_limit_count = 0

    def apply_discovery_list(self, version: int, full: bool, entries: Iterable[Endpoint]) -> None:
        """Discovery's list (`full`) or changes, before they are applied; they settle the drains of the
        endpoints that they name."""
        entries = tuple(entries)
        if full:
            self.active_endpoints.clear()
            self.on_trial.clear()  # a full list states each endpoint's state
        for entry in entries:
            self.on_trial.pop(entry.address, None)
            if entry.state is EndpointState.ACTIVE:
                self.active_endpoints[entry.address] = entry
            else:
                self.active_endpoints.pop(entry.address, None)
        self.version = version

    def receive(
        self, now: float, endpoint: str, version: int, rank: float, age_s: float, sender: str
    ) -> bool:
        """A gossiped drain, created `age_s` ago; `rank` 1: draining, 2: removed. Whether it is applied."""
        known = self.on_trial.get(endpoint)
        if version <= self.version or endpoint not in self.active_endpoints or not 1.0 <= rank <= 2.0:
            return False
        if now < self.distrusted_until.get(endpoint, -math.inf):
            return False
        state = RANKED_STATES[rank >= 2.0]
        if known is not None:
            is_stronger = state is EndpointState.REMOVED and known.state is not EndpointState.REMOVED
            if not is_stronger:
                return False
        elif len(self.on_trial) >= min(MAX_DRAINS, MAX_WITHHELD_SHARE * len(self.active_endpoints)):
            self.over_limit_count += 1
            return False
        self.on_trial[endpoint] = GossipedDrain(version, state, sender, now - age_s)
        return True

    def confirm_version(self, now: float, version: int) -> tuple[list[Endpoint], list[RevokedDrain]]:
        """Discovery has just answered that `version` is its newest: the endpoints that are restored, and the
        drains that are revoked."""
        self.version = version
        restored: list[Endpoint] = []
        revoked: list[RevokedDrain] = []
        for endpoint, drain in list(self.on_trial.items()):
            # Where discovery is past its version, all changes up to there were received: had the drain been
            # real, `apply_discovery_list` would have settled it.
            if drain.version <= version or now - drain.created_at >= SETTLE_S:
                del self.on_trial[endpoint]
                restored.append(self.active_endpoints[endpoint])
                revoked.append(RevokedDrain(endpoint, drain))
        for row in revoked:
            self.distrusted_until[row.endpoint] = now + DISTRUST_S
        self.revoked_count += len(revoked)
        self.distrusted_until = {name: until for name, until in self.distrusted_until.items() if until > now}
        return restored, revoked
