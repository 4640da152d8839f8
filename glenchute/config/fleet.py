"""`[fleet]`: members, spans and budgets; what each key must be, and what they must be to each other."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .schema import Boolean, Number, String, Strings, Table, TableArray

if TYPE_CHECKING:
    from .facts import PlatformFacts
    from .operator_text import FindingCollector

MOST_MEMBERS = 1_000
MOST_NUMBER = 999_999
MOST_TASKS = 50
ADDRESS = String(
    r"[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}", "an IPv4 address with its port, as 127.0.0.1:7946"
)
NAME = String("[A-Za-z0-9_.-]{1,64}", "1 to 64 letters, digits, '_', '.' or '-'")
LEASES = Table(
    {
        "voters": Strings(alone=False),
        "changing": Boolean(),
        "longest_s": Number(0.5, 300),
        "drift": Number(0, 0.1),
        "tasks": TableArray(
            Table(
                {
                    "name": NAME,
                    "kind": String("ask|audit|call", "ask, audit or call"),
                    "address": ADDRESS,
                    "interval_s": Number(0.05, 86_400),
                    "longest_step_s": Number(0.01, 100),
                },
                ("name", "kind"),
            ),
            MOST_TASKS,
        ),
    },
    ("voters",),
)
FLEET = Table(
    {
        "fleet": NAME,
        "name": NAME,
        "listen": ADDRESS,
        "number": Number(0, MOST_NUMBER, whole=True),
        "members": TableArray(
            Table(
                {"name": NAME, "address": ADDRESS, "number": Number(0, MOST_NUMBER, whole=True)},
                ("name", "address"),
            ),
            MOST_MEMBERS,
        ),
        "period_ms": Number(20, 10_000),
        "patience_ms": Number(500, 60_000),
        "push_ms": Number(10, 5_000),
        "compare_ms": Number(50, 60_000),
        "budget_kib_s": Number(4, 10_240),
        "use_kib_s": Number(1, 10_240),
        "share_list": Boolean(),
        "leases": LEASES,
        "control": String("/[^\\x00-\\x1f]{1,100}", "the path of a socket, from the root"),
    },
    ("fleet", "name", "listen", "members"),
)
PLACE = ("fleet",)


def check(raw: dict[str, Any], facts: PlatformFacts | None, faults: FindingCollector) -> None:
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
    of_numbers(raw, faults)
    if "leases" in raw:
        of_leases(raw, set(names), faults)
    if not names and "members" in raw:
        faults("no-members", PLACE, "has no members; list them, or leave [fleet] out", True)


def of_numbers(raw: dict[str, Any], faults: FindingCollector) -> None:
    """What gateways' numbers must be to each other, where the file states any."""
    rows = [(PLACE, raw), *(((*PLACE, "members", at), row) for at, row in enumerate(raw.get("members", [])))]
    stated: dict[int, str] = {}
    for place, row in rows:
        number = row.get("number")
        if number is None:
            if any("number" in other for _, other in rows):
                faults("number-missing", place, "has no number; number all gateways, or none")
        elif number in stated:
            message = f"{number} is {stated[number]}'s; each gateway has a number of its own, the platform's"
            faults("number-twice", (*place, "number"), message)
        else:
            stated[number] = row.get("name", "this gateway")


def of_leases(raw: dict[str, Any], names: set[str], faults: FindingCollector) -> None:
    """What `[fleet.leases]` must be to the members and to itself."""
    from glenchute.policy.membership.leases import (  # only for a file that has it
        LeaseTerms,
        acceptor_set_problem,
    )

    leases = raw["leases"]
    at = (*PLACE, "leases")
    listed, changing = [*names, raw.get("name", "")], leases.get("changing", False)
    if "voters" in leases and (wrong := acceptor_set_problem(leases["voters"], listed, changing)):
        faults("unsound-voters", (*at, "voters"), wrong)
    seen: dict[str, int] = {}
    terms = LeaseTerms((), leases.get("longest_s", 10.0), leases.get("drift", 0.01))
    for number, row in enumerate(leases.get("tasks", [])):
        place = (*at, "tasks", number)
        name, kind = row.get("name"), row.get("kind")
        if name in seen:
            message = f"{name!r} is tasks[{seen[name]}]'s; each name stands once"
            faults("task-twice", (*place, "name"), message)
        seen.setdefault(name, number)
        if (kind == "call") is not ("address" in row) and kind is not None:
            faults("task-address", place, "kind call wants an address, and no other kind has one")
        if (kind == "ask") is not (name == "ask") and kind is not None:
            faults("task-ask", place, "the task that asks discovery is of kind ask and named ask")
        if kind == "ask" and not raw.get("share_list"):
            faults("task-ask", place, "asks for a list that nobody is told of; set share_list = true")
        most = 0.5 * terms.usable_span_s(terms.max_span_s) / (1.0 + terms.max_clock_drift)
        if kind == "call" and row.get("longest_step_s", 1.0) > most:
            message = f"longest_step_s is over {most:.2f}, half of what a lease of longest_s lasts"
            faults("long-step", place, f"{message}: it might never begin; raise longest_s, or cut the step")
