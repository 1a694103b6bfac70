"""Stand-ins for what stands round a node, for trying it and for measurements: small, and on loopback only.

Owns: SCGI servers that take a stated time. May import: ``net/`` for the wire's words.
"""
