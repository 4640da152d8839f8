"""Prints the lowest margins over the floors of the standing test, from the journal of its runs.

    python -m benchmarks.floors [JOURNAL] [--since ID]

A row for each deployment and panel has the number of days, the lowest score, what was served divided by what
the gate requires (of all, of the class and of the plan with the least margin), and the highest price of units
beyond quotas on calm days. A ratio over 1 passes on that day alone; on short days the gate sums all days, so
a single one may be under 1.
"""

from __future__ import annotations

import argparse
import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any


def ratio(served: float, required: float | None) -> float:
    """Returns served divided by required; infinite where nothing is required."""
    return served / required if required else float("inf")


def lowest_ratio(days: Iterable[dict[str, Any]], key: str) -> tuple[float, str]:
    """Returns the least ratio of a class or plan to its floor, with its name and day."""
    ratios = [
        (ratio(row[1], row[2]), f"{row[0]} on {day['name']}") for day in days for row in day.get(key) or ()
    ]
    return min(ratios, default=(float("inf"), "-"))


def main() -> None:
    """Prints a row for each deployment and panel."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("journal", nargs="?", default="journal", type=Path)
    parser.add_argument("--since", default="", help="an entry's time, such as 20261202T0240")
    args = parser.parse_args()
    rows: dict[tuple[str, str], list[dict[str, Any]]] = {}
    for path in sorted(args.journal.glob("*.json")):
        entry = json.loads(path.read_text()) if path.name >= args.since else {}
        days = [day for day in entry.get("days") or () if "served_least" in day]
        panel = next((word for word in ("brink", "quick") if word in str(entry.get("panel"))), "full")
        rows.setdefault((str(entry.get("site")), panel), []).extend(days)
    print(f"{'deployment':16} {'panel':8} days  least score  served  {'class':39} {'plan':39} over on calm")
    for (site, panel), days in sorted(rows.items()):
        if not days:
            continue
        served = min(ratio(day["served"], day["served_least"]) for day in days)
        class_ratio, class_day = lowest_ratio(days, "by_class")
        plan_ratio, plan_day = lowest_ratio(days, "by_tenant")
        over = max((day["over"] for day in days if day["name"].startswith("calm+mass")), default=float("nan"))
        print(f"{site:16} {panel:8} {len(days):4}  {min(day['score'] for day in days):11.2f}  {served:6.2f}  "
              f"{class_ratio:4.2f} {class_day:34} {plan_ratio:4.2f} {plan_day:34} {over:.3f}")  # fmt: skip


if __name__ == "__main__":
    main()
