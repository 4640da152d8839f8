"""Parses client commands. A command is validated completely before it affects a quota or a server."""

from __future__ import annotations

import re
from typing import Any

from glenchute.core.limits import RequestBounds
from glenchute.core.types import Call
from glenchute.policy.record import record
from glenchute.policy.settings import Idempotency, Settings
from glenchute.protocol import resp2 as resp

MAX_FIELDS_BYTES = 512  # the longest field list, name=value,name=value,...
TENANT_PATTERN = re.compile(rb"[0-9a-fA-F]{16}")
MAX_TENANT_NUMBER = 1 << 33
# Request ids and idempotency keys: printable ASCII without spaces.
IDENTIFIER_PATTERN = re.compile(rb"[!-~]{1,64}")
DECIMAL_PATTERN = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,9})?")
INTEGER_PATTERN = re.compile(rb"[0-9]{1,6}")


@record(slots=True)
class Command(Call):
    """A client's command, parsed and validated once, and re-encoded for servers with the time left."""

    prefix: bytes  # the encoded command up to the field list
    # The field list up to and including "d=", and the rest of it after the number.
    fields_around_deadline: tuple[bytes, bytes]
    suffix: bytes  # the encoded body, empty if there is none

    def encode(self, left_ms: int) -> bytes:
        """Encodes the command for a server: the client's command, with `left_ms` as the remaining time."""
        fields = b"%b%d%b" % (self.fields_around_deadline[0], left_ms, self.fields_around_deadline[1])
        return b"%b%b%b" % (self.prefix, resp.encode_bulk(fields), self.suffix)


class CommandError(ValueError):
    """A command that can't be served; its text is sent to the client."""


class CommandParser:
    """Parses commands by the settings' request classes, plans and limits."""

    def __init__(self, settings: Settings, bounds: RequestBounds) -> None:
        self.gateway_count = settings.gateway_count
        self.bounds = bounds
        self.plans = {plan.name.encode(): plan.name for plan in settings.plans}
        self.classes = {cls.name.encode(): (cls.name, cls.idempotency) for cls in settings.classes}
        self.idempotent_classes = {
            cls.name for cls in settings.classes if cls.idempotency is Idempotency.IDEMPOTENT
        }

    def parse(self, words: list[bytes]) -> Command:
        """Parses a request; raises CommandError if it is invalid. `words[0]` is CALL.GET or CALL.POST."""
        verb = words[0].upper()
        if not 4 <= len(words) <= 5:
            raise CommandError("wrong number of arguments")
        tenant, request_id, field_list = words[1:4]
        if TENANT_PATTERN.fullmatch(tenant) is None or int(tenant, 16) >= MAX_TENANT_NUMBER:
            raise CommandError("bad customer")
        if IDENTIFIER_PATTERN.fullmatch(request_id) is None:
            raise CommandError("bad request id")
        if len(field_list) > MAX_FIELDS_BYTES:
            raise CommandError("bad fields")
        fields, around_deadline = split_fields(field_list)
        name, idempotency = self.lookup(self.classes, fields, b"c", "class")
        if (idempotency is Idempotency.IDEMPOTENT) != (verb == b"CALL.GET"):
            raise CommandError("this class goes by the other command")
        if (b"k" in fields or idempotency is Idempotency.WITH_KEY) and IDENTIFIER_PATTERN.fullmatch(
            fields.get(b"k", b"")
        ) is None:
            raise CommandError("no idempotency key")
        spread = integer_field(fields, b"spread", 1, self.gateway_count, 1)
        integer_field(fields, b"first", 0, self.gateway_count - 1, 0)
        units = decimal_field(fields, b"units", self.bounds.max_units, b"1")
        if not units:
            raise CommandError("bad number for units")
        left_ms = decimal_field(fields, b"d", float("inf"), b"")
        if left_ms < 1.0:
            raise CommandError("bad number for d")
        return Command(
            request_id=request_id,
            class_name=name,
            plan=self.lookup(self.plans, fields, b"t", "plan"),
            # In lower case, as all gateways must derive the same quota windows and counter keys from it.
            tenant=tenant.lower().decode(),
            time_left_ms=min(left_ms, self.bounds.max_deadline_ms),
            units=units,
            gateway_spread=spread,
            prefix=b"*%d\r\n%b" % (len(words), b"".join([resp.encode_bulk(word) for word in words[:3]])),
            fields_around_deadline=around_deadline,
            suffix=resp.encode_bulk(words[4]) if len(words) == 5 else b"",
        )

    @staticmethod
    def lookup(table: dict[bytes, Any], fields: dict[bytes, bytes], key: bytes, kind: str) -> Any:
        """Returns the entry of `table` that the field `key` names; raises CommandError if there is none."""
        try:
            return table[fields[key]]
        except KeyError:
            raise CommandError(f"unknown {kind}") from None


def split_fields(field_list: bytes) -> tuple[dict[bytes, bytes], tuple[bytes, bytes]]:
    """Returns the fields by name, and the two parts of the list around the number of `d`, the remaining time.

    Raises CommandError for an invalid or repeated field, or without `d`.
    """
    fields: dict[bytes, bytes] = {}
    around_deadline: tuple[bytes, bytes] | None = None
    offset = 0
    for part in field_list.split(b","):
        name, equals, value = part.partition(b"=")
        if not equals or not name or name in fields:
            raise CommandError("bad fields")
        fields[name] = value
        if name == b"d":
            around_deadline = field_list[: offset + 2], field_list[offset + len(part) :]
        offset += len(part) + 1
    if around_deadline is None:
        raise CommandError("no time left given")
    return fields, around_deadline


def decimal_field(fields: dict[bytes, bytes], key: bytes, maximum: float, default: bytes) -> float:
    """Parses a number from 0 to `maximum`; raises CommandError otherwise.

    `float` alone would accept `nan`, `1_0`, `1e9` and white space.
    """
    text = fields.get(key, default)
    if DECIMAL_PATTERN.fullmatch(text) is None or float(text) > maximum:
        raise CommandError(f"bad number for {key.decode()}")
    return float(text)


def integer_field(fields: dict[bytes, bytes], key: bytes, minimum: int, maximum: int, default: int) -> int:
    """Parses an integer from `minimum` to `maximum`; raises CommandError otherwise."""
    text = fields.get(key)
    if text is None:
        return default
    if INTEGER_PATTERN.fullmatch(text) is None or not minimum <= int(text) <= maximum:
        raise CommandError(f"bad number for {key.decode()}")
    return int(text)
