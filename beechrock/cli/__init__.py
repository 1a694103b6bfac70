"""The commands for operators: nouns and verbs, one module a noun, on click.

Decides nothing. Owns: arguments, output, exit codes (0, 1 found something, 2 could not run). May import:
everything, in the command that uses it, when it runs. The docstring of a command is its help text.
"""
