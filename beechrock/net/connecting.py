"""Opens connections to servers; any failure before a connection is made is raised as an OSError.

In that case nothing was sent, so a request meant for the connection never ran.
"""

import asyncio
from collections.abc import Awaitable, Callable

from beechrock.net.registration import RetryingStreamReader
from beechrock.net.retrying_writer import RetryingStreamWriter

STREAM_LIMIT = 65_536  # bytes; asyncio stops reading a connection once its stream holds twice as many

Address = tuple[str, int]
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
ProtocolFactory = Callable[[], asyncio.StreamReaderProtocol]
Connect = Callable[[ProtocolFactory], Awaitable[tuple[asyncio.Transport, asyncio.StreamReaderProtocol]]]


class NotConnectedError(OSError):
    """No connection was made, for a reason other than a failed system call."""


async def open_streams(connect: Connect, limit: int = STREAM_LIMIT) -> Streams:
    """Return the streams of the connection that ``connect`` makes. Raises OSError if ``connect`` does."""
    loop = asyncio.get_running_loop()
    reader = RetryingStreamReader(limit, loop)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await connect(lambda: protocol)
    return reader, RetryingStreamWriter(transport, protocol, reader, loop)


async def open_connection(host: str, port: int) -> Streams:
    """Connect over TCP, as ``asyncio.open_connection`` does. Raises OSError."""
    loop = asyncio.get_running_loop()
    return await open_streams(lambda protocol: loop.create_connection(protocol, host, port))


async def open_unix_connection(path: str, limit: int) -> Streams:
    """Connect to a Unix socket, as ``asyncio.open_unix_connection`` does. Raises OSError."""
    loop = asyncio.get_running_loop()
    return await open_streams(lambda protocol: loop.create_unix_connection(protocol, path), limit)


async def connect(address: Address) -> Streams:
    """Open a connection. Raises OSError if that fails; a cancelled caller leaves no connection open."""
    try:
        reader, writer = await open_connection(*address)
    except OSError:
        raise
    except Exception as error:  # such as a host name that no resolver accepts, or a failed registration
        raise NotConnectedError(f"{type(error).__name__}: {error}") from error
    # After EAGAIN (no free port) or EINTR from connect(2), asyncio assumes that the connection is in
    # progress. The socket polls as writable, and asyncio then takes it for connected although it is not.
    if writer.get_extra_info("peername") is None:
        writer.transport.abort()
        raise NotConnectedError("the socket is not connected")
    return reader, writer
