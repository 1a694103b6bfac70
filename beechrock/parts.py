"""Parts that make a node, beside its service, a member of a fleet; each has a table in the operator's file.

A part's modules are imported only if its table is enabled. Its package has ``settings.py`` (KEYS, and
``read``, which checks the table) and ``part.py`` (``begin``, which creates the actor). Parts are created in
the order of ``TABLES``, and find those created before them in ``Context.parts``.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from importlib import import_module
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from pathlib import Path

    from beechrock.core.actor import ModuleActor
    from beechrock.core.counters import Counters

# Package of the part that each table of the operator's file configures.
TABLES = {
    "fleet": "beechrock.talk",
    "agree": "beechrock.agree",
    "duties": "beechrock.duties",
    "edges": "beechrock.edges",
    "lowering": "beechrock.lowering",
    "releases": "beechrock.releases",
    "replica": "beechrock.replica",
    "limits": "beechrock.limits",
}
# Configuration tables whose part reads its settings in ``told.py``; remove an entry once its part has
# ``settings.py`` instead.
OLD_SETTINGS_MODULE = {"edges", "lowering", "releases", "replica", "limits"}
# Tables that a table requires; their parts are created before its own.
NEEDS = {
    "agree": ("fleet",),
    "duties": ("fleet", "agree"),
    "edges": ("fleet",),
    "lowering": ("fleet", "agree"),
    "releases": ("fleet", "agree"),
    "replica": ("fleet",),
}


class Part(Protocol):
    """Actor of one part of the fleet, created by its package, and started and closed by the program."""

    async def listen(self) -> None:
        """Open the part's sockets before anything runs; an OSError or OperatorError ends the start."""

    async def run(self) -> None:
        """Run until cancelled."""

    async def leave(self) -> None:
        """Release what other nodes wait for, as the shutdown begins; cancelled when the process must end."""

    def close(self) -> None:
        """Stop listening and close files, at the end of the process."""


class Host(Protocol):
    """The program as the fleet's parts see it; an attribute is None if the node lacks that component."""

    configuration: Any  # beechrock.config.Config
    frames: Any  # net.frame_server.FrameServer
    scgi: Any  # net.scgi.ScgiServer
    servers: Any  # net.scgi_work.ScgiWork
    keeper: Any  # inventory.keeper.Keeper
    meaning: Any  # inventory.model.Inventory in force; set only on a node with a keeper
    serving: Any  # admin.serving.Serving
    members: Any  # members.actor.MembersActor

    def leave(self) -> None:
        """Begin the graceful shutdown of the node."""


@dataclass(slots=True)
class Context:
    """Objects of the node that its parts may use."""

    name: str
    seed: int
    counters: "Counters"
    module: "ModuleActor"
    program: Host
    parts: dict[str, Any] = field(default_factory=dict)  # parts created so far, by table
    # Views at the operators' second address, by path: a GET returns the result as JSON.
    views: dict[str, Callable[[], object]] = field(default_factory=dict)
    # Calls at the operators' second address, by path: a POST passes the query's parameters and returns the
    # result as JSON; an OperatorError is answered with 409.
    calls: dict[str, Callable[[dict[str, str]], object]] = field(default_factory=dict)


def keys(table: str) -> set[str]:
    """Return the table's keys, without ``enabled``. Raises ImportError if the part lacks a library."""
    return set(_settings_module(table).KEYS)


def read(table: str, values: Mapping[str, Any], where: str, root: "Path") -> object:
    """Return the part's checked settings. Raises ConfigError, which names file, table and key."""
    return _settings_module(table).read(values, where, root)


def _settings_module(table: str) -> Any:
    return import_module(TABLES[table] + (".told" if table in OLD_SETTINGS_MODULE else ".settings"))


def create_parts(settings: Mapping[str, object], context: Context) -> dict[str, Part]:
    """Create the actors of all parts that have settings, in the order of ``TABLES``."""
    for table, package in TABLES.items():
        if table in settings:
            context.parts[table] = import_module(package + ".part").begin(settings[table], context)
    return context.parts
