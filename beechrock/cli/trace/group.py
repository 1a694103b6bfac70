"""The noun."""

import click


@click.group()
def trace() -> None:
    """Records of requests and decisions. PATHs are files, or folders of them."""
