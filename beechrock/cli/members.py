"""``beechrock members``: who of the fleet lives, as one node sees it."""

import http.client
import sys
import time
from typing import Any

import click
import ujson

from beechrock.cli.errors import NoAnswerError
from beechrock.cli.inventory import OUTPUT_FORMAT

COLUMNS = ("name", "hall", "state", "since_s", "heard_s", "life", "incarnation", "reason")
TIMEOUT_S = 5.0  # of one request


@click.command()
@click.option(
    "--at",
    "addresses",
    multiple=True,
    default=["127.0.0.1:4100"],
    help="A node's second address [127.0.0.1:4100]; of several, who hears whom.",
)
@click.option("--format", "output_format", type=OUTPUT_FORMAT, default="text")
@click.option("--watch", type=float, help="Again every so many seconds, until interrupted.")
def members(addresses: tuple[str, ...], output_format: str, watch: float | None) -> None:
    """Show the members that the node AT knows; of several, a matrix of when each last heard each (seconds).

    Exit 1 if one is suspect or dead, or a node asked is cut off; 2 without an answer. It is those nodes'
    word: ask the node that is said to be dead before acting on it.
    """
    while True:
        views = [_fetch(address) for address in addresses]
        if output_format == "json":
            click.echo(ujson.dumps(views[0] if len(views) == 1 else views, indent=1))
        elif len(views) == 1:
            _print_view(views[0])
        else:
            _print_matrix(views)
        if watch is None:
            break
        time.sleep(watch)
    impaired = any(view["isolated"] or view["displaced"] or view.get("out") for view in views)
    states = {row["state"] for view in views for row in view["members"]}
    sys.exit(1 if impaired or states & {"suspect", "dead"} else 0)


def _fetch(address: str) -> dict[str, Any]:
    host, _, port = address.rpartition(":")
    if not port.isdigit():
        raise click.UsageError(f"--at: {address!r} is not HOST:PORT")
    connection = http.client.HTTPConnection(host.strip("[]"), int(port), timeout=TIMEOUT_S)
    try:
        connection.request("GET", "/members")
        answer = connection.getresponse()
        body = answer.read()
    except OSError as error:
        raise NoAnswerError(
            str(error), where=address, do="is it the node's second address (LB_ADMIN_ADDR)?"
        ) from None
    finally:
        connection.close()
    if answer.status != 200:
        raise NoAnswerError(
            f"{answer.status}: the membership is off there",
            where=address,
            do="enable [members] in its operator's file",
        )
    view: dict[str, Any] = ujson.loads(body)
    return view


def _print_view(view: dict[str, Any]) -> None:
    delay = f", itself late (waits {1 + view['local_health']} times as long)" if view["local_health"] else ""
    notes = ", DISPLACED by a newer process of its name" if view["displaced"] else ""
    if view["isolated"]:
        notes += ", ISOLATED: it hears nobody, and its view stands still"
    if view.get("out"):  # a node of an earlier version does not say
        answered, asked = view["answered_itself"]
        notes += f", OUT: it was declared dead, and reaches too few itself ({answered} of its last {asked})"
    click.echo(f"as {view['name']} of {view['fleet']} sees it, generation {view['generation']}{delay}{notes}")
    for hall in view.get("halls", ()):
        if hall["state"] in ("lost", "doubted"):
            click.echo(
                f"hall {hall['hall']}: {hall['state'].upper()}: {hall['dead']} dead,"
                f" {hall['suspect']} suspect, none alive"
            )
    _print_table([COLUMNS, *(tuple(_cell(row.get(column)) for column in COLUMNS) for row in view["members"])])


def _print_matrix(views: list[dict[str, Any]]) -> None:
    """Print a row for each node asked and a column for each member.

    A cell is the seconds since the node heard from the member itself, or its state if it is not alive.
    """
    names = sorted({row["name"] for view in views for row in view["members"]})
    rows: list[tuple[str, ...]] = [("hears", *names)]
    for view in views:
        known = {row["name"]: row for row in view["members"]}
        rows.append(
            (
                view["name"],
                *(
                    ""
                    if name == view["name"]
                    else "unknown"
                    if name not in known
                    else _cell(known[name]["heard_s"])
                    if known[name]["state"] == "alive"
                    else known[name]["state"]
                    for name in names
                ),
            )
        )
    _print_table(rows)


def _cell(value: Any) -> str:
    return "-" if value in (None, "") else str(value)


def _print_table(rows: list[tuple[str, ...]]) -> None:
    widths = [max(len(row[n]) for row in rows) for n in range(len(rows[0]))]
    for row in rows:
        click.echo("  ".join(f"{cell:{widths[n]}}" for n, cell in enumerate(row)).rstrip())
