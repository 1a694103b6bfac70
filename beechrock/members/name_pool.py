"""A set of names whose sampling cost does not grow with its size; pure."""

import random
from collections.abc import Iterator


class NamePool:
    """A set of names; adding, removing and sampling take constant time."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self.positions: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.names)

    def __contains__(self, name: str) -> bool:
        return name in self.positions

    def __iter__(self) -> Iterator[str]:
        return iter(self.names)

    def set_member(self, name: str, member: bool) -> None:
        """Add the name if ``member`` is true, else remove it; do nothing if that is already the case."""
        if member and name not in self.positions:
            self.positions[name] = len(self.names)
            self.names.append(name)
        elif not member and name in self.positions:
            position, last = self.positions.pop(name), self.names.pop()
            if last != name:
                self.names[position], self.positions[last] = last, position

    def sample(self, generator: random.Random, limit: int, excluded: tuple[str, ...] = ()) -> list[str]:
        """Return at most ``limit`` names, drawn at random, without the excluded ones."""
        drawn = generator.sample(self.names, min(len(self.names), limit + len(excluded)))
        return [name for name in drawn if name not in excluded][:limit]
