"""Mapping of the parts of a proxy's request to the fields of a call, by the rules of the operator's file.

A source is written as text: `header:x-account`, `query:units`, `path:account` (a variable of the operation's
path template), `metadata:namespace/key` (the proxy's filter metadata), `json:/order/id` (a pointer into a
buffered JSON body, RFC 6901), `descriptor:account` (rate limit calls only) or `value:basic`.
"""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, unquote

MAX_VALUE_BYTES = 512  # bytes of one field
MAX_PATH_BYTES = 8192
SOURCE_PATTERN = re.compile(
    r"header:[!#$%&'*+.^_`|~0-9a-z-]{1,100}|query:[^&=#\s]{1,100}|path:[a-z_][a-z_0-9]{0,40}|"
    r"metadata:[^/\s]{1,100}/[^\s]{1,100}|json:(?:/[^/]*){1,16}|descriptor:[!-~]{1,100}|value:.{0,100}"
)
SEGMENT_PATTERN = re.compile(r"\{([a-z_][a-z_0-9]{0,40})(=\*\*)?\}")
FIELD_NAMES = ("class", "account", "plan", "units", "spread", "id", "key", "deadline_ms")
ACCOUNT_PATTERN = re.compile(r"[0-9a-fA-F]{16}")
MAX_ACCOUNT_NUMBER = 1 << 33
IDENTIFIER_PATTERN = re.compile(r"[!-~]{1,128}")
DECIMAL_PATTERN = re.compile(r"[0-9]{1,12}(\.[0-9]{1,9})?")
INTEGER_PATTERN = re.compile(r"[0-9]{1,6}")


class MappingError(ValueError):
    """A request that the rules can't map: a stable reason, and the status for the client."""

    def __init__(self, reason: str, status: int = 400) -> None:
        super().__init__(reason)
        self.reason, self.status = reason, status


class BodyRequired(Exception):  # noqa: N818
    """Raised where a field is in the body, which has not been received yet."""


@dataclass(frozen=True, slots=True)
class PathTemplate:
    """A path template: literals, `{name}` for one segment, and `{name=**}` at the end for all remaining
    segments."""

    text: str
    parts: tuple[tuple[str, str], ...]  # each is ("=", literal), ("1", name) or ("*", name)

    @classmethod
    def parse(cls, text: str) -> PathTemplate:
        """Parses a template. Raises ValueError with the reason where it is invalid."""
        if not text.startswith("/") or len(text) > 200:
            raise ValueError("begins with / and has at most 200 characters")
        parts: list[tuple[str, str]] = []
        for segment in text[1:].split("/"):
            found = SEGMENT_PATTERN.fullmatch(segment)
            if found is None and ("{" in segment or "}" in segment):
                raise ValueError("has a variable that is not {name} or {name=**}")
            if parts and parts[-1][0] == "*":
                raise ValueError("has {name=**} before its end")
            parts.append(("=", segment) if found is None else ("*" if found[2] else "1", found[1]))
        names = [name for kind, name in parts if kind != "="]
        if len(set(names)) != len(names):
            raise ValueError("names a variable twice")
        return cls(text, tuple(parts))

    @property
    def specificity(self) -> tuple[int, ...]:
        """Returns a sort key for templates that match the same path, the most specific first: from the left,
        literals before `{name}` before `{name=**}`."""
        return tuple("=1*".index(kind) for kind, _ in self.parts)

    @property
    def normalized_parts(self) -> tuple[tuple[str, str], ...]:
        """Returns the parts without variable names: equal for templates that match the same paths."""
        return tuple((kind, name if kind == "=" else "") for kind, name in self.parts)

    @property
    def variable_names(self) -> tuple[str, ...]:
        """Returns the names of the variables, from the left."""
        return tuple(name for kind, name in self.parts if kind != "=")

    def match(self, segments: list[str]) -> dict[str, str] | None:
        """Returns the values of the variables, or None where the path does not match."""
        found: dict[str, str] = {}
        for index, (kind, name) in enumerate(self.parts):
            if kind == "*":
                found[name] = "/".join(segments[index:])
                return found
            if index >= len(segments):
                return None
            if kind == "=":
                if segments[index] != name:
                    return None
            elif segments[index]:
                found[name] = segments[index]
            else:
                return None
        return found if len(segments) == len(self.parts) else None


