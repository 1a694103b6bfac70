"""Reloads of the configuration file: detects its changes, and keeps the running one if it is unusable."""

import logging
from collections.abc import Callable

from beechrock import config
from beechrock.core.counters import Counters
from beechrock.errors import OperatorError

log = logging.getLogger("beechrock")

Stamp = tuple[int, ...]  # fingerprint of the file's version, see ``config.stamp``
# Keys that a reload does not apply. ``seed`` is not listed: it differs at each start, and is not used later.
START_ONLY_KEYS = (
    "name",
    "listen",
    "admin",
    "stop_s",
    "memory_mb",
    "sockets",
    "settings",
    "gauges",
    "scgi",
    "trace",
    "members",
    "parts",
)


def warn_of_start_only_changes(running: config.Config, configuration: config.Config) -> None:
    """Log a warning that names the changed keys which a reload does not apply."""
    changed = [key for key in START_ONLY_KEYS if getattr(configuration, key) != getattr(running, key)]
    if changed:
        log.warning("%s: changed, but read at a start only", ", ".join(changed))


class ConfigurationFile:
    """Detects changes of the configuration file by its stamp, and loads it again."""

    def __init__(
        self,
        read_anew: Callable[[config.Config], config.Config] | None = None,
        stamp: Callable[[], Stamp] = tuple,
        seen: Stamp = (),
    ) -> None:
        """``read_anew`` loads the file, given the running configuration; ``seen``: its stamp at the start."""
        self.read_anew = read_anew
        self.stamp = stamp
        self.seen = seen  # the file's stamp when it was last read
        self.seen_changed = seen  # its stamp at the last call of ``has_stable_change``

    def has_changed(self) -> bool:
        """Return whether the file has changed since it was last read."""
        return self.stamp() != self.seen

    def has_stable_change(self) -> bool:
        """Return whether the file has changed since it was last read, but not since the last call.

        A file that is still being written changes between two calls, and must not be read half written.
        """
        stamp = self.stamp()
        stable = stamp != self.seen and stamp == self.seen_changed
        self.seen_changed = stamp
        return stable

    def read(self, running: config.Config, counters: Counters) -> config.Config | None:
        """Return the file's configuration, or None, counted and logged, if it cannot be used."""
        self.seen = self.stamp()
        try:
            configuration = running if self.read_anew is None else self.read_anew(running)
        except OperatorError as error:  # an unusable file must not end a running node
            counters.add("reload.refused")
            log.error("%s; the old configuration stays", error)
            return None
        except Exception as error:
            # Links ask for reloads too: an unexpected error must not end their search for a peer.
            counters.add("reload.refused")
            counters.record_error("reload", error)
            return None
        counters.add("reload.taken")
        return configuration
