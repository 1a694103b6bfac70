"""The registry's actor: reports this node, ready or draining, well within the 3 s after which it lapses."""

import asyncio
from collections.abc import Callable

from beechrock.core.counters import Counters
from beechrock.core.mailbox import Mailbox

Address = tuple[str, int]
BEAT_S = 0.2        # reports get lost: with one in four gone, 3 s without any come once in a billion


class Registry:
    """Its mailbox takes the state to report; it sends at once on a change, and then at every beat."""

    def __init__(
        self, name: str, address: Address, counters: Counters, able: Callable[[], bool]
    ) -> None:
        self.name, self.address, self.counters, self.able = name, address, counters, able
        self.mailbox: Mailbox[str] = Mailbox(16)
        self.state = "ready"

    def move(self, address: Address) -> None:
        """Report to another address from now on."""
        self.address = address
        self.mailbox.wake()

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:     # one endpoint an address
            address = self.address
            try:
                transport, _ = await loop.create_datagram_endpoint(
                    asyncio.DatagramProtocol, remote_addr=address)
            except OSError:
                self.counters.add("sent.beats_impossible")
                await asyncio.sleep(BEAT_S)
                continue
            try:
                while self.address == address:
                    for state in self.mailbox.drain():
                        self.state = state
                    # Who cannot have anything run is not ready: without a report it lapses, and is not asked.
                    if self.state != "ready" or self.able():
                        transport.sendto(f"BEAT {self.name} {self.state}".encode())
                        self.counters.add("sent.beats")
                    alarm = loop.call_later(BEAT_S, self.mailbox.wake)
                    await self.mailbox.wait()
                    alarm.cancel()
            finally:
                transport.close()