@dataclass(frozen=True, slots=True)
class Operation:
    """The class of requests with one method and path template."""

    class_name: str
    method: str  # empty matches any method
    template: PathTemplate


@dataclass(slots=True)
class RequestView:
    """The properties of a request that a proxy reports. Header names are in lower case."""

    headers: Mapping[str, list[bytes]]
    metadata: Mapping[str, Any] = field(default_factory=dict)
    descriptors: Mapping[str, str] = field(default_factory=dict)
    body: bytes | None = None  # None until the complete body has been received
    path_variables: Mapping[str, str] = field(default_factory=dict)

    def single_header(self, name: str) -> str | None:
        """Returns the single value of a header, or None. Raises MappingError where it is repeated (its
        readers might use different values), too long or not ASCII."""
        values = self.headers.get(name)
        if not values:
            return None
        if len(values) > 1:
            raise MappingError(f"repeated-{name}"[:60])
        if len(values[0]) > (MAX_PATH_BYTES if name == ":path" else MAX_VALUE_BYTES):
            raise MappingError(f"long-{name}"[:60], 431)
        try:
            return values[0].decode("ascii")
        except UnicodeDecodeError:
            raise MappingError(f"binary-{name}"[:60]) from None


@dataclass(frozen=True, slots=True)
class MappedRequest:
    """The fields of a request, mapped by the rules."""

    class_name: str
    plan: str
    account: str
    units: float
    gateway_spread: int
    request_id: str  # empty where the request has none
    idempotency_key: str
    deadline_ms: float  # 0 where the request has none


