"""Which service a request is for. Pure; built once at load, asked for each request.

A rule names what it matches by: an authority (a host, or `*.` and a domain), a path prefix (whole segments),
a class, a command, the front it came through. The most specific one wins, by an order that does not hang on
the file's: host before domain before none, the longer path before the shorter, then class, command and front.
Two rules that can match the same request and are equally specific are refused at load, as is a class that no
rule reaches. A look-up takes as many steps as a host has labels and a path has segments, however many
services there are.

RESP2 has no authority. Weighed: a listener for each service (needs sockets and ports that this platform does
not have), a name given on the connection (one connection carries requests of many customers here, and a front
that deals them out would have to keep them apart), and the class that each command carries (`c=`). The class
is taken: it is in every command already.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

LABEL = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
MOST_HOST = 253
MOST_SEGMENTS = 32  # of a path that is looked at; what lies deeper belongs to the rule found by then
ANY = ""


class Way(NamedTuple):
    """How a request came. Empty: it has none of that (RESP2 has no authority and no path)."""

    class_name: str = ANY
    host: str = ANY
    path: str = ANY
    command: str = ANY
    front: str = ANY


class Rule(NamedTuple):
    """One `[[service.match]]`. Empty fields match anything; `host` may be `*.domain`."""

    service: str
    host: str = ANY
    path: str = ANY
    class_name: str = ANY
    command: str = ANY
    front: str = ANY

    @property
    def place(self) -> tuple[str, str]:
        """The host and the path, in the one form that all ways of writing it have."""
        return self.host, next(paths(self.path))

    @property
    def rest(self) -> tuple[str, str, str]:
        """What is matched as it stands."""
        return self.class_name, self.command, self.front


class Overlap(NamedTuple):
    """Two rules of which neither is the more specific, by their places in the list."""

    first: int
    second: int


def host_of(authority: str) -> str | None:
    """The host of an authority (RFC 3986, 3.2) in the form that rules have: small letters, no port, no final
    dot. None where it is none that a rule could name."""
    host = authority.strip().lower()
    if host.startswith("["):
        end = host.find("]")
        return host[: end + 1] if end > 0 else None
    host = host.partition(":")[0].rstrip(".")
    if not host or len(host) > MOST_HOST or not all(LABEL.fullmatch(part) for part in host.split(".")):
        return None
    return host


def segments(path: str) -> list[str]:
    """The segments of a path, without its query. A path that steps out by dots matches no prefix, as whoever
    carries it on may read it otherwise."""
    parts = [part for part in path.partition("?")[0].split("/") if part]
    if any(part in (".", "..") or "%2e" in part.lower() or "%2f" in part.lower() for part in parts):
        return []
    return parts[:MOST_SEGMENTS]


def hosts(host: str) -> Iterator[str]:
    """What may name this host, the most specific first: itself, each domain above, any."""
    if host:
        yield host
        parts = host.split(".")
        for at in range(1, len(parts)):
            yield "*." + ".".join(parts[at:])
    yield ANY


def paths(path: str) -> Iterator[str]:
    """What may name this path, the longest prefix first."""
    parts = segments(path)
    for count in range(len(parts), 0, -1):
        yield "/" + "/".join(parts[:count])
    yield ANY


def rests(class_name: str, command: str, front: str) -> list[tuple[str, str, str]]:
    """What may name the rest, the most specific first: class counts before command before front."""
    return [
        (one, two, three)
        for one in dict.fromkeys((class_name, ANY))
        for two in dict.fromkeys((command, ANY))
        for three in dict.fromkeys((front, ANY))
    ]


class Router:
    """The rules in force."""

    def __init__(self, rules: Sequence[Rule]) -> None:
        """Rules without overlaps (`overlaps` finds them)."""
        self.table: dict[tuple[str, str], dict[tuple[str, str, str], str]] = {}
        for rule in rules:
            self.table.setdefault(rule.place, {})[rule.rest] = rule.service

    def service(self, way: Way) -> str | None:
        """The service; None where no rule matches."""
        host = host_of(way.host) if way.host else ANY
        if host is None:
            return None
        rest = rests(way.class_name, way.command, way.front)
        for named in hosts(host):
            for prefix in paths(way.path):
                found = self.table.get((named, prefix))
                if found is None:
                    continue
                for key in rest:
                    if key in found:
                        return found[key]
        return None


def overlaps(rules: Sequence[Rule]) -> list[Overlap]:
    """Rules that name the same: whichever stands first would win, and the order must not decide. All others
    are ordered by what they name."""
    found: list[Overlap] = []
    seen: dict[tuple[tuple[str, str], tuple[str, str, str]], int] = {}
    for at, rule in enumerate(rules):
        first = seen.setdefault((rule.place, rule.rest), at)
        if first != at:
            found.append(Overlap(first, at))
    return found


def gaps(router: Router, classes: Iterable[str], fronts: Iterable[str]) -> list[Way]:
    """Requests that come without host and path and reach no service: each is a class that clients of RESP2
    would be refused."""
    return [
        way for front in fronts for name in classes if router.service(way := Way(name, front=front)) is None
    ]
