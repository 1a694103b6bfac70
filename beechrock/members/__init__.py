"""Membership and failure detection: advice for routing and for people, never a right.

``detector`` decides, purely; ``codec`` turns its messages into bytes; ``actor`` has the sockets. Imports
nothing of the node's other parts; off on the platform.
"""
