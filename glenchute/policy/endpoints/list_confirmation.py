"""Decides which complete endpoint lists need a second, confirming answer before they come into force. No I/O.

This protects against a discovery service that may answer with a truncated, outdated or empty list; a reliable
one does not need it. A list is *unusual* if its version is older than the one in force or if it lacks more
than half of the endpoints in force. It is accepted when a later answer confirms it, that is, is not older and
has at least half of its endpoints; an empty list only if, in addition, the endpoints in force do not respond
either. So a wrong answer costs one poll, and a correct one is delayed by one poll: the confirming poll is
sent without delay (`EndpointWatch.record_unconfirmed`).

An unconfirmed list may withdraw endpoints at once (`withdraw_endpoints`), but never add any.
"""

from __future__ import annotations

from dataclasses import replace
from typing import NamedTuple

from ..events import Endpoint, EndpointList, EndpointListKind, EndpointState


class UnconfirmedList(NamedTuple):
    """A complete list that has not been confirmed yet."""

    version: int
    addresses: frozenset[str]


class ListConfirmation:
    """The lists of one discovery service: the one in force, and the last unconfirmed one."""

    MIN_RETAINED_SHARE = 0.5  # least share of the endpoints in force that a usual list names
    ANSWERS_NEEDED = 2  # consecutive answers that bring an unusual list into force

    def __init__(self) -> None:
        self.version = -1  # version of the list in force
        self.endpoints: dict[str, Endpoint] = {}  # endpoints in force by address; withdrawn ones are draining
        self.active_count = 0  # number of active endpoints when the list came into force
        self.unconfirmed: UnconfirmedList | None = None

    def accepts(self, version: int, received: EndpointList, serving: bool) -> bool:
        """Applies an answer unless it is an unusual list without confirmation; returns whether it was
        applied. `serving`: endpoints of the list in force respond to requests at present."""
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
        """Returns whether `addresses` has less than `MIN_RETAINED_SHARE` of the expected ones."""
        return len(expected & addresses) < self.MIN_RETAINED_SHARE * len(expected)

    def is_confirmed_by(self, version: int, addresses: frozenset[str]) -> bool:
        """Returns whether a list confirms the unconfirmed one. The lists need not be equal: while endpoints
        come and go, each answer of a correct service differs from the previous one, so none would ever be
        accepted."""
        if self.unconfirmed is None or version < self.unconfirmed.version:
            return False
        expected = self.unconfirmed.addresses
        return not self.lacks_most(addresses, expected) and (bool(expected) or not addresses)

    def withdraw_endpoints(self, received: EndpointList) -> tuple[Endpoint, ...]:
        """Takes the endpoints that an unconfirmed list reports as draining or removed out of service, and
        returns them in the state draining; the next accepted list decides whether they return to service.
        Withdraws none if fewer than half of the active endpoints would be left: a wrong list must not end the
        service, and the confirming poll is sent at once."""
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
        """Brings a complete list, or changes to the one in force, into force."""
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
