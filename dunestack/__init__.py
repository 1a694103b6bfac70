"""dunestack decides, inside each server of a fleet, what the server takes, runs and turns away."""

from dunestack.decide import Node
from dunestack.interface import Settings

__all__ = ["Node", "Settings"]
