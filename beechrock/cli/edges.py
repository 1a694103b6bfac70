"""``beechrock edges``: what waits at an edge, and the way out of a chain that is held."""

import sys
from urllib.parse import quote

import click
import ujson

from beechrock.cli.admin_client import request
from beechrock.cli.inventory import OUTPUT_FORMAT

AT = click.option(
    "--at", "address", default="127.0.0.1:4100", help="A member's second address [127.0.0.1:4100]."
)


@click.group()
def edges() -> None:
    """Writes that wait at an edge that is, or was, cut off from upstream."""


@edges.command("list")
@AT
@click.option("--format", "output_format", type=OUTPUT_FORMAT, default="text")
def list_(address: str, output_format: str) -> None:
    """Show what the node AT holds: the link, what waits by team, the oldest, and what is held for what.

    Exit 1 if something is held for an operator; 2 without an answer.
    """
    view = request(address, "GET", "/edges")
    if output_format == "json":
        click.echo(ujson.dumps(view, indent=1, escape_forward_slashes=False))
    else:
        for side in ("member", "upstream"):
            for key, value in view.get(side, {}).items():
                if key != "held":
                    click.echo(f"{side}.{key}: {ujson.dumps(value, escape_forward_slashes=False)}")
        for row in view.get("member", {}).get("held", []):
            click.echo(f"{row['receipt']}  {row['said']}  for {', '.join(row['for']) or '-'}")
    held = {row["said"] for row in view.get("member", {}).get("held", [])}
    sys.exit(1 if held & {"gone", "doubt"} or view["broken"] else 0)


@edges.command()
@click.argument("receipt")
@AT
def release(receipt: str, address: str) -> None:
    """Send RECEIPT's write though one before it was not applied, or, in doubt, though it may have run."""
    click.echo(ujson.dumps(request(address, "POST", f"/edges/release?receipt={quote(receipt)}")))


@edges.command()
@click.argument("receipt")
@AT
def discard(receipt: str, address: str) -> None:
    """End RECEIPT's write without a run; its dependents go by their contracts (when_gone)."""
    click.echo(ujson.dumps(request(address, "POST", f"/edges/discard?receipt={quote(receipt)}")))
