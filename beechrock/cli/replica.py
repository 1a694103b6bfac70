"""``beechrock replica``: how far the copies are, where they differ, and what people settle."""

import sys
from typing import Any
from urllib.parse import urlencode

import click
import ujson

from beechrock.cli.admin_client import request
from beechrock.cli.inventory import OUTPUT_FORMAT

AT = click.option(
    "--at", "address", default="127.0.0.1:4100", help="A node's second address [127.0.0.1:4100]."
)
FORMAT = click.option("--format", "output_format", type=OUTPUT_FORMAT, default="text")


@click.group()
def replica() -> None:
    """Copies of the state that matters: lag, catch-up, leases of budgets, and what differs."""


@replica.command()
@AT
@FORMAT
def status(address: str, output_format: str) -> None:
    """Show how far the node AT is, and each peer as it sees it; its leases.

    Exit 1 while it is not whole, is broken, or something differs; 2 without an answer.
    """
    answer = request(address, "GET", "/replica")
    if output_format == "json":
        _print_json(answer)
    else:
        click.echo(
            f"{answer['name']}: {answer['stage']} ({answer['progress']:.0%} copied), "
            f"{answer['records']} records, {answer['differing']} differ, "
            f"{answer['store']['bytes']} bytes on disk"
        )
        if answer["broken"]:
            click.echo(f"broken: {answer['broken']}")
        for name, peer in answer["peers"].items():
            there = "there" if peer["there"] else "away"
            kinds = " ".join(f"{kind} {lag}" for kind, lag in peer["by_kind"].items() if lag)
            click.echo(
                f"{name:<12} {there:<6} {peer['stage'] or '-':<9} lag {peer['lag']:<7} "
                f"{'same' if peer['same'] else 'differs':<8} memory {peer['memory'] or '-'} {kinds}"
            )
        for lease in answer.get("leases", ()):
            click.echo(
                f"lease {' '.join(map(str, lease['pot']))}: {lease['state']}, {lease['spent']:g} of "
                f"{lease['cap']:g} spent, whole {lease['whole']:g}"
            )
    sys.exit(1 if answer["broken"] or answer["stage"] != "whole" or answer["differing"] else 0)


@replica.command()
@AT
@FORMAT
def diff(address: str, output_format: str) -> None:
    """Show records of which several values stand beside each other, or were set aside.

    Exit 1 if there are any.
    """
    answer = request(address, "GET", "/replica/diff")
    if output_format == "json":
        _print_json(answer)
    else:
        for row in answer["records"]:
            click.echo(f"{row['kind']} {row['key']}: acting {row['acting']!r}")
            for part in ("values", "aside"):
                for dot, value in (row[part] or {}).items():
                    click.echo(
                        f"  {'aside ' if part == 'aside' else ''}{dot}: "
                        f"{'deleted' if value is None else repr(value)}"
                    )
    sys.exit(1 if answer["differing"] else 0)


@replica.command()
@AT
@FORMAT
def verify(address: str, output_format: str) -> None:
    """Make all digests of the node AT anew and read its log through; exit 1 if they do not fit."""
    answer = request(address, "POST", "/replica/verify")
    if output_format == "json":
        _print_json(answer)
    else:
        click.echo(
            f"{answer['records']} records, root {answer['root']}, "
            f"{answer['log_bytes']} bytes of log read: "
            f"{'good' if answer['digests'] else 'DIGESTS DO NOT FIT'}"
        )
    sys.exit(0 if answer["digests"] else 1)


@replica.command()
@click.argument("kind")
@click.argument("key")
@click.option("--value", help="What stands from now on.")
@click.option("--delete", "delete", is_flag=True, help="Nothing stands from now on.")
@AT
@FORMAT
def resolve(kind: str, key: str, value: str | None, delete: bool, address: str, output_format: str) -> None:
    """Settle KIND KEY: one value, or none, in place of all that stand there, at all nodes."""
    if (value is None) is not delete:
        raise click.UsageError("one of --value and --delete is wanted")
    query = {"kind": kind, "key": key, **({} if value is None else {"value": value})}
    answer = request(address, "POST", f"/replica/resolve?{urlencode(query)}")
    if output_format == "json":
        _print_json(answer)
    else:
        click.echo(f"{kind} {key}: {'deleted' if value is None else value}")


def _print_json(answer: dict[str, Any]) -> None:
    click.echo(ujson.dumps(answer, indent=1, escape_forward_slashes=False))
