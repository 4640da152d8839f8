"""A client's command, checked whole before anything of it touches a quota or a server."""

from __future__ import annotations

import re
from typing import Any

from glenchute.config.policy_settings import number
from glenchute.core.types import Call
from glenchute.policy.record import record
from glenchute.policy.settings import Idempotency, Settings
from glenchute.protocol import resp2 as resp

MOST_FIELDS = 512  # bytes of the list of names and values
CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")
MOST_CUSTOMER = 1 << 33
WORD = re.compile(rb"[!-~]{1,64}")  # ids and keys: no space, nothing that can't be printed
DECIMAL = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,9})?")
WHOLE = re.compile(rb"[0-9]{1,6}")


@record(slots=True)
class Command(Call):
    """A client's command, parsed and checked once. `fields` has a gap where the time left goes."""

    before: bytes  # the command up to the field list
    fields: tuple[bytes, bytes]  # the list up to and with "d=", and what follows the number
    after: bytes  # the body, encoded, or nothing

    def encode(self, left_ms: int) -> bytes:
        """The command for a server: the client's own, but for the time left."""
        fields = b"%b%d%b" % (self.fields[0], left_ms, self.fields[1])
        return b"%b%b%b" % (self.before, resp.bulk(fields), self.after)


class CommandError(ValueError):
    """A command that can't be served; the text goes to the client."""


@record(frozen=True, slots=True)
class Bounds:
    """The most that a command may ask for."""

    units: float
    wait_ms: float  # longer deadlines are served as this: none may hold a place for minutes


def bounds(raw: dict[str, Any]) -> Bounds:
    """From the settings."""
    waits = [number(row.get("hard_limit_ms")) for row in raw["profiles"]]
    return Bounds(
        units=number((raw.get("domain") or {}).get("max_units")) or 1e6,
        wait_ms=max(waits) if waits and min(waits) > 0 else 60_000.0,
    )


class Catalogue:
    """What a command may name, from the settings."""

    def __init__(self, settings: Settings, most: Bounds) -> None:
        self.gateways = settings.gateway_count
        self.bounds = most
        self.plans = {plan.name.encode(): plan.name for plan in settings.plans}
        self.classes = {cls.name.encode(): (cls.name, cls.idempotency) for cls in settings.classes}
        self.safe = {cls.name for cls in settings.classes if cls.idempotency is Idempotency.IDEMPOTENT}

    def call(self, words: list[bytes]) -> Command:
        """Checks a command and takes it apart, once."""
        verb = words[0].upper()
        if not 4 <= len(words) <= 5:
            raise CommandError("wrong number of arguments")
        customer, request_id, text = words[1:4]
        if CUSTOMER.fullmatch(customer) is None or int(customer, 16) >= MOST_CUSTOMER:
            raise CommandError("bad customer")
        if WORD.fullmatch(request_id) is None:
            raise CommandError("bad request id")
        if len(text) > MOST_FIELDS:
            raise CommandError("bad fields")
        fields, gap = split_fields(text)
        name, repeat = self.known(self.classes, fields, b"c", "class")
        if (repeat is Idempotency.IDEMPOTENT) != (verb == b"CALL.GET"):
            raise CommandError("this class goes by the other command")
        if (b"k" in fields or repeat is Idempotency.WITH_KEY) and WORD.fullmatch(
            fields.get(b"k", b"")
        ) is None:
            raise CommandError("no idempotency key")
        spread = whole(fields, b"spread", 1, self.gateways, 1)
        whole(fields, b"first", 0, self.gateways - 1, 0)
        units = decimal(fields, b"units", self.bounds.units, b"1")
        if not units:
            raise CommandError("bad number for units")
        left_ms = decimal(fields, b"d", float("inf"), b"")
        if left_ms < 1.0:
            raise CommandError("bad number for d")
        return Command(
            request_id=request_id,
            class_name=name,
            plan=self.known(self.plans, fields, b"t", "plan"),
            # The one form that all gateways share: windows and counter names hang on it.
            tenant=customer.lower().decode(),
            time_left_ms=min(left_ms, self.bounds.wait_ms),
            units=units,
            gateway_spread=spread,
            before=b"*%d\r\n%b" % (len(words), b"".join([resp.bulk(word) for word in words[:3]])),
            fields=gap,
            after=resp.bulk(words[4]) if len(words) == 5 else b"",
        )

    @staticmethod
    def known(table: dict[bytes, Any], fields: dict[bytes, bytes], key: bytes, what: str) -> Any:
        """What a field names."""
        try:
            return table[fields[key]]
        except KeyError:
            raise CommandError(f"unknown {what}") from None


def split_fields(text: bytes) -> tuple[dict[bytes, bytes], tuple[bytes, bytes]]:
    """The fields by name, and the list round the number of `d`."""
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


def decimal(fields: dict[bytes, bytes], key: bytes, most: float, default: bytes) -> float:
    """A number that is not negative. `float` alone would let through `nan`, `1_0`, `1e9` and white space."""
    text = fields.get(key, default)
    if DECIMAL.fullmatch(text) is None or float(text) > most:
        raise CommandError(f"bad number for {key.decode()}")
    return float(text)


def whole(fields: dict[bytes, bytes], key: bytes, least: int, most: int, default: int) -> int:
    """A whole number in its range."""
    text = fields.get(key)
    if text is None:
        return default
    if WHOLE.fullmatch(text) is None or not least <= int(text) <= most:
        raise CommandError(f"bad number for {key.decode()}")
    return int(text)
