"""Synchronizes endpoint lists between discovery, the members and the core.

Discovery's answers are sent to the members as drains and, with `share_list`, as the whole list. What members
send is passed to the core, as far as discovery does not contradict it.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

from glenchute.core.types import Address, EndpointUpdate
from glenchute.policy.events import Endpoint, EndpointList, EndpointListKind, EndpointState
from glenchute.policy.membership.endpoint_sharing import (
    ACTIVE_RANK,
    POLLER_WATCH_S,
    STATE_RANKS,
    SharedEndpoint,
    SharedEndpointList,
    SharingMessage,
)
from glenchute.policy.membership.gossip import ReceivedRow
from glenchute.policy.membership.gossiped_drains import GossipedDrains
from glenchute.policy.membership.outgoing import Outgoing
from glenchute.policy.membership.replica import Row, RowKind

from .log_events import log_event

if TYPE_CHECKING:
    from glenchute.clients.discovery import DiscoveryClient

RANKED_STATES = {rank: state for state, rank in STATE_RANKS.items()}


class EndpointSync:
    """The endpoint list of this process, as discovery and the members report it."""

    def __init__(
        self, shared_list: SharedEndpointList | None, clock: Callable[[], float],
        publish: Callable[[Row], None], send: Callable[[str, Any], None],
        present_members: Callable[[], list[str]],
    ) -> None:  # fmt: skip
        """`shared_list`: None where lists are not shared. `clock` returns seconds. `publish` gossips a row,
        `send` sends a message to a member, `present_members` returns the other members that are not known to
        be dead or to have left."""
        self.shared_list, self.clock, self.publish, self.send = shared_list, clock, publish, send
        self.present_members = present_members
        self.drains = GossipedDrains()
        self.discovery: DiscoveryClient | None = None
        self.apply_update: Callable[[EndpointUpdate], None] | None = None  # passes an update to the core
        self.addresses: dict[str, Address] = {}  # by endpoint, as discovery or a poller sent them

    # --- discovery ---------------------------------------------------------------------------------------

    def attach_discovery(self, cached: EndpointUpdate | None, discovery: DiscoveryClient) -> bool:
        """Connects to the discovery client before its first poll, and adopts the cached list. Returns whether
        this gateway polls for all members, and thus has to poll at once."""
        discovery.on_confirmed = self.confirm_version
        discovery.withheld_endpoints = self.drains.provisional.keys
        if cached is not None:
            self.apply_discovery(cached)
        if self.shared_list is None:
            return False
        self.discovery = discovery
        if cached is not None:
            rows = shared_endpoints(cached)
            self.shared_list.receive_discovery(self.clock(), cached.version, True, rows, ())
            self.shared_list.confirmed_at = -1e9  # the cache confirms nothing
        discovery.delegated_for_s = self.poll_delay_s
        discovery.watch.max_wait_s = POLLER_WATCH_S
        return self.shared_list.is_poller(self.present_members())

    def poll_delay_s(self) -> float:
        """Returns how long discovery need not be polled because members confirm the list."""
        assert self.shared_list is not None
        return self.shared_list.poll_delay_s(self.clock(), self.present_members())

    def confirm_version(self, version: int) -> None:
        """Handles an answer of discovery that `version` is its newest: revokes the gossiped drains that it
        does not confirm."""
        if self.shared_list is not None and version == self.shared_list.version:
            self.shared_list.confirmed_at = self.clock()
        restored, revoked = self.drains.confirm_version(self.clock(), version)
        for server, drain in revoked:
            log_event("word.denied", server=server, state=drain.state.value, version=drain.version,
                      sender=drain.sender)  # fmt: skip
        self.apply_changes([entry for entry in restored if entry.address in self.addresses])

    def receive_discovery(self, update: EndpointUpdate) -> None:
        """Handles an answer of discovery before the core does: sends the list and its drains to members."""
        self.apply_discovery(update)
        is_full = update.event.kind is EndpointListKind.FULL
        if self.shared_list is not None:
            rows = shared_endpoints(update)
            out = self.shared_list.receive_discovery(
                self.clock(), update.version, is_full, rows, self.present_members()
            )
            self.handle_shared(out, [])
        if update.event.kind is not EndpointListKind.CHANGES:
            return
        for entry in update.event.endpoints:
            if entry.state is not EndpointState.ACTIVE:
                rank = float(STATE_RANKS[entry.state])
                self.publish(Row(RowKind.SERVER, entry.address, "", update.version, rank))

    def apply_discovery(self, update: EndpointUpdate) -> None:
        """Adopts an answer of discovery: the addresses, and the state that settles gossiped drains."""
        is_full = update.event.kind is not EndpointListKind.CHANGES
        self.drains.apply_discovery_list(update.version, is_full, update.event.endpoints)
        self.addresses = update.addresses if is_full else self.addresses | update.addresses

    # --- members -----------------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Sends a query to one of the members that poll, where it is due."""
        if self.shared_list is not None:
            self.handle_shared(self.shared_list.tick(now, self.present_members()), [])

    def receive(self, now: float, sender: str, message: SharingMessage) -> None:
        """Handles a member's message on the shared list."""
        if self.shared_list is not None:
            self.handle_shared(*self.shared_list.receive(now, sender, message))

    def set_lease_holder(self, is_holder: bool) -> None:
        """Sets whether this process holds the lease to poll. A new holder polls at once."""
        if self.shared_list is None:
            return
        was_holder, self.shared_list.is_lease_holder = self.shared_list.is_lease_holder, is_holder
        if is_holder and not was_holder and self.discovery is not None:
            self.discovery.resume_polling()

    def handle_shared(self, out: Sequence[Outgoing[SharingMessage]], rows: Sequence[SharedEndpoint]) -> None:
        """Sends messages on the shared list, and applies the rows that changed in it."""
        for outgoing in out:
            self.send(outgoing.to, outgoing.message)
        if not rows or self.apply_update is None or self.shared_list is None or self.discovery is None:
            return
        entries = tuple(
            Endpoint(row.endpoint, row.zone, row.cell, row.weight, row.started_ms, RANKED_STATES[row.state])
            for row in rows
        )
        addresses = {
            row.endpoint: parse_address(row.address)
            for row in rows
            if row.address and row.state == ACTIVE_RANK
        }
        version = self.shared_list.version
        update = EndpointUpdate(version, EndpointList(EndpointListKind.CHANGES, entries), addresses)
        self.discovery.adopt(update)
        self.drains.apply_discovery_list(version, False, entries)
        self.addresses |= addresses
        self.apply_update(update)

    def receive_drains(self, rows: Sequence[ReceivedRow]) -> None:
        """Applies gossiped drains: their endpoints get no new requests unless discovery revokes the drain."""
        now, entries = self.clock(), []
        for received in rows:
            row = received.row
            if self.drains.receive(now, row.key, row.version, row.value, received.age_s, received.sender):
                entries.append(Endpoint(row.key, "", state=self.drains.provisional[row.key].state))
        self.apply_changes(entries)

    def apply_changes(self, entries: list[Endpoint]) -> None:
        """Passes changes that did not come from discovery to the core."""
        if entries and self.apply_update is not None:
            changes = EndpointList(EndpointListKind.CHANGES, tuple(entries))
            self.apply_update(EndpointUpdate(self.drains.version, changes, self.addresses))


def shared_endpoints(update: EndpointUpdate) -> list[SharedEndpoint]:
    """Returns an answer of discovery as rows for the members."""
    rows = []
    for entry in update.event.endpoints:
        host, port = update.addresses.get(entry.address, ("", 0))
        rows.append(
            SharedEndpoint(
                update.version,
                entry.address,
                f"{host}:{port}" if host else "",
                entry.zone,
                entry.cell,
                entry.weight,
                entry.started_ms,
                STATE_RANKS[entry.state],
            )
        )
    return rows


def parse_address(text: str) -> Address:
    """Parses an address such as `127.0.0.1:9000`, which has been validated before."""
    host, _, port = text.rpartition(":")
    return host, int(port)
