"""The idempotency table: remembered requests by key, so that a retry is recognised as a repeat."""

import math
from itertools import chain

from beechrock.core.requests import Request

SLACK_S = 0.05  # tolerance at a window's end: a caller's clock may read this much later than this node's


class Entry:
    """A remembered request, and the end of its window: a retry born by then is a repeat of it."""

    __slots__ = ("request", "until")

    def __init__(self, request: Request, until: float) -> None:
        self.request = request
        self.until = until


class IdempotencyTable:
    """Entries by key, kept until ``linger_s`` after their window, as a retry born in it may be read late."""

    def __init__(self, capacity: int, linger_s: float) -> None:
        self.capacity = capacity
        self.linger_s = linger_s
        self._entries: dict[tuple[str, str], Entry] = {}
        # Entries that a later request with the same key replaced after their window, by key, newest last.
        self._replaced: dict[tuple[str, str], list[Entry]] = {}
        self._replaced_count = 0
        self.dropped_until = -math.inf  # latest window end among the keyed entries dropped to make room

    def __len__(self) -> int:
        return len(self._entries) + self._replaced_count

    @staticmethod
    def key(request: Request) -> tuple[str, str] | None:
        """Return the table key of a request, or None if it has neither an idempotency key nor a subject.

        It contains the service, not the class or team: a retry may arrive at another front end, which does
        not know teams.
        """
        name = request.nonce or request.entity
        return None if name is None else (request.route, name)

    def find(self, request: Request) -> Request | None:
        """Return the remembered request that this one repeats, as it was born in its window, or None."""
        key = self.key(request)
        entry = self._entries.get(key) if key else None
        if key is None or entry is None:
            return None
        # The windows of one key end in the order in which they began, so a retry repeats the oldest entry
        # whose window had not ended at its birth; the newest entry may hold the result of a later window.
        return next(
            (
                known.request
                for known in (*self._replaced.get(key, ()), entry)
                if request.earliest <= known.until + SLACK_S
            ),
            None,
        )

    def is_repeat(self, route: str, nonce: str, born: float) -> bool:
        """Return whether a request with this key, born at ``born``, would be a repeat."""
        entry = self._entries.get((route, nonce))
        return entry is not None and born <= entry.until + SLACK_S

    def remember(self, request: Request, until: float, now: float) -> bool:
        """Remember a request; return False if no room can be made, or if its key may have run already.

        A full table first drops lingering entries, whose windows have ended. An entry that is replaced goes
        on lingering: the newer request may be rejected and forgotten, and a retry from the older window may
        still be read.
        """
        key = self.key(request)
        if key is None:
            return True  # without a key it has no entry, and no request can repeat it
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
        """Drop this request's entry; if it had replaced another entry, that becomes current again."""
        key = self.key(request)
        entry = self._entries.get(key) if key else None
        if key is None or entry is None:
            return
        replaced = self._replaced.get(key, [])
        if entry.request is not request:
            self._set_replaced(key, [old for old in replaced if old.request is not request])
        elif replaced:
            self._entries[key] = replaced[-1]
            self._set_replaced(key, replaced[:-1])
        else:
            del self._entries[key]

    def _set_replaced(self, key: tuple[str, str], entries: list[Entry]) -> None:
        """Set the replaced entries of a key."""
        before = self._replaced.pop(key, [])
        if entries:
            self._replaced[key] = entries
        self._replaced_count += len(entries) - len(before)

    def holds(self, request: Request) -> bool:
        """Return whether the current entry of the request's key is its own."""
        key = self.key(request)
        return key is not None and (entry := self._entries.get(key)) is not None and entry.request is request

    def entry(self, request: Request) -> Entry | None:
        """Return the current entry of the request's key, or None."""
        key = self.key(request)
        return self._entries.get(key) if key is not None else None

    def entries(self) -> list[Entry]:
        """Return the current entry of each key."""
        return list(self._entries.values())

    def replaced(self, request: Request) -> list[Entry]:
        """Return the replaced entries of the request's key, newest last."""
        key = self.key(request)
        return list(self._replaced.get(key, ())) if key is not None else []

    def replaced_entries(self) -> list[Entry]:
        """Return all replaced entries; the entries of one key are ordered from oldest to newest."""
        return list(chain.from_iterable(self._replaced.values()))

    def sweep(self, now: float) -> None:
        """Drop the expired entries."""
        for key, replaced in list(self._replaced.items()):
            self._set_replaced(key, [old for old in replaced if not self._expired(old, now)])
        expired = [key for key, entry in self._entries.items() if self._expired(entry, now)]
        for key in expired:
            self._set_replaced(key, [])
            del self._entries[key]

    def in_doubt(self, born: float) -> bool:
        """Return whether a request born then may repeat a run whose entry was dropped to make room."""
        return born <= self.dropped_until + SLACK_S

    def in_doubt_until(self) -> float:
        """Return the time after which no request can be in doubt any more."""
        return self.dropped_until + SLACK_S + self.linger_s

    def _drop_lingering(self, now: float) -> None:
        """Drop the entries whose windows have ended, and note the latest of these ends.

        A retry born in a dropped window may still be read late, and must not run then.
        """
        dropped = [
            entry.until
            for entry in chain(self._entries.values(), *self._replaced.values())
            if entry.request.nonce is not None and entry.until + SLACK_S < now
        ]
        self.dropped_until = max([self.dropped_until, *dropped])
        self.sweep(now + self.linger_s)

    def _expired(self, entry: Entry, now: float) -> bool:
        """Return whether a retry born in the entry's window can no longer be read."""
        return entry.until + SLACK_S + self.linger_s < now

    def trim(self, max_bytes: int) -> int:
        """Drop the oldest results beyond ``max_bytes`` in total; return how many were dropped.

        Repeats of their requests fail, as these have run.
        """
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
