"""The table `[fleet]` of the operator's file: the structure of its keys, and the checks across keys.

Each check reports findings with a stable code, a location and a message with the fix.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .schema import Boolean, Number, Path, String, Strings, Table, TableArray

if TYPE_CHECKING:
    from .facts import PlatformFacts
    from .operator_text import FindingCollector

MAX_MEMBERS = 1_000
MAX_NUMBER = 999_999
MAX_TASKS = 50
ADDRESS = String(
    r"[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}", "an IPv4 address with its port, as 127.0.0.1:7946"
)
NAME = String("[A-Za-z0-9_.-]{1,64}", "1 to 64 letters, digits, '_', '.' or '-'")
LEASES = Table(
    {
        "voters": Strings(allows_single=False),
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
            MAX_TASKS,
        ),
    },
    ("voters",),
)
FLEET = Table(
    {
        "fleet": NAME,
        "name": NAME,
        "listen": ADDRESS,
        "number": Number(0, MAX_NUMBER, is_integer=True),
        "members": TableArray(
            Table(
                {"name": NAME, "address": ADDRESS, "number": Number(0, MAX_NUMBER, is_integer=True)},
                ("name", "address"),
            ),
            MAX_MEMBERS,
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
LOCATION: Path = ("fleet",)
MIN_PATIENCE_PERIODS = 5.0
MAX_STEP_SHARE = 0.5  # share of a lease's usable time; a longer step might never be allowed to start


def check(raw: dict[str, Any], facts: PlatformFacts | None, report: FindingCollector) -> None:
    """Runs the checks across the table's keys."""
    names = check_members(raw, report)
    if raw.get("patience_ms", 2500.0) < MIN_PATIENCE_PERIODS * raw.get("period_ms", 200.0):
        message = (
            "patience_ms is under 5 periods, so that one lost answer could declare a member dead; raise it"
        )
        report("impatient", LOCATION, message)
    check_numbers(raw, report)
    if "leases" in raw:
        check_leases(raw, names, report)
    if not names and "members" in raw:
        report("no-members", LOCATION, "has no members; list them, or remove [fleet]", True)


def check_members(raw: dict[str, Any], report: FindingCollector) -> set[str]:
    """Checks that names and addresses are unique and not this gateway's. Returns the members' names."""
    names: dict[str, int] = {}
    addresses: dict[str, int] = {}
    for index, row in enumerate(raw.get("members", [])):
        for key, seen in (("name", names), ("address", addresses)):
            value = row.get(key)
            if value is None:
                continue
            if value in seen:
                message = f"{value!r} is used by members[{seen[value]}]; each {key} must be unique"
                report("member-twice", (*LOCATION, "members", index, key), message)
            seen.setdefault(value, index)
            if key == "address" and int(value.rpartition(":")[2]) not in range(1, 65_536):
                message = "has no port from 1 to 65535; correct it"
                report("bad-port", (*LOCATION, "members", index, key), message)
    if raw.get("name") in names:
        location = (*LOCATION, "members", names[raw["name"]])
        report("names-itself", location, "is this gateway; list only the others")
    if raw.get("listen") in addresses:
        message = "is also a member's address; list only the other gateways"
        report("member-twice", (*LOCATION, "listen"), message)
    return set(names)


def check_numbers(raw: dict[str, Any], report: FindingCollector) -> None:
    """Checks that either all gateways have unique numbers or none has one."""
    members = enumerate(raw.get("members", []))
    rows = [(LOCATION, raw), *(((*LOCATION, "members", index), row) for index, row in members)]
    owners: dict[int, str] = {}
    for location, row in rows:
        number = row.get("number")
        if number is None:
            if any("number" in other for _, other in rows):
                report("number-missing", location, "has no number; state one for all gateways, or for none")
        elif number in owners:
            message = f"{number} is used by {owners[number]}; each gateway has its own number, the platform's"
            report("number-twice", (*location, "number"), message)
        else:
            owners[number] = row.get("name", "this gateway")


def check_leases(raw: dict[str, Any], names: set[str], report: FindingCollector) -> None:
    """Checks the acceptors (`voters`) and the tasks of `[fleet.leases]`. `names`: those of the members."""
    from glenchute.policy.membership.leases import (  # imported only for a file with leases
        LeaseTerms,
        acceptor_set_problem,
    )

    leases = raw["leases"]
    location = (*LOCATION, "leases")
    listed, changing = [*names, raw.get("name", "")], leases.get("changing", False)
    if "voters" in leases and (problem := acceptor_set_problem(leases["voters"], listed, changing)):
        report("unsound-voters", (*location, "voters"), problem)
    terms = LeaseTerms((), leases.get("longest_s", 10.0), leases.get("drift", 0.01))
    usable_s = terms.usable_span_s(terms.max_span_s)
    max_step_s = MAX_STEP_SHARE * usable_s / (1.0 + terms.max_clock_drift)
    seen: dict[str, int] = {}
    for index, row in enumerate(leases.get("tasks", [])):
        task_location = (*location, "tasks", index)
        name = row.get("name")
        if name in seen:
            message = f"{name!r} is used by tasks[{seen[name]}]; each name must be unique"
            report("task-twice", (*task_location, "name"), message)
        seen.setdefault(name, index)
        check_task(row, bool(raw.get("share_list")), max_step_s, task_location, report)


def check_task(
    row: dict[str, Any], shares_list: bool, max_step_s: float, location: Path, report: FindingCollector
) -> None:
    """Checks that a task's keys match its kind, and that its step fits into a lease."""
    name, kind = row.get("name"), row.get("kind")
    if (kind == "call") is not ("address" in row) and kind is not None:
        report("task-address", location, "kind call needs an address, and no other kind has one")
    if (kind == "ask") is not (name == "ask") and kind is not None:
        report("task-ask", location, "the task that polls discovery must be of kind ask and named ask")
    if kind == "ask" and not shares_list:
        report(
            "task-ask", location, "polls a list that is not shared with the members; set share_list = true"
        )
    if kind == "call" and row.get("longest_step_s", 1.0) > max_step_s:
        message = f"longest_step_s is over {max_step_s:.2f}, half of the usable time of a lease of longest_s"
        report(
            "long-step", location, f"{message}: it might never start; raise longest_s, or shorten the step"
        )
