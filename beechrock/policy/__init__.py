"""Decision logic of one node, free of I/O: it turns events into actions (``beechrock.interface``).

Each module holds one concern in a class that owns its state; ``Node`` connects them. The package imports
nothing of the project except the interface.
"""

from beechrock.policy.node import Node

__all__ = ["Node"]
