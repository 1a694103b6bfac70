"""Decides nothing: nouns and verbs for operators, one module a noun, on click.

Owns: arguments, output, exit codes (0, 1 found something, 2 could not run). May import: everything, in the
command that uses it, when it runs.
"""
