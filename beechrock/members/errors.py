"""Errors of the membership that reach an operator."""

from typing import ClassVar

from beechrock.errors import OperatorError


class ShortKeyError(OperatorError, ValueError):
    """The key file holds too few bytes to derive a key from."""

    event: ClassVar[str] = "members.short_key"
