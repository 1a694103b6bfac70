"""Parts that the channel to the predecessor and the channels to successors share."""

from collections.abc import Callable
from dataclasses import dataclass

from beechrock.core.actor import ModuleActor
from beechrock.core.counters import Counters
from beechrock.handover.channel import Channel
from beechrock.handover.key_partner import KeyPartner
from beechrock.handover.lifecycle import Lifecycle
from beechrock.handover.load_exchange import LoadExchange
from beechrock.handover.memory_exchange import MemoryExchange
from beechrock.handover.peer import PeerLinks

RETRY_S = 0.05  # Seconds between attempts to reach a predecessor, and between checks whether doubt has ended


@dataclass(frozen=True, slots=True)
class SharedParts:
    """The components of one process's handover; each owns its state."""

    module: ModuleActor
    counters: Counters
    lifecycle: Lifecycle
    links: PeerLinks
    keys: KeyPartner
    load: LoadExchange
    memory: MemoryExchange
    channel: Channel | None
    # Called when this process may have to start or stop accepting connections.
    on_change: Callable[[], None]
    start_pulse: Callable[[], None]
