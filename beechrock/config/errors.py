"""Error for a configuration that can't be used; operators see its message."""

from typing import ClassVar

from beechrock.errors import OperatorError


class ConfigError(OperatorError, ValueError):
    """Configuration that cannot be used; ``where`` names the file or variable, the line, and the key."""

    event: ClassVar[str] = "config.refused"
