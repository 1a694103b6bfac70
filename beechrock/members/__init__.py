"""Membership and failure detection; the results are hints for routing and operators, and grant no rights.

``detector`` makes the decisions without I/O, ``codec`` encodes its messages, ``actor`` owns the sockets. The
package imports none of the node's other parts, and is disabled on the platform.
"""
