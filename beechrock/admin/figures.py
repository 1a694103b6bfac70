"""The figures of the second address, in the text exposition format."""

from collections.abc import Iterable

from beechrock.core.request_counts import RequestCounts
from beechrock.core.requests import Verdict

MEDIA = b"text/plain; version=0.0.4; charset=utf-8"
STATUS = {Verdict.SERVED: "success", Verdict.REFUSED: "overload", Verdict.FAILED: "error"}
HELP = {
    "replies": ("counter", "Requests answered since the start, by class and by answer."),
    "dispatches": ("counter", "Runs handed to the agent since the start."),
    "concurrent": ("gauge", "Requests taken and not ended."),
}


def label(value: str) -> str:
    """A label's value between its quotes."""
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def text(classes: Iterable[str], tally: RequestCounts, dispatches: int) -> str:
    """Every class of the settings has its lines, with 0 until something counts."""
    names = dict.fromkeys([*classes, *(route for route, _ in tally.replies)])
    samples = {
        "replies": [
            (f'{{type="{label(name)}",status="{status}"}}', tally.replies.get((name, verdict), 0))
            for name in names
            for verdict, status in STATUS.items()
        ],
        "dispatches": [("", dispatches)],
        "concurrent": [("", tally.concurrent)],
    }
    lines = []
    for name, (kind, told) in HELP.items():
        lines += [f"# HELP svc_{name} {told}", f"# TYPE svc_{name} {kind}"]
        lines += [f"svc_{name}{labels} {value}" for labels, value in samples[name]]
    return "\n".join(lines) + "\n"
