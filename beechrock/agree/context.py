"""State shared by all collaborators of one member: its name, peers, rules, the time, and the pending actions.

States: the time of the newest event, and the actions added since the core last returned actions. Events:
every event of the core sets the time first; every collaborator adds actions. Invariant: actions are returned
in the order in which they were added.
"""

from beechrock.agree.messages import Action, Message, Send
from beechrock.agree.rules import Rules


class EventContext:
    """Name, peers and rules of this member, the time of the current event in seconds, and its actions."""

    def __init__(self, name: str, nodes: tuple[str, ...], rules: Rules, now_s: float) -> None:
        self.name = name
        self.others = tuple(sorted(set(nodes) - {name}))
        self.rules = rules
        self.now_s = now_s
        self._actions: list[Action] = []

    def set_time(self, now_s: float) -> None:
        """Set the time to that of a tick, even if it is earlier than the last event's."""
        self.now_s = now_s

    def advance(self, now_s: float) -> None:
        """Move the time forward to ``now_s``; never move it back."""
        self.now_s = max(self.now_s, now_s)

    def emit(self, action: Action) -> None:
        """Add an action for the shell to execute."""
        self._actions.append(action)

    def send(self, to: str, message: Message) -> None:
        """Add an action that sends the message without waiting for a sync; skip messages to this member."""
        if to != self.name:
            self._actions.append(Send(to, message))

    def drain_actions(self) -> list[Action]:
        """Return the actions added since the last call, and clear them."""
        actions = self._actions
        self._actions = []
        return actions
