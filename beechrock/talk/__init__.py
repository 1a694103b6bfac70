"""Messages between the nodes of a fleet: one TCP connection for each direction of each pair of nodes.

The package decides only which frames and messages are dropped. It owns the connections and this process's
life number. It imports config, core, net, parts and ``store.life``.
"""
