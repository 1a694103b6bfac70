"""Overload protection: decides, in each server of a fleet, which requests it accepts, runs and rejects."""

from beechrock.interface import Settings
from beechrock.policy import Node

__all__ = ["Node", "Settings", "__version__"]
__version__ = "0.1.0"
