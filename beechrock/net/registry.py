"""Actor that reports this node to the registry as ready or draining. A report is valid for 3 s."""

import asyncio
from collections.abc import Callable
from typing import Any

from beechrock.core.counters import Counters
from beechrock.core.mailbox import Mailbox

Address = tuple[str, int]
BEAT_S = 0.2  # interval of reports; if one in four is lost, 3 s without any happen once in a billion cases
OPEN_S = 1.0  # time limit for opening a socket: a longer lookup of a host name is abandoned and retried
SEND_TRIES = 2  # the error of an earlier report is raised by the next send, which then sends nothing


def encode_report(name: str, state: str) -> bytes:
    """Encode a report to the registry: the node's name and its state, "ready" or "draining"."""
    return f"BEAT {name} {state}".encode()


class Endpoint(asyncio.DatagramProtocol):
    """One socket to the registry; ``failed`` is set once an error requires a new socket."""

    def __init__(self, counters: Counters) -> None:
        self.counters = counters
        self.transport: Any = None  # asyncio's datagram transport; its published type has no buffer size
        self.failed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport

    def error_received(self, exc: Exception) -> None:
        """Handle an error of a send, or an ICMP error in response to an earlier datagram."""
        exc.__traceback__ = None
        self.counters.add("sent.beats_failed")
        self.failed = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark the endpoint as failed, as its socket has been closed."""
        self.failed = True

    def send(self, report: bytes) -> bool:
        """Send a report. Returns whether the kernel accepted it; if not, a new endpoint is needed."""
        if self.failed:
            return False
        for _ in range(SEND_TRIES):
            self.failed = False
            self.transport.sendto(report)
            # asyncio buffers datagrams that the kernel does not accept at once, without a bound, and sends
            # them later: an old state would be reported after a newer one.
            if self.transport.get_write_buffer_size():
                self.counters.add("sent.beats_failed")
                self.close()
                return False
            if not self.failed:
                return True
        return False

    def close(self) -> None:
        """Close at once, and discard unsent reports."""
        self.failed = True
        if self.transport is not None:
            self.transport.abort()


class Registry:
    """Reports the state in its mailbox: at once when it changes, and then at regular intervals."""

    def __init__(self, name: str, address: Address, counters: Counters, able: Callable[[], bool]) -> None:
        self.name = name
        self.address = address
        self.counters = counters
        self.able = able
        self.mailbox: Mailbox[str] = Mailbox(16)
        self.state = "ready"

    def move(self, address: Address) -> None:
        """Report to another address from now on."""
        self.address = address
        self.mailbox.wake()

    async def run(self) -> None:
        """Report for as long as the process runs; after an error, retry at the next beat."""
        while True:  # a new endpoint for each address, and after each error
            address = self.address
            endpoint = Endpoint(self.counters)
            try:
                await self._open(endpoint, address)
                while self.address == address and not endpoint.failed:
                    self._report(endpoint)
                    await self._beat()
            except OSError:  # includes time-outs
                self.counters.add("sent.beats_impossible")
                await self._beat()
            except Exception as error:
                self.counters.record_error("registry", error)
                await self._beat()
            finally:
                endpoint.close()

    async def _open(self, endpoint: Endpoint, address: Address) -> None:
        async with asyncio.timeout(OPEN_S):
            await asyncio.get_running_loop().create_datagram_endpoint(lambda: endpoint, remote_addr=address)

    def _report(self, endpoint: Endpoint) -> None:
        self._read_states()
        # A node that cannot run requests must not report itself as ready. Without reports its registration
        # expires, and it gets no requests.
        if self.state != "ready" or self.able():
            sent = endpoint.send(encode_report(self.name, self.state))
            self.counters.add("sent.beats", int(sent))

    def _read_states(self) -> None:
        for state in self.mailbox.drain():
            self.state = state

    async def _beat(self) -> None:
        """Wait for the next beat, or for a new state or address."""
        self._read_states()  # even if none can be reported, as unread states would end the wait at once
        alarm = asyncio.get_running_loop().call_later(BEAT_S, self.mailbox.wake)
        try:
            await self.mailbox.wait()
        finally:
            alarm.cancel()
