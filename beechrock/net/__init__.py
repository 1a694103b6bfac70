"""The wires of one node, each in a module of its own; they know the core, the core knows none of them."""
