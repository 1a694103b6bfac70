"""Messages between the nodes of a fleet: one TCP connection for each direction of each pair of nodes.

Decides only which frames and messages are dropped; owns the connections and this process's life number.
May import core and store.life.
"""
