"""The operators' second address: what an operator's word makes of this process, the figures, and their HTTP.

Owns the operator's word; reads all else from its owner. May import ``core`` and ``net``; nobody imports it
but the wiring, and that only where a second address is told.
"""
