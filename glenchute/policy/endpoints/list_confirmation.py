"""Which complete endpoint lists need a second, confirming answer before they come into force. No I/O.

For a discovery service that may answer with a truncated, outdated or empty list; one that is always right
does not need it. A list is *unusual* if its version is older than the one in force or if it lacks more than
half of the endpoints in force. It is accepted when a later answer is not unusual beside it; an empty one only
when, in addition, the endpoints in force do not answer either. So a false answer costs one poll, and a true
one is delayed by one: the confirming poll goes without delay (`EndpointWatch.record_unconfirmed`).

What an unconfirmed list takes out of service holds at once (`withdraw_endpoints`): such a list may withdraw
endpoints, never add them.
"""

from __future__ import annotations

from dataclasses import replace
from typing import NamedTuple

from ..events import Endpoint, EndpointList, EndpointListKind, EndpointState


class UnconfirmedList(NamedTuple):
    """A complete list that waits for its confirmation."""

    version: int
    addresses: frozenset[str]


class ListConfirmation:
    """The lists of one discovery service: the one in force, and the one that waits for its confirmation."""

    MIN_RETAINED_SHARE = 0.5  # of the endpoints in force that a list has to name
    ANSWERS_NEEDED = 2  # to bring an unusual list into force

    def __init__(self) -> None:
        self.version = -1  # of the list in force
        self.endpoints: dict[str, Endpoint] = {}  # by address, in the state in which they may be used
        self.active_count = 0  # active endpoints when the list came into force
        self.unconfirmed: UnconfirmedList | None = None

    def accepts(self, version: int, received: EndpointList, serving: bool) -> bool:
        """Whether this answer comes into force; if so, it has been applied. `serving`: endpoints of the list
        in force answer requests now."""
        if received.kind is EndpointListKind.FULL:
            addresses = frozenset(endpoint.address for endpoint in received.endpoints)
            is_unusual = version < self.version or self.lacks_most(addresses, frozenset(self.endpoints))
            may_be_empty = bool(addresses) or not serving
            if is_unusual and not (self.is_confirmed_by(version, addresses) and may_be_empty):
                self.unconfirmed = UnconfirmedList(version, addresses)
                return False
        self.apply(version, received)
        return True

    def lacks_most(self, addresses: frozenset[str], expected: frozenset[str]) -> bool:
        """Whether less than `MIN_RETAINED_SHARE` of the expected addresses are there."""
        return len(expected & addresses) < self.MIN_RETAINED_SHARE * len(expected)

    def is_confirmed_by(self, version: int, addresses: frozenset[str]) -> bool:
        """Whether a list confirms the unconfirmed one. It need not be equal: while endpoints come and go,
        each answer of a correct service differs from the one before, and none would ever be accepted."""
        if self.unconfirmed is None or version < self.unconfirmed.version:
            return False
        expected = self.unconfirmed.addresses
        return not self.lacks_most(addresses, expected) and (bool(expected) or not addresses)

    def withdraw_endpoints(self, received: EndpointList) -> tuple[Endpoint, ...]:
        """Takes the endpoints that an unconfirmed list reports as draining or removed out of service, and
        returns them in the state draining; the next accepted list decides whether they return. None are
        withdrawn where fewer than half of those that were active would be left: a false list must not end
        service, and its confirmation is polled for at once."""
        inactive = {
            endpoint.address for endpoint in received.endpoints if endpoint.state is not EndpointState.ACTIVE
        }
        active = [endpoint for endpoint in self.endpoints.values() if endpoint.state is EndpointState.ACTIVE]
        stopped = [endpoint for endpoint in active if endpoint.address in inactive]
        if len(active) - len(stopped) < self.MIN_RETAINED_SHARE * self.active_count:
            return ()
        withdrawn = tuple(replace(endpoint, state=EndpointState.DRAINING) for endpoint in stopped)
        self.endpoints.update({endpoint.address: endpoint for endpoint in withdrawn})
        return withdrawn

    def apply(self, version: int, received: EndpointList) -> None:
        """Brings a list, or changes to it, into force."""
        if received.kind is not EndpointListKind.CHANGES:
            self.endpoints = {}
        for endpoint in received.endpoints:
            if endpoint.state is EndpointState.REMOVED:
                self.endpoints.pop(endpoint.address, None)
            else:
                self.endpoints[endpoint.address] = endpoint
        self.active_count = sum(
            endpoint.state is EndpointState.ACTIVE for endpoint in self.endpoints.values()
        )
        self.version, self.unconfirmed = version, None
