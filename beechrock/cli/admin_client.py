"""Requests to a running node's second address, for the commands that are thin callers of it."""

import http.client
from typing import Any

import click
import ujson

from beechrock.cli.inventory import fail

TIMEOUT_S = 30.0  # of one request


def request(address: str, method: str, path: str) -> dict[str, Any]:
    """Return the JSON of the answer.

    Ends the command with exit code 2 where there is no answer, or another than 200.
    """
    host, _, port = address.rpartition(":")
    if not port.isdigit():
        raise click.UsageError(f"--at: {address!r} is not HOST:PORT")
    connection = http.client.HTTPConnection(host.strip("[]"), int(port), timeout=TIMEOUT_S)
    try:
        connection.request(method, path)
        answer = connection.getresponse()
        body = answer.read()
    except OSError as error:
        fail([f"{address}: {error}"], 2)
    finally:
        connection.close()
    if answer.status != 200:
        fail([f"{address}: {answer.status}: {body.decode(errors='replace').strip()}"], 2)
    content: dict[str, Any] = ujson.loads(body)
    return content
