"""Which connections a front keeps: decided without I/O, carried out by ``beechrock/net/front.py``."""
