"""The publisher duty: its holder compiles and publishes plans for the fleet."""

from typing import TYPE_CHECKING

from beechrock.lowering.publish import Publisher

if TYPE_CHECKING:
    from beechrock.lowering.part import Lowering

DUTY = "lowering:publisher"


class Publishing:
    """Worker of the publisher duty; ``Lowering`` takes the publisher's steps while it holds the duty."""

    def __init__(self, part: "Lowering") -> None:
        self.part = part

    async def take_over(self, fence: int) -> None:
        self.part.publisher = Publisher(self.part.settings.prepare_s, self.part.settings.gone_s)

    async def give_up(self) -> None:
        self.part.compiling = None

    def lost(self) -> None:
        self.part.compiling = None

    def progress(self) -> tuple[int, int]:
        return self.part.steps, int(self.part.waits)
