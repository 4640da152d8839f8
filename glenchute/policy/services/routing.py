"""Which service a request is for. Pure; built once at load, asked for each request.

A rule matches by an authority (a host, or `*.` and a domain), a path prefix of whole segments, a class, a
command, and the listener. The most specific rule wins, by an order that does not depend on the file's: host
before domain before none, the longer path before the shorter, then class, command and listener. Two rules
that can match the same request and are equally specific are rejected at load, as is a class that no rule
reaches. A look-up takes as many steps as a host has labels and a path has segments, however many services
there are.

RESP2 has no authority and no path; its requests are told apart by their class. docs/design/services.md weighs
the other ways.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

LABEL = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
MAX_HOST_CHARACTERS = 253
MAX_PATH_SEGMENTS = 32  # of a path that is looked at; what lies deeper belongs to the rule found by then
ANY = ""


class RequestOrigin(NamedTuple):
    """What is known of a request before its service. Empty fields: its protocol has none."""

    class_name: str = ANY
    host: str = ANY
    path: str = ANY
    command: str = ANY
    front: str = ANY


class ServiceRule(NamedTuple):
    """One `[[service.match]]`. Empty fields match anything; `host` may be `*.domain`."""

    service: str
    host: str = ANY
    path: str = ANY
    class_name: str = ANY
    command: str = ANY
    front: str = ANY

    @property
    def location(self) -> tuple[str, str]:
        """The host and the path prefix in normalized form."""
        return self.host, next(path_prefixes(self.path))

    @property
    def attributes(self) -> tuple[str, str, str]:
        """What is matched literally: class, command, listener."""
        return self.class_name, self.command, self.front


class Overlap(NamedTuple):
    """Two rules of which neither is the more specific, by their places in the list."""

    first: int
    second: int


def normalize_host(authority: str) -> str | None:
    """The host of an authority (RFC 3986, 3.2) in the form that rules have: small letters, no port, no final
    dot. None where it is none that a rule could name."""
    host = authority.strip().lower()
    if host.startswith("["):
        end = host.find("]")
        return host[: end + 1] if end > 0 else None
    host = host.partition(":")[0].rstrip(".")
    if (
        not host
        or len(host) > MAX_HOST_CHARACTERS
        or not all(LABEL.fullmatch(part) for part in host.split("."))
    ):
        return None
    return host


def path_segments(path: str) -> list[str]:
    """The segments of a path, without its query. A path that steps out by dots matches no prefix, as whoever
    carries it on may read it otherwise."""
    parts = [part for part in path.partition("?")[0].split("/") if part]
    if any(part in (".", "..") or "%2e" in part.lower() or "%2f" in part.lower() for part in parts):
        return []
    return parts[:MAX_PATH_SEGMENTS]


def host_patterns(host: str) -> Iterator[str]:
    """The patterns that match this host, the most specific first: itself, each domain above, any."""
    if host:
        yield host
        parts = host.split(".")
        for start in range(1, len(parts)):
            yield "*." + ".".join(parts[start:])
    yield ANY


def path_prefixes(path: str) -> Iterator[str]:
    """The prefixes that match this path, the longest first."""
    parts = path_segments(path)
    for count in range(len(parts), 0, -1):
        yield "/" + "/".join(parts[:count])
    yield ANY


def attribute_keys(class_name: str, command: str, front: str) -> list[tuple[str, str, str]]:
    """The keys that match these attributes, the most specific first: class, then command, then listener."""
    return [
        (one, two, three)
        for one in dict.fromkeys((class_name, ANY))
        for two in dict.fromkeys((command, ANY))
        for three in dict.fromkeys((front, ANY))
    ]


class ServiceRouter:
    """The rules in force."""

    def __init__(self, rules: Sequence[ServiceRule]) -> None:
        """Rules without overlaps (`overlaps` finds them)."""
        self.table: dict[tuple[str, str], dict[tuple[str, str, str], str]] = {}
        for rule in rules:
            self.table.setdefault(rule.location, {})[rule.attributes] = rule.service

    def service_for(self, way: RequestOrigin) -> str | None:
        """The service; None where no rule matches."""
        host = normalize_host(way.host) if way.host else ANY
        if host is None:
            return None
        rest = attribute_keys(way.class_name, way.command, way.front)
        for named in host_patterns(host):
            for prefix in path_prefixes(way.path):
                found = self.table.get((named, prefix))
                if found is None:
                    continue
                for key in rest:
                    if key in found:
                        return found[key]
        return None


def overlaps(rules: Sequence[ServiceRule]) -> list[Overlap]:
    """Rules that name the same: whichever stands first would win, and the order must not decide. All others
    are ordered by what they name."""
    found: list[Overlap] = []
    seen: dict[tuple[tuple[str, str], tuple[str, str, str]], int] = {}
    for at, rule in enumerate(rules):
        first = seen.setdefault((rule.location, rule.attributes), at)
        if first != at:
            found.append(Overlap(first, at))
    return found


def unreached_classes(
    router: ServiceRouter, classes: Iterable[str], fronts: Iterable[str]
) -> list[RequestOrigin]:
    """Requests that come without host and path and reach no service: each is a class that clients of RESP2
    would be refused."""
    return [
        way
        for front in fronts
        for name in classes
        if router.service_for(way := RequestOrigin(name, front=front)) is None
    ]
