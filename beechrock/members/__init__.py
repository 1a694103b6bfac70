"""Who of the fleet lives: advice for routing and for people, never a right.

``state`` decides, purely; ``codec`` turns its messages into bytes. Imports nothing of the node's; off on the
platform.
"""
