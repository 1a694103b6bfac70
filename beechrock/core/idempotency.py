"""The idempotency table: which remembered request a retry of its key repeats."""

import math
from itertools import chain

from beechrock.core.requests import Request

SLACK_S = 0.05  # a caller may judge a time limit by this much longer than this node


class Entry:
    """The request that holds a key, and until when a try that arrives is a repeat of it."""

    __slots__ = ("request", "until")

    def __init__(self, request: Request, until: float) -> None:
        self.request = request
        self.until = until


class IdempotencyTable:
    """Entries by key. They outlive their end by ``linger_s``, as a repeat can be read late."""

    def __init__(self, capacity: int, linger_s: float) -> None:
        self.capacity = capacity
        self.linger_s = linger_s
        self._entries: dict[tuple[str, str], Entry] = {}
        # Entries whose place another try of the key took after their window, the newest last.
        self._replaced: dict[tuple[str, str], list[Entry]] = {}
        self._replaced_count = 0
        self.dropped_until = -math.inf  # the latest end of keyed entries dropped for room

    def __len__(self) -> int:
        return len(self._entries) + self._replaced_count

    @staticmethod
    def key(request: Request) -> tuple[str, str] | None:
        """Return a request's key, or None.

        By service, not by class or team: a retry may come over another front, which knows no teams.
        """
        name = request.nonce or request.entity
        return None if name is None else (request.route, name)

    def find(self, request: Request) -> Request | None:
        """Return the request that this one repeats: it arrived while that one's entry was alive."""
        key = self.key(request)
        entry = self._entries.get(key) if key else None
        if key is None or entry is None:
            return None
        # Windows of one key end in the order in which they began, so a repeat belongs to the first that is
        # not over: by the newest entry it would get another window's result. ``SLACK_S``, as a caller's clock
        # may read that much more than this node's.
        return next(
            (
                known.request
                for known in (*self._replaced.get(key, ()), entry)
                if request.earliest <= known.until + SLACK_S
            ),
            None,
        )

    def knows(self, route: str, nonce: str, born: float) -> bool:
        """Return whether a try of this key, read at ``born``, would be a repeat."""
        entry = self._entries.get((route, nonce))
        return entry is not None and born <= entry.until + SLACK_S

    def keep(self, request: Request, until: float, now: float) -> bool:
        """Remember a request; a full table first drops what only lingers. False if all of it is alive.

        An entry whose place it takes goes on lingering: the newer request may be rejected and forgotten, and
        a try from within the older window may still be read.
        """
        key = self.key(request)
        if key is None:
            return True  # nothing to remember it by, and nothing to mistake it for
        entry = self._entries.get(key)
        window_over = entry is not None and request.earliest > entry.until + SLACK_S
        if entry is None and self.in_doubt(request.earliest) and request.nonce is not None:
            return False
        if (entry is None or window_over) and len(self) >= self.capacity:
            self._drop_lingering(now)
            if len(self) >= self.capacity:
                return False
            entry = self._entries.get(key)
        if entry is not None and window_over:
            self._replaced.setdefault(key, []).append(entry)
            self._replaced_count += 1
        self._entries[key] = Entry(request, until)
        return True

    def forget(self, request: Request) -> None:
        """Drop this request's entry; if it had taken another one's place, that one stands again."""
        key = self.key(request)
        entry = self._entries.get(key) if key else None
        if key is None or entry is None:
            return
        replaced = self._replaced.get(key, [])
        if entry.request is not request:
            self._keep_replaced(key, [old for old in replaced if old.request is not request])
        elif replaced:
            self._entries[key] = replaced[-1]
            self._keep_replaced(key, replaced[:-1])
        else:
            del self._entries[key]

    def _keep_replaced(self, key: tuple[str, str], entries: list[Entry]) -> None:
        """Have these as the key's replaced entries, and no others."""
        before = self._replaced.pop(key, [])
        if entries:
            self._replaced[key] = entries
        self._replaced_count += len(entries) - len(before)

    def holds(self, request: Request) -> bool:
        """Return whether a request is the one that its key stands for."""
        key = self.key(request)
        return key is not None and (entry := self._entries.get(key)) is not None and entry.request is request

    def entry(self, request: Request) -> Entry | None:
        """Return what the request's key stands for now."""
        key = self.key(request)
        return self._entries.get(key) if key is not None else None

    def entries(self) -> list[Entry]:
        """Return the current entry of each key."""
        return list(self._entries.values())

    def replaced(self, request: Request) -> list[Entry]:
        """Return the entries of the request's key whose place a later try took, the newest last."""
        key = self.key(request)
        return list(self._replaced.get(key, ())) if key is not None else []

    def replaced_entries(self) -> list[Entry]:
        """Return all entries whose place a later try took; of one key the newest last."""
        return list(chain.from_iterable(self._replaced.values()))

    def sweep(self, now: float) -> None:
        """Drop the entries whose time is over."""
        for key, replaced in list(self._replaced.items()):
            self._keep_replaced(key, [old for old in replaced if not self._over(old, now)])
        dead = [key for key, entry in self._entries.items() if self._over(entry, now)]
        for key in dead:
            self._keep_replaced(key, [])
            del self._entries[key]

    def in_doubt(self, born: float) -> bool:
        """Return whether a try of an unknown key may repeat a run that a full table no longer knows."""
        return born <= self.dropped_until + SLACK_S

    def doubt_ends(self) -> float:
        """Return until when such a try can still be read."""
        return self.dropped_until + SLACK_S + self.linger_s

    def _drop_lingering(self, now: float) -> None:
        """Drop the entries whose windows are over, and remember until when their tries are in doubt.

        A try of a dropped window may still be read late, and must not run then.
        """
        dropped = [
            entry.until
            for entry in chain(self._entries.values(), *self._replaced.values())
            if entry.request.nonce is not None and entry.until + SLACK_S < now
        ]
        self.dropped_until = max([self.dropped_until, *dropped])
        self.sweep(now + self.linger_s)

    def _over(self, entry: Entry, now: float) -> bool:
        """Return whether no try from within an entry's window can still be read."""
        return entry.until + SLACK_S + self.linger_s < now

    def trim(self, max_bytes: int) -> int:
        """Drop the oldest results beyond ``most`` bytes; their repeats fail, as they ran. Gives how many."""
        entries = [*chain.from_iterable(self._replaced.values()), *self._entries.values()]
        held = [entry.request for entry in entries if entry.request.result]
        over = sum(len(request.result or b"") for request in held) - max_bytes
        dropped = 0
        while over > 0:
            request = held[dropped]
            over -= len(request.result or b"")
            request.result = None
            dropped += 1
        return dropped
