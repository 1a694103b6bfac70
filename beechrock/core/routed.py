"""Work that is done in two places: each request goes where its service runs."""

from collections.abc import Callable

from beechrock.core.requests import Request, Work


class Routed:
    """Sends the named routes to one worker and all others to the other."""

    def __init__(self, routes: frozenset[str], here: Work, others: Work) -> None:
        self.routes, self.here, self.others = routes, here, others

    def _of(self, request: Request) -> Work:
        return self.here if request.route in self.routes else self.others

    def launch(self, request: Request) -> None:
        self._of(request).launch(request)

    def stop(self, request: Request) -> None:
        self._of(request).stop(request)

    def resume(self, request: Request) -> None:
        self._of(request).resume(request)

    def deliver(self, request: Request, reply: bytes) -> None:
        self._of(request).deliver(request, reply)

    def forgo(self, request: Request, mark: int) -> None:
        self._of(request).forgo(request, mark)

    def sample(self) -> None:
        self.here.sample()
        self.others.sample()

    def exercise(self, report: Callable[[bool], None]) -> None:
        """Good once both have done their part well."""
        results: list[bool] = []

        def one(good: bool) -> None:
            results.append(good)
            if len(results) == 2:
                report(all(results))

        self.here.exercise(one)
        self.others.exercise(one)