@dataclass(frozen=True, slots=True)
class MappingRules:
    """The mapping rules of one listener. `sources` are by field name."""

    sources: Mapping[str, str]
    operations: tuple[Operation, ...]
    needs_key_by_class: Mapping[str, bool]  # whether a class's requests need an idempotency key
    plans: tuple[str, ...]
    gateway_count: int
    max_units: float = 1e6
    parsed_sources: Mapping[str, tuple[str, str]] = field(init=False, repr=False, compare=False)
    # Names of the headers that the rules read.
    used_headers: frozenset[str] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Parses the sources once."""
        parts = {name: source.partition(":") for name, source in self.sources.items()}
        parsed = {name: (kind, where) for name, (kind, _, where) in parts.items()}
        object.__setattr__(self, "parsed_sources", parsed)
        named = {where for kind, where in parsed.values() if kind == "header"}
        object.__setattr__(self, "used_headers", frozenset(named | {":path", ":method"}))

    def map_request(self, view: RequestView) -> MappedRequest:
        """Returns the fields of a request. Raises MappingError, or BodyRequired where the body has to be read
        first."""
        path = view.single_header(":path") or "/"
        if "path" not in view.path_variables and self.operations:
            operation, view.path_variables = self.match_operation(view, path)
            named = operation.class_name if operation else ""
        else:
            named = ""
        name = named or self.text_field(view, "class", path)
        if name not in self.needs_key_by_class:
            raise MappingError("unknown-class", 404 if self.operations else 400)
        plan = self.text_field(view, "plan", path)
        if plan not in self.plans:
            raise MappingError("unknown-plan")
        account = self.text_field(view, "account", path)
        if ACCOUNT_PATTERN.fullmatch(account) is None or int(account, 16) >= MAX_ACCOUNT_NUMBER:
            raise MappingError("bad-account")
        key = self.text_field(view, "key", path)
        if (key or self.needs_key_by_class[name]) and IDENTIFIER_PATTERN.fullmatch(key) is None:
            raise MappingError("no-key" if not key else "bad-key")
        request_id = self.text_field(view, "id", path)
        if request_id and IDENTIFIER_PATTERN.fullmatch(request_id) is None:
            raise MappingError("bad-id")
        units = self.decimal_field(view, "units", path, 1.0)
        if not 0.0 < units <= self.max_units:
            raise MappingError("bad-units")
        spread = self.text_field(view, "spread", path) or str(self.gateway_count)
        if INTEGER_PATTERN.fullmatch(spread) is None or not 1 <= int(spread) <= self.gateway_count:
            raise MappingError("bad-spread")
        deadline = self.decimal_field(view, "deadline_ms", path, 0.0)
        return MappedRequest(name, plan, account.lower(), units, int(spread), request_id, key, deadline)

    def match_operation(self, view: RequestView, path: str) -> tuple[Operation | None, dict[str, str]]:
        """Returns the most specific operation that matches, or None, and its decoded path variables."""
        method = view.single_header(":method") or ""
        segments = path.partition("?")[0][1:].split("/")
        best: tuple[Operation, dict[str, str]] | None = None
        for candidate in self.operations:
            if candidate.method and candidate.method != method:
                continue
            found = candidate.template.match(segments)
            if found is not None and (
                best is None or candidate.template.specificity < best[0].template.specificity
            ):
                best = candidate, {name: unquote(value) for name, value in found.items()}
        return best or (None, {})

    def decimal_field(self, view: RequestView, name: str, path: str, default: float) -> float:
        """Returns a field that is a non-negative decimal number, or `default` where it is empty."""
        text = self.text_field(view, name, path)
        if not text:
            return default
        if DECIMAL_PATTERN.fullmatch(text) is None:
            raise MappingError(f"bad-{name}")
        return float(text)

    def text_field(self, view: RequestView, name: str, path: str) -> str:
        """Returns a field's text, or an empty string where its source finds nothing."""
        source = self.parsed_sources.get(name)
        if source is None:
            return ""
        found = self.resolve_source(view, source, path)
        if found is None:
            return ""
        if type(found) is not str:
            if isinstance(found, float) and found.is_integer():
                found = int(found)  # protobuf's Struct holds all numbers as doubles
            if isinstance(found, bool) or not isinstance(found, int | float):
                raise MappingError(f"bad-{name}")
        text = str(found)
        if len(text) > MAX_VALUE_BYTES:
            raise MappingError(f"long-{name}", 431)
        return text

    def resolve_source(self, view: RequestView, source: tuple[str, str], path: str) -> Any:
        """Returns what a source (its kind and its name) finds in a request, or None where it finds
        nothing."""
        kind, where = source
        match kind:
            case "header":
                return view.single_header(where)
            case "path":
                return view.path_variables.get(where)
            case "value":
                return where
            case "descriptor":
                return view.descriptors.get(where)
            case "query":
                return query_value(path, where)
            case "metadata":
                space, _, key = where.partition("/")
                inner = view.metadata.get(space)
                return inner.get(key) if isinstance(inner, Mapping) else None
            case "json":
                return self.resolve_json_pointer(view, where)
        return None

    @staticmethod
    def resolve_json_pointer(view: RequestView, pointer: str) -> Any:
        """Returns what a JSON pointer (RFC 6901) finds in the body, or None where it finds nothing. Raises
        BodyRequired where the body has not been received."""
        if view.body is None:
            raise BodyRequired
        try:
            node: Any = json.loads(view.body)
        except (ValueError, RecursionError):
            raise MappingError("body-not-json") from None
        for step in pointer[1:].split("/"):
            step = step.replace("~1", "/").replace("~0", "~")
            if isinstance(node, dict):
                node = node.get(step)
            elif isinstance(node, list) and INTEGER_PATTERN.fullmatch(step) and int(step) < len(node):
                node = node[int(step)]
            else:
                return None
        return node


def query_value(path: str, name: str) -> str | None:
    """Returns a parameter of the path's query, or None where it has none. Raises MappingError where it is
    repeated."""
    pairs = parse_qsl(path.partition("?")[2], max_num_fields=None, keep_blank_values=True)
    values = [value for key, value in pairs if key == name]
    if len(values) > 1:
        raise MappingError(f"repeated-{name}"[:60])
    return values[0] if values else None
