"""`[fleet]`: members, spans and budgets; what each key must be, and what they must be to each other."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .schema import Number, Rows, Switch, Table, Word

if TYPE_CHECKING:
    from .facts import Facts
    from .operator import Faults

MOST_MEMBERS = 500
ADDRESS = Word(r"[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}", "an IPv4 address with its port, as 127.0.0.1:7946")
NAME = Word("[A-Za-z0-9_.-]{1,64}", "1 to 64 letters, digits, '_', '.' or '-'")
FLEET = Table(
    {
        "fleet": NAME,
        "name": NAME,
        "listen": ADDRESS,
        "members": Rows(Table({"name": NAME, "address": ADDRESS}, ("name", "address")), MOST_MEMBERS),
        "period_ms": Number(20, 10_000),
        "patience_ms": Number(500, 60_000),
        "push_ms": Number(10, 5_000),
        "compare_ms": Number(50, 60_000),
        "budget_kib_s": Number(4, 10_240),
        "share_list": Switch(),
        "control": Word("/[^\\x00-\\x1f]{1,100}", "the path of a socket, from the root"),
    },
    ("fleet", "name", "listen", "members"),
)
PLACE = ("fleet",)


def check(raw: dict[str, Any], facts: Facts | None, faults: Faults) -> None:
    """What keys must be to each other."""
    names: dict[str, int] = {}
    addresses: dict[str, int] = {}
    for at, row in enumerate(raw.get("members", [])):
        for key, seen in (("name", names), ("address", addresses)):
            word = row.get(key)
            if word is None:
                continue
            if word in seen:
                message = f"{word!r} is members[{seen[word]}]'s; each {key} stands once"
                faults("member-twice", (*PLACE, "members", at, key), message)
            seen.setdefault(word, at)
            if key == "address" and int(word.rpartition(":")[2]) not in range(1, 65_536):
                faults("bad-port", (*PLACE, "members", at, key), "has no port from 1 to 65535; mend it")
    if raw.get("name") in names:
        faults("names-itself", (*PLACE, "members", names[raw["name"]]), "is this gateway; list the others")
    if raw.get("listen") in addresses:
        message = "is also a member's; a gateway does not talk to itself"
        faults("member-twice", (*PLACE, "listen"), message)
    if raw.get("patience_ms", 2500.0) < 5.0 * raw.get("period_ms", 200.0):
        message = "patience_ms is under 5 periods: one lost answer could bury a member; raise it"
        faults("impatient", PLACE, message)
    if not names and "members" in raw:
        faults("no-members", PLACE, "has no members; list them, or leave [fleet] out", True)
