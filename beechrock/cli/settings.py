"""``beechrock settings``: what the program understands of a configuration."""

from pathlib import Path

import click
import ujson

from beechrock.cli.errors import UnreadableError
from beechrock.cli.inventory import OUTPUT_FORMAT, PATH


@click.group()
def settings() -> None:
    """The settings that the deployment hands to a node."""


@settings.command()
@click.argument("path", type=PATH)
@click.option("--format", "output_format", type=OUTPUT_FORMAT, default="text")
def explain(path: Path, output_format: str) -> None:
    """Say what each setting in PATH means to the program: its value, told or not, and what goes by it.

    PATH is a node's configuration (JSON, with "settings" in it) or the settings alone.
    Exit 2 if it cannot be read.
    """
    from beechrock.interface import SettingsError
    from beechrock.settings import settings_from
    from beechrock.settings_reference import explain as explain_settings
    from beechrock.settings_reference import unknown_names

    try:
        document = ujson.loads(path.read_bytes())
    except OSError as error:
        raise UnreadableError(str(error.strerror), where=str(path)) from None
    except ValueError as error:
        raise UnreadableError(f"not JSON ({error})", where=str(path)) from None
    if isinstance(document, dict) and isinstance(document.get("settings"), dict):
        document = document["settings"]
    try:
        parsed, _ = settings_from(document)
    except SettingsError as error:
        error.where = f"{path}: {error.where}"
        raise
    rows, unknown = explain_settings(document, parsed), unknown_names(document)
    if output_format == "json":
        click.echo(
            ujson.dumps(
                {
                    "settings": [
                        {
                            "name": row.name,
                            "value": row.value,
                            "told": row.is_set,
                            "unit": row.reference.unit,
                            "decides": row.reference.effect,
                            "absent": row.reference.absent,
                            "zero": row.reference.zero,
                        }
                        for row in rows
                    ],
                    "passed_over": unknown,
                },
                indent=1,
            )
        )
        return
    width = max(len(row.name) for row in rows)
    for row in rows:
        value = "-" if row.value is None else str(row.value)
        origin = "told" if row.is_set else f"not told: {row.reference.absent}"
        unit = f" {row.reference.unit}" if row.reference.unit and row.value is not None else ""
        click.echo(f"{row.name:{width}}  {value + unit:28}  {origin:36}  {row.reference.effect}")
    if unknown:
        click.echo("passed over, as nothing goes by them: " + ", ".join(unknown))
