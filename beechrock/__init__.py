"""beechrock decides, inside each server of a fleet, what the server takes, runs and turns away."""

from beechrock.decide import Node
from beechrock.interface import Settings

__all__ = ["Node", "Settings", "__version__"]
__version__ = "0.1.0"
