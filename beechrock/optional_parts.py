"""Factories of parts that most nodes lack: trace recorder, inventory keeper, operators' HTTP calls.

Each function imports the modules of its part only when it is called.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from beechrock import config
from beechrock.core.actor import ModuleActor

if TYPE_CHECKING:
    from beechrock.admin.http import Calls
    from beechrock.admin.serving import Serving
    from beechrock.handover.node import Handover
    from beechrock.inventory.generation import Generation
    from beechrock.inventory.keeper import Keeper
    from beechrock.trace.recorder import Recorder


def recorder(
    settings: config.Trace, name: str, module: ModuleActor, unix_clock: Callable[[], float]
) -> "Recorder":
    """Create a trace recorder, to which the module reports from now on."""
    from beechrock.trace.flow import Rules
    from beechrock.trace.recorder import Recorder

    rules = Rules(
        flush_s=settings.flush_s,
        segment_bytes=int(settings.segment_mb * 2**20),
        segment_s=settings.segment_s,
        most_bytes=int(settings.most_mb * 2**20),
    )
    created = Recorder(
        settings.folder,
        name,
        module.counters,
        module.clock,
        rules,
        settings.sample,
        settings.key,
        unix_clock,
    )
    module.trace(created)
    return created


def inventory_keeper(
    settings: config.Scgi, module: ModuleActor, adopt: "Callable[[Generation], bool]"
) -> "Keeper":
    """Create the inventory keeper, which calls ``adopt`` with each new generation."""
    from beechrock.inventory import keeper, watch

    rules = watch.Rules(settle_s=settings.settle_s, confirm_s=settings.confirm_s)
    created = keeper.Keeper(
        settings.path,
        settings.generation,
        rules,
        module.counters,
        adopt,
        settings.watch_s,
        settings.most_removed,
        settings.state,
    )
    module.counters.set("inventory.generation", settings.generation.number)
    return created


def serving_state(module: ModuleActor, handover: "Handover | None") -> "Serving":
    """Create the serving state that operators see and set, shared with the hand-over's other process."""
    from beechrock.admin.serving import Serving

    serving = Serving(lambda: module.can_run() and (handover is None or handover.serving))
    if handover is not None:
        serving.on_drain_command = handover.send_drain_command
        handover.on_drain_command = serving.hear
        handover.drained = lambda: serving.failed
    module.listed_by_operators = lambda: serving.offered
    return serving


def operator_calls(module: ModuleActor, serving: "Serving", dispatches: Callable[[], int] | None) -> "Calls":
    """Create the HTTP calls of the second address; without ``dispatches`` each launch counts as one."""
    from beechrock.admin.http import Calls

    def launches() -> int:
        """Return the number of launched runs: with SCGI servers each launch is one dispatch."""
        return int(module.counters["sent.launches"])

    return Calls(module, serving, launches if dispatches is None else dispatches)
