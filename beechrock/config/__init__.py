"""Reads and checks a node's configuration: its environment, the file of LB_CONFIG and the operator's file.

``told`` has the data classes, ``checks`` the checks of values, ``operator`` the operator's file, ``platform``
the environment and LB_CONFIG. Imports the settings of the decision module, and the inventory only if the SCGI
front end is on.
"""

from beechrock.config.errors import ConfigError
from beechrock.config.platform import ROOT, load, stamp
from beechrock.config.told import Address, Config, Scgi, Trace

__all__ = ["ROOT", "Address", "Config", "ConfigError", "Scgi", "Trace", "load", "stamp"]
