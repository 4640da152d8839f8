"""Servers that could not be reached, told among members: one gateway's look is all gateways' look. No I/O;
seconds by one clock of this process.

Without it N gateways each find each of M servers that are gone, and each looks again by itself. Here whoever
could not connect tells for how long it stays away, and the others stay away up to `STRETCH` times as long,
each a drawn part of it: so the first look after a pause is the teller's, or one other's, and its word, "still
gone" with a longer pause, or "back", reaches all before most have looked. It is soft state: a row lives a
short time, has one writer, and a copy that lacks some is whole all the same.

What holds, whatever is said:

- A server that answered this process within `FRESH_S` is in no pause here: own evidence goes before words.
- A pause leaves a server as the last choice, never out: with all servers in pause the choice is as without.
- What one writer alone says counts for `ALONE` of the servers at most; beyond that a second one has to say
  it too. A member that is cut off from a zone, or lies, does not empty the others' choice.
- A word lasts `MOST_S` times `STRETCH` at most after it was made, however often it is passed on.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from ..events import AvoidEndpoint, Outcome
from .replica import Row, RowKind

MIN_AVOIDANCE_S, MAX_AVOIDANCE_S = 1.0, 2.0  # pauses that are told, doubled at each look that fails
MAX_STRETCH = 2.0
OWN_EVIDENCE_S = 1.0
SINGLE_REPORTER_SHARE = 1.0 / 3.0
MAX_ENDPOINTS = 2_000


class PeerReport(NamedTuple):
    """A writer's last word on a server, by this process' clock."""

    version: int
    avoid_until: float  # when its pause ends; this process' own pause reaches a drawn part beyond that
    own_avoid_until: float  # ... which is then


class OwnReport(NamedTuple):
    """What this process told last of a server."""

    avoidance_s: float
    avoid_until: float


class EndpointHealth:
    """The words of this process and of the others."""

    def __init__(self, writer: str, rng: random.Random) -> None:
        self.writer, self.rng = writer, rng
        self.last_version = 0
        self.own_reports: dict[str, OwnReport] = {}
        self.last_answer_at: dict[str, float] = {}  # when each server last answered here
        self.peer_reports: dict[str, dict[str, PeerReport]] = {}  # by server, by writer
        self.avoided_by_writer: dict[str, set[str]] = {}  # by writer, the servers that it has in pause
        self.changed_endpoints: dict[str, None] = {}  # servers of which the module is to be told
        self.ignored_count = 0  # words that own evidence or a lone writer's bound kept out

    # --- this process' own tries -------------------------------------------------------------------------

    def attempt_ended(self, now: float, server: str, ending: Outcome) -> Row | None:
        """An attempt's ending here; the row to be told on, if it is news to the others."""
        if ending is Outcome.UNREACHABLE:
            own = self.own_reports.get(server)
            if own is not None and now < own.avoid_until:
                return None  # of the same look
            pause = MIN_AVOIDANCE_S if own is None else min(MAX_AVOIDANCE_S, 2.0 * own.avoidance_s)
            if own is None and len(self.own_reports) >= MAX_ENDPOINTS:
                del self.own_reports[next(iter(self.own_reports))]
            self.own_reports[server] = OwnReport(pause, now + pause)
            self.last_answer_at.pop(server, None)
            return self.report_row(server, pause)
        if ending in (Outcome.TIMEOUT, Outcome.NOT_SENT, Outcome.CANCELLED):
            return None  # tells nothing of whether it can be reached
        self.last_answer_at.pop(server, None)
        self.last_answer_at[server] = now
        if len(self.last_answer_at) > MAX_ENDPOINTS:
            del self.last_answer_at[next(iter(self.last_answer_at))]
        told = self.own_reports.pop(server, None) is not None
        others = server in self.peer_reports
        if others:
            self.forget_endpoint(server)
            self.changed_endpoints[server] = None
        return self.report_row(server, 0.0) if told or others else None

    def report_row(self, server: str, pause: float) -> Row:
        """This process' next word."""
        self.last_version += 1
        return Row(RowKind.HEALTH, server, self.writer, self.last_version, round(1000.0 * pause))

    # --- the others' -------------------------------------------------------------------------------------

    def receive(self, now: float, row: Row, age_s: float) -> None:
        """A member's word. "Back" ends all older words on that server, whoever said them."""
        if row.writer == self.writer:
            return
        known = self.peer_reports.get(row.key, {}).get(row.writer)
        if known is not None and row.version <= known.version:
            return
        if row.value <= 0.0:
            if row.key in self.peer_reports:
                self.forget_endpoint(row.key)
                self.changed_endpoints[row.key] = None
            return
        pause = min(MAX_AVOIDANCE_S, row.value / 1000.0)
        made = now - age_s
        until = made + pause * MAX_STRETCH
        if until <= now:
            return
        if row.key not in self.peer_reports and len(self.peer_reports) >= MAX_ENDPOINTS:
            self.forget_endpoint(next(iter(self.peer_reports)))
        stays = made + pause * self.rng.uniform(1.0, MAX_STRETCH)
        self.peer_reports.setdefault(row.key, {})[row.writer] = PeerReport(row.version, until, stays)
        self.avoided_by_writer.setdefault(row.writer, set()).add(row.key)
        self.changed_endpoints[row.key] = None

    def forget_endpoint(self, server: str) -> None:
        """All words on a server."""
        for writer in self.peer_reports.pop(server, {}):
            self.forget_report(writer, server)

    def forget_report(self, writer: str, server: str) -> None:
        """One writer no longer has this server in pause."""
        told = self.avoided_by_writer.get(writer)
        if told is not None:
            told.discard(server)
            if not told:
                del self.avoided_by_writer[writer]

    def expire(self, now: float) -> None:
        """Forgets words that are over; call it now and then."""
        for server in list(self.peer_reports):
            words = self.peer_reports[server]
            for writer in [writer for writer, word in words.items() if word.avoid_until <= now]:
                del words[writer]
                self.forget_report(writer, server)
            if not words:
                del self.peer_reports[server]

    def avoidance_s(self, now: float, server: str, servers: int) -> float:
        """For how long a server is left for last by the others' words. `servers`: how many are listed."""
        if now - self.last_answer_at.get(server, -1e9) <= OWN_EVIDENCE_S:
            self.ignored_count += server in self.peer_reports
            return 0.0
        words = {
            w: word for w, word in self.peer_reports.get(server, {}).items() if word.own_avoid_until > now
        }
        loud = [
            writer
            for writer in words
            if len(self.avoided_by_writer.get(writer, ())) > SINGLE_REPORTER_SHARE * servers
        ]
        if not words or (len(words) == 1 and loud):
            self.ignored_count += bool(words)
            return 0.0
        return max(word.own_avoid_until for word in words.values()) - now

    def take_changes(self, now: float, servers: int) -> list[AvoidEndpoint]:
        """What the module is to be told since the last call."""
        if not self.changed_endpoints:
            return []  # as before nearly every request
        due, self.changed_endpoints = self.changed_endpoints, {}
        return [AvoidEndpoint(server, 1000.0 * self.avoidance_s(now, server, servers)) for server in due]
