"""``beechrock trace``: info, verify, repair, cut, merge, anonymise, summary, find, export, replay."""

from beechrock.cli.trace import files, look, replay
from beechrock.cli.trace.group import trace

__all__ = ["files", "look", "replay", "trace"]
