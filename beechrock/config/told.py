"""Data classes of a node's configuration, after it was read and checked."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from beechrock.interface import Settings

if TYPE_CHECKING:  # PyYAML and pathlib cost memory; only the SCGI front end loads them
    from pathlib import Path

    from beechrock.inventory.generation import Generation

Address = tuple[str, int]
WATCH_S, SETTLE_S, CONFIRM_S, MOST_REMOVED = 0.5, 0.5, 10.0, 0.25


@dataclass(frozen=True, slots=True)
class Scgi:
    """Settings of the SCGI front end and of its inventory."""

    listen: Address
    path: "Path"  # Inventory file or folder
    generation: "Generation"  # Generation in force at the start
    state: "Path | None" = None  # Folder that stores the last good generation
    notes: tuple[str, ...] = field(default=(), compare=False)  # Warnings to log at the start
    log: str = "text"
    watch_s: float = WATCH_S  # Seconds between checks of the files
    settle_s: float = SETTLE_S  # Seconds without changes before files are read
    confirm_s: float = CONFIRM_S  # Seconds before a large removal is read a second time
    most_removed: float = MOST_REMOVED  # Share of the entries of a kind whose removal needs no confirmation


@dataclass(frozen=True, slots=True)
class Trace:
    """Settings of the trace recorder."""

    folder: "Path"
    sample: float = 1.0  # Share of requests that are recorded; below 1 the trace can't be replayed
    key: bytes | None = None  # Secret for hashing subjects and keys before they are recorded
    segment_mb: float = 64.0  # Size at which a new segment file is started
    segment_s: float = 3600.0  # Age at which a new segment file is started
    most_mb: float = 1024.0  # Maximum size of all files together; the oldest are deleted
    flush_s: float = 1.0  # Maximum seconds that rows wait before they are written


@dataclass(frozen=True, slots=True)
class Config:
    """Configuration of a node; without LB_CONFIG, ``listen`` and ``agent`` are None."""

    name: str
    listen: Address | None
    agent: Address | None
    ledger: Address | None
    registry: Address | None
    seed: int
    stop_s: float
    memory_mb: float
    sockets: int
    settings: Settings
    gauges: tuple[str, ...]
    scgi: Scgi | None
    trace: Trace | None = None
    members: Any = None  # ``members.settings.MembersSettings`` if that table is enabled, else None
    admin: Address | None = None  # Address of the admin listener
    admin_at: str = field(default="", compare=False)  # Source of ``admin``, for messages
    listen_fd: int | None = None  # Inherited listening socket, which the platform keeps open
    handover: "Path | None" = None  # With ``listen_fd``: folder shared by the node's processes
    raw: dict[str, Any] | None = None  # Settings of LB_CONFIG, which those of an inventory override
    parts: dict[str, object] = field(default_factory=dict)  # Settings of each enabled part, by table
