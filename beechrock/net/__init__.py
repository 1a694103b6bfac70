"""Network protocols of one node, one module each. These modules import the core; the core imports none."""
