"""Pending health checks whose work runs on the agent. No I/O."""

from collections.abc import Callable


class PendingChecks:
    """Health checks whose work runs on the agent; the result of each is reported exactly once."""

    def __init__(self) -> None:
        self.reports: dict[str, Callable[[bool], None]] = {}

    def __len__(self) -> int:
        return len(self.reports)

    def add(self, tag: str, report: Callable[[bool], None]) -> None:
        """Store a check until its result arrives."""
        self.reports[tag] = report

    def end(self, tag: str, passed: bool) -> None:
        """Report the result of a check, if the check is still pending."""
        report = self.reports.pop(tag, None)
        if report is not None:
            report(passed)

    def fail_all(self) -> None:
        """Fail all pending checks, as their results cannot arrive after the link broke."""
        broken, self.reports = self.reports, {}
        for report in broken.values():
            report(False)
