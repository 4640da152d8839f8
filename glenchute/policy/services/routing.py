"""Mapping of requests to services. No I/O; built once at load, consulted for each request.

A rule matches by an authority (a host, or `*.` and a domain), a path prefix of whole segments, a class, a
command, and the listener. The most specific rule wins, wherever it stands in the file: host
before domain before none, the longer path before the shorter, then class, command and listener. Two rules
that can match the same request and are equally specific are rejected at load, as is a class that no rule
matches. The cost of a look-up depends on the host's labels and the path's segments, not on the number of
services.

RESP2 has no authority and no path; its requests are distinguished by class. docs/design/services.md compares
the alternatives.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

LABEL = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
MAX_HOST_CHARACTERS = 253
MAX_PATH_SEGMENTS = 32  # segments of a path that are matched; deeper ones are ignored
ANY = ""


class RequestOrigin(NamedTuple):
    """Properties of a request by which its service is chosen. Fields that its protocol lacks are empty."""

    class_name: str = ANY
    host: str = ANY
    path: str = ANY
    command: str = ANY
    listener: str = ANY  # the listener that received the request, such as resp2


class ServiceRule(NamedTuple):
    """A `[[service.match]]` rule. Empty fields match anything; `host` may be `*.domain`."""

    service: str
    host: str = ANY
    path: str = ANY
    class_name: str = ANY
    command: str = ANY
    listener: str = ANY

    @property
    def location(self) -> tuple[str, str]:
        """Returns the host and the path prefix in normalized form."""
        return self.host, next(path_prefixes(self.path))

    @property
    def attributes(self) -> tuple[str, str, str]:
        """Returns the fields that are matched literally: class, command, listener."""
        return self.class_name, self.command, self.listener


class Overlap(NamedTuple):
    """Two equally specific rules that match the same requests, by their indexes in the list."""

    first: int
    second: int


def normalize_host(authority: str) -> str | None:
    """Returns the host of an authority (RFC 3986, 3.2) in the form that rules use: lower case, no port, no
    trailing dot. None where no rule could name it."""
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
    """Returns the segments of a path, without its query. A path with dot segments or encoded dots or slashes
    matches no prefix, as another component may resolve it to a different path."""
    parts = [part for part in path.partition("?")[0].split("/") if part]
    if any(part in (".", "..") or "%2e" in part.lower() or "%2f" in part.lower() for part in parts):
        return []
    return parts[:MAX_PATH_SEGMENTS]


def host_patterns(host: str) -> Iterator[str]:
    """Yields the patterns that match this host, the most specific first: itself, each parent domain, any."""
    if host:
        yield host
        parts = host.split(".")
        for start in range(1, len(parts)):
            yield "*." + ".".join(parts[start:])
    yield ANY


def path_prefixes(path: str) -> Iterator[str]:
    """Yields the prefixes that match this path, the longest first."""
    parts = path_segments(path)
    for count in range(len(parts), 0, -1):
        yield "/" + "/".join(parts[:count])
    yield ANY


def attribute_keys(class_name: str, command: str, listener: str) -> list[tuple[str, str, str]]:
    """Returns the keys that match these attributes, the most specific first: class, then command, then
    listener."""
    return [
        (class_key, command_key, listener_key)
        for class_key in dict.fromkeys((class_name, ANY))
        for command_key in dict.fromkeys((command, ANY))
        for listener_key in dict.fromkeys((listener, ANY))
    ]


class ServiceRouter:
    """The rules in force, as a look-up table."""

    def __init__(self, rules: Sequence[ServiceRule]) -> None:
        """`rules` must not overlap; `overlaps` finds those that do."""
        self.table: dict[tuple[str, str], dict[tuple[str, str, str], str]] = {}
        for rule in rules:
            self.table.setdefault(rule.location, {})[rule.attributes] = rule.service

    def service_for(self, origin: RequestOrigin) -> str | None:
        """Returns the service for a request, or None where no rule matches."""
        host = normalize_host(origin.host) if origin.host else ANY
        if host is None:
            return None
        matching_keys = attribute_keys(origin.class_name, origin.command, origin.listener)
        for host_pattern in host_patterns(host):
            for prefix in path_prefixes(origin.path):
                services = self.table.get((host_pattern, prefix))
                if services is None:
                    continue
                for key in matching_keys:
                    if key in services:
                        return services[key]
        return None


def overlaps(rules: Sequence[ServiceRule]) -> list[Overlap]:
    """Returns the pairs of rules with equal fields: which of the two applies would depend on their order in
    the file. All other rules are ordered by how specific they are."""
    found: list[Overlap] = []
    seen: dict[tuple[tuple[str, str], tuple[str, str, str]], int] = {}
    for index, rule in enumerate(rules):
        first = seen.setdefault((rule.location, rule.attributes), index)
        if first != index:
            found.append(Overlap(first, index))
    return found


def unreached_classes(
    router: ServiceRouter, classes: Iterable[str], listeners: Iterable[str]
) -> list[RequestOrigin]:
    """Returns a request without host and path for each listener and class that no rule matches: RESP2
    requests have neither, and would be rejected."""
    return [
        origin
        for listener in listeners
        for name in classes
        if router.service_for(origin := RequestOrigin(name, listener=listener)) is None
    ]
