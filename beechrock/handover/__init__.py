"""Two processes of one node, while one takes the other's place: who takes connections, who runs which key.

Owns the claims of the other process and the stage of a replacement. May import ``core`` and ``net``; nobody
imports it but the wiring, and that only where a listening socket is inherited.
"""
