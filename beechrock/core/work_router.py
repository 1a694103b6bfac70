"""Routing of runs between two ``Work`` ports, by which of them runs the service."""

from collections.abc import Callable
from typing import Protocol

from beechrock.core.requests import Request, Work


class Holder(Work, Protocol):
    """A ``Work`` port that knows which services and which requests it runs."""

    def has_server(self, route: str) -> bool:
        """Return whether this port runs a service."""

    def holds(self, request: Request) -> bool:
        """Return whether this port runs a request."""


class WorkRouter:
    """Launches runs at ``here`` if it runs their service, else at ``others``; runs stay where they began."""

    def __init__(self, here: Holder, others: Work) -> None:
        self.here = here
        self.others = others

    def _port_of(self, request: Request) -> Work:
        return self.here if self.here.holds(request) else self.others

    def launch(self, request: Request) -> None:
        """Start a run at the port that runs its service."""
        (self.here if self.here.has_server(request.route) else self.others).launch(request)

    def stop(self, request: Request) -> None:
        """Pause a run at its port."""
        self._port_of(request).stop(request)

    def resume(self, request: Request) -> None:
        """Resume a run at its port."""
        self._port_of(request).resume(request)

    def deliver(self, request: Request, reply: bytes) -> None:
        """Pass a call's reply to the run."""
        self._port_of(request).deliver(request, reply)

    def forgo(self, request: Request, mark: int) -> None:
        """Let a run continue without its call."""
        self._port_of(request).forgo(request, mark)

    def sample(self) -> None:
        """Request the gauges from both ports."""
        self.here.sample()
        self.others.sample()

    def exercise(self, report: Callable[[bool], None]) -> None:
        """Call ``report`` with whether both ports can start runs, once both results are in."""
        results: list[bool] = []

        def on_result(good: bool) -> None:
            """Record the result of one port; the second one completes the report."""
            results.append(good)
            if len(results) == 2:
                report(all(results))

        self.here.exercise(on_result)
        self.others.exercise(on_result)
