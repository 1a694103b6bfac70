"""Decides which connections a server keeps. No I/O; ``beechrock/net/connection_server.py`` acts on it."""
