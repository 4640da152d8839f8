"""Which complete endpoint lists need a second, confirming answer before they come into force. No I/O."""

from __future__ import annotations

from dataclasses import replace

from ..events import Endpoint, EndpointList, EndpointListKind, EndpointState


class ListConfirmation:
    """Whether a whole list is taken at its word. For services that may answer half a list, an older or an
    empty one; whoever follows a service that is always right has no need of it.

    Such a list is taken when the answer to a later call is not odd beside it; an empty one only when the
    servers held have not answered either. So a lying answer costs one call, and a true one comes so much
    later: that call goes with no pause (`Watch.doubted`).

    What a doubted list forbids holds before that (`forbids`): it may forbid, never loosen.
    """

    MIN_RETAINED_SHARE = 0.5
    ANSWERS_NEEDED = 2  # answers that an odd list takes to be in force

    def __init__(self) -> None:
        self.version = -1  # of the list in force
        self.endpoints: dict[str, Endpoint] = {}  # ... and who is on it, as they may be used
        self.active_count = 0  # of these, how many took work when it came into force
        self.unconfirmed: tuple[int, frozenset[str]] | None = None  # a list in doubt

    def accepts(self, version: int, news: EndpointList, serving: bool) -> bool:
        """Whether this answer may come into force. `serving`: servers of the list held answer now."""
        if news.kind is EndpointListKind.FULL:
            names = frozenset(entry.address for entry in news.endpoints)
            odd = version < self.version or self.lacks_most(names, frozenset(self.endpoints))
            if odd and not (self.is_confirmed_by(version, names) and (names or not serving)):
                self.unconfirmed = version, names
                return False
        self.apply(version, news)
        return True

    def lacks_most(self, names: frozenset[str], of: frozenset[str]) -> bool:
        """Whether less than half of these are named."""
        return len(of & names) < self.MIN_RETAINED_SHARE * len(of)

    def is_confirmed_by(self, version: int, names: frozenset[str]) -> bool:
        """Whether a list bears out the one in doubt. Not word for word: while servers come and go each answer
        of a sound service has another version, and none would ever be taken."""
        if self.unconfirmed is None or version < self.unconfirmed[0]:
            return False
        return not self.lacks_most(names, self.unconfirmed[1]) and (bool(self.unconfirmed[1]) or not names)

    def withdraw_endpoints(self, news: EndpointList) -> tuple[Endpoint, ...]:
        """Servers that a doubted list has draining or gone, and that were used until now: they get nothing
        new from now on, and the next list that is taken tells whether they come back. None, where fewer than
        half of those that took work would be left: a false list must not end service, and the second word is
        asked for at once."""
        named = {entry.address for entry in news.endpoints if entry.state is not EndpointState.ACTIVE}
        working = [entry for entry in self.endpoints.values() if entry.state is EndpointState.ACTIVE]
        stopped = [entry for entry in working if entry.address in named]
        if len(working) - len(stopped) < self.MIN_RETAINED_SHARE * self.active_count:
            return ()
        found = tuple(replace(entry, state=EndpointState.DRAINING) for entry in stopped)
        self.endpoints.update({entry.address: entry for entry in found})
        return found

    def apply(self, version: int, news: EndpointList) -> None:
        """This is in force now."""
        if news.kind is not EndpointListKind.CHANGES:
            self.endpoints = {}
        for entry in news.endpoints:
            if entry.state is EndpointState.REMOVED:
                self.endpoints.pop(entry.address, None)
            else:
                self.endpoints[entry.address] = entry
        self.active_count = sum(entry.state is EndpointState.ACTIVE for entry in self.endpoints.values())
        self.version, self.unconfirmed = version, None
