"""Interfaces of the optional subsystems of the SCGI front: contracts and budgets, and edges."""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from beechrock.core.requests import Request
from beechrock.net.scgi_reply import Reply

if TYPE_CHECKING:
    from beechrock.inventory.model import Inventory
    from beechrock.net.scgi import ScgiConnection

ReplyHeaders = tuple[tuple[str, str], ...]


def rejection_reply(found: "ContractRejection") -> Reply:
    """Return the reply to a rejection, with headers for a retry: not elsewhere, as all share the contract."""
    return Reply(
        503,
        f"beyond its contract ({found.reason}); this try never ran\n".encode(),
        (
            ("Retry-After", str(math.ceil(found.after_s))),
            ("X-Retry-After-Ms", str(max(1, round(1000 * found.after_s)))),
            ("X-Retry-Elsewhere", "no"),
            ("X-Limit", found.reason),
            *found.headers,
        ),
    )


class Edges(Protocol):
    """Interface of the optional subsystem for edges."""

    def takes(self, request: Request, headers: dict[str, str], send_reply: Callable[[Reply], None]) -> bool:
        """Return whether edges answer the request, which cannot be served now. Raises ScgiError."""
        ...


@dataclass(frozen=True, slots=True)
class Allowed:
    """A request within its contract.

    ``tenant_index`` identifies the tenant to the module; ``ended`` is called once, with the duration of the
    run in seconds, or None if it never ran; ``headers`` returns headers for the answer.
    """

    tenant_index: int
    ended: Callable[[float | None], None]
    headers: Callable[[], ReplyHeaders]


@dataclass(frozen=True, slots=True)
class ContractRejection:
    """Rejection of a request or connection beyond its contract; ``after_s`` is the seconds until a retry."""

    after_s: float
    reason: str
    headers: ReplyHeaders


class Limits(Protocol):
    """Interface of the optional subsystem for contracts and budgets."""

    def admit(self, contract: tuple[str, str], size: int) -> Allowed | ContractRejection:
        """Admit or reject a request by its contract, after its headers and before its body are read."""
        ...

    def connect(
        self, team: str, own: "Iterable[ScgiConnection]"
    ) -> "ScgiConnection | ContractRejection | None":
        """Admit one more connection of a team with the connections ``own``.

        Returns a rejection, or a connection of ``own`` to close in exchange, or None.
        """
        ...

    def apply_inventory(self, meaning: "Inventory") -> None:
        """Apply a new inventory."""
        ...
