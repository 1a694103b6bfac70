"""``beechrock drain`` and ``beechrock release``: permits to be out, and releases.

Through any node's second address. What is asked for is agreed in the log; the answer says why not, and who is
out in its place.
"""

import getpass
import secrets
import sys
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

import click
import ujson

from beechrock.cli import admin_client
from beechrock.cli.inventory import OUTPUT_FORMAT, fail

AT = click.option(
    "--at", "address", default="127.0.0.1:4100", help="Any node's second address [127.0.0.1:4100]."
)
AS = click.option("--as", "user", default=getpass.getuser, help="Who asks, for the audit [your user name].")
FORMAT = click.option("--format", "output_format", type=OUTPUT_FORMAT, default="text")
WATCH = click.option("--watch", is_flag=True, help="Show it again each second until it is over.")
ANSWER_TIMEOUT_S = 10.0  # for the log to decide on what was asked
POLL_EACH_S = 0.1  # between two looks for the answer
WATCH_EACH_S = 1.0  # between two looks with --watch
FINISHED_STAGES = {"done", "undone"}


@click.group()
def drain() -> None:
    """Permits for a node, or a server below, to be out of service."""


@drain.command("ask")
@click.argument("target")
@click.option("--why", default="")
@click.option("--for", "for_s", type=float, default=0.0, help="Seconds in which it may go out.")
@click.option("--claim", is_flag=True, help="In need: also over a budget. It is named so, and recorded.")
@AT
@AS
@FORMAT
def ask(
    target: str, why: str, for_s: float, claim: bool, address: str, user: str, output_format: str
) -> None:
    """Ask for TARGET (a node, or a server's HOST:PORT) to go out; it drains by itself once it may.

    Exit 1 if it may not: the answer names the budget, and who is out; 2 without an answer.
    """
    _call(
        address,
        "ask",
        output_format,
        target=target,
        why=why,
        for_s=for_s,
        who=user,
        claim="yes" if claim else "no",
    )


@drain.command("return")
@click.argument("target")
@click.option("--force", is_flag=True, help="End its permit without its proof: you answer for it.")
@click.option("--why", default="", help="For the audit; needed with --force.")
@AT
@AS
@FORMAT
def return_(target: str, force: bool, why: str, address: str, user: str, output_format: str) -> None:
    """Have TARGET come back; it counts as out until its own proof."""
    if force and not why:
        raise click.UsageError("--force needs --why")
    _call(address, "return", output_format, target=target, who=user, force="yes" if force else "no", why=why)


@drain.command("list")
@WATCH
@AT
@FORMAT
def list_(watch: bool, address: str, output_format: str) -> None:
    """Show budgets, who is out and why, and who counts as out without a permit. Exit 1 if anybody does."""
    view = _show(address, output_format, watch, _permits_text, lambda view: not view["permits"])
    sys.exit(1 if any(node["down"] or node["cold"] for node in view["nodes"] if not node["permit"]) else 0)


@click.group()
def release() -> None:
    """A new version through the fleet: canary, waves by hall, halt, and the way back."""


@release.command()
@click.argument("name")
@click.argument("version")
@click.option("--before", default="", help="The version of the way back [what most nodes have].")
@click.option("--canary", type=int, default=1, help="Nodes of the first wave [1].")
@click.option("--most", type=int, default=1, help="The most nodes in a later wave [1].")
@click.option("--nodes", default="", help="Some nodes only, by commas [all].")
@AT
@AS
@FORMAT
def plan(
    name: str,
    version: str,
    before: str,
    canary: int,
    most: int,
    nodes: str,
    address: str,
    user: str,
    output_format: str,
) -> None:
    """Plan release NAME of VERSION; nothing moves before `start`."""
    _call(
        address,
        "plan",
        output_format,
        name=name,
        version=version,
        before=before,
        canary=canary,
        most=most,
        nodes=nodes,
        who=user,
    )


def _add_verb(verb: str, help_text: str) -> None:
    """Add a command that sends a verb about a release."""

    @release.command(verb, help=help_text)
    @click.argument("name")
    @click.option("--why", "reason", default="")
    @AT
    @AS
    @FORMAT
    def command(name: str, reason: str, address: str, user: str, output_format: str) -> None:
        _call(address, "word", output_format, name=name, what=verb, who=user, reason=reason)


_add_verb("start", "Begin with the canary of release NAME.")
_add_verb("pause", "Let nobody new out; who is out comes back. `resume` goes on.")
_add_verb("resume", "Go on after a pause, or after a halt that you have looked at.")
_add_verb("halt", "As a pause, recorded as a breach that an operator saw.")
_add_verb("back", "Bring the version before to all that were touched, the last changed first.")


