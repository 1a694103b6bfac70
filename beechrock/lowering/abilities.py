"""Table features that a program must support to run a table, and those that this program supports.

A plan lists for each class the features that its table needs. A node with an older program therefore runs
every table without new features, and names the missing ones of any other table. The environment variable
``BEECHROCK_LAB_LACKS`` (comma-separated) makes this program act as if it lacked some features; only the
laboratory's tests set it, no operator does. Pure except for reading that variable.
"""

import os

from beechrock.lowering.policy import Affinity
from beechrock.lowering.tables import Table

LAB = "BEECHROCK_LAB_LACKS"
ALL = ("affinity", "coarse", "hedges", "limits", "mirrors", "priority", "retries", "states", "tiers")
USUAL_LEVEL = 3  # Priority level of a rule that sets no priority
LACKS = frozenset(filter(None, os.environ.get(LAB, "").split(","))) & frozenset(ALL)
HAS = tuple(ability for ability in ALL if ability not in LACKS)


def needs_of(table: Table) -> tuple[str, ...]:
    """Return the features that the table needs, over all actions in every loss state, sorted by name."""
    found = set()
    for action in table.actions:
        uses = {
            "affinity": action.affinity != Affinity.NONE,
            "hedges": action.hedge_ms is not None,
            "limits": action.rate_per_s is not None or action.at_once is not None,
            "mirrors": bool(action.mirrors),
            "priority": action.level not in (0, USUAL_LEVEL),
            "retries": action.retries > 0,
            "tiers": len(action.tiers) > 1,
        }
        found |= {ability for ability, used in uses.items() if used}
    if table.coarse:
        found.add("coarse")
    if any(table.states.values()):
        found.add("states")
    return tuple(sorted(found))
