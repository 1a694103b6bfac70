"""Worker of the duty ``releases:driver``, whose holder drives all releases."""

from typing import TYPE_CHECKING

from beechrock.releases.driver import Driver

if TYPE_CHECKING:
    from beechrock.releases.part import Releases


class Driving:
    """The worker that the duties part calls; it creates and drops the part's driver."""

    def __init__(self, part: "Releases") -> None:
        self.part = part

    async def take_over(self, fence: int) -> None:
        settings = self.part.settings
        self.part.driver = Driver(settings.rules, settings.return_s, settings.gone_s)

    async def give_up(self) -> None:
        self.part.driver = None

    def lost(self) -> None:
        self.part.driver = None

    def progress(self) -> tuple[int, int]:
        return self.part.steps, 0
