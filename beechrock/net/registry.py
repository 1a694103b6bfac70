"""The registry's actor: reports this node, ready or draining, well within the 3 s after which it lapses."""

import asyncio

from beechrock.core.counters import Counters
from beechrock.core.mailbox import Mailbox

BEAT_S = 0.5


class Registry:
    """Its mailbox takes the state to report; it sends at once on a change, and then at every beat."""

    def __init__(self, name: str, address: tuple[str, int], counters: Counters) -> None:
        self.name, self.address, self.counters = name, address, counters
        self.mailbox: Mailbox[str] = Mailbox(16)
        self.state = "ready"

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, remote_addr=self.address)
        try:
            while True:
                for state in self.mailbox.drain():
                    self.state = state
                transport.sendto(f"BEAT {self.name} {self.state}".encode())
                self.counters.add("sent.beats")
                alarm = loop.call_later(BEAT_S, self.mailbox.wake)
                await self.mailbox.wait()
                alarm.cancel()
        finally:
            transport.close()
