"""Replacement of one process of a node by another: which one accepts connections, and which runs which key.

Owns the claims of the other process and the stage of the replacement. May import ``core`` and ``net``. Only
the wiring imports this package, and only where a listening socket is inherited.
"""
