"""Requests, attempts and outcomes of one node; nothing here knows a wire."""