@release.command()
@WATCH
@AT
@FORMAT
def status(watch: bool, address: str, output_format: str) -> None:
    """Show releases, their waves, and why and for whom the one under way waits. Exit 1 if one is halted."""
    view = _show(
        address,
        output_format,
        watch,
        _releases_text,
        lambda view: all(release["stage"] in FINISHED_STAGES for release in view["releases"]),
    )
    sys.exit(1 if any(release["stage"] == "halted" for release in view["releases"]) else 0)


@release.command()
@AT
@FORMAT
def audit(address: str, output_format: str) -> None:
    """Show who did what: the log's index, the deed, its target, and who."""
    rows = admin_client.request(address, "GET", "/releases")["audit"]
    click.echo(_json(rows) if output_format == "json" else _table(["index", "what", "target", "who"], rows))


# --- what is shown


def _permits_text(view: dict[str, Any]) -> str:
    permits = [
        [
            permit["target"],
            permit["by"],
            permit["fence"],
            _state(permit),
            "" if permit.get("open") is None else permit["open"],
            permit["why"],
        ]
        for permit in view["permits"]
    ]
    budgets = [[budget["name"], budget["out"], budget["allowed"]] for budget in view["budgets"]]
    others = [
        [
            node["name"],
            node["hall"],
            ", ".join(reason for reason in ("down", "cold") if node[reason]),
            node["serving"],
        ]
        for node in view["nodes"]
        if (node["down"] or node["cold"]) and not node["permit"]
    ]
    return "\n\n".join(
        [
            _table(["budget", "out", "allowed"], budgets),
            _table(["out", "by", "fence", "state", "runs here", "why"], permits),
            _table(["counts as out", "hall", "why", "says"], others),
        ]
    )


def _state(permit: dict[str, Any]) -> str:
    state = (
        "returning"
        if permit["returning"]
        else "out"
        if permit["gone"]
        else ("expired" if permit["expired"] else "may go")
    )
    if permit.get("reached"):
        state += " (reached by {} of {})".format(*permit["reached"])
    return f"{state}, claimed" if permit["claimed"] else state


def _releases_text(view: dict[str, Any]) -> str:
    lines = [
        f"driver: {view['driver'] or 'none: no quorum, or nobody holds the duty'}; "
        f"leader: {view['leader'] or 'none: no quorum'}"
    ]
    for release in view["releases"]:
        lines.append(
            f"{release['name']}: {release['before']} -> {release['version']}: {release['stage']}"
            + (f": {release['reason']}" if release["reason"] else "")
        )
        table = release["undone"] if release["stage"] in ("backing", "undone") else release["steps"]
        for number, wave in enumerate(release["waves"], 1):
            mark = "good" if number <= release["good"] else "open" if number == release["good"] + 1 else ""
            row = ", ".join(f"{name} {table[name]}" for name in wave if name in table)
            lines.append(f"  wave {number} {mark}: {row}")
    lines += [f"waits: {line}" for line in view["waits"]]
    if view["broken"]:
        lines.append(f"broken: {view['broken']}")
    return "\n".join(lines)


def _table(head: list[str], rows: list[list[Any]]) -> str:
    texts = [head, *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[n]) for row in texts) for n in range(len(head))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in texts
    )


def _json(value: Any) -> str:
    return str(ujson.dumps(value, indent=1, escape_forward_slashes=False))


def _show(
    address: str,
    output_format: str,
    watch: bool,
    to_text: Callable[[dict[str, Any]], str],
    is_over: Callable[[dict[str, Any]], bool],
) -> dict[str, Any]:
    """Print the view once, or until it is over; only what has changed is printed again."""
    printed = ""
    while True:
        view = admin_client.request(address, "GET", "/releases")
        text = _json(view) if output_format == "json" else to_text(view)
        if text != printed:
            if printed and sys.stdout.isatty():
                click.clear()
            click.echo(text)
            printed = text
        if not watch or is_over(view):
            return view
        time.sleep(WATCH_EACH_S)


# --- the wire


def _call(address: str, call: str, output_format: str, **query: Any) -> None:
    """Send the call, and print what the log decided."""
    token = secrets.token_hex(8)
    admin_client.request(address, "POST", f"/releases/{call}?{urlencode({**query, 'token': token})}")
    end = time.monotonic() + ANSWER_TIMEOUT_S
    while (answer := admin_client.request(address, "GET", "/releases/answers").get(token)) is None:
        if time.monotonic() > end:
            fail(
                [
                    f"{address}: no answer within {ANSWER_TIMEOUT_S:g} s; "
                    f"it may still be done: look at the status"
                ],
                2,
            )
        time.sleep(POLL_EACH_S)
    if output_format == "json":
        click.echo(_json(answer))
    elif answer["done"]:
        click.echo(f"{call}: {answer['what']}")
    if not answer["done"]:
        fail([] if output_format == "json" else [answer["what"]], int(answer["exit"]))
