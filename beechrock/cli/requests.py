"""``beechrock ask``: one request over SCGI, and its answer."""

import socket
import sys

import click

from beechrock.cli.errors import NoAnswerError

RECEIVE_BYTES = 65_536  # in one call


@click.command()
@click.argument("service")
@click.argument("body", default="")
@click.option("--to", "address", default="127.0.0.1:4000", show_default=True, help="The node's SCGI address.")
@click.option("--team", required=True)
@click.option("--key", help="Idempotency-Key, for keyed services.")
@click.option("--retry", is_flag=True, help="Mark as a further try.")
@click.option("--timeout", type=float, default=30.0, show_default=True)
def ask(
    service: str, body: str, address: str, team: str, key: str | None, retry: bool, timeout: float
) -> None:
    """Ask SERVICE for something. Exit 1 unless the answer is 200, 2 without any."""
    from beechrock.net.scgi_codec import request_bytes

    host, _, port = address.rpartition(":")
    if not port.isdigit():
        raise click.UsageError(f"--to: {address!r} is not HOST:PORT")
    headers = {"REQUEST_METHOD": "POST", "PATH_INFO": f"/{service}", "HTTP_X_TEAM": team}
    if key is not None:
        headers["HTTP_IDEMPOTENCY_KEY"] = key
    if retry:
        headers["HTTP_X_RETRY"] = "1"
    try:
        with socket.create_connection((host.strip("[]"), int(port)), timeout) as connection:
            connection.sendall(request_bytes(headers, body.encode()))
            answer = b""
            while chunk := connection.recv(RECEIVE_BYTES):
                answer += chunk
    except OSError as error:
        raise NoAnswerError(str(error), where=address, do="is it the node's SCGI address?") from None
    click.echo(answer.decode("utf-8", "replace"))
    sys.exit(0 if answer.startswith(b"Status: 200 ") else 1)
