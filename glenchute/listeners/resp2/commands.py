"""Parses client commands; each is checked completely before it affects a quota or a server."""

from __future__ import annotations

import re
from typing import Any

from glenchute.core.limits import RequestBounds
from glenchute.core.types import Call
from glenchute.policy.record import record
from glenchute.policy.settings import Idempotency, Settings
from glenchute.protocol import resp2 as resp

MAX_FIELDS_BYTES = 512  # of the list of names and values
TENANT_PATTERN = re.compile(rb"[0-9a-fA-F]{16}")
MAX_TENANT_NUMBER = 1 << 33
IDENTIFIER_PATTERN = re.compile(rb"[!-~]{1,64}")  # of ids and keys: printable, without spaces
DECIMAL_PATTERN = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,9})?")
INTEGER_PATTERN = re.compile(rb"[0-9]{1,6}")


@record(slots=True)
class Command(Call):
    """A client's command, parsed and checked once. The field list has a gap for the remaining time."""

    prefix: bytes  # the command up to the field list
    fields_around_deadline: tuple[bytes, bytes]  # the list up to and with "d=", and what follows the number
    suffix: bytes  # the body, encoded, or nothing

    def encode(self, left_ms: int) -> bytes:
        """The command for a server: the client's own but for the remaining time."""
        fields = b"%b%d%b" % (self.fields_around_deadline[0], left_ms, self.fields_around_deadline[1])
        return b"%b%b%b" % (self.prefix, resp.encode_bulk(fields), self.suffix)


class CommandError(ValueError):
    """A command that can't be served; the text is sent to the client."""


class CommandParser:
    """Parses commands by what the settings define: classes, plans and limits."""

    def __init__(self, settings: Settings, most: RequestBounds) -> None:
        self.gateway_count = settings.gateway_count
        self.bounds = most
        self.plans = {plan.name.encode(): plan.name for plan in settings.plans}
        self.classes = {cls.name.encode(): (cls.name, cls.idempotency) for cls in settings.classes}
        self.idempotent_classes = {
            cls.name for cls in settings.classes if cls.idempotency is Idempotency.IDEMPOTENT
        }

    def parse(self, words: list[bytes]) -> Command:
        """Checks and parses a command; raises CommandError."""
        verb = words[0].upper()
        if not 4 <= len(words) <= 5:
            raise CommandError("wrong number of arguments")
        customer, request_id, text = words[1:4]
        if TENANT_PATTERN.fullmatch(customer) is None or int(customer, 16) >= MAX_TENANT_NUMBER:
            raise CommandError("bad customer")
        if IDENTIFIER_PATTERN.fullmatch(request_id) is None:
            raise CommandError("bad request id")
        if len(text) > MAX_FIELDS_BYTES:
            raise CommandError("bad fields")
        fields, gap = split_fields(text)
        name, repeat = self.lookup(self.classes, fields, b"c", "class")
        if (repeat is Idempotency.IDEMPOTENT) != (verb == b"CALL.GET"):
            raise CommandError("this class goes by the other command")
        if (b"k" in fields or repeat is Idempotency.WITH_KEY) and IDENTIFIER_PATTERN.fullmatch(
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
            # The form that all gateways share: quota windows and counter keys depend on it.
            tenant=customer.lower().decode(),
            time_left_ms=min(left_ms, self.bounds.max_deadline_ms),
            units=units,
            gateway_spread=spread,
            prefix=b"*%d\r\n%b" % (len(words), b"".join([resp.encode_bulk(word) for word in words[:3]])),
            fields_around_deadline=gap,
            suffix=resp.encode_bulk(words[4]) if len(words) == 5 else b"",
        )

    @staticmethod
    def lookup(table: dict[bytes, Any], fields: dict[bytes, bytes], key: bytes, what: str) -> Any:
        """The entry of `table` that a field names."""
        try:
            return table[fields[key]]
        except KeyError:
            raise CommandError(f"unknown {what}") from None


def split_fields(text: bytes) -> tuple[dict[bytes, bytes], tuple[bytes, bytes]]:
    """The fields by name, and the two parts of the list around the number of `d`, the remaining time."""
    fields: dict[bytes, bytes] = {}
    gap: tuple[bytes, bytes] | None = None
    at = 0
    for part in text.split(b","):
        name, equals, value = part.partition(b"=")
        if not equals or not name or name in fields:
            raise CommandError("bad fields")
        fields[name] = value
        if name == b"d":
            gap = text[: at + 2], text[at + len(part) :]
        at += len(part) + 1
    if gap is None:
        raise CommandError("no time left given")
    return fields, gap


def decimal_field(fields: dict[bytes, bytes], key: bytes, most: float, default: bytes) -> float:
    """A number from 0 to `most`. `float` alone would accept `nan`, `1_0`, `1e9` and white space."""
    text = fields.get(key, default)
    if DECIMAL_PATTERN.fullmatch(text) is None or float(text) > most:
        raise CommandError(f"bad number for {key.decode()}")
    return float(text)


def integer_field(fields: dict[bytes, bytes], key: bytes, least: int, most: int, default: int) -> int:
    """A whole number from `least` to `most`."""
    text = fields.get(key)
    if text is None:
        return default
    if INTEGER_PATTERN.fullmatch(text) is None or not least <= int(text) <= most:
        raise CommandError(f"bad number for {key.decode()}")
    return int(text)
