"""Selection of the upstream node that an edge's member sends to. Pure.

If one node is named it is that one; else the node that answered a probe under the highest fence, or to which
a redirect points, and the first named node before any answer. All named nodes are probed.
Invariant: an answer under a fence below the highest known one is ignored.
"""

from dataclasses import dataclass

from beechrock.edges.kept import Elsewhere, Led
from beechrock.edges.words import Word, unpack


@dataclass(slots=True)
class UpstreamChoice:
    named: tuple[str, ...]
    current: str = ""
    fence: int = 0

    def __post_init__(self) -> None:
        self.current = self.current or self.named[0]

    def hear(self, sender: str, word: Word) -> Word | None:
        """Return the message to handle, or None if it is stale or only a redirect."""
        match word:
            case Led(fence, packed):
                if sender not in self.named or fence < self.fence:
                    return None
                self.current, self.fence = sender, fence
                return unpack(packed)
            case Elsewhere(name, fence):
                if sender in self.named and name in self.named and fence > self.fence:
                    self.current, self.fence = name, fence
                return None
        return word
