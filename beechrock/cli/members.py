"""``beechrock members``: who of the fleet lives, as one node sees it."""

import http.client
import sys
import time
from typing import Any

import click
import ujson

from beechrock.cli.inventory import FORM, fail

COLUMNS = ("name", "state", "since_s", "life", "incarnation", "reason")


@click.command()
@click.option("--at", "address", default="127.0.0.1:4100", show_default=True, help="A node's second address.")
@click.option("--format", "form", type=FORM, default="text")
@click.option("--watch", type=float, help="Again every so many seconds, until interrupted.")
def members(address: str, form: str, watch: float | None) -> None:
    """Show the members that the node AT knows. Exit 1 if one is suspect or dead, or AT is cut off; 2 without
    an answer.

    It is that node's word: ask the node that is said to be dead before acting on it.
    """
    while True:
        told = _ask(address)
        if form == "json":
            click.echo(ujson.dumps(told, indent=1))
        else:
            _show(told)
        if watch is None:
            break
        time.sleep(watch)
    ailing = told["isolated"] or told["displaced"]
    sys.exit(1 if ailing or any(row["state"] in ("suspect", "dead") for row in told["members"]) else 0)


def _ask(address: str) -> dict[str, Any]:
    host, _, port = address.rpartition(":")
    if not port.isdigit():
        raise click.UsageError(f"--at: {address!r} is not HOST:PORT")
    link = http.client.HTTPConnection(host.strip("[]"), int(port), timeout=5.0)
    try:
        link.request("GET", "/members")
        answer = link.getresponse()
        body = answer.read()
    except OSError as error:
        fail([f"{address}: {error}"], 2)
    finally:
        link.close()
    if answer.status != 200:
        fail([f"{address}: {answer.status}: the membership is off there"], 2)
    told: dict[str, Any] = ujson.loads(body)
    return told


def _show(told: dict[str, Any]) -> None:
    late = f", itself late (waits {1 + told['local_health']} times as long)" if told["local_health"] else ""
    gone = ", DISPLACED by a newer process of its name" if told["displaced"] else ""
    if told["isolated"]:
        gone += ", ISOLATED: it hears nobody, and its view stands still"
    click.echo(f"as {told['name']} of {told['fleet']} sees it, generation {told['generation']}{late}{gone}")
    rows = [COLUMNS, *(tuple(str(row[column]) for column in COLUMNS) for row in told["members"])]
    wide = [max(len(row[n]) for row in rows) for n in range(len(COLUMNS))]
    for row in rows:
        click.echo("  ".join(f"{cell:{wide[n]}}" for n, cell in enumerate(row)).rstrip())
